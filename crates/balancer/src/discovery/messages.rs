//! Messages of discovery: where one ends in a text that comes in pieces, and its hosts taken a few at a time, so that a
//! list of thousands holds nothing else up. No I/O.

use super::ListedEndpoint;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

/// Finds the ends of messages. Each byte is looked at once, however many pieces a message comes in.
#[derive(Debug, Default)]
pub(super) struct MessageScanner {
    /// Bytes of the text that were looked at.
    scanned: usize,
    /// Where the message at hand begins.
    start: usize,
    /// Braces and brackets that are open.
    depth: usize,
    in_string: bool,
    escaped: bool,
    /// The last byte ended a line.
    line_ended: bool,
}

impl MessageScanner {
    /// The next whole message of `text`, which is then to be cut off behind it; none while its end has not come.
    ///
    /// # Errors
    ///
    /// Says what stands where a message should begin, or that an empty line comes within one.
    pub(super) fn next(&mut self, text: &[u8]) -> Result<Option<Range<usize>>, String> {
        while let Some(byte) = text.get(self.scanned) {
            self.scanned += 1;
            let is_over = self.take(*byte)?;
            if is_over {
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
    fn take(&mut self, byte: u8) -> Result<bool, String> {
        let empty_line = byte == b'\n' && std::mem::replace(&mut self.line_ended, byte == b'\n');
        if byte != b'\n' {
            self.line_ended = false;
        }
        if self.depth == 0 {
            return self.begin(byte).map(|()| false);
        }
        if empty_line {
            return Err("line of the list: has no end".into());
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
    fn begin(&mut self, byte: u8) -> Result<(), String> {
        match byte {
            b'{' => {
                (self.start, self.depth) = (self.scanned - 1, 1);
                Ok(())
            }
            _ if byte.is_ascii_whitespace() => Ok(()),
            _ => Err(format!(
                "line of the list: begins with \"{}\"",
                byte.escape_ascii()
            )),
        }
    }
}

/// A message as it is first read: its hosts are left as text.
#[derive(Deserialize)]
struct Head<'a> {
    seq: u64,
    #[serde(default)]
    whole: bool,
    #[serde(default, borrow)]
    hosts: Vec<&'a RawValue>,
}

/// Some of the hosts of a message.
#[derive(Debug)]
pub struct ListPart {
    /// The message's version.
    pub seq: u64,
    /// The message names all hosts.
    pub whole: bool,
    /// The hosts. At the end of a message that names all hosts those follow, as `terminated`, that it does not name.
    pub hosts: Vec<ListedEndpoint>,
    /// The message is over.
    pub is_last: bool,
}

/// A message whose hosts are taken a few at a time.
#[derive(Debug)]
pub(super) struct Message {
    pub(super) seq: u64,
    pub(super) whole: bool,
    text: Vec<u8>,
    /// Where the hosts that are left stand in the text.
    hosts: std::vec::IntoIter<Range<usize>>,
    /// Hosts taken so far.
    taken: usize,
    /// Their names, where these are all hosts.
    named: BTreeSet<String>,
    /// Hosts that are listed and not named; known once all that are named were taken.
    missing: Option<std::vec::IntoIter<ListedEndpoint>>,
}

impl Message {
    /// Reads all but the hosts.
    ///
    /// # Errors
    ///
    /// Names the key that makes no sense.
    pub(super) fn read(text: Vec<u8>) -> Result<Self, String> {
        let mut json = serde_json::Deserializer::from_slice(&text);
        let head: Head = serde_path_to_error::deserialize(&mut json)
            .map_err(|e| format!("line of the list: {}: {}", e.path(), e.inner()))?;
        let place = |host: &&RawValue| {
            let start = host.get().as_ptr() as usize - text.as_ptr() as usize;
            start..start + host.get().len()
        };
        let hosts: Vec<Range<usize>> = head.hosts.iter().map(place).collect();
        let (seq, whole) = (head.seq, head.whole);
        let (named, hosts) = (BTreeSet::new(), hosts.into_iter());
        Ok(Message {
            seq,
            whole,
            text,
            hosts,
            taken: 0,
            named,
            missing: None,
        })
    }

    /// At most `most` of the hosts that are left. Of one that names all hosts, those `listed` that it does not name follow.
    ///
    /// # Errors
    ///
    /// Names the host and the key that makes no sense.
    pub(super) fn take(
        &mut self,
        most: usize,
        listed: &BTreeMap<String, ListedEndpoint>,
    ) -> Result<ListPart, String> {
        let mut hosts = Vec::new();
        for place in self.hosts.by_ref().take(most) {
            let mut json = serde_json::Deserializer::from_slice(&self.text[place]);
            let host: ListedEndpoint =
                serde_path_to_error::deserialize(&mut json).map_err(|e| {
                    format!(
                        "line of the list: hosts[{}].{}: {}",
                        self.taken,
                        e.path(),
                        e.inner()
                    )
                })?;
            self.taken += 1;
            if self.whole {
                self.named.insert(host.host.clone());
            }
            hosts.push(host);
        }
        if self.whole && self.hosts.len() == 0 {
            let missing = self
                .missing
                .get_or_insert_with(|| unnamed(listed, &self.named).into_iter());
            let room = most - hosts.len();
            hosts.extend(missing.by_ref().take(room));
        }
        let missing = self.missing.as_ref().map_or(0, ExactSizeIterator::len);
        Ok(ListPart {
            seq: self.seq,
            whole: self.whole,
            hosts,
            is_last: self.hosts.len() + missing == 0,
        })
    }
}

/// The listed hosts that are not named, as gone.
fn unnamed(
    listed: &BTreeMap<String, ListedEndpoint>,
    named: &BTreeSet<String>,
) -> Vec<ListedEndpoint> {
    let gone = |host: &ListedEndpoint| ListedEndpoint {
        health: "terminated".into(),
        ..host.clone()
    };
    listed
        .values()
        .filter(|host| !named.contains(&host.host))
        .map(gone)
        .collect()
}
