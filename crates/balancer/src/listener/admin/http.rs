//! The subset of HTTP/1.1 for the admin listener: parsing of request headers and encoding of
//! responses.

use super::AdminCommand;

/// Maximum length of the request line and headers, in bytes.
pub(super) const HEAD_MAX: usize = 8 * 1024;
/// Maximum number of headers of a request.
pub(super) const HEADERS_MAX: usize = 64;

/// Reason why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HttpError {
    /// The request is not valid HTTP.
    BadRequest,
    /// The path is unknown.
    NotFound,
    /// The path requires another method.
    MethodNotAllowed { allowed: &'static str },
    /// The request was not complete in time.
    Timeout,
    /// Further connections arrived while the request was incomplete.
    TooManyConnections,
    /// The request line and headers are too long, or there are too many headers.
    HeadTooLong,
}

impl HttpError {
    pub(super) fn status(self) -> u16 {
        match self {
            HttpError::BadRequest => 400,
            HttpError::NotFound => 404,
            HttpError::MethodNotAllowed { .. } => 405,
            HttpError::Timeout => 408,
            HttpError::HeadTooLong => 431,
            HttpError::TooManyConnections => 503,
        }
    }

    /// Returns the encoded response to the rejected request.
    pub(super) fn response(self) -> Vec<u8> {
        let body = state_body(reason(self.status()));
        let allow = match self {
            HttpError::MethodNotAllowed { allowed } => format!("Allow: {allowed}\r\n"),
            _ => String::new(),
        };
        encode(self.status(), &allow, &body)
    }
}

/// Parses the request line and headers; `None` while they are incomplete.
pub(super) fn parse_request(
    input: &[u8],
    fleet: FleetEndpoint,
) -> Result<Option<AdminCommand>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(input) {
        Ok(httparse::Status::Complete(length)) if length <= HEAD_MAX => {}
        Ok(httparse::Status::Partial) if input.len() < HEAD_MAX => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(HttpError::HeadTooLong),
        Err(_) => return Err(HttpError::BadRequest),
    }
    let path = request.path.unwrap_or_default();
    let (command, allowed) = match path.split_once('?').map_or(path, |(path, _)| path) {
        "/admin/health" => (AdminCommand::Health, "GET"),
        "/admin/quiesce" => (AdminCommand::Quiesce, "POST"),
        "/admin/resume" => (AdminCommand::Resume, "POST"),
        "/admin/fleet" if fleet == FleetEndpoint::Present => (AdminCommand::Fleet, "GET"),
        _ => return Err(HttpError::NotFound),
    };
    if request.method == Some(allowed) {
        Ok(Some(command))
    } else {
        Err(HttpError::MethodNotAllowed { allowed })
    }
}

/// Whether the path `/admin/fleet` exists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetEndpoint {
    /// The balancer is a member of a fleet, and the path exists.
    Present,
    /// The balancer is not a member of a fleet, and the path is unknown.
    Absent,
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        431 => "Request Header Fields Too Large",
        _ => "Service Unavailable",
    }
}

/// Encodes a body with the state of the process, or with the reason phrase of a rejected request.
pub(super) fn state_body(state: &str) -> String {
    format!("{{\"state\":\"{state}\"}}\n")
}

/// Encodes a response. `headers` are additional header lines with their line ends.
pub(super) fn encode(status: u16, headers: &str, body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 {status} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\
         Cache-Control: no-store\r\n{headers}Connection: close\r\n\r\n{body}",
        reason(status),
        body.len()
    )
    .into_bytes()
}

#[cfg(test)]
mod tests;
