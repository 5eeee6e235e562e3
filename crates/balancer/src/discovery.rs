//! The discovery client. It keeps a watch open, over which the endpoint list and its changes
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

/// Maximum length of a message in bytes, and therefore of an endpoint list.
const MAX_MESSAGE: usize = 4 << 20;

/// Event of a watch.
#[derive(Debug)]
pub enum DiscoveryEvent {
    /// The first bytes of the body have arrived; they may be an empty line.
    Established,
    /// The next part of an endpoint list or of a delta.
    ListPart(ListPart),
    /// The watch ended or could not be opened.
    Failed,
}

/// The discovery client, with the endpoint list received so far.
pub struct DiscoveryClient {
    poll: Poll,
    address: SocketAddr,
    call: Option<WatchCall>,
    next_call: u64,
    /// Endpoint list. While it has pending messages, the watch is not read.
    list: ListState,
    /// Whether a watch was opened before. A change of the address then reopens it.
    keep_open: bool,
    /// Time at which the last watch was opened.
    watch_opened_at: Nanos,
    /// Number of failed watches since the last message.
    failures: u32,
    /// Backoff between watches if an agent pushes lists; otherwise the engine decides when to
    /// watch.
    backoff: Option<WatchBackoff>,
}

impl DiscoveryClient {
    /// Creates a client without an open watch. With a backoff, `address` is that of an agent that
    /// pushes lists.
    #[must_use]
    pub fn new(poll: &Poll, address: SocketAddr, backoff: Option<WatchBackoff>) -> Self {
        DiscoveryClient {
            poll: poll.clone(),
            address,
            call: None,
            next_call: 0,
            list: ListState::default(),
            keep_open: false,
            watch_opened_at: 0,
            failures: 0,
            backoff,
        }
    }

    /// Returns whether an agent pushes the lists. The watch is then open from the start, and the
    /// engine receives the lists without requesting them.
    #[must_use]
    pub fn is_pushed(&self) -> bool {
        self.backoff.is_some()
    }

    /// Returns the time of the next watch after one that ended at `now`, if an agent pushes lists.
    pub fn next_watch(&mut self, now: Nanos) -> Option<Nanos> {
        let duration = now.saturating_sub(self.watch_opened_at);
        let delay = self.backoff.as_mut()?.next_delay(duration);
        Some(now + delay)
    }

    /// Applies a list from the configuration or a state transfer.
    pub fn apply(&mut self, list: &EndpointList) {
        self.list.apply(list);
    }

    /// Returns whether messages are pending or the socket may hold unread data.
    #[must_use]
    pub fn has_unprocessed_data(&self) -> bool {
        self.has_pending() || self.call.as_ref().is_some_and(|call| call.has_unread)
    }

    /// Returns whether [`DiscoveryClient::take_part`] has endpoints to return.
    #[must_use]
    pub fn has_pending(&self) -> bool {
        self.list.has_pending()
    }

    /// Applies and returns the next endpoints of the pending messages, at most `limit`. The first
    /// list is returned whole, as no request can be served before. The version of a message is set
    /// with its last part.
    pub fn take_part(&mut self, limit: usize, counters: &mut Counters) -> Option<DiscoveryEvent> {
        match self.list.take_part(limit) {
            Ok(part) => part.map(DiscoveryEvent::ListPart),
            Err(error) => {
                self.list.clear_pending();
                Some(self.fail(&error.into(), counters))
            }
        }
    }

    /// Returns whether the list has any endpoint.
    #[must_use]
    pub fn has_endpoints(&self) -> bool {
        !self.list.endpoints().is_empty()
    }

    /// Returns the version of the list, if one was received.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        self.list.version()
    }

    /// Returns the full list, if one was received.
    #[must_use]
    pub fn full_list(&self) -> Option<EndpointList> {
        self.list.full_list()
    }

    /// Opens a watch unless one is open. Returns the failure if it fails immediately.
    pub fn watch(
        &mut self,
        now: Nanos,
        timers: &mut Timers,
        counters: &mut Counters,
    ) -> Option<DiscoveryEvent> {
        self.keep_open = true;
        if self.call.is_some() {
            return None;
        }
        counters.discovery_calls += 1;
        self.watch_opened_at = now;
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

    /// Changes the address of discovery and reopens the watch there, from the version received so
    /// far. The watch is opened immediately, regardless of any delay after a failed call: the
    /// former address may send nothing more, while the balancer still counts as notified of
    /// changes.
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
        log::info!(
            "discovery address changed from {} to {address}; reopening the watch",
            self.address
        );
        self.address = address;
        self.call = None;
        if self.keep_open {
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

    /// Reads and writes as the readiness of the watch allows.
    pub fn handle_ready(
        &mut self,
        now: Nanos,
        ready: Readiness,
        events: &mut Vec<DiscoveryEvent>,
        counters: &mut Counters,
    ) {
        let is_current =
            |call: &&mut WatchCall| EventSource::Discovery(call.number) == ready.source;
        let Some(call) = self.call.as_mut().filter(is_current) else {
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
        // Complete messages that arrived before the end or the error are still processed.
        let parsed = self.read_messages(counters).map_err(WatchError::from);
        if let Err(error) = parsed.and(result) {
            events.push(self.fail(&error, counters));
        }
    }

    /// Ends a failed watch. Only the failures 1, 2, 4, 8 and so on since the last message are
    /// logged as warnings: an agent that is unavailable for hours is called several times a second.
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
            "watch of discovery at {} failed: {error}; {} failed watches since the last message",
            self.address,
            self.failures
        );
        DiscoveryEvent::Failed
    }

    /// Fails a watch that has been silent for too long: the connection to an unreachable machine
    /// does not end by itself.
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

    /// Takes the complete messages from the received text. A message ends with its closing brace
    /// and may span several lines, as lists may be indented.
    fn read_messages(&mut self, counters: &mut Counters) -> Result<(), MessageError> {
        let Some(call) = self.call.as_mut() else {
            return Ok(());
        };
        while let Some(range) = call.scanner.next(&call.text)? {
            let text = call.text[range.clone()].to_vec();
            call.text.drain(..range.end);
            let message = Message::read(text)?;
            // Within a watch versions never decrease; an older message would restore removed
            // endpoints. The first message of a watch may be older if it is a full list, as
            // discovery may have restarted its count. A delta refers to the version that the watch
            // requested.
            let list_version = self.list.version().filter(|_| !message.is_full);
            let minimum = call.version.or(list_version);
            if let Some(minimum) = minimum.filter(|minimum| message.version < *minimum) {
                counters.discovery_outdated_lines += 1;
                log::warn!(
                    "discovery at {}: ignored a message of version {}, older than version \
                     {minimum}",
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
        if call.scanner.is_between_messages() {
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
