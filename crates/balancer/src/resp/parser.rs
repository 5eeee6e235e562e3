//! The incremental parser.

use super::{Answer, Command, RESPONSE_VALUE_MAX, Reply, RespError, VALUE_MAX};
use std::ops::Range;

/// The longest text line: a status or an error.
pub(super) const LINE_MAX: usize = 1024;
/// The longest number, with its sign.
const NUMBER_MAX: usize = 20;
/// The longest word of a command but for the value of a write, which is its last.
const WORD_MAX: usize = 4 * 1024;
/// The index of the value among the words of a command.
const VALUE_INDEX: usize = 4;
/// The members of a response: value, cache status and load report.
const RESPONSE_MEMBERS: usize = 3;
/// The most members of an array.
const ARRAY_MAX: usize = 16;
/// How deep arrays may be nested.
const DEPTH_MAX: usize = 3;

/// Why parsing stops before the end of a message.
#[derive(Debug, PartialEq, Eq)]
enum Stop {
    /// More has to arrive.
    Incomplete,
    /// The message is invalid.
    Invalid(RespError),
}

impl From<RespError> for Stop {
    fn from(error: RespError) -> Self {
        Stop::Invalid(error)
    }
}

type Parsed<T> = Result<T, Stop>;

/// `None` for an incomplete message.
fn completed<T>(parsed: Parsed<T>) -> Result<Option<T>, RespError> {
    match parsed {
        Ok(value) => Ok(Some(value)),
        Err(Stop::Incomplete) => Ok(None),
        Err(Stop::Invalid(error)) => Err(error),
    }
}

struct Parser<'a> {
    input: &'a [u8],
    position: usize,
}

impl<'a> Parser<'a> {
    fn new(input: &'a [u8]) -> Self {
        Parser { input, position: 0 }
    }

    /// The next byte.
    fn byte(&mut self) -> Parsed<u8> {
        let byte = self.input.get(self.position).copied();
        self.position += 1;
        byte.ok_or(Stop::Incomplete)
    }

    /// Skips a byte that has to be this one.
    fn expect(&mut self, expected: u8) -> Parsed<()> {
        match self.byte()? {
            byte if byte == expected => Ok(()),
            other => Err(RespError::UnexpectedByte(other).into()),
        }
    }

