//! The RESP front: client connections, commands in, answers out in the order of the commands.

mod commands;
mod connection_admission;
mod idle_reaper;

use super::LEAVE;
use crate::counters::Counters;
use crate::lifecycle::{LifecyclePolicy, ListenerMode};
use crate::poll::{
    EventSource, Poll, Readiness, Registered, discard, has_peer_closed, has_unsent_output,
    is_open_without_input,
};
use crate::poll_timestamps::{ClientPresence, PollTimestamps};
use crate::request::{FinalAnswer, IncomingRequest, Ticket};
use crate::resp::{self, VALUE_MAX, parse_command};
use crate::timers::MS;
use commands::{ParsedCommand, command, encode, error};
use routing::{Nanos, RequestId};
use std::collections::{BTreeMap, VecDeque};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};

/// Commands of one connection that may wait for their answers; the next ones stay unread.
const OWED_MAX: usize = 128;
/// While this much of a long value waits for its client, its cache isn't read.
const WINDOW: usize = 64 * 1024;
/// A connection with more than this still to be written gets no further command read.
const UNSENT_MAX: usize = 2 * VALUE_MAX;
/// One read takes at most this much.
const READ_SIZE: usize = 32 * 1024;
/// Unread commands are kept up to this size: one with the longest value always fits.
const INPUT_MAX: usize = resp::MESSAGE_MAX;
/// Of what comes behind a command that can't be read this much is taken at a time; who sends faster is closed at once.
const DISCARD_MAX: usize = 256 * 1024;
/// At most this many connections are taken in one turn of the loop: a flood of them must not hold up the rest.
const ACCEPT_MAX: usize = 64;
/// A client that takes none of its answer for this long is given up.
const STUCK: Nanos = 10_000 * MS;
/// A command, the first one included, must be whole this long after it could have begun: some clients take 2 s, and who says
/// nothing is to be told within 3 s.
const UNFINISHED: Nanos = 2_600 * MS;
/// A connection with nothing open is closed after this ...
const IDLE: Nanos = 10_000 * MS;
/// ... or, with more than half of the places taken, after this.
const IDLE_CROWDED: Nanos = 2_000 * MS;
/// ... or, when clients are sent away, after this: one that has just come may be about to ask.
const IDLE_CLOSING: Nanos = 500 * MS;
/// Beyond this part of the places, in hundredths, those that are idle longest are closed. Clients that ask once on a
/// connection and keep it have a limit of their own: while they wait for the end of old ones they can't ask anew.
const CROWD: usize = 40;
/// A connection that stands idle this long may be closed in a crowd ...
const IDLE_LEAST: Nanos = 100 * MS;
/// ... and for a newcomer when all places are taken, after this, those idle longest first: what clients that ask once on a
/// connection leave behind makes room at the pace at which they come.
const IDLE_FULL: Nanos = 20 * MS;
/// ... and one on which nothing ever came, after this.
const MUTE_LEAST: Nanos = 20 * MS;
/// Where none is idle, one on which half a command stands still for this long makes room: who is slow but goes on stays.
const HALF_LEAST: Nanos = 1_000 * MS;
/// With more than this part of the places taken by those, they alone make room for newcomers.
const MUTE_PART: usize = 4;

/// What a front tells the core.
#[derive(Debug)]
pub enum ListenerEvent {
    /// A request has come.
    Request(IncomingRequest),
    /// The client of this request has left.
    ClientDisconnected(RequestId),
    /// More of this request's value can be taken.
    CapacityAvailable(RequestId),
}

/// An answer that is owed on a connection, or has come but waits for those before it.
enum PendingResponse {
    Waiting(RequestId),
    Answered(Vec<u8>),
    /// The value comes in parts.
    Streaming {
        request: RequestId,
        /// What has come and is not with the rest of the output yet.
        bytes: Vec<u8>,
        /// Its cache isn't read until there is room.
        paused: bool,
    },
}

