//! The upstream group: discovery's list of peers, and the watch that keeps it fresh.

pub mod messages;

use crate::counters::Counters;
use crate::poll::{EventSource, Interest, Poll, Readiness, Registered};
use crate::sockets::connect;
use crate::timers::{MS, TimerKind, Timers};
use crate::watch_backoff::WatchBackoff;
use messages::{ListPart, Message, MessageScanner};
use routing::Nanos;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, VecDeque};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// A watch is broken when nothing has come for this long: an empty line is due every 2 s.
const SILENCE: Nanos = 3_500 * MS;
/// Until the answer begins more patience is due: calls wait in turn, and asking anew goes to the end of the line. But by the
/// protocol what a silent call misses counts as told 6 s after its beginning, or 2 s after its wait in turn if that is later: one
/// that is silent for longer than the difference is to be made anew in time.
const SILENCE_BEFORE: Nanos = 4_000 * MS;
/// A connection to discovery must be up within this: a machine that is cut off refuses none.
const CONNECT: Nanos = 1_000 * MS;
/// The longest line, and so the largest list.
const LINE_MAX: usize = 4 << 20;
/// One read takes at most this much.
const READ_SIZE: usize = 32 * 1024;
/// The most headers of an answer.
const HEADERS_MAX: usize = 32;

/// The list, or a change of it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EndpointList {
    /// Its version.
    pub seq: u64,
    /// Whether these are all hosts.
    #[serde(default)]
    pub whole: bool,
    /// The hosts, or those that changed.
    #[serde(default)]
    pub hosts: Vec<ListedEndpoint>,
}

/// A peer as discovery knows it. Only its name must be there.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ListedEndpoint {
    /// Its name, the same at every balancer.
    pub host: String,
    /// Its address, this balancer's own.
    #[serde(default)]
    pub dial: String,
    /// Its data centre.
    #[serde(default)]
    pub site: String,
    /// Its kind of machine.
    #[serde(default)]
    pub class: String,
    /// Its cell.
    #[serde(default)]
    pub block: Value,
    /// `in_service`, `terminating` or `terminated`.
    #[serde(default = "in_service")]
    pub health: String,
    /// Its stated size.
    #[serde(default = "full_share")]
    pub share: f64,
    /// Unix time of its start in milliseconds; 0 for long ago.
    #[serde(default)]
    pub born_ms: f64,
}

fn in_service() -> String {
    "in_service".into()
}

fn full_share() -> f64 {
    1.0
}

/// What became of a watch.
#[derive(Debug)]
pub enum DiscoveryEvent {
    /// A watch stands: the first of what it tells has come, though it be an empty line.
    Stands,
    /// News of the list.
    News(ListPart),
    /// The watch ended or never began.
    Failed,
}

/// How the answer's end is known.
enum Body {
    Chunked { left: usize },
    Length(usize),
    UntilClose,
}

struct AdminCommand {
    number: u64,
    stream: Registered<TcpStream>,
    request: Vec<u8>,
    written: usize,
    input: Vec<u8>,
    body: Option<Body>,
    /// What of the answer's text has come since the last whole message.
    text: Vec<u8>,
    scanner: MessageScanner,
    /// The last read took all that there was room for: more may wait.
    is_behind: bool,
    heard: Nanos,
    /// The version of its last line.
    seq: Option<u64>,
    /// Something of the answer's text has come.
    stands: bool,
}

/// Discovery, and what it last said.
pub struct DiscoveryClient {
    poll: Poll,
    address: SocketAddr,
    call: Option<AdminCommand>,
    next_call: u64,
    /// The version up to which all changes are known.
    seq: Option<u64>,
    /// All that are listed, as of that version and what was taken of `pending`, by name.
    hosts: BTreeMap<String, ListedEndpoint>,
    /// Messages that have come and are not all taken. While there is one nothing more is read.
    pending: VecDeque<Message>,
    /// A watch was begun at some time, and is wanted from then on.
    wanted: bool,
    /// When the last watch began.
    begun: Nanos,
    /// Watches that failed since the last line of the list.
    failures: u32,
    /// Where lists are pushed: the pace of watches. Elsewhere the module says when.
    pace: Option<WatchBackoff>,
}

impl DiscoveryClient {
    /// Nothing is asked yet. With a pace the address is an agent's, to which lists are pushed.
    pub fn new(poll: &Poll, address: SocketAddr, pace: Option<WatchBackoff>) -> Self {
        let hosts = BTreeMap::new();
        DiscoveryClient {
            poll: poll.clone(),
            address,
            call: None,
            next_call: 0,
            seq: None,
            hosts,
            pending: VecDeque::new(),
            wanted: false,
            begun: 0,
            failures: 0,
            pace,
        }
    }

