//! RESP2, as both sides speak it: clients send commands and get replies, peers the other way round.
//!
//! Parsing works on what has come so far: `Ok(None)` means that more must come, an error that the framing is
//! lost and the connection of no further use.

use std::fmt;
use std::ops::Range;

/// The longest value, by the protocol.
pub const VALUE_MAX: usize = 64 * 1024;
/// The longest text line: a status, an error or a length.
const LINE_MAX: usize = 1024;
/// The most members of one array.
const ARRAY_MAX: usize = 16;
/// How deep arrays may lie in each other.
const DEPTH_MAX: usize = 3;
/// Bytes by which the largest whole message is known to be under way and no longer.
pub const MESSAGE_MAX: usize = 2 * VALUE_MAX;

/// Why a message can't be read, and so where the next one begins isn't known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RespError {
    /// A message begins with something else than it must.
    Start(u8),
    /// A length is no number, or negative where it must not be.
    Length,
    /// A line, value or array is longer than allowed.
    TooLong,
    /// A line or value does not end as it must.
    End,
}

impl fmt::Display for RespError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RespError::Start(byte) => write!(f, "Protocol error: unexpected '{}'", byte.escape_ascii()),
            RespError::Length => f.write_str("Protocol error: invalid length"),
            RespError::TooLong => f.write_str("Protocol error: too long"),
            RespError::End => f.write_str("Protocol error: missing line end"),
        }
    }
}

/// A reply; bulk strings lie in the buffer it was read from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// `+OK`
    Status(String),
    /// `-ERR ...`
    Error(String),
    /// `:1`
    Integer(i64),
    /// `$...`; null is `None`.
    Bulk(Option<Vec<u8>>),
    /// `*...`; null is `None`.
    Array(Option<Vec<Reply>>),
}

struct Reader<'a> {
    input: &'a [u8],
    at: usize,
}

/// Reads on, or tells the caller that more must come.
macro_rules! more {
    ($part:expr) => {
        match $part? {
            Some(part) => part,
            None => return Ok(None),
        }
    };
}

impl<'a> Reader<'a> {
    /// The rest of the line, without its end.
    fn line(&mut self) -> Result<Option<&'a [u8]>, RespError> {
        let rest = &self.input[self.at..];
        let Some(end) = rest.iter().take(LINE_MAX).position(|b| *b == b'\n') else {
            return if rest.len() >= LINE_MAX { Err(RespError::TooLong) } else { Ok(None) };
        };
        let line = rest[..end].strip_suffix(b"\r").ok_or(RespError::End)?;
        self.at += end + 1;
        Ok(Some(line))
    }

    fn number(&mut self) -> Result<Option<i64>, RespError> {
        let line = more!(self.line());
        let text = std::str::from_utf8(line).map_err(|_| RespError::Length)?;
        text.parse().map(Some).map_err(|_| RespError::Length)
    }

    fn start(&mut self) -> Option<u8> {
        let byte = self.input.get(self.at).copied();
        self.at += 1;
        byte
    }

    /// A length and that many bytes; `Some(None)` for null.
    fn bulk(&mut self) -> Result<Option<Option<Range<usize>>>, RespError> {
        let length = match more!(self.number()) {
            -1 => return Ok(Some(None)),
            n => usize::try_from(n).map_err(|_| RespError::Length)?,
        };
        if length > VALUE_MAX {
            return Err(RespError::TooLong);
        }
        let range = self.at..self.at + length;
        let Some(end) = self.input.get(range.end..range.end + 2) else { return Ok(None) };
        if end != b"\r\n" {
            return Err(RespError::End);
        }
        self.at = range.end + 2;
        Ok(Some(Some(range)))
    }

    fn count(&mut self) -> Result<Option<Option<usize>>, RespError> {
        match more!(self.number()) {
            -1 => Ok(Some(None)),
            n if n > ARRAY_MAX as i64 => Err(RespError::TooLong),
            n => usize::try_from(n).map(|n| Some(Some(n))).map_err(|_| RespError::Length),
        }
    }

    fn reply(&mut self, depth: usize) -> Result<Option<Reply>, RespError> {
        let Some(start) = self.start() else { return Ok(None) };
        let text = |line: &[u8]| String::from_utf8_lossy(line).into_owned();
        Ok(Some(match start {
            b'+' => Reply::Status(text(more!(self.line()))),
            b'-' => Reply::Error(text(more!(self.line()))),
            b':' => Reply::Integer(more!(self.number())),
            b'$' => Reply::Bulk(more!(self.bulk()).map(|range| self.input[range].to_vec())),
            b'*' if depth < DEPTH_MAX => match more!(self.count()) {
                None => Reply::Array(None),
                Some(count) => {
                    let mut members = Vec::with_capacity(count);
                    for _ in 0..count {
                        members.push(more!(self.reply(depth + 1)));
                    }
                    Reply::Array(Some(members))
                }
            },
            b'*' => return Err(RespError::TooLong),
            other => return Err(RespError::Start(other)),
        }))
    }
}