struct ClientConnection {
    stream: Registered<TcpStream>,
    input: Vec<u8>,
    /// Answers in the order of the commands.
    responses: VecDeque<PendingResponse>,
    output: Vec<u8>,
    written: usize,
    /// Close once all is answered: the framing is lost.
    closes_after_output: bool,
    /// When it last took or got something.
    last_active: Nanos,
    /// Since when a command could have been coming.
    command_since: Nanos,
    /// It has sent something whole.
    has_sent_command: bool,
    /// Nothing more is sent on it: it is closed when the client has closed, or by this time.
    close_by: Option<Nanos>,
    /// What the looks at its socket tell of the client.
    presence: ClientPresence,
}

impl ClientConnection {
    fn unsent_bytes(&self) -> usize {
        self.output.len() - self.written
    }

    fn takes_commands(&self) -> bool {
        !self.closes_after_output
            && self.close_by.is_none()
            && self.responses.len() < OWED_MAX
            && self.unsent_bytes() < UNSENT_MAX
    }

    /// Between requests: nothing owed, nothing begun, nothing unsent.
    fn is_idle(&self) -> bool {
        self.close_by.is_none()
            && self.responses.is_empty()
            && self.unsent_bytes() == 0
            && self.input.is_empty()
    }

    /// Whether it is watched for reading, which also shows its end.
    fn is_read(&self) -> bool {
        self.close_by.is_none()
            && !self.closes_after_output
            && self.input.len() < INPUT_MAX
            && self.unsent_bytes() < UNSENT_MAX
    }
}

/// All client connections.
pub struct RespListener {
    poll: Poll,
    listener: Option<Registered<TcpListener>>,
    connections: BTreeMap<u64, ClientConnection>,
    connections_max: usize,
    next_connection: u64,
    /// The module's request ids: our own count, never the client's.
    next_request: u128,
    /// What follows from the life cycle; set by `follow` alone.
    policy: LifecyclePolicy,
    accepting: bool,
    /// When the sockets were last looked at.
    poll_timestamps: PollTimestamps,
    /// Since when clients may have waited at the listener, if not all were taken.
    backlog_since: Option<Nanos>,
    /// What one read takes: kept by all together, since most connections stand idle.
    read_buffer: Vec<u8>,
}

impl RespListener {
    /// Takes clients from this socket; at most `most` connections are held at once.
    pub fn listen(
        poll: &Poll,
        listener: TcpListener,
        most: usize,
        stance: LifecyclePolicy,
        looks: PollTimestamps,
    ) -> io::Result<Self> {
        log::info!(
            "listening on {}, for at most {most} client connections",
            listener.local_addr()?
        );
        listener.set_nonblocking(true)?;
        let listener = poll.watch(listener, EventSource::Listener, true, false)?;
        let mut front = RespListener {
            poll: poll.clone(),
            listener: Some(listener),
            connections: BTreeMap::new(),
            connections_max: most,
            next_connection: 0,
            next_request: 1,
            policy: stance,
            accepting: true,
            poll_timestamps: looks,
            backlog_since: None,
            read_buffer: vec![0; READ_SIZE],
        };
        front.set_accept_paused(false);
        Ok(front)
    }

    /// From now on at most this many connections are held; those that are open stay.
    pub fn set_connections_max(&mut self, most: usize) {
        self.connections_max = most;
    }

    /// The sockets were looked at, and somebody waits at the listener or not; to be told before what was found is taken in.
    pub fn set_poll_timestamps(&mut self, looks: PollTimestamps, somebody_waits: bool) {
        self.poll_timestamps = looks;
        if self.accepting && !somebody_waits {
            self.backlog_since = None;
        }
    }