    /// Whether an agent is watched: from the start and without the module, to which its lists just come.
    pub fn is_pushed(&self) -> bool {
        self.pace.is_some()
    }

    /// Where an agent is watched: when to begin anew, after a watch that has ended.
    pub fn again(&mut self, now: Nanos) -> Option<Nanos> {
        let wait = self.pace.as_mut()?.ended(now.saturating_sub(self.begun));
        Some(now + wait)
    }

    /// Takes over a list from before.
    pub fn learn(&mut self, list: &EndpointList) {
        if list.whole {
            self.hosts.clear();
        }
        self.learn_hosts(&list.hosts);
        self.seq = Some(list.seq);
    }

    fn learn_hosts(&mut self, hosts: &[ListedEndpoint]) {
        for host in hosts {
            if host.health == "terminated" {
                self.hosts.remove(&host.host);
            } else {
                self.hosts.insert(host.host.clone(), host.clone());
            }
        }
    }

    /// Whether something of the list has come, or may have, that is not taken yet.
    pub fn is_behind(&self) -> bool {
        self.has_pending() || self.call.as_ref().is_some_and(|call| call.is_behind)
    }

    /// Whether [`DiscoveryClient::take`] has something to give.
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// The next hosts that discovery has told of, at most `most`. The first list is given whole: nobody is served before it.
    /// Its version counts as known once a message is over.
    pub fn take(&mut self, most: usize, counters: &mut Counters) -> Option<DiscoveryEvent> {
        let most = if self.seq.is_none() { usize::MAX } else { most };
        let part = match self.pending.front_mut()?.take(most, &self.hosts) {
            Ok(part) => part,
            Err(problem) => {
                self.pending.clear();
                return Some(self.fail(&problem, counters));
            }
        };
        self.learn_hosts(&part.hosts);
        if part.is_last {
            self.seq = Some(part.seq);
            self.pending.pop_front();
        }
        Some(DiscoveryEvent::News(part))
    }

    /// Whether any host is listed.
    pub fn is_listed(&self) -> bool {
        !self.hosts.is_empty()
    }

    /// The version of the list that is known, if one is.
    pub fn seq(&self) -> Option<u64> {
        self.seq
    }

    /// The whole list as it is known, if one is.
    pub fn list(&self) -> Option<EndpointList> {
        Some(EndpointList {
            seq: self.seq?,
            whole: true,
            hosts: self.hosts.values().cloned().collect(),
        })
    }

    /// Begins a watch, unless one is open.
    pub fn watch(
        &mut self,
        now: Nanos,
        timers: &mut Timers,
        counters: &mut Counters,
    ) -> Option<DiscoveryEvent> {
        self.wanted = true;
        if self.call.is_some() {
            return None;
        }
        counters.discovery_calls += 1;
        self.begun = now;
        let number = self.next_call;
        self.next_call += 1;
        match self.connect(number) {
            Ok(stream) => {
                let since = self
                    .seq
                    .map_or(String::new(), |seq| format!("&since={seq}"));
                let request = format!(
                    "GET /registry/instances?follow=1{since} HTTP/1.1\r\nHost: {}\r\nAccept: application/json\r\n\r\n",
                    self.address
                );
                self.call = Some(AdminCommand {
                    number,
                    stream,
                    request: request.into_bytes(),
                    written: 0,
                    input: Vec::new(),
                    body: None,
                    text: Vec::new(),
                    scanner: MessageScanner::default(),
                    is_behind: false,
                    heard: now,
                    seq: None,
                    stands: false,
                });
                timers.set(now + CONNECT, TimerKind::Discovery(number));
                None
            }
            Err(e) => Some(self.fail(&e.to_string(), counters)),
        }
    }

    /// Discovery is at another address from now on: the watch moves there, and goes on from the version that is
    /// known. It begins at once, whatever the module waits for after a failed call: a former address may tell
    /// nothing more, and changes that it leaves untold count as told all the same.
    pub fn move_to(
        &mut self,
        address: SocketAddr,
        now: Nanos,
        timers: &mut Timers,
        counters: &mut Counters,
    ) -> Option<DiscoveryEvent> {
        if address == self.address {
            return None;
        }
        log::info!("discovery moves from {} to {address}", self.address);
        self.address = address;
        self.call = None;
        if self.wanted {
            self.watch(now, timers, counters)
        } else {
            None
        }
    }

