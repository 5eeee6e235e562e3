//! RESP2 encoding and parsing. The balancer parses the commands of clients and encodes the replies
//! to them; towards caches it encodes commands and parses the replies.
//!
//! The parser works on the bytes received so far: `Ok(None)` means that the message is incomplete.
//! An error means that the framing is lost and the connection can't be used any more.

mod encoder;
mod parser;
mod skip;

pub use encoder::{write_bulk, write_command, write_error};
pub use parser::{
    parse_command, parse_long_value_header, parse_reply, parse_response, parse_response_tail,
};
pub use skip::CommandSkip;

use std::ops::Range;

/// Maximum length of the value of a write, in bytes, as the protocol defines it.
pub const VALUE_MAX: usize = 64 * 1024;
/// Maximum length of a value in a cache response, in bytes. Values over [`VALUE_MAX`] are streamed;
/// a response that announces a value over this limit is unreadable.
pub const RESPONSE_VALUE_MAX: usize = 4 << 20;
/// Maximum length of a complete command, in bytes.
pub const MESSAGE_MAX: usize = 2 * VALUE_MAX;

/// Reason why a message can't be parsed. The start of the next message is unknown from then on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RespError {
    /// A message or element begins with a byte that is not allowed there.
    #[error("Protocol error: unexpected '{}'", .0.escape_ascii())]
    UnexpectedByte(u8),
    /// A length is not a number, is negative and not an allowed null, or is not the required number
    /// of elements.
    #[error("Protocol error: invalid length")]
    InvalidLength,
    /// A line, value or array exceeds its maximum length.
    #[error("Protocol error: too long")]
    TooLong,
    /// A line or value does not end with `\r\n`.
    #[error("Protocol error: missing line end")]
    MissingLineEnd,
}

/// A parsed command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Command {
    /// Positions of the command's words in the input.
    pub words: Vec<Range<usize>>,
    /// Length of the complete command, in bytes.
    pub length: usize,
}

/// A parsed RESP reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Status line, such as `+OK`.
    Status(String),
    /// Error line, such as `-ERR ...`.
    Error(String),
    /// Integer, such as `:1`.
    Integer(i64),
    /// Bulk string (`$...`); `None` for null.
    Bulk(Option<Vec<u8>>),
    /// Array (`*...`); `None` for null.
    Array(Option<Vec<Reply>>),
}

/// A cache's response to a request.
#[derive(Debug, PartialEq, Eq)]
pub enum CacheResponse {
    /// The cache served the request.
    Served {
        /// Value of a read or receipt of a write.
        value: Vec<u8>,
        /// Cache status (`hit`, `miss` or `pending`), if the cache sent one.
        cache_status: Option<Vec<u8>>,
        /// Load report, if the cache sent one with valid framing.
        load_report: Option<Vec<u8>>,
    },
    /// The cache responded with an error line; the text follows the `-`.
    Error(String),
}

#[cfg(test)]
mod tests;
