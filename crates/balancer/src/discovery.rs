//! The client of discovery: it keeps a watch open over which the endpoint list and its changes
//! arrive.

mod body;
mod call;
mod endpoint_list;
mod error;
mod messages;

pub use endpoint_list::{EndpointList, ListedEndpoint};
pub use messages::ListPart;

use crate::counters::Counters;
use crate::poll::sockets::connect;
use crate::poll::{EventSource, Interest, Poll, Readiness, Registered};
use crate::timers::{MS, TimerKind, Timers};
use crate::watch_backoff::WatchBackoff;
use call::{CONNECT_TIMEOUT, WatchCall};
use endpoint_list::ListState;
use error::WatchError;
use messages::{Message, MessageError, MessageScanner};
use routing::Nanos;
use std::net::{SocketAddr, TcpStream};

/// The longest message, and so the largest list.
const MAX_MESSAGE: usize = 4 << 20;

/// What became of a watch.
#[derive(Debug)]
pub enum DiscoveryEvent {
    /// The first bytes of the body have arrived, if only an empty line.
    Established,
    /// A part of the list or of its changes.
    ListPart(ListPart),
    /// The watch ended or never began.
    Failed,
}

/// The client of discovery, and the list as it is known so far.
pub struct DiscoveryClient {
    poll: Poll,
    address: SocketAddr,
    call: Option<WatchCall>,
    next_call: u64,
    /// While messages of it are pending, nothing more is read.
    list: ListState,
    /// A watch was begun at some time, and is wanted from then on.
    is_wanted: bool,
    /// When the last watch began.
    call_began: Nanos,
    /// Watches that failed since the last message.
    failures: u32,
    /// Where lists are pushed: the pace of watches. Elsewhere the engine says when.
    backoff: Option<WatchBackoff>,
}

impl DiscoveryClient {
    /// A client that has not called yet. With a backoff the address is an agent's, to which lists
    /// are pushed.
    #[must_use]
    pub fn new(poll: &Poll, address: SocketAddr, backoff: Option<WatchBackoff>) -> Self {
        DiscoveryClient {
            poll: poll.clone(),
            address,
            call: None,
            next_call: 0,
            list: ListState::default(),
            is_wanted: false,
            call_began: 0,
            failures: 0,
            backoff,
        }
    }

    /// Whether an agent is watched: from the start and without the engine, to which its lists just
    /// arrive.
    #[must_use]
    pub fn is_pushed(&self) -> bool {
        self.backoff.is_some()
    }

    /// Where an agent is watched: when to begin again, after a watch that has ended.
    pub fn next_watch(&mut self, now: Nanos) -> Option<Nanos> {
        let duration = now.saturating_sub(self.call_began);
        let delay = self.backoff.as_mut()?.next_delay(duration);
        Some(now + delay)
    }

    /// Takes over a list from elsewhere.
    pub fn apply(&mut self, list: &EndpointList) {
        self.list.apply(list);
    }

    /// Whether something of the list has arrived, or may have, that is not taken yet.
    #[must_use]
    pub fn has_unprocessed_data(&self) -> bool {
        self.has_pending() || self.call.as_ref().is_some_and(|call| call.has_unread)
    }

    /// Whether [`DiscoveryClient::take_part`] has something to give.
    #[must_use]
    pub fn has_pending(&self) -> bool {
        self.list.has_pending()
    }

    /// The next endpoints of the list, at most `limit`. The first list is given at once: nobody is
    /// served before it. Its version counts as known once a message is over.
    pub fn take_part(&mut self, limit: usize, counters: &mut Counters) -> Option<DiscoveryEvent> {
        match self.list.take_part(limit) {
            Ok(part) => part.map(DiscoveryEvent::ListPart),
            Err(error) => {
                self.list.clear_pending();
                Some(self.fail(&error.into(), counters))
            }
        }
    }

    /// Whether any endpoint is listed.
    #[must_use]
    pub fn has_endpoints(&self) -> bool {
        !self.list.endpoints().is_empty()
    }

