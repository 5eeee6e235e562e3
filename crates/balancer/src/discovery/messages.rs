//! Messages of discovery. Finds the end of a message in text that arrives in pieces, and parses the
//! endpoints of a message a few at a time, so that a list with thousands of endpoints does not
//! delay other work. The module performs no I/O.

use super::endpoint_list::{ListedEndpoint, REMOVED};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

/// Reason why a message is invalid.
#[derive(Debug, thiserror::Error)]
pub(super) enum MessageError {
    #[error("a message begins with \"{}\", expected \"{{\"", .0.escape_ascii())]
    Start(u8),
    #[error("an empty line is within a message")]
    EmptyLine,
    #[error("a message exceeds {limit} bytes")]
    TooLong { limit: usize },
    #[error("{0}")]
    Key(#[from] serde_path_to_error::Error<serde_json::Error>),
    #[error("hosts[{index}].{source}")]
    Endpoint {
        index: usize,
        source: serde_path_to_error::Error<serde_json::Error>,
    },
}

/// Finds the ends of messages. Examines each byte once, regardless of how many pieces a message
/// arrives in.
#[derive(Debug, Default)]
pub(super) struct MessageScanner {
    /// Number of bytes of the text that were examined.
    scanned: usize,
    /// Position at which the current message begins.
    start: usize,
    /// Number of open braces and brackets.
    depth: usize,
    in_string: bool,
    escaped: bool,
    /// Whether the last byte was a line end.
    line_ended: bool,
}

impl MessageScanner {
    /// Returns the position of the next complete message in `text`, or `None` if its end has not
    /// arrived. After a message, the caller has to remove the text up to its end before the next
    /// call.
    ///
    /// # Errors
    ///
    /// Returns an error if a message does not begin with a brace or contains an empty line.
    pub(super) fn next(&mut self, text: &[u8]) -> Result<Option<Range<usize>>, MessageError> {
        while let Some(byte) = text.get(self.scanned) {
            self.scanned += 1;
            if self.ends_message(*byte)? {
                let message = self.start..self.scanned;
                *self = MessageScanner::default();
                return Ok(Some(message));
            }
        }
        Ok(None)
    }

    /// Returns whether no message has begun.
    pub(super) fn is_between_messages(&self) -> bool {
        self.depth == 0
    }

    /// Processes a byte and returns whether it ends the message.
    fn ends_message(&mut self, byte: u8) -> Result<bool, MessageError> {
        let line_ended = std::mem::replace(&mut self.line_ended, byte == b'\n');
        if self.depth == 0 {
            return self.begin_message(byte).map(|()| false);
        }
        if line_ended && byte == b'\n' {
            return Err(MessageError::EmptyLine);
        }
        match byte {
            _ if self.escaped => self.escaped = false,
            b'\\' if self.in_string => self.escaped = true,
            b'"' => self.in_string = !self.in_string,
            _ if self.in_string => {}
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth -= 1,
            _ => {}
        }
        Ok(self.depth == 0)
    }

    /// Begins a message at an opening brace. Whitespace between messages is skipped.
    fn begin_message(&mut self, byte: u8) -> Result<(), MessageError> {
        match byte {
            b'{' => {
                (self.start, self.depth) = (self.scanned - 1, 1);
                Ok(())
            }
            _ if byte.is_ascii_whitespace() => Ok(()),
            _ => Err(MessageError::Start(byte)),
        }
    }
}

/// A message whose endpoints are not parsed yet.
#[derive(Deserialize)]
struct MessageHeader<'a> {
    #[serde(rename = "seq")]
    version: u64,
    #[serde(default, rename = "whole")]
    is_full: bool,
    #[serde(default, borrow, rename = "hosts")]
    endpoints: Vec<&'a RawValue>,
}

