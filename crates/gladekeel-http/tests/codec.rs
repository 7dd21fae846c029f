//! Which messages the parsers accept and reject, tested without sockets.

use gladekeel_http::{
    RequestError, Response,
    codec::{RequestHead, encode_response, parse_request_head, parse_response_head},
};

fn head(text: &str) -> Result<Option<RequestHead>, RequestError> {
    parse_request_head(text.as_bytes(), 200)
}

/// A head that is malformed, exceeds a limit or leaves the end of the request unclear is rejected
/// with the status that names the reason; an incomplete head is not an error.
#[test]
fn request_heads_are_parsed_or_rejected_with_the_matching_status() {
    let complete =
        head("POST /a?b=c HTTP/1.1\r\nContent-Length: 3\r\nConnection: Close\r\n\r\nxyz");
    let complete = complete.unwrap().unwrap();
    assert_eq!((complete.path.as_str(), complete.query.as_str()), ("/a", "b=c"));
    assert!(complete.close && complete.content_length == 3);
    assert!(head("GET / HTTP/1.1\r\nHost:").unwrap().is_none());
    let long = format!("GET /{} HTTP/1.1\r\n", "a".repeat(300));
    for (text, status) in [
        ("\u{1}\u{2}\r\n\r\n", 400),
        ("GET / HTTP/9.9\r\n\r\n", 400),
        ("GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400),
        ("GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400),
        ("GET / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n", 400),
        ("GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", 411),
        (long.as_str(), 431),
    ] {
        assert_eq!(head(text).err().map(RequestError::status), Some(status), "{text:?}");
    }
}

#[test]
fn request_errors_name_the_cause_and_the_exceeded_limit() {
    let long = format!("GET /{} HTTP/1.1\r\n", "a".repeat(300));
    let many = format!("GET / HTTP/1.1\r\n{}\r\n", "a:b\r\n".repeat(65));
    for (text, message) in [
        ("GET / HTTP/1.1\r\nContent-Length: +1\r\n\r\n", "invalid Content-Length"),
        (
            "GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
            "conflicting values of Content-Length",
        ),
        ("GET / HTTP/1.1\r\nTransfer-Encoding: x\r\n\r\n", "transfer encodings are not supported"),
        (long.as_str(), "head larger than the limit of 200 bytes"),
        (many.as_str(), "more than 64 headers"),
    ] {
        assert_eq!(head(text).unwrap_err().to_string(), message, "{text:?}");
    }
}

proptest::proptest! {
    #[test]
    fn parsers_do_not_panic_on_arbitrary_bytes(bytes: Vec<u8>) {
        let _ = parse_request_head(&bytes, 100);
        let _ = parse_response_head(&bytes);
    }

    #[test]
    fn encoded_responses_parse_back(status in 200u16..600, body: Vec<u8>, close: bool) {
        let bytes = encode_response(&Response::json(status, body.clone()), close);
        let head = parse_response_head(&bytes).unwrap().unwrap();
        proptest::prop_assert_eq!((head.status, head.close), (status, close));
        proptest::prop_assert_eq!(&bytes[head.head_len..], &body[..]);
    }
}
