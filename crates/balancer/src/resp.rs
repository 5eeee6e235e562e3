//! RESP2, as both sides speak it: clients send commands and get replies, peers the other way round.
//!
//! Parsing works on what has come so far: `Ok(None)` means that more must come, an error that the framing is
//! lost and the connection of no further use.

use std::fmt;
use std::ops::Range;

/// The longest value, by the protocol.
pub const VALUE_MAX: usize = 64 * 1024;
/// The longest value taken from a peer, and passed on as it comes if it is over [`VALUE_MAX`]; what claims to be longer
/// is spoilt.
pub const RESPONSE_VALUE_MAX: usize = 4 << 20;
/// The longest text line: a status or an error.
const LINE_MAX: usize = 1024;
/// The longest number, with its sign.
const NUMBER_MAX: usize = 20;
/// The longest word of a command but for the value of a write, which is its last.
const WORD_MAX: usize = 4 * 1024;
/// Where the value stands in a command.
const VALUE_INDEX: usize = 4;
/// The members of an answer: value, note and load report.
const RESPONSE_MEMBERS: usize = 3;
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
    UnexpectedByte(u8),
    /// A length is no number, or negative where it must not be.
    InvalidLength,
    /// A line, value or array is longer than allowed.
    TooLong,
    /// A line or value does not end as it must.
    MissingLineEnd,
}

impl fmt::Display for RespError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RespError::UnexpectedByte(byte) => {
                write!(f, "Protocol error: unexpected '{}'", byte.escape_ascii())
            }
            RespError::InvalidLength => f.write_str("Protocol error: invalid length"),
            RespError::TooLong => f.write_str("Protocol error: too long"),
            RespError::MissingLineEnd => f.write_str("Protocol error: missing line end"),
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
            return if rest.len() >= LINE_MAX {
                Err(RespError::TooLong)
            } else {
                Ok(None)
            };
        };
        let line = rest[..end]
            .strip_suffix(b"\r")
            .ok_or(RespError::MissingLineEnd)?;
        self.at += end + 1;
        Ok(Some(line))
    }

    fn number(&mut self) -> Result<Option<i64>, RespError> {
        // Told by the first byte that is none of a number's: whoever sends such a line may never end it.
        let rest = &self.input[self.at..];
        let digits = rest
            .iter()
            .take_while(|b| b.is_ascii_digit() || **b == b'-')
            .count();
        if digits > NUMBER_MAX || rest.get(digits).is_some_and(|b| *b != b'\r') {
            return Err(RespError::InvalidLength);
        }
        let line = more!(self.line());
        let text = std::str::from_utf8(line).map_err(|_| RespError::InvalidLength)?;
        text.parse().map(Some).map_err(|_| RespError::InvalidLength)
    }

    fn start(&mut self) -> Option<u8> {
        let byte = self.input.get(self.at).copied();
        self.at += 1;
        byte
    }

    /// A length, at most `most`, and that many bytes; `Some(None)` for null.
    fn bulk(&mut self, most: usize) -> Result<Option<Option<Range<usize>>>, RespError> {
        let length = match more!(self.number()) {
            -1 => return Ok(Some(None)),
            n => usize::try_from(n).map_err(|_| RespError::InvalidLength)?,
        };
        if length > most {
            return Err(RespError::TooLong);
        }
        let range = self.at..self.at + length;
        let Some(end) = self.input.get(range.end..range.end + 2) else {
            return Ok(None);
        };
        if end != b"\r\n" {
            return Err(RespError::MissingLineEnd);
        }
        self.at = range.end + 2;
        Ok(Some(Some(range)))
    }

    /// A bulk string as a member of an array; `Some(None)` for null.
    fn member(&mut self, most: usize) -> Result<Option<Option<Vec<u8>>>, RespError> {
        match self.start() {
            None => Ok(None),
            Some(b'$') => Ok(self
                .bulk(most)?
                .map(|range| range.map(|range| self.input[range].to_vec()))),
            Some(other) => Err(RespError::UnexpectedByte(other)),
        }
    }

    fn count(&mut self) -> Result<Option<Option<usize>>, RespError> {
        match more!(self.number()) {
            -1 => Ok(Some(None)),
            n if n > ARRAY_MAX as i64 => Err(RespError::TooLong),
            n => usize::try_from(n)
                .map(|n| Some(Some(n)))
                .map_err(|_| RespError::InvalidLength),
        }
    }

    /// The rest of an answer behind its value: the note, and the report if it can be read.
    fn made(&mut self, value: Vec<u8>) -> Result<Option<(Answer, Option<usize>)>, RespError> {
        let note = more!(self.member(WORD_MAX));
        let load = match self.member(WORD_MAX) {
            Ok(Some(load)) => Ok(load),
            Ok(None) | Err(_) => Err(()),
        };
        let length = load.as_ref().ok().map(|_| self.at);
        let made = Answer::Served {
            value,
            note,
            load: load.unwrap_or_default(),
        };
        Ok(Some((made, length)))
    }

    fn reply(&mut self, depth: usize) -> Result<Option<Reply>, RespError> {
        let Some(start) = self.start() else {
            return Ok(None);
        };
        let text = |line: &[u8]| String::from_utf8_lossy(line).into_owned();
        Ok(Some(match start {
            b'+' => Reply::Status(text(more!(self.line()))),
            b'-' => Reply::Error(text(more!(self.line()))),
            b':' => Reply::Integer(more!(self.number())),
            b'$' => {
                Reply::Bulk(more!(self.bulk(VALUE_MAX)).map(|range| self.input[range].to_vec()))
            }
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
            other => return Err(RespError::UnexpectedByte(other)),
        }))
    }
}

