//! Tests of request parsing and of status lines.

use super::*;

#[test]
fn complete_request_is_checked_for_its_path_and_then_its_method() {
    let complete = b"POST /admin/quiesce?why=x HTTP/1.1\r\nHost: a\r\n\r\n";
    for cut in 0..complete.len() {
        assert_eq!(
            parse_request(&complete[..cut], FleetEndpoint::Absent),
            Ok(None),
            "after {cut} bytes"
        );
    }
    assert_eq!(
        parse_request(complete, FleetEndpoint::Absent),
        Ok(Some(AdminCommand::Quiesce))
    );
    let long = format!(
        "GET /admin/health HTTP/1.1\r\nA: {}\r\n\r\n",
        "x".repeat(HEAD_MAX)
    );
    let many = format!(
        "GET /admin/health HTTP/1.1\r\n{}\r\n",
        "A: b\r\n".repeat(HEADERS_MAX + 1)
    );
    let cases = [
        (
            "GET /admin/health HTTP/1.1\r\n\r\n",
            Ok(Some(AdminCommand::Health)),
        ),
        (
            "POST /admin/resume HTTP/1.0\r\nContent-Length: 2\r\n\r\n{}",
            Ok(Some(AdminCommand::Resume)),
        ),
        (
            "GET /admin/resume HTTP/1.1\r\n\r\n",
            Err(HttpError::MethodNotAllowed { allowed: "POST" }),
        ),
        (
            "POST /admin/health HTTP/1.1\r\n\r\n",
            Err(HttpError::MethodNotAllowed { allowed: "GET" }),
        ),
        ("GET /admin/ HTTP/1.1\r\n\r\n", Err(HttpError::NotFound)),
        ("*1\r\n$4\r\nPING\r\n", Err(HttpError::BadRequest)),
        (&long, Err(HttpError::HeadTooLong)),
        (&many, Err(HttpError::HeadTooLong)),
    ];
    let fleet = b"GET /admin/fleet HTTP/1.1\r\n\r\n";
    assert_eq!(
        parse_request(fleet, FleetEndpoint::Present),
        Ok(Some(AdminCommand::Fleet))
    );
    assert_eq!(
        parse_request(fleet, FleetEndpoint::Absent),
        Err(HttpError::NotFound),
        "the path exists only for a member of a fleet"
    );
    for (text, expected) in cases {
        assert_eq!(
            parse_request(text.as_bytes(), FleetEndpoint::Absent),
            expected,
            "{}",
            &text[..30.min(text.len())]
        );
    }
}

#[test]
fn each_error_has_its_status_line() {
    let cases = [
        (HttpError::BadRequest, "HTTP/1.1 400 Bad Request\r\n"),
        (HttpError::NotFound, "HTTP/1.1 404 Not Found\r\n"),
        (
            HttpError::MethodNotAllowed { allowed: "GET" },
            "HTTP/1.1 405 Method Not Allowed\r\n",
        ),
        (HttpError::Timeout, "HTTP/1.1 408 Request Timeout\r\n"),
        (
            HttpError::HeadTooLong,
            "HTTP/1.1 431 Request Header Fields Too Large\r\n",
        ),
    ];
    for (error, line) in cases {
        let text = String::from_utf8(error.response()).unwrap();
        assert!(text.starts_with(line), "{text}");
    }
}
