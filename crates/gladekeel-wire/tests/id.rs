//! Each job id and each task id has exactly one valid spelling.

use gladekeel_wire::{JobId, TaskId};

/// Guards against ids with characters that have a meaning in store keys or URL paths, and against
/// two ids of the same task, such as `job-1/3` and `job-1/03`.
#[test]
fn only_ids_in_the_exact_form_are_accepted() {
    for valid in ["job-000412", "job-a_b.c-9"] {
        assert_eq!(valid.parse::<JobId>().unwrap().as_str(), valid);
    }
    for invalid in ["", "job-", "job-a/b", "job-a b", "task-1", "job-é", "job-%2F"] {
        assert!(invalid.parse::<JobId>().is_err(), "{invalid}");
    }
    let task: TaskId = "job-000412/3".parse().unwrap();
    assert_eq!((task.index, task.to_string().as_str()), (3, "job-000412/3"));
    for invalid in ["job-1", "job-1/", "job-1/+3", "job-1/03", "job-1/-1", "job-1/4294967296"] {
        assert!(invalid.parse::<TaskId>().is_err(), "{invalid}");
    }
}
