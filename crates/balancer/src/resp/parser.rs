//! Incremental RESP parser.

use super::{CacheResponse, Command, RESPONSE_VALUE_MAX, Reply, RespError, VALUE_MAX};
use std::ops::Range;

/// Maximum length of a status or error line, in bytes.
pub(super) const LINE_MAX: usize = 1024;
/// Maximum number of digits of a number, including its sign.
const NUMBER_MAX: usize = 20;
/// Maximum length of a word of a command, in bytes, except for the value of a write.
const WORD_MAX: usize = 4 * 1024;
/// Index of the value of a write among the words of its command.
const VALUE_INDEX: usize = 4;
/// Number of elements in a cache response: value, cache status and load report.
const RESPONSE_ELEMENTS: usize = 3;
/// Maximum number of elements in an array.
const ARRAY_MAX: usize = 16;
/// Maximum nesting depth of arrays.
const DEPTH_MAX: usize = 3;

/// Reason why parsing ends before the end of a message.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Interruption {
    /// More input is needed.
    Incomplete,
    /// The message is invalid.
    Invalid(RespError),
}

impl From<RespError> for Interruption {
    fn from(error: RespError) -> Self {
        Interruption::Invalid(error)
    }
}

pub(super) type Parsed<T> = Result<T, Interruption>;

/// Converts the result of the parser to that of the module: an incomplete message becomes `None`.
pub(super) fn incomplete_as_none<T>(parsed: Parsed<T>) -> Result<Option<T>, RespError> {
    match parsed {
        Ok(value) => Ok(Some(value)),
        Err(Interruption::Incomplete) => Ok(None),
        Err(Interruption::Invalid(error)) => Err(error),
    }
}

/// Parser of the bytes received so far.
pub(super) struct Parser<'a> {
    input: &'a [u8],
    position: usize,
}

impl<'a> Parser<'a> {
    pub(super) fn new(input: &'a [u8]) -> Self {
        Parser { input, position: 0 }
    }

    /// Returns the number of bytes parsed so far.
    pub(super) fn position(&self) -> usize {
        self.position
    }

    /// Takes the next byte.
    fn byte(&mut self) -> Parsed<u8> {
        let byte = self.input.get(self.position).copied();
        self.position += 1;
        byte.ok_or(Interruption::Incomplete)
    }

    /// Skips the next byte, which must be `expected`.
    fn expect(&mut self, expected: u8) -> Parsed<()> {
        match self.byte()? {
            byte if byte == expected => Ok(()),
            other => Err(RespError::UnexpectedByte(other).into()),
        }
    }