    fn connect(&self, number: u64) -> std::io::Result<Registered<TcpStream>> {
        self.poll.watch(
            connect(self.address)?,
            EventSource::Discovery(number),
            Interest::WRITABLE,
        )
    }

    /// Reads and writes what the watch is ready for.
    pub fn ready(
        &mut self,
        now: Nanos,
        ready: Readiness,
        events: &mut Vec<DiscoveryEvent>,
        counters: &mut Counters,
    ) {
        let Some(call) = self
            .call
            .as_mut()
            .filter(|c| EventSource::Discovery(c.number) == ready.source)
        else {
            return;
        };
        if !self.pending.is_empty() {
            return;
        }
        let result = if ready.writable && call.written < call.request.len() {
            call.write()
        } else {
            Ok(())
        };
        let result = match result {
            Ok(()) if ready.readable => call.read(now),
            other => other,
        };
        if !call.text.is_empty() && !std::mem::replace(&mut call.stands, true) {
            events.push(DiscoveryEvent::Stands);
        }
        // Whole lines that came before an end or an error still count.
        let result = self.lines(counters).and(result);
        if let Err(problem) = result {
            events.push(self.fail(&problem, counters));
        }
    }

    /// Ends a watch that failed. Why is logged the first time after a line of the list, the second, the fourth and so on:
    /// an agent that is gone for hours is called several times a second.
    fn fail(&mut self, problem: &str, counters: &mut Counters) -> DiscoveryEvent {
        self.call = None;
        counters.discovery_failed += 1;
        self.failures = self.failures.saturating_add(1);
        let level = if self.failures.is_power_of_two() {
            log::Level::Warn
        } else {
            log::Level::Debug
        };
        log::log!(
            level,
            "discovery at {}: {problem}; failed {} times since its last line",
            self.address,
            self.failures
        );
        DiscoveryEvent::Failed
    }

    /// Gives up a watch that has been silent for long: a machine that is cut off ends no connection.
    pub fn due(
        &mut self,
        now: Nanos,
        number: u64,
        timers: &mut Timers,
        events: &mut Vec<DiscoveryEvent>,
        counters: &mut Counters,
    ) {
        let Some(call) = self.call.as_ref().filter(|c| c.number == number) else {
            return;
        };
        let due = call.heard
            + match (&call.body, call.written) {
                (Some(_), _) => SILENCE,
                (None, 0) => CONNECT,
                (None, _) => SILENCE_BEFORE,
            };
        if now < due {
            return timers.set(due, TimerKind::Discovery(number));
        }
        let (silent, stage) = (now.saturating_sub(call.heard) / MS, call.stage());
        counters.discovery_silent += 1;
        counters.longest_discovery_silence_ms = counters.longest_discovery_silence_ms.max(silent);
        events.push(self.fail(
            &format!("silent for {silent} ms, {stage}; it is called anew"),
            counters,
        ));
    }

    /// Takes what is whole of the text that has come. A message ends with its last brace, on whatever line that is: lists may
    /// come indented.
    fn lines(&mut self, counters: &mut Counters) -> Result<(), String> {
        let Some(call) = self.call.as_mut() else {
            return Ok(());
        };
        while let Some(place) = call.scanner.next(&call.text)? {
            let text = call.text[place.clone()].to_vec();
            call.text.drain(..place.end);
            let message = Message::read(text)?;
            // Within a watch versions only grow: an older line is late news, and would bring back what has gone. The
            // first is taken whatever it says if it is a whole list: discovery itself may count anew. A change is told of
            // the version that was asked from, and an older one than that is late news too.
            let known = call.seq.or(self.seq.filter(|_| !message.whole));
            if known.is_some_and(|seq| message.seq < seq) {
                counters.discovery_outdated_lines += 1;
                let (address, seq) = (self.address, message.seq);
                log::warn!(
                    "discovery at {address}: a line of version {seq} is left, {known:?} was told"
                );
                continue;
            }
            call.seq = Some(message.seq);
            self.failures = 0;
            counters.discovery_messages += 1;
            self.pending.push_back(message);
        }
        if call.scanner.is_between() {
            call.text.clear();
            call.scanner = MessageScanner::default();
        }
        if call.text.len() > LINE_MAX {
            Err("line of the list: too long".into())
        } else {
            Ok(())
        }
    }
}