    /// The rest of the line, without its end.
    fn line(&mut self) -> Parsed<&'a [u8]> {
        let rest = &self.input[self.position..];
        let Some(end) = rest.iter().take(LINE_MAX).position(|b| *b == b'\n') else {
            return Err(if rest.len() >= LINE_MAX {
                RespError::TooLong.into()
            } else {
                Stop::Incomplete
            });
        };
        let line = rest[..end]
            .strip_suffix(b"\r")
            .ok_or(RespError::MissingLineEnd)?;
        self.position += end + 1;
        Ok(line)
    }

    fn text(&mut self) -> Parsed<String> {
        Ok(String::from_utf8_lossy(self.line()?).into_owned())
    }

    fn number(&mut self) -> Parsed<i64> {
        // Decided by the first byte that can't be a number's: such a line may never end.
        let rest = &self.input[self.position..];
        let digits = rest
            .iter()
            .take_while(|b| b.is_ascii_digit() || **b == b'-')
            .count();
        if digits > NUMBER_MAX || rest.get(digits).is_some_and(|b| *b != b'\r') {
            return Err(RespError::InvalidLength.into());
        }
        let line = self.line()?;
        let text = std::str::from_utf8(line).map_err(|_| RespError::InvalidLength)?;
        Ok(text.parse().map_err(|_| RespError::InvalidLength)?)
    }

    /// A length of at most `length_max`, and the place of that many bytes; `None` for null.
    fn bulk(&mut self, length_max: usize) -> Parsed<Option<Range<usize>>> {
        let length = match self.number()? {
            -1 => return Ok(None),
            n => usize::try_from(n).map_err(|_| RespError::InvalidLength)?,
        };
        if length > length_max {
            return Err(RespError::TooLong.into());
        }
        let range = self.position..self.position + length;
        let end = self.input.get(range.end..range.end + 2);
        if end.ok_or(Stop::Incomplete)? != b"\r\n" {
            return Err(RespError::MissingLineEnd.into());
        }
        self.position = range.end + 2;
        Ok(Some(range))
    }

    /// A bulk string as a member of an array; `None` for null.
    fn member(&mut self, length_max: usize) -> Parsed<Option<Vec<u8>>> {
        self.expect(b'$')?;
        let range = self.bulk(length_max)?;
        Ok(range.map(|range| self.input[range].to_vec()))
    }

    /// The length of an array; `None` for null.
    fn count(&mut self) -> Parsed<Option<usize>> {
        match self.number()? {
            -1 => Ok(None),
            n if n > ARRAY_MAX as i64 => Err(RespError::TooLong.into()),
            n => Ok(Some(
                usize::try_from(n).map_err(|_| RespError::InvalidLength)?,
            )),
        }
    }

    fn command(&mut self) -> Parsed<Command> {
        self.expect(b'*')?;
        let count = self.count()?.unwrap_or(0);
        let mut words = Vec::with_capacity(count);
        for index in 0..count {
            self.expect(b'$')?;
            let length_max = if index == VALUE_INDEX {
                VALUE_MAX
            } else {
                WORD_MAX
            };
            words.push(self.bulk(length_max)?.ok_or(RespError::InvalidLength)?);
        }
        Ok(Command {
            words,
            length: self.position,
        })
    }

    fn response(&mut self) -> Parsed<(Answer, Option<usize>)> {
        match self.byte()? {
            b'*' => {}
            b'-' => return self.error_response(),
            other => return Err(RespError::UnexpectedByte(other).into()),
        }
        if self.count()? != Some(RESPONSE_MEMBERS) {
            return Err(RespError::InvalidLength.into());
        }
        let value = self
            .member(RESPONSE_VALUE_MAX)?
            .ok_or(RespError::InvalidLength)?;
        self.response_tail(value)
    }

    fn error_response(&mut self) -> Parsed<(Answer, Option<usize>)> {
        let rest = &self.input[self.position..];
        let text = rest
            .split(|b| matches!(b, b'\r' | b'\n'))
            .next()
            .unwrap_or_default();
        if !text.iter().all(|b| (b' '..=b'~').contains(b)) {
            return Err(RespError::MissingLineEnd.into());
        }
        let text = self.text()?;
        Ok((Answer::Error(text), Some(self.position)))
    }

    /// What follows the value of a response: the cache status, and the load report if it is valid.
    fn response_tail(&mut self, value: Vec<u8>) -> Parsed<(Answer, Option<usize>)> {
        let note = self.member(WORD_MAX)?;
        let load = self.member(WORD_MAX);
        let length = load.is_ok().then_some(self.position);
        let load = load.ok().flatten();
        Ok((Answer::Served { value, note, load }, length))
    }

    fn reply(&mut self, depth: usize) -> Parsed<Reply> {
        Ok(match self.byte()? {
            b'+' => Reply::Status(self.text()?),
            b'-' => Reply::Error(self.text()?),
            b':' => Reply::Integer(self.number()?),
            b'$' => {
                let range = self.bulk(VALUE_MAX)?;
                Reply::Bulk(range.map(|range| self.input[range].to_vec()))
            }
            b'*' if depth < DEPTH_MAX => Reply::Array(self.members(depth + 1)?),
            b'*' => return Err(RespError::TooLong.into()),
            other => return Err(RespError::UnexpectedByte(other).into()),
        })
    }

    fn members(&mut self, depth: usize) -> Parsed<Option<Vec<Reply>>> {
        let Some(count) = self.count()? else {
            return Ok(None);
        };
        let mut members = Vec::with_capacity(count);
        for _ in 0..count {
            members.push(self.reply(depth)?);
        }
        Ok(Some(members))
    }
}

/// Parses a command: an array of bulk strings. A null or empty array is a command without words.
///
/// # Errors
/// If the input is no command.
pub fn parse_command(input: &[u8]) -> Result<Option<Command>, RespError> {
    completed(Parser::new(input).command())
}

/// Parses a cache's response to a request: three members in an array, or an error. With it comes
/// its length, or none if the connection is of no further use. An invalid response is detected at
/// the first byte that shows it, as the rest may never arrive. A value is good without the report
/// behind it.
///
/// # Errors
/// If the input is no response.
pub fn parse_response(input: &[u8]) -> Result<Option<(Answer, Option<usize>)>, RespError> {
    completed(Parser::new(input).response())
}

/// Where the value of a response begins and how long it claims to be, once that much has arrived.
#[must_use]
pub fn parse_long_value_header(input: &[u8]) -> Option<(usize, usize)> {
    let mut parser = Parser::new(input);
    parser.expect(b'*').ok()?;
    if parser.count() != Ok(Some(RESPONSE_MEMBERS)) {
        return None;
    }
    parser.expect(b'$').ok()?;
    let length = parser.number().ok()?;
    Some((parser.position, usize::try_from(length).ok()?))
}

/// Parses what follows a value that was streamed, from the end of its line on.
///
/// # Errors
/// If that is not the rest of a response.
pub fn parse_response_tail(input: &[u8]) -> Result<Option<(Answer, Option<usize>)>, RespError> {
    let end = b"\r\n";
    let arrived = input.len().min(end.len());
    if input[..arrived] != end[..arrived] {
        return Err(RespError::MissingLineEnd);
    }
    if arrived < end.len() {
        return Ok(None);
    }
    let mut parser = Parser {
        input,
        position: end.len(),
    };
    completed(parser.response_tail(Vec::new()))
}

/// Parses a reply; with it comes its length.
///
/// # Errors
/// If the input is no reply.
pub fn parse_reply(input: &[u8]) -> Result<Option<(Reply, usize)>, RespError> {
    let mut parser = Parser::new(input);
    let reply = completed(parser.reply(0))?;
    Ok(reply.map(|reply| (reply, parser.position)))
}