    /// Takes the remaining bytes of the line, without the line end.
    fn line(&mut self) -> Parsed<&'a [u8]> {
        let remaining = &self.input[self.position..];
        let Some(end) = remaining.iter().take(LINE_MAX).position(|b| *b == b'\n') else {
            return Err(if remaining.len() >= LINE_MAX {
                RespError::TooLong.into()
            } else {
                Interruption::Incomplete
            });
        };
        let line = remaining[..end]
            .strip_suffix(b"\r")
            .ok_or(RespError::MissingLineEnd)?;
        self.position += end + 1;
        Ok(line)
    }

    fn text(&mut self) -> Parsed<String> {
        Ok(String::from_utf8_lossy(self.line()?).into_owned())
    }

    fn number(&mut self) -> Parsed<i64> {
        // Rejects the line at its first byte that can't be part of a number, as the end of the line
        // may never arrive.
        let remaining = &self.input[self.position..];
        let digits = remaining
            .iter()
            .take_while(|b| b.is_ascii_digit() || **b == b'-')
            .count();
        if digits > NUMBER_MAX || remaining.get(digits).is_some_and(|b| *b != b'\r') {
            return Err(RespError::InvalidLength.into());
        }
        let line = self.line()?;
        let text = std::str::from_utf8(line).map_err(|_| RespError::InvalidLength)?;
        Ok(text.parse().map_err(|_| RespError::InvalidLength)?)
    }

    /// Takes a length of at most `length_max`; `None` for null.
    fn bulk_length(&mut self, length_max: usize) -> Parsed<Option<usize>> {
        let length = match self.number()? {
            -1 => return Ok(None),
            n => usize::try_from(n).map_err(|_| RespError::InvalidLength)?,
        };
        if length > length_max {
            return Err(RespError::TooLong.into());
        }
        Ok(Some(length))
    }

    /// Takes a length of at most `length_max` and that many bytes. Returns the position of the
    /// bytes, or `None` for null.
    fn bulk(&mut self, length_max: usize) -> Parsed<Option<Range<usize>>> {
        let Some(length) = self.bulk_length(length_max)? else {
            return Ok(None);
        };
        let range = self.position..self.position + length;
        let end = self.input.get(range.end..range.end + 2);
        if end.ok_or(Interruption::Incomplete)? != b"\r\n" {
            return Err(RespError::MissingLineEnd.into());
        }
        self.position = range.end + 2;
        Ok(Some(range))
    }

    /// Takes a bulk string, with its `$`, as an element of an array; `None` for null.
    fn array_element(&mut self, length_max: usize) -> Parsed<Option<Vec<u8>>> {
        self.expect(b'$')?;
        let range = self.bulk(length_max)?;
        Ok(range.map(|range| self.input[range].to_vec()))
    }

    /// Takes the length of an array; `None` for null.
    fn array_length(&mut self) -> Parsed<Option<usize>> {
        match self.number()? {
            -1 => Ok(None),
            n if n > ARRAY_MAX as i64 => Err(RespError::TooLong.into()),
            n => Ok(Some(
                usize::try_from(n).map_err(|_| RespError::InvalidLength)?,
            )),
        }
    }

    /// Takes the header of a command. Returns the number of its words.
    pub(super) fn command_header(&mut self) -> Parsed<usize> {
        self.expect(b'*')?;
        Ok(self.array_length()?.unwrap_or(0))
    }

    /// Takes the header of a word of a command. Returns the length of the word.
    pub(super) fn word_header(&mut self, length_max: usize) -> Parsed<usize> {
        self.expect(b'$')?;
        let length = self.bulk_length(length_max)?;
        Ok(length.ok_or(RespError::InvalidLength)?)
    }

    fn command(&mut self) -> Parsed<Command> {
        let count = self.command_header()?;
        let mut words = Vec::with_capacity(count);
        for index in 0..count {
            self.expect(b'$')?;
            let word = self.bulk(word_length_max(index))?;
            words.push(word.ok_or(RespError::InvalidLength)?);
        }
        Ok(Command {
            words,
            length: self.position,
        })
    }

    fn response(&mut self) -> Parsed<(CacheResponse, Option<usize>)> {
        match self.byte()? {
            b'*' => {}
            b'-' => return self.error_response(),
            other => return Err(RespError::UnexpectedByte(other).into()),
        }
        if self.array_length()? != Some(RESPONSE_ELEMENTS) {
            return Err(RespError::InvalidLength.into());
        }
        let value = self
            .array_element(RESPONSE_VALUE_MAX)?
            .ok_or(RespError::InvalidLength)?;
        self.response_tail(value)
    }

    fn error_response(&mut self) -> Parsed<(CacheResponse, Option<usize>)> {
        let remaining = &self.input[self.position..];
        let text = remaining
            .split(|b| matches!(b, b'\r' | b'\n'))
            .next()
            .unwrap_or_default();
        if !text.iter().all(|b| (b' '..=b'~').contains(b)) {
            return Err(RespError::MissingLineEnd.into());
        }
        let text = self.text()?;
        Ok((CacheResponse::Error(text), Some(self.position)))
    }

    /// Parses the elements after the value of a response: the cache status and the load report. A
    /// load report that is invalid or incomplete is dropped; the length of the response is unknown
    /// in this case.
    fn response_tail(&mut self, value: Vec<u8>) -> Parsed<(CacheResponse, Option<usize>)> {
        let cache_status = self.array_element(WORD_MAX)?;
        let load_report = self.array_element(WORD_MAX);
        let length = load_report.is_ok().then_some(self.position);
        let load_report = load_report.ok().flatten();
        let response = CacheResponse::Served {
            value,
            cache_status,
            load_report,
        };
        Ok((response, length))
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
            b'*' if depth < DEPTH_MAX => Reply::Array(self.elements(depth + 1)?),
            b'*' => return Err(RespError::TooLong.into()),
            other => return Err(RespError::UnexpectedByte(other).into()),
        })
    }

    fn elements(&mut self, depth: usize) -> Parsed<Option<Vec<Reply>>> {
        let Some(count) = self.array_length()? else {
            return Ok(None);
        };
        let mut elements = Vec::with_capacity(count);
        for _ in 0..count {
            elements.push(self.reply(depth)?);
        }
        Ok(Some(elements))
    }
}

/// Returns the maximum length in bytes of the word of a command at this index.
pub(super) fn word_length_max(index: usize) -> usize {
    if index == VALUE_INDEX {
        VALUE_MAX
    } else {
        WORD_MAX
    }
}

/// Parses a command: an array of bulk strings. A null or empty array is a command without words.
///
/// # Errors
/// If the input is not a valid command.
pub fn parse_command(input: &[u8]) -> Result<Option<Command>, RespError> {
    incomplete_as_none(Parser::new(input).command())
}

/// Parses a cache's response to a request: an array of three elements, or an error line. Returns
/// the response and its length. The length is `None` if the load report is invalid or incomplete:
/// the value is valid without the report, but the connection can't be used any more. An invalid
/// response is rejected at its first wrong byte, as the remaining bytes may never arrive.
///
/// # Errors
/// If the input is not a valid response.
pub fn parse_response(input: &[u8]) -> Result<Option<(CacheResponse, Option<usize>)>, RespError> {
    incomplete_as_none(Parser::new(input).response())
}

/// Returns the position of the value in a response and the value's announced length, once the
/// header of the value has arrived.
#[must_use]
pub fn parse_long_value_header(input: &[u8]) -> Option<(usize, usize)> {
    let mut parser = Parser::new(input);
    parser.expect(b'*').ok()?;
    if parser.array_length() != Ok(Some(RESPONSE_ELEMENTS)) {
        return None;
    }
    parser.expect(b'$').ok()?;
    let length = parser.number().ok()?;
    Some((parser.position, usize::try_from(length).ok()?))
}

/// Parses the part of a response after a streamed value, beginning with the value's line end. The
/// value in the returned response is empty, and the length is that of this part, as in
/// [`parse_response`].
///
/// # Errors
/// If the input is not the end of a valid response.
pub fn parse_response_tail(
    input: &[u8],
) -> Result<Option<(CacheResponse, Option<usize>)>, RespError> {
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
    incomplete_as_none(parser.response_tail(Vec::new()))
}

/// Parses a reply. Returns the reply and its length in bytes.
///
/// # Errors
/// If the input is not a valid reply.
pub fn parse_reply(input: &[u8]) -> Result<Option<(Reply, usize)>, RespError> {
    let mut parser = Parser::new(input);
    let reply = incomplete_as_none(parser.reply(0))?;
    Ok(reply.map(|reply| (reply, parser.position)))
}