    /// The version of the list that is known, if one is.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        self.list.version()
    }

    /// The full list as it is known, if one is.
    #[must_use]
    pub fn full_list(&self) -> Option<EndpointList> {
        self.list.full_list()
    }

    /// Begins a watch, unless one is open. Returns its failure, if it fails at once.
    pub fn watch(
        &mut self,
        now: Nanos,
        timers: &mut Timers,
        counters: &mut Counters,
    ) -> Option<DiscoveryEvent> {
        self.is_wanted = true;
        if self.call.is_some() {
            return None;
        }
        counters.discovery_calls += 1;
        self.call_began = now;
        let number = self.next_call;
        self.next_call += 1;
        match self.connect(number) {
            Ok(socket) => {
                let since = self.list.version();
                let call = WatchCall::new(number, socket, self.address, since, now);
                self.call = Some(call);
                timers.set(now + CONNECT_TIMEOUT, TimerKind::Discovery(number));
                None
            }
            Err(error) => Some(self.fail(&error, counters)),
        }
    }

    /// Discovery is at another address from now on: the watch moves there, and goes on from the
    /// version that is known. It begins at once, whatever the engine waits for after a failed call:
    /// the former address may send nothing more, and the balancer counts as notified all the same.
    pub fn change_address(
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
        if self.is_wanted {
            self.watch(now, timers, counters)
        } else {
            None
        }
    }

    fn connect(&self, number: u64) -> Result<Registered<TcpStream>, WatchError> {
        let stream = connect(self.address).map_err(WatchError::Connect)?;
        let source = EventSource::Discovery(number);
        let registered = self.poll.register(stream, source, Interest::WRITABLE);
        registered.map_err(WatchError::Register)
    }

    /// Reads and writes what the watch is ready for.
    pub fn handle_ready(
        &mut self,
        now: Nanos,
        ready: Readiness,
        events: &mut Vec<DiscoveryEvent>,
        counters: &mut Counters,
    ) {
        let is_of = |call: &&mut WatchCall| EventSource::Discovery(call.number) == ready.source;
        let Some(call) = self.call.as_mut().filter(is_of) else {
            return;
        };
        if self.list.has_pending() {
            return;
        }
        let mut result = Ok(());
        if ready.writable && call.has_unwritten_bytes() {
            result = call.write();
        }
        if ready.readable {
            result = result.and_then(|()| call.read(now));
        }
        if !call.text.is_empty() && !std::mem::replace(&mut call.is_established, true) {
            events.push(DiscoveryEvent::Established);
        }
        // Complete messages that arrived before an end or an error still count.
        let parsed = self.read_messages(counters).map_err(WatchError::from);
        if let Err(error) = parsed.and(result) {
            events.push(self.fail(&error, counters));
        }
    }

    /// Ends a watch that failed. The first, second, fourth and so on failure since the last message
    /// is logged as a warning: an agent that is gone for hours is called several times a second.
    fn fail(&mut self, error: &WatchError, counters: &mut Counters) -> DiscoveryEvent {
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
            "discovery at {}: {error}; failed {} times since its last message",
            self.address,
            self.failures
        );
        DiscoveryEvent::Failed
    }

    /// Gives up a watch that has been silent for long: an unreachable machine ends no connection.
    pub fn handle_silence_timeout(
        &mut self,
        now: Nanos,
        number: u64,
        timers: &mut Timers,
        events: &mut Vec<DiscoveryEvent>,
        counters: &mut Counters,
    ) {
        let Some(call) = self.call.as_ref().filter(|call| call.number == number) else {
            return;
        };
        let deadline = call.silence_deadline();
        if now < deadline {
            return timers.set(deadline, TimerKind::Discovery(number));
        }
        let silent_ms = now.saturating_sub(call.last_read) / MS;
        let stage = call.stage();
        counters.discovery_silent += 1;
        counters.longest_discovery_silence_ms =
            counters.longest_discovery_silence_ms.max(silent_ms);
        events.push(self.fail(&WatchError::Silent { silent_ms, stage }, counters));
    }

    /// Takes the complete messages of the text that has arrived. A message ends with its last
    /// brace, on whatever line that is: lists may come indented.
    fn read_messages(&mut self, counters: &mut Counters) -> Result<(), MessageError> {
        let Some(call) = self.call.as_mut() else {
            return Ok(());
        };
        while let Some(range) = call.scanner.next(&call.text)? {
            let text = call.text[range.clone()].to_vec();
            call.text.drain(..range.end);
            let message = Message::read(text)?;
            // Within a watch versions only grow; an older message would bring back what has gone.
            // The first may be older if it is a full list, for discovery may have begun to count
            // anew; a delta refers to the version that was asked from.
            let known = self.list.version().filter(|_| !message.is_full);
            let known = call.version.or(known);
            if let Some(known) = known.filter(|known| message.version < *known) {
                counters.discovery_outdated_lines += 1;
                log::warn!(
                    "discovery at {}: a message of version {} is ignored, version {known} is known",
                    self.address,
                    message.version
                );
                continue;
            }
            call.version = Some(message.version);
            self.failures = 0;
            counters.discovery_messages += 1;
            self.list.push(message);
        }
        if call.scanner.is_between() {
            call.text.clear();
            call.scanner = MessageScanner::default();
        }
        if call.text.len() > MAX_MESSAGE {
            return Err(MessageError::TooLong { limit: MAX_MESSAGE });
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
