use super::{checker, violated};

/// A repeated submission of a known job must be neither accepted as a new job nor refused. A
/// submission that lacks a field, or whose job fits no machine, must not be accepted. A temporary
/// error is no violation.
#[test]
fn a_malformed_or_repeated_request_has_one_correct_status() {
    let mut tolerant = checker();
    for (expected, status) in [(200, 200), (400, 400), (422, 422), (200, 503), (422, 429), (400, 0)]
    {
        tolerant.check_response_status(1.0, expected, status, "correct or temporary");
    }
    assert!(violated(&tolerant).is_empty());
    for (expected, status) in
        [(200, 201), (200, 404), (200, 422), (400, 201), (422, 201), (422, 400)]
    {
        let mut checker = checker();
        checker.check_response_status(1.0, expected, status, "wrong");
        assert_eq!(violated(&checker), ["response_status"], "{status} instead of {expected}");
    }
}

#[test]
fn invalid_bytes_that_are_not_refused_are_a_violation() {
    for status in [400, 404, 405, 413, 429, 503] {
        let mut checker = checker();
        checker.check_invalid_bytes_status(status);
        assert!(
            violated(&checker).is_empty(),
            "{status} refuses the bytes or is a temporary error"
        );
    }
    for status in [0, 200, 201, 302, 500, 502] {
        let mut checker = checker();
        checker.check_invalid_bytes_status(status);
        assert_eq!(violated(&checker), ["invalid_bytes_refused"], "{status}");
    }
}
