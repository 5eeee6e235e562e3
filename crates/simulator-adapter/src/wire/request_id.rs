//! Request ids on the wire: hexadecimal digits in groups of 8-4-4-4-12.

use routing::RequestId;

/// Parses an id; accepts only the form that [`format()`] writes.
pub fn parse(text: &str) -> Option<RequestId> {
    let digits: String = text.chars().filter(|c| *c != '-').collect();
    let id = RequestId(u128::from_str_radix(&digits, 16).ok()?);
    (format(id) == text).then_some(id)
}

/// Formats an id as 32 lowercase hexadecimal digits in groups of 8-4-4-4-12.
pub fn format(RequestId(id): RequestId) -> String {
    let hex = format!("{id:032x}");
    [
        &hex[..8],
        &hex[8..12],
        &hex[12..16],
        &hex[16..20],
        &hex[20..],
    ]
    .join("-")
}
