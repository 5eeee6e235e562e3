//! Encoding of commands and replies.

/// Encodes a command as an array of bulk strings.
#[must_use]
pub fn write_command(words: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        write_bulk(&mut out, word);
    }
    out
}

/// Appends a bulk string to `out`.
pub fn write_bulk(out: &mut Vec<u8>, value: &[u8]) {
    out.extend_from_slice(format!("${}\r\n", value.len()).as_bytes());
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}

/// Appends an error line to `out`. Control characters in `text` are dropped, as they could end the
/// line.
pub fn write_error(out: &mut Vec<u8>, text: &str) {
    out.push(b'-');
    out.extend(text.bytes().filter(|b| !b.is_ascii_control()));
    out.extend_from_slice(b"\r\n");
}