/// A part of the endpoints of a message.
#[derive(Debug)]
pub struct ListPart {
    /// Version of the message.
    pub version: u64,
    /// Whether the message is a full list.
    pub is_full: bool,
    /// Endpoints of this part. At the end of a full list, the listed endpoints that it does not
    /// contain follow, with the state `terminated`.
    pub endpoints: Vec<ListedEndpoint>,
    /// Whether this is the last part of the message.
    pub is_last: bool,
}

/// A message whose endpoints are parsed and taken a few at a time.
#[derive(Debug)]
pub(super) struct Message {
    pub(super) version: u64,
    pub(super) is_full: bool,
    text: Vec<u8>,
    /// Positions of the remaining endpoints in the text.
    remaining: std::vec::IntoIter<Range<usize>>,
    /// Number of endpoints taken so far.
    taken: usize,
    /// Names of the endpoints taken so far, if the message is a full list.
    names: BTreeSet<String>,
    /// Listed endpoints that a full list does not contain; set when all its endpoints are taken.
    missing: Option<std::vec::IntoIter<ListedEndpoint>>,
}

impl Message {
    /// Parses a message except for its endpoints.
    ///
    /// # Errors
    ///
    /// Returns an error that names the key if a value is invalid.
    pub(super) fn read(text: Vec<u8>) -> Result<Self, MessageError> {
        let mut json = serde_json::Deserializer::from_slice(&text);
        let header: MessageHeader = serde_path_to_error::deserialize(&mut json)?;
        let range = |endpoint: &&RawValue| {
            let start = endpoint.get().as_ptr() as usize - text.as_ptr() as usize;
            start..start + endpoint.get().len()
        };
        let ranges: Vec<Range<usize>> = header.endpoints.iter().map(range).collect();
        let (version, is_full) = (header.version, header.is_full);
        Ok(Message {
            version,
            is_full,
            text,
            remaining: ranges.into_iter(),
            taken: 0,
            names: BTreeSet::new(),
            missing: None,
        })
    }

    /// Parses and takes at most `limit` of the remaining endpoints. At the end of a full list, the
    /// endpoints in `listed` that it does not contain follow as removed.
    ///
    /// # Errors
    ///
    /// Returns an error that names the endpoint and key if a value is invalid.
    pub(super) fn take(
        &mut self,
        limit: usize,
        listed: &BTreeMap<String, ListedEndpoint>,
    ) -> Result<ListPart, MessageError> {
        let mut endpoints = Vec::new();
        for range in self.remaining.by_ref().take(limit) {
            let mut json = serde_json::Deserializer::from_slice(&self.text[range]);
            let index = self.taken;
            let endpoint: ListedEndpoint = serde_path_to_error::deserialize(&mut json)
                .map_err(|source| MessageError::Endpoint { index, source })?;
            self.taken += 1;
            if self.is_full {
                self.names.insert(endpoint.name.clone());
            }
            endpoints.push(endpoint);
        }
        if self.is_full && self.remaining.len() == 0 {
            let names = &self.names;
            let missing = self
                .missing
                .get_or_insert_with(|| missing_as_removed(listed, names).into_iter());
            let capacity = limit - endpoints.len();
            endpoints.extend(missing.by_ref().take(capacity));
        }
        let missing = self.missing.as_ref().map_or(0, ExactSizeIterator::len);
        Ok(ListPart {
            version: self.version,
            is_full: self.is_full,
            endpoints,
            is_last: self.remaining.len() + missing == 0,
        })
    }
}

/// Returns the listed endpoints whose names are not in `names`, with the state `terminated`.
fn missing_as_removed(
    listed: &BTreeMap<String, ListedEndpoint>,
    names: &BTreeSet<String>,
) -> Vec<ListedEndpoint> {
    let missing = listed.values().filter(|e| !names.contains(&e.name));
    let removed = missing.map(|endpoint| ListedEndpoint {
        state: REMOVED.into(),
        ..endpoint.clone()
    });
    removed.collect()
}