    /// Whether the client of this connection is there, by a look that is recent enough or else by asking the kernel. One that
    /// has left is removed.
    pub fn is_client_connected(
        &mut self,
        number: u64,
        now: Nanos,
        events: &mut Vec<ListenerEvent>,
        counters: &mut Counters,
    ) -> bool {
        let Some(c) = self.connections.get_mut(&number) else {
            return false;
        };
        if PollTimestamps::is_fresh(c.presence.seen(&self.poll_timestamps, c.is_read()), now) {
            return true;
        }
        counters.clients_asked += 1;
        if has_peer_closed(c.stream.socket()) {
            counters.clients_found_gone += 1;
            self.close(number, counters, events);
            return false;
        }
        c.presence.is_there(now);
        true
    }

    /// Bytes held for clients, unread and unsent.
    pub fn buffered(&self) -> usize {
        let answered = |p: &PendingResponse| match p {
            PendingResponse::Answered(bytes) | PendingResponse::Streaming { bytes, .. } => {
                bytes.len()
            }
            PendingResponse::Waiting(_) => 0,
        };
        let of = |c: &ClientConnection| {
            c.input.len() + c.unsent_bytes() + c.responses.iter().map(answered).sum::<usize>()
        };
        self.connections.values().map(of).sum()
    }