/// A command as the places of its words in the input, and the length of it all.
pub type Command = (Vec<Range<usize>>, usize);

/// Reads a command: an array of bulk strings. A null or empty array is a command without words.
pub fn parse_command(input: &[u8]) -> Result<Option<Command>, RespError> {
    let mut reader = Reader { input, at: 0 };
    match reader.start() {
        None => return Ok(None),
        Some(b'*') => {}
        Some(other) => return Err(RespError::UnexpectedByte(other)),
    }
    let count = more!(reader.count()).unwrap_or(0);
    let mut words = Vec::with_capacity(count);
    for place in 0..count {
        match reader.start() {
            None => return Ok(None),
            Some(b'$') => {
                let most = if place == VALUE_INDEX {
                    VALUE_MAX
                } else {
                    WORD_MAX
                };
                words.push(more!(reader.bulk(most)).ok_or(RespError::InvalidLength)?);
            }
            Some(other) => return Err(RespError::UnexpectedByte(other)),
        }
    }
    Ok(Some((words, reader.at)))
}

/// What a peer answers to a request.
#[derive(Debug, PartialEq, Eq)]
pub enum Answer {
    /// What it made for the request.
    Served {
        /// The value or receipt.
        value: Vec<u8>,
        /// How it went.
        note: Option<Vec<u8>>,
        /// The load report.
        load: Option<Vec<u8>>,
    },
    /// An error line.
    Error(String),
}

/// Reads a peer's answer to a request: three members in an array, or an error. With it comes its length, or none if
/// the connection is of no further use. Whatever can't become such an answer is told at the first byte that
/// shows it: what a spoilt answer lacks may never come. A value is good without the report behind it.
pub fn parse_response(input: &[u8]) -> Result<Option<(Answer, Option<usize>)>, RespError> {
    let mut reader = Reader { input, at: 0 };
    match reader.start() {
        None => return Ok(None),
        Some(b'*') => {}
        Some(b'-') => {
            let rest = &input[1..];
            let text = rest
                .split(|b| matches!(b, b'\r' | b'\n'))
                .next()
                .unwrap_or_default();
            if !text.iter().all(|b| (b' '..=b'~').contains(b)) {
                return Err(RespError::MissingLineEnd);
            }
            let text = String::from_utf8_lossy(more!(reader.line())).into_owned();
            return Ok(Some((Answer::Error(text), Some(reader.at))));
        }
        Some(other) => return Err(RespError::UnexpectedByte(other)),
    }
    if more!(reader.count()) != Some(RESPONSE_MEMBERS) {
        return Err(RespError::InvalidLength);
    }
    let value = more!(reader.member(RESPONSE_VALUE_MAX)).ok_or(RespError::InvalidLength)?;
    reader.made(value)
}

/// Where the value of an answer begins and how long it says it is, once that much has come.
pub fn parse_long_value_header(input: &[u8]) -> Option<(usize, usize)> {
    let mut reader = Reader { input, at: 0 };
    let array = reader.start()? == b'*' && reader.count() == Ok(Some(Some(RESPONSE_MEMBERS)));
    if !array || reader.start()? != b'$' {
        return None;
    }
    let length = reader.number().ok()??;
    Some((reader.at, usize::try_from(length).ok()?))
}

