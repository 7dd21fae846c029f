//! Validation of submissions.

use gladekeel_wire::job::{InvalidJob, JobSpec, Priority};

/// A valid submission with a field that this version does not know.
const VALID: &str = r#"{"name_id":"job-000412","rig":"train","crew":"vision","build":"array",
    "urgency":"high","pieces":16,"vcpus":8.0,"gpus":1.0,"ram_gb":64.0,"pattern":"img-07",
    "size_gb":6.2,"hulls":["g8"],"yard":null,"one_zone":true,"scatter":false,"driftwood":true,
    "reckon_s":240.0,"mark_s":30.0,"stow_s":4.0,"launch_s":900.0,"new":1}"#;

/// Guards against submissions with a missing field, a wrong type or a value out of range that reach
/// the scheduler.
#[test]
fn malformed_and_out_of_range_submissions_are_rejected() {
    let spec = JobSpec::parse(VALID.as_bytes()).unwrap();
    assert_eq!((spec.tasks, spec.priority, spec.zone), (16, Priority::High, None));
    for (from, to) in [
        ("\"pieces\":16", "\"pieces\":0"),
        ("\"pieces\":16", "\"pieces\":-1"),
        ("\"pieces\":16", "\"pieces\":100001"),
        ("\"pieces\":16", "\"pieces\":\"16\""),
        ("\"vcpus\":8.0", "\"vcpus\":0"),
        ("\"vcpus\":8.0", "\"vcpus\":-8.0"),
        ("\"vcpus\":8.0", "\"vcpus\":1e300"),
        ("\"vcpus\":8.0", "\"vcpus\":NaN"),
        ("\"vcpus\":8.0,", ""),
        ("job-000412", "job/000412"),
        ("\"array\"", "\"gang\""),
        ("\"high\"", "\"highest\""),
        ("\"scatter\":false", "\"scatter\":0"),
        ("\"reckon_s\":240.0", "\"reckon_s\":-1"),
    ] {
        let text = VALID.replace(from, to);
        assert_ne!(text, VALID, "{from} does not occur in the valid submission");
        assert!(JobSpec::parse(text.as_bytes()).is_err(), "{to}");
    }
    for text in ["", "[]", "null", "{", "\"job\""] {
        assert!(JobSpec::parse(text.as_bytes()).is_err(), "{text}");
    }
}

/// Guards against errors that name a field by its Rust name, which the user does not know.
#[test]
fn out_of_range_errors_name_the_field_as_the_user_wrote_it() {
    for (from, to, field) in [
        ("\"pieces\":16", "\"pieces\":0", "pieces"),
        ("\"vcpus\":8.0", "\"vcpus\":0", "vcpus"),
        ("\"gpus\":1.0", "\"gpus\":-1", "gpus"),
        ("\"ram_gb\":64.0", "\"ram_gb\":-1", "ram_gb"),
        ("\"size_gb\":6.2", "\"size_gb\":1e10", "size_gb"),
        ("\"reckon_s\":240.0", "\"reckon_s\":-1", "reckon_s"),
        ("\"mark_s\":30.0", "\"mark_s\":-1", "mark_s"),
        ("\"stow_s\":4.0", "\"stow_s\":-1", "stow_s"),
        ("\"launch_s\":900.0", "\"launch_s\":-1", "launch_s"),
        ("\"train\"", "\"\"", "rig"),
        ("\"vision\"", "\"\"", "crew"),
        ("\"img-07\"", "\"\"", "pattern"),
        ("\"yard\":null", "\"yard\":\"\"", "yard"),
        ("[\"g8\"]", "[\"\"]", "hulls"),
    ] {
        let text = VALID.replace(from, to);
        let error = JobSpec::parse(text.as_bytes()).unwrap_err();
        assert!(matches!(error, InvalidJob::Field(name) if name == field), "{to}: {error}");
        assert_eq!(error.to_string(), format!("field {field} is out of range"));
    }
    let error = JobSpec::parse(b"[]").unwrap_err();
    assert_eq!(error.to_string(), "not a job: not an object");
}