    /// Whether any client connection is open.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Where clients connect, while the door is there.
    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.as_ref()?.socket().local_addr().ok()
    }

    /// Reads and writes what a connection is ready for.
    pub fn ready(
        &mut self,
        now: Nanos,
        ready: Readiness,
        events: &mut Vec<ListenerEvent>,
        counters: &mut Counters,
    ) {
        let EventSource::Client(number) = ready.source else {
            return;
        };
        if ready.writable {
            self.flush(number, now, events, counters);
        }
        if ready.readable {
            self.read(number, now, events, counters);
        }
    }

    fn read(
        &mut self,
        number: u64,
        now: Nanos,
        events: &mut Vec<ListenerEvent>,
        counters: &mut Counters,
    ) {
        let Some(c) = self.connections.get_mut(&number) else {
            return;
        };
        if c.close_by.is_some() {
            return self.drain_closing(number, counters, events);
        }
        if !c.is_read() {
            // Not watched for reading: it is broken, and nothing more can be answered on it. Or it was watched when this
            // turn began.
            if has_peer_closed(c.stream.socket()) {
                self.close(number, counters, events);
            }
            return;
        }
        let most = READ_SIZE.min(INPUT_MAX - c.input.len());
        match c.stream.socket().read(&mut self.read_buffer[..most]) {
            Ok(0) => self.close(number, counters, events),
            Ok(n) => {
                if c.has_sent_command && c.input.is_empty() {
                    // A connection may stand idle between commands; a command's time begins with its first byte.
                    c.command_since = now;
                }
                c.input.extend_from_slice(&self.read_buffer[..n]);
                c.last_active = now;
                let arrived = c.presence.read(&self.poll_timestamps, n == most);
                self.parse(number, (now, arrived), events, counters);
                self.flush(number, now, events, counters);
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
            Err(_) => self.close(number, counters, events),
        }
    }

    /// Takes the whole commands that have come, as many as may wait for their answers.
    fn parse(
        &mut self,
        number: u64,
        (now, arrived): (Nanos, Nanos),
        events: &mut Vec<ListenerEvent>,
        counters: &mut Counters,
    ) {
        let Some(c) = self.connections.get_mut(&number) else {
            return;
        };
        let mut at = 0;
        while c.takes_commands() {
            match parse_command(&c.input[at..]) {
                Ok(None) => break,
                Ok(Some((words, length))) => {
                    let input = &c.input[at..at + length];
                    at += length;
                    // One that has taken nothing yet may still ask; one that never ends must not keep its place for good.
                    // What has come there all the same is answered, or it would be lost.
                    let takes = self.policy.accepts_commands || !c.has_sent_command;
                    (c.has_sent_command, c.command_since) = (true, now);
                    let ticket = Ticket {
                        request: RequestId(self.next_request),
                        connection: number,
                    };
                    match command(input, &words, ticket, self.policy) {
                        ParsedCommand::Request(_) if !takes => {
                            counters.refused += 1;
                            c.responses.push_back(PendingResponse::Answered(encode(
                                FinalAnswer::Rejected { retry_after: 0 },
                            )));
                        }
                        ParsedCommand::Request(incoming) => {
                            let incoming = IncomingRequest {
                                arrived_at: arrived,
                                ..incoming
                            };
                            self.next_request += 1;
                            c.responses
                                .push_back(PendingResponse::Waiting(incoming.ticket.request));
                            counters.taken += 1;
                            events.push(ListenerEvent::Request(incoming));
                        }
                        ParsedCommand::Answer(answer) => {
                            c.responses.push_back(PendingResponse::Answered(answer))
                        }
                        ParsedCommand::Malformed(problem) => {
                            counters.malformed += 1;
                            c.responses
                                .push_back(PendingResponse::Answered(error(&format!(
                                    "ERR {problem}"
                                ))));
                        }
                        ParsedCommand::Nothing => {}
                    }
                }
                Err(e) => {
                    // Where the next command begins is not known: answer, then close.
                    log::debug!("client connection {number}: {e}");
                    counters.malformed += 1;
                    c.responses
                        .push_back(PendingResponse::Answered(error(&format!("ERR {e}"))));
                    c.closes_after_output = true;
                }
            }
        }
        c.input.drain(..at);
        if c.closes_after_output {
            c.input.clear();
        }
        if c.input.is_empty() {
            c.input = Vec::new();
        }
    }

    /// Gives the final answer for a ticket; it goes out once those before it on its connection have.
    pub fn answer(&mut self, ticket: Ticket, answer: FinalAnswer) {
        let Some(c) = self.connections.get_mut(&ticket.connection) else {
            return;
        };
        let waiting = |p: &&mut PendingResponse| matches!(p, PendingResponse::Waiting(id) if *id == ticket.request);
        if let Some(place) = c.responses.iter_mut().find(waiting) {
            *place = match answer {
                FinalAnswer::Streaming(_) => PendingResponse::Streaming {
                    request: ticket.request,
                    bytes: encode(answer),
                    paused: false,
                },
                answer => PendingResponse::Answered(encode(answer)),
            };
        }
    }

    /// The place of a value that comes in parts.
    fn streaming(&mut self, connection: u64, wanted: RequestId) -> Option<&mut PendingResponse> {
        let is_it = |p: &&mut PendingResponse| matches!(p, PendingResponse::Streaming { request, .. } if *request == wanted);
        self.connections
            .get_mut(&connection)?
            .responses
            .iter_mut()
            .find(is_it)
    }

    /// The next bytes of a value that comes in parts.
    pub fn append_chunk(&mut self, connection: u64, request: RequestId, part: &[u8]) {
        if let Some(PendingResponse::Streaming { bytes, .. }) = self.streaming(connection, request)
        {
            bytes.extend_from_slice(part);
        }
    }

    /// How much of this value waits for its client.
    pub fn pending_bytes(&self, connection: u64, wanted: RequestId) -> usize {
        let Some(c) = self.connections.get(&connection) else {
            return 0;
        };
        c.responses
            .iter()
            .enumerate()
            .find_map(|(place, p)| match p {
                // Of the first place some may be on its way out already.
                PendingResponse::Streaming { request, bytes, .. } if *request == wanted => {
                    Some(bytes.len() + if place == 0 { c.unsent_bytes() } else { 0 })
                }
                _ => None,
            })
            .unwrap_or(0)
    }

    /// Whether the cache of this value is not to be read until there is room: as soon as anything waits where memory is
    /// `tight`. [`ListenerEvent::Room`] tells when.
    pub fn apply_back_pressure(
        &mut self,
        connection: u64,
        request: RequestId,
        tight: bool,
    ) -> bool {
        let waits = self.pending_bytes(connection, request);
        let Some(PendingResponse::Streaming {
            paused: held_back, ..
        }) = self.streaming(connection, request)
        else {
            return false;
        };
        *held_back = waits >= WINDOW || tight && waits > 0;
        *held_back
    }

    /// A value that came in parts is through, or has broken off: then the connection ends, so that the client can tell.
    pub fn finish_streaming(
        &mut self,
        connection: u64,
        request: RequestId,
        whole: bool,
        now: Nanos,
        events: &mut Vec<ListenerEvent>,
        counters: &mut Counters,
    ) {
        let Some(place) = self.streaming(connection, request) else {
            return;
        };
        if let PendingResponse::Streaming { bytes, .. } = place {
            let mut bytes = std::mem::take(bytes);
            bytes.extend_from_slice(if whole { b"\r\n" } else { b"" });
            *place = PendingResponse::Answered(bytes);
        }
        if whole {
            self.flush(connection, now, events, counters)
        } else {
            self.close(connection, counters, events)
        }
    }

    /// Writes what may go out on this connection, and goes on with commands that waited for that.
    pub fn flush(
        &mut self,
        number: u64,
        now: Nanos,
        events: &mut Vec<ListenerEvent>,
        counters: &mut Counters,
    ) {
        loop {
            let Some(c) = self.connections.get_mut(&number) else {
                return;
            };
            while let Some(PendingResponse::Answered(_)) = c.responses.front()
                && let Some(PendingResponse::Answered(bytes)) = c.responses.pop_front()
            {
                c.output.extend_from_slice(&bytes);
                // The client's next command is not late for what it had to wait.
                c.command_since = now;
            }
            if let Some(PendingResponse::Streaming { bytes, .. }) = c.responses.front_mut() {
                c.output.drain(..std::mem::take(&mut c.written));
                c.output.append(bytes);
            }
            while c.unsent_bytes() > 0 {
                match c.stream.socket().write(&c.output[c.written..]) {
                    Ok(0) => return self.close(number, counters, events),
                    Ok(n) => {
                        c.written += n;
                        c.last_active = now;
                    }
                    Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                    Err(e) if e.kind() == ErrorKind::Interrupted => {}
                    Err(_) => return self.close(number, counters, events),
                }
            }
            if c.unsent_bytes() == 0 {
                (c.output, c.written) = (Vec::new(), 0);
            }
            let unsent = c.unsent_bytes();
            if let Some(PendingResponse::Streaming {
                request,
                paused: held_back,
                ..
            }) = c.responses.front_mut()
                && *held_back
                && unsent == 0
            {
                *held_back = false;
                events.push(ListenerEvent::CapacityAvailable(*request));
            }
            if c.close_by.is_some() {
                return;
            }
            // Who has just come is about to ask: as long as others come too, the sweep closes those that say nothing. Half a
            // command is no reason to stay once none is taken; until then what waits to be read is.
            let has_asked = c.has_sent_command || self.policy.listener_mode == ListenerMode::Closed;
            let nothing_begun =
                c.input.is_empty() || c.has_sent_command && !self.policy.accepts_commands;
            let done =
                c.closes_after_output || self.policy.closes_idle && has_asked && nothing_begun;
            let stays = || {
                let whole = matches!(parse_command(&c.input), Ok(Some(_)) | Err(_));
                whole || self.policy.accepts_commands && !is_open_without_input(c.stream.socket())
            };
            if done
                && c.responses.is_empty()
                && c.unsent_bytes() == 0
                && (c.closes_after_output || !stays())
            {
                return self.close_gracefully(number, now, counters, events);
            }
            // Commands that were left unread because too much was owed may go on now.
            let before = c.responses.len();
            if !c.input.is_empty() && c.takes_commands() {
                // What waited behind others on its connection has its time from now on, unless it has just come.
                let arrived = c
                    .presence
                    .read_in_turn(&self.poll_timestamps)
                    .unwrap_or(now);
                self.parse(number, (now, arrived), events, counters);
            }
            let Some(c) = self.connections.get_mut(&number) else {
                return;
            };
            let more = matches!(c.responses.front(), Some(PendingResponse::Answered(_)))
                && c.responses.len() > before;
            if more && c.unsent_bytes() == 0 {
                continue;
            }
            // While answers are owed the end of the connection is still of interest: the client has gone.
            let (read, write) = (c.is_read(), c.unsent_bytes() > 0);
            if c.stream.interest(read, write).is_err() {
                self.close(number, counters, events);
            }
            return;
        }
    }

    /// Ends a connection on which nothing is owed. Closing over bytes that are unread, or that still come, resets it, and
    /// what was just answered may be destroyed on its way. So at first only our sending ends.
    fn close_gracefully(
        &mut self,
        number: u64,
        now: Nanos,
        counters: &mut Counters,
        events: &mut Vec<ListenerEvent>,
    ) {
        let Some(c) = self.connections.get_mut(&number) else {
            return;
        };
        if !c.has_sent_command && !c.closes_after_output {
            // Nothing was ever answered on it.
            return self.close(number, counters, events);
        }
        c.close_by = Some(now + LEAVE);
        c.input = Vec::new();
        if c.stream.socket().shutdown(Shutdown::Write).is_err()
            || c.stream.interest(true, false).is_err()
        {
            return self.close(number, counters, events);
        }
        self.drain_closing(number, counters, events);
    }

    /// Takes what still comes on a connection that leaves, where its framing is lost. A command that can be read stays
    /// unread: whoever sent it is told by the reset, and sends it elsewhere.
    fn drain_closing(
        &mut self,
        number: u64,
        counters: &mut Counters,
        events: &mut Vec<ListenerEvent>,
    ) {
        let Some(c) = self.connections.get_mut(&number) else {
            return;
        };
        let socket = c.stream.socket();
        let stays = if c.closes_after_output {
            discard(socket, DISCARD_MAX)
        } else {
            match socket.peek(&mut [0]) {
                Ok(0) => false,
                // From now on its end is looked for in the sweep.
                Ok(_) => !has_peer_closed(socket) && c.stream.interest(false, false).is_ok(),
                Err(e) => e.kind() == ErrorKind::WouldBlock,
            }
        };
        if !stays {
            self.close(number, counters, events);
        }
    }

    /// Closes a connection; whoever waited on it has gone.
    fn close(&mut self, number: u64, counters: &mut Counters, events: &mut Vec<ListenerEvent>) {
        let Some(c) = self.connections.remove(&number) else {
            return;
        };
        counters.clients_closed += 1;
        for place in c.responses {
            if let PendingResponse::Waiting(request) | PendingResponse::Streaming { request, .. } =
                place
            {
                counters.gone += 1;
                events.push(ListenerEvent::ClientDisconnected(request));
            }
        }
        self.set_accept_paused(false);
    }

    /// Takes over what follows from the life cycle now. Whoever waits at a door that is about to close is let in first,
    /// and what has come is read before its connection is closed: otherwise it would be lost.
    pub fn apply_policy(
        &mut self,
        stance: LifecyclePolicy,
        now: Nanos,
        events: &mut Vec<ListenerEvent>,
        counters: &mut Counters,
    ) {
        if self.policy == stance {
            return;
        }
        if stance.listener_mode == ListenerMode::Closed {
            // As many as wait, in several turns' worth; those that are taken are too new to make room, so `most` is the end.
            let mut before = None;
            while before.replace(counters.clients_accepted) != Some(counters.clients_accepted) {
                self.accept(now, counters);
            }
        }
        self.policy = stance;
        if stance.listener_mode == ListenerMode::Closed {
            // Only this process's descriptor of it: the socket may be shared with another.
            self.listener = None;
        }
        self.set_accept_paused(false);
        if stance.closes_idle {
            for number in self.connections.keys().copied().collect::<Vec<_>>() {
                self.read(number, now, events, counters);
                self.flush(number, now, events, counters);
            }
        }
    }
}

#[cfg(test)]
mod tests;
