//! Ids of jobs and tasks: one form each, and nothing else.

use gladekeel_wire::{JobId, TaskId};

#[test]
fn ids_have_one_form() {
    for good in ["job-000412", "job-a_b.c-9"] {
        assert_eq!(good.parse::<JobId>().unwrap().as_str(), good);
    }
    for bad in ["", "job-", "job-a/b", "job-a b", "task-1", "job-é", "job-%2F"] {
        assert!(bad.parse::<JobId>().is_err(), "{bad}");
    }
    let task: TaskId = "job-000412/3".parse().unwrap();
    assert_eq!((task.index, task.to_string().as_str()), (3, "job-000412/3"));
    for bad in ["job-1", "job-1/", "job-1/+3", "job-1/03", "job-1/-1", "job-1/4294967296"] {
        assert!(bad.parse::<TaskId>().is_err(), "{bad}");
    }
}
