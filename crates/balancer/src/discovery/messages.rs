//! Messages of discovery: where one ends in a text that arrives in pieces, and its endpoints taken
//! a few at a time, so that a list of thousands delays nothing else. No I/O.

use super::endpoint_list::{ListedEndpoint, REMOVED};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

/// Why a message can't be read.
#[derive(Debug, thiserror::Error)]
pub(super) enum MessageError {
    #[error("a message begins with \"{}\"", .0.escape_ascii())]
    Start(u8),
    #[error("an empty line within a message")]
    EmptyLine,
    #[error("a message of more than {limit} bytes")]
    TooLong { limit: usize },
    #[error("{0}")]
    Key(#[from] serde_path_to_error::Error<serde_json::Error>),
    #[error("hosts[{index}].{source}")]
    Endpoint {
        index: usize,
        source: serde_path_to_error::Error<serde_json::Error>,
    },
}

/// Finds the ends of messages. Each byte is examined once, however many pieces a message comes in.
#[derive(Debug, Default)]
pub(super) struct MessageScanner {
    /// Bytes of the text that were examined.
    scanned: usize,
    /// Where the current message begins.
    start: usize,
    /// Braces and brackets that are open.
    depth: usize,
    in_string: bool,
    escaped: bool,
    /// The last byte ended a line.
    line_ended: bool,
}

impl MessageScanner {
    /// The next complete message of `text`, which is then to be cut off behind it; none while its
    /// end has not arrived.
    ///
    /// # Errors
    ///
    /// Says what stands where a message should begin, or that one has an empty line.
    pub(super) fn next(&mut self, text: &[u8]) -> Result<Option<Range<usize>>, MessageError> {
        while let Some(byte) = text.get(self.scanned) {
            self.scanned += 1;
            if self.is_end(*byte)? {
                let message = self.start..self.scanned;
                *self = MessageScanner::default();
                return Ok(Some(message));
            }
        }
        Ok(None)
    }

    /// Whether no message has begun.
    pub(super) fn is_between(&self) -> bool {
        self.depth == 0
    }

    /// Whether this byte ends the message.
    fn is_end(&mut self, byte: u8) -> Result<bool, MessageError> {
        let line_ended = std::mem::replace(&mut self.line_ended, byte == b'\n');
        if self.depth == 0 {
            return self.begin(byte).map(|()| false);
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

    /// Empty lines between two messages are part of none.
    fn begin(&mut self, byte: u8) -> Result<(), MessageError> {
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

/// A message as it is first read: its endpoints are left as text.
#[derive(Deserialize)]
struct Head<'a> {
    #[serde(rename = "seq")]
    version: u64,
    #[serde(default, rename = "whole")]
    is_full: bool,
    #[serde(default, borrow, rename = "hosts")]
    endpoints: Vec<&'a RawValue>,
}

/// Some of the endpoints of a message.
#[derive(Debug)]
pub struct ListPart {
    /// The message's version.
    pub version: u64,
    /// The message names all endpoints.
    pub is_full: bool,
    /// The endpoints. At the end of a message that names all of them, those that it does not name
    /// follow as removed.
    pub endpoints: Vec<ListedEndpoint>,
    /// The message is over.
    pub is_last: bool,
}

/// A message whose endpoints are taken a few at a time.
#[derive(Debug)]
pub(super) struct Message {
    pub(super) version: u64,
    pub(super) is_full: bool,
    text: Vec<u8>,
    /// Where the remaining endpoints stand in the text.
    remaining: std::vec::IntoIter<Range<usize>>,
    /// Endpoints taken so far.
    taken: usize,
    /// Their names, where these are all endpoints.
    named: BTreeSet<String>,
    /// Endpoints that are listed and not named; known once all that are named were taken.
    unnamed: Option<std::vec::IntoIter<ListedEndpoint>>,
}

impl Message {
    /// Reads all but the endpoints.
    ///
    /// # Errors
    ///
    /// Names the key that can't be read.
    pub(super) fn read(text: Vec<u8>) -> Result<Self, MessageError> {
        let mut json = serde_json::Deserializer::from_slice(&text);
        let head: Head = serde_path_to_error::deserialize(&mut json)?;
        let range = |endpoint: &&RawValue| {
            let start = endpoint.get().as_ptr() as usize - text.as_ptr() as usize;
            start..start + endpoint.get().len()
        };
        let ranges: Vec<Range<usize>> = head.endpoints.iter().map(range).collect();
        let (version, is_full) = (head.version, head.is_full);
        Ok(Message {
            version,
            is_full,
            text,
            remaining: ranges.into_iter(),
            taken: 0,
            named: BTreeSet::new(),
            unnamed: None,
        })
    }

    /// Takes at most `limit` of the remaining endpoints. Where the message names all endpoints,
    /// those `listed` that it does not name follow as removed.
    ///
    /// # Errors
    ///
    /// Names the endpoint and the key that can't be read.
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
                self.named.insert(endpoint.name.clone());
            }
            endpoints.push(endpoint);
        }
        if self.is_full && self.remaining.len() == 0 {
            let named = &self.named;
            let unnamed = self
                .unnamed
                .get_or_insert_with(|| removed_unless_named(listed, named).into_iter());
            let capacity = limit - endpoints.len();
            endpoints.extend(unnamed.by_ref().take(capacity));
        }
        let unnamed = self.unnamed.as_ref().map_or(0, ExactSizeIterator::len);
        Ok(ListPart {
            version: self.version,
            is_full: self.is_full,
            endpoints,
            is_last: self.remaining.len() + unnamed == 0,
        })
    }
}

/// The listed endpoints that are not named, as removed.
fn removed_unless_named(
    listed: &BTreeMap<String, ListedEndpoint>,
    named: &BTreeSet<String>,
) -> Vec<ListedEndpoint> {
    let unnamed = listed.values().filter(|e| !named.contains(&e.name));
    let removed = unnamed.map(|endpoint| ListedEndpoint {
        state: REMOVED.into(),
        ..endpoint.clone()
    });
    removed.collect()
}
