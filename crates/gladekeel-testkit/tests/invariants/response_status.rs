use super::{checker, violated};

/// A repeat of a known job that is answered as a new one or refused, and a request without a
/// field or without a fitting machine that is accepted, are violations; what is put off is
/// none.
#[test]
fn a_malformed_or_repeated_request_has_one_right_status() {
    let mut put_off = checker();
    for (expected, status) in [(200, 200), (400, 400), (422, 422), (200, 503), (422, 429), (400, 0)]
    {
        put_off.check_status(1.0, expected, status, "right or put off");
    }
    assert!(violated(&put_off).is_empty());
    for (expected, status) in
        [(200, 201), (200, 404), (200, 422), (400, 201), (422, 201), (422, 400)]
    {
        let mut checker = checker();
        checker.check_status(1.0, expected, status, "wrong");
        assert_eq!(violated(&checker), ["response_status"], "{status} instead of {expected}");
    }
}

#[test]
fn junk_that_is_not_refused_is_a_violation() {
    for status in [400, 404, 405, 413, 429, 503] {
        let mut checker = checker();
        checker.check_invalid_bytes_status(status);
        assert!(violated(&checker).is_empty(), "{status} refuses it or puts it off");
    }
    for status in [0, 200, 201, 302, 500, 502] {
        let mut checker = checker();
        checker.check_invalid_bytes_status(status);
        assert_eq!(violated(&checker), ["invalid_bytes_refused"], "{status}");
    }
}