impl AdminCommand {
    fn write(&mut self) -> Result<(), String> {
        if let Ok(Some(e)) = self.stream.socket().take_error() {
            return Err(format!("connecting: {e}"));
        }
        while self.written < self.request.len() {
            match self.stream.socket().write(&self.request[self.written..]) {
                Ok(n) => self.written += n,
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {
                    break;
                }
                Err(e) => return Err(format!("writing: {e}")),
            }
        }
        let unsent = self.written < self.request.len();
        self.stream
            .set_interest(Interest::readable_and(unsent))
            .map_err(|e| format!("watching: {e}"))
    }

    fn read(&mut self, now: Nanos) -> Result<(), String> {
        let held = self.input.len();
        self.input.resize(held + READ_SIZE, 0);
        let got = self.stream.socket().read(&mut self.input[held..]);
        self.input.truncate(held + *got.as_ref().unwrap_or(&0));
        self.is_behind = matches!(got, Ok(READ_SIZE));
        match got {
            Ok(0) => return Err("the watch has ended".into()),
            Ok(_) => self.heard = now,
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {
                return Ok(());
            }
            Err(e) => return Err(format!("reading: {e}")),
        }
        if self.body.is_none() {
            self.head()?;
        }
        self.decode()
    }

    /// How far it has come, as the log tells it.
    fn stage(&self) -> &'static str {
        match &self.body {
            None if self.written == 0 => "before its connection was up",
            None if self.input.is_empty() => "before its head",
            None => "in its head",
            Some(Body::Chunked { left: 1.. }) => "in a chunk",
            Some(_) if self.text.is_empty() && self.input.is_empty() => "between two lines",
            Some(_) => "in a line",
        }
    }

    /// Reads the status and headers, once they are all there.
    fn head(&mut self) -> Result<(), String> {
        let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
        let mut response = httparse::Response::new(&mut headers);
        let length = match response.parse(&self.input) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) if self.input.len() < LINE_MAX => return Ok(()),
            Ok(httparse::Status::Partial) => return Err("headers: too long".into()),
            Err(e) => return Err(format!("headers: {e}")),
        };
        if response.code != Some(200) {
            return Err(format!("status {}", response.code.unwrap_or(0)));
        }
        let value = |name: &str| {
            let header = response
                .headers
                .iter()
                .find(|h| h.name.eq_ignore_ascii_case(name))?;
            std::str::from_utf8(header.value).ok().map(str::trim)
        };
        self.body = Some(
            if value("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
                Body::Chunked { left: 0 }
            } else if let Some(length) = value("content-length") {
                Body::Length(
                    length
                        .parse()
                        .map_err(|_| format!("content-length: \"{length}\""))?,
                )
            } else {
                Body::UntilClose
            },
        );
        self.input.drain(..length);
        Ok(())
    }

    /// Moves what has come of the body to the text.
    fn decode(&mut self) -> Result<(), String> {
        loop {
            match &mut self.body {
                None => return Ok(()),
                Some(Body::UntilClose) => {
                    self.text.append(&mut self.input);
                    return Ok(());
                }
                Some(Body::Length(left)) => {
                    let part = self.input.len().min(*left);
                    self.text.extend(self.input.drain(..part));
                    *left -= part;
                    if *left == 0 {
                        return Err("the answer has ended".into());
                    }
                    return Ok(());
                }
                Some(Body::Chunked { left }) if *left > 2 => {
                    let part = self.input.len().min(*left - 2);
                    self.text.extend(self.input.drain(..part));
                    *left -= part;
                    if *left > 2 {
                        return Ok(());
                    }
                }
                Some(Body::Chunked { left }) if *left > 0 => {
                    // The line end behind a chunk.
                    let part = self.input.len().min(*left);
                    let end = &b"\r\n"[2 - *left..][..part];
                    if &self.input[..part] != end {
                        return Err("chunk without its end".into());
                    }
                    self.input.drain(..part);
                    *left -= part;
                    if *left > 0 {
                        return Ok(());
                    }
                }
                Some(Body::Chunked { left }) => match httparse::parse_chunk_size(&self.input) {
                    Ok(httparse::Status::Complete((_, 0))) => {
                        return Err("the watch has ended".into());
                    }
                    Ok(httparse::Status::Complete((_, size))) if size > LINE_MAX as u64 => {
                        return Err("chunk: too long".into());
                    }
                    Ok(httparse::Status::Complete((at, size))) => {
                        self.input.drain(..at);
                        *left = size as usize + 2;
                    }
                    Ok(httparse::Status::Partial) if self.input.len() < READ_SIZE => return Ok(()),
                    Ok(httparse::Status::Partial) | Err(_) => return Err("chunk: no length".into()),
                },
            }
        }
    }
}

#[cfg(test)]
mod tests;