/// Reads what stands behind a value that was passed on as it came, from its line end on.
pub fn parse_response_tail(input: &[u8]) -> Result<Option<(Answer, Option<usize>)>, RespError> {
    let end = b"\r\n";
    let come = input.len().min(end.len());
    if input[..come] != end[..come] {
        return Err(RespError::MissingLineEnd);
    }
    if come < end.len() {
        return Ok(None);
    }
    Reader {
        input,
        at: end.len(),
    }
    .made(Vec::new())
}

/// Reads a reply; with it comes its length.
pub fn parse_reply(input: &[u8]) -> Result<Option<(Reply, usize)>, RespError> {
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
            assert_eq!(parse_command(&whole[..cut]), Ok(None), "after {cut} bytes");
        }
        let (words, length) = parse_command(&whole).unwrap().unwrap();
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
            assert_eq!(parse_reply(&whole[..cut]), Ok(None), "after {cut} bytes");
        }
        let inner = Reply::Array(Some(vec![
            Reply::Integer(7),
            Reply::Error("ERR failed".into()),
        ]));
        let reply = Reply::Array(Some(vec![
            Reply::Bulk(Some(b"ab".to_vec())),
            Reply::Bulk(None),
            inner,
        ]));
        assert_eq!(parse_reply(whole), Ok(Some((reply, whole.len()))));
    }

    #[test]
    fn an_answer_that_can_not_be_one_is_told_before_it_ends() {
        let spoilt: [&[u8]; 12] = [
            b"*3\r\n*3",
            b"*1",
            b"*2\r\n",
            b"*3\r\n$-1\r\n",
            b"*3\r\n$-7\r\n",
            b"*3\r\n$3000000000\r\n",
            b"*3\r\n$4x",
            b"*3\r\n$4\r\nabcdef",
            b"*3\r\n$1\r\nv\r\n+",
            b"-ERR\xff",
            b":5",
            b"+O",
        ];
        for input in spoilt {
            // An array of another size is told with its line.
            let told = parse_response(input).is_err()
                || parse_response(&[input, b"\r\n"].concat()).is_err();
            assert!(told, "{}", input.escape_ascii());
        }
        let made = |load: Option<&[u8]>| {
            let load = load.map(<[u8]>::to_vec);
            Answer::Served {
                value: b"v".to_vec(),
                note: Some(b"hit".to_vec()),
                load,
            }
        };
        let head = b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n";
        type Case<'a> = (&'a [u8], Option<&'a [u8]>, bool);
        let cases: [Case; 5] = [
            (b"$-1\r\n", None, true),
            (b"$3\r\nx=1\r\n", Some(b"x=1"), true),
            (b"$3\r\nx=", None, false),
            (b"!\x00", None, false),
            (b"", None, false),
        ];
        for (tail, load, useful) in cases {
            let (answer, length) = parse_response(&[head, tail].concat()).unwrap().unwrap();
            assert_eq!(
                (answer, length),
                (made(load), useful.then_some(head.len() + tail.len()))
            );
        }
        assert_eq!(parse_response(&head[..head.len() - 1]), Ok(None));
    }

    #[test]
    fn lost_framing_is_told() {
        let long = vec![b'1'; LINE_MAX];
        let cases: [(&[u8], RespError); 8] = [
            (b"PING\r\n", RespError::UnexpectedByte(b'P')),
            (b"*1\r\n+PING\r\n", RespError::UnexpectedByte(b'+')),
            (b"*x\r\n", RespError::InvalidLength),
            (b"*-2\r\n", RespError::InvalidLength),
            (b"*99999999999\r\n", RespError::TooLong),
            (b"*1\r\n$4097\r\n", RespError::TooLong),
            (b"*1\r\n$-1\r\n", RespError::InvalidLength),
            (b"*1\r\n$1\r\nabc", RespError::MissingLineEnd),
        ];
        for (input, error) in cases {
            assert_eq!(parse_command(input), Err(error), "{}", input.escape_ascii());
        }
        assert_eq!(
            parse_command(&[b"*", &long[..]].concat()),
            Err(RespError::InvalidLength)
        );
        assert_eq!(
            parse_reply(b"*1\r\n*1\r\n*1\r\n*1\r\n"),
            Err(RespError::TooLong)
        );
    }
}
