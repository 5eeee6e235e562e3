//! RESP2, as both sides speak it: clients send commands and get replies; towards caches it is the
//! other way round.
//!
//! The parser works on what has arrived so far: `Ok(None)` means that more has to arrive, an error
//! that the framing is lost and the connection of no further use.

mod encoder;
mod parser;

pub use encoder::{write_bulk, write_command, write_error};
pub use parser::{
    parse_command, parse_long_value_header, parse_reply, parse_response, parse_response_tail,
};

use std::ops::Range;

/// The longest value of a write, by the protocol, in bytes.
pub const VALUE_MAX: usize = 64 * 1024;
/// The longest value taken from a cache, in bytes; one over [`VALUE_MAX`] is streamed. A response
/// that claims a longer value is unreadable.
pub const RESPONSE_VALUE_MAX: usize = 4 << 20;
/// The largest whole message, in bytes: no command or reply is longer.
pub const MESSAGE_MAX: usize = 2 * VALUE_MAX;

/// Why a message can't be parsed, so that the beginning of the next one is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RespError {
    /// A message begins with a byte that it can't begin with.
    #[error("Protocol error: unexpected '{}'", .0.escape_ascii())]
    UnexpectedByte(u8),
    /// A length is no number, or negative where it must not be.
    #[error("Protocol error: invalid length")]
    InvalidLength,
    /// A line, value or array is longer than allowed.
    #[error("Protocol error: too long")]
    TooLong,
    /// A line or value does not end as it must.
    #[error("Protocol error: missing line end")]
    MissingLineEnd,
}

/// A command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Command {
    /// The places of its words in the input.
    pub words: Vec<Range<usize>>,
    /// The length of the whole, in bytes.
    pub length: usize,
}

/// A reply.
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

/// A cache's response to a request.
#[derive(Debug, PartialEq, Eq)]
pub enum Answer {
    /// What it yields for the request.
    Served {
        /// The value or receipt.
        value: Vec<u8>,
        /// The cache status.
        note: Option<Vec<u8>>,
        /// The load report.
        load: Option<Vec<u8>>,
    },
    /// An error line.
    Error(String),
}

#[cfg(test)]
mod tests;