/// A command as the places of its words in the input, and the length of it all.
pub type Command = (Vec<Range<usize>>, usize);

/// Reads a command: an array of bulk strings. A null or empty array is a command without words.
pub fn read_command(input: &[u8]) -> Result<Option<Command>, RespError> {
    let mut reader = Reader { input, at: 0 };
    match reader.start() {
        None => return Ok(None),
        Some(b'*') => {}
        Some(other) => return Err(RespError::Start(other)),
    }
    let count = more!(reader.count()).unwrap_or(0);
    let mut words = Vec::with_capacity(count);
    for _ in 0..count {
        match reader.start() {
            None => return Ok(None),
            Some(b'$') => words.push(more!(reader.bulk()).ok_or(RespError::Length)?),
            Some(other) => return Err(RespError::Start(other)),
        }
    }
    Ok(Some((words, reader.at)))
}

/// Reads a reply; with it comes its length.
pub fn read_reply(input: &[u8]) -> Result<Option<(Reply, usize)>, RespError> {
    let mut reader = Reader { input, at: 0 };
    let reply = more!(reader.reply(0));
    Ok(Some((reply, reader.at)))
}

/// Writes a command.
pub fn write_command(words: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        write_bulk(&mut out, word);
    }
    out
}

/// Writes a bulk string.
pub fn write_bulk(out: &mut Vec<u8>, value: &[u8]) {
    out.extend_from_slice(format!("${}\r\n", value.len()).as_bytes());
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}

/// Writes an error; what would break the line is left out.
pub fn write_error(out: &mut Vec<u8>, text: &str) {
    out.push(b'-');
    out.extend(text.bytes().filter(|b| !b.is_ascii_control()));
    out.extend_from_slice(b"\r\n");
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_command_is_read_once_all_of_it_has_come() {
        let whole = write_command(&[b"C.GET", b"7f", b"\r\n$"]);
        for cut in 0..whole.len() {
            assert_eq!(read_command(&whole[..cut]), Ok(None), "after {cut} bytes");
        }
        let (words, length) = read_command(&whole).unwrap().unwrap();
        assert_eq!(length, whole.len());
        assert_eq!(
            words.iter().map(|w| &whole[w.clone()]).collect::<Vec<_>>(),
            [&b"C.GET"[..], b"7f", b"\r\n$"]
        );
    }

    #[test]
    fn a_reply_is_read_once_all_of_it_has_come() {
        let whole = b"*3\r\n$2\r\nab\r\n$-1\r\n*2\r\n:7\r\n-ERR failed\r\n";
        for cut in 0..whole.len() {
            assert_eq!(read_reply(&whole[..cut]), Ok(None), "after {cut} bytes");
        }
        let inner = Reply::Array(Some(vec![Reply::Integer(7), Reply::Error("ERR failed".into())]));
        let reply = Reply::Array(Some(vec![Reply::Bulk(Some(b"ab".to_vec())), Reply::Bulk(None), inner]));
        assert_eq!(read_reply(whole), Ok(Some((reply, whole.len()))));
    }

    #[test]
    fn lost_framing_is_told() {
        let long = vec![b'1'; LINE_MAX];
        let cases: [(&[u8], RespError); 8] = [
            (b"PING\r\n", RespError::Start(b'P')),
            (b"*1\r\n+PING\r\n", RespError::Start(b'+')),
            (b"*x\r\n", RespError::Length),
            (b"*-2\r\n", RespError::Length),
            (b"*99999999999\r\n", RespError::TooLong),
            (b"*1\r\n$65537\r\n", RespError::TooLong),
            (b"*1\r\n$-1\r\n", RespError::Length),
            (b"*1\r\n$1\r\nabc", RespError::End),
        ];
        for (input, error) in cases {
            assert_eq!(read_command(input), Err(error), "{}", input.escape_ascii());
        }
        assert_eq!(read_command(&[b"*", &long[..]].concat()), Err(RespError::TooLong));
        assert_eq!(read_reply(b"*1\r\n*1\r\n*1\r\n*1\r\n"), Err(RespError::TooLong));
    }
}
