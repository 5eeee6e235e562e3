//! The RESP front: client connections, commands in, answers out in the order of the commands.

use super::LEAVE;
use crate::counters::Counters;
use crate::life_cycle::{Door, Stance};
use crate::looks::{Looks, Presence};
use crate::poll::{Poll, Ready, Source, Watched, discard, has_ended, has_unsent, is_silent};
use crate::request::{FinalAnswer, Incoming, Order, Ticket};
use crate::resp::{self, VALUE_MAX, read_command};
use crate::timers::MS;
use finchyard::{Nanos, RequestId};
use std::collections::{BTreeMap, VecDeque};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::ops::Range;

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
/// The most work that a client may guess, in microseconds: more than an hour is no guess.
const HINT_MAX: f64 = 3.6e9;
/// No client waits longer than this.
const PATIENCE_MAX: f64 = 3_600_000.0;

/// What a front tells the core.
#[derive(Debug)]
pub enum FrontEvent {
    /// A request has come.
    Request(Incoming),
    /// The client of this request has left.
    Gone(RequestId),
    /// More of this request's value can be taken.
    Room(RequestId),
}

/// An answer that is owed on a connection, or has come but waits for those before it.
enum Place {
    Waiting(RequestId),
    Answered(Vec<u8>),
    /// The value comes in parts.
    Coming {
        request: RequestId,
        /// What has come and is not with the rest of the output yet.
        bytes: Vec<u8>,
        /// Its cache isn't read until there is room.
        held_back: bool,
    },
}

struct ClientConnection {
    stream: Watched<TcpStream>,
    input: Vec<u8>,
    /// Answers in the order of the commands.
    places: VecDeque<Place>,
    output: Vec<u8>,
    written: usize,
    /// Close once all is answered: the framing is lost.
    last: bool,
    /// When it last took or got something.
    active: Nanos,
    /// Since when a command could have been coming.
    since: Nanos,
    /// It has sent something whole.
    spoken: bool,
    /// Nothing more is sent on it: it is closed when the client has closed, or by this time.
    leaves: Option<Nanos>,
    /// What the looks at its socket tell of the client.
    presence: Presence,
}

impl ClientConnection {
    fn unsent(&self) -> usize {
        self.output.len() - self.written
    }

    fn takes_commands(&self) -> bool {
        !self.last && self.leaves.is_none() && self.places.len() < OWED_MAX && self.unsent() < UNSENT_MAX
    }

    /// Between requests: nothing owed, nothing begun, nothing unsent.
    fn is_idle(&self) -> bool {
        self.leaves.is_none() && self.places.is_empty() && self.unsent() == 0 && self.input.is_empty()
    }

    /// Whether it is watched for reading, which also shows its end.
    fn is_read(&self) -> bool {
        self.leaves.is_none() && !self.last && self.input.len() < INPUT_MAX && self.unsent() < UNSENT_MAX
    }
}

/// All client connections.
pub struct RespFront {
    poll: Poll,
    listener: Option<Watched<TcpListener>>,
    connections: BTreeMap<u64, ClientConnection>,
    most: usize,
    next_connection: u64,
    /// The module's request ids: our own count, never the client's.
    next_request: u128,
    /// What follows from the life cycle; set by `follow` alone.
    stance: Stance,
    accepting: bool,
    /// When the sockets were last looked at.
    looks: Looks,
    /// Since when clients may have waited at the listener, if not all were taken.
    door_waits: Option<Nanos>,
    /// What one read takes: kept by all together, since most connections stand idle.
    scratch: Vec<u8>,
}

impl RespFront {
    /// Takes clients from this socket; at most `most` connections are held at once.
    pub fn listen(
        poll: &Poll,
        listener: TcpListener,
        most: usize,
        stance: Stance,
        looks: Looks,
    ) -> io::Result<Self> {
        log::info!("listening on {}, for at most {most} client connections", listener.local_addr()?);
        listener.set_nonblocking(true)?;
        let listener = poll.watch(listener, Source::Listener, true, false)?;
        let mut front = RespFront {
            poll: poll.clone(),
            listener: Some(listener),
            connections: BTreeMap::new(),
            most,
            next_connection: 0,
            next_request: 1,
            stance,
            accepting: true,
            looks,
            door_waits: None,
            scratch: vec![0; READ_SIZE],
        };
        front.pause(false);
        Ok(front)
    }

    /// From now on at most this many connections are held; those that are open stay.
    pub fn set_most(&mut self, most: usize) {
        self.most = most;
    }

    /// The sockets were looked at, and somebody waits at the listener or not; to be told before what was found is taken in.
    pub fn set_looks(&mut self, looks: Looks, somebody_waits: bool) {
        self.looks = looks;
        if self.accepting && !somebody_waits {
            self.door_waits = None;
        }
    }

    /// Whether the client of this connection is there, by a look that is recent enough or else by asking the kernel. One that
    /// has left is removed.
    pub fn is_there(
        &mut self,
        number: u64,
        now: Nanos,
        events: &mut Vec<FrontEvent>,
        counters: &mut Counters,
    ) -> bool {
        let Some(c) = self.connections.get_mut(&number) else { return false };
        if Looks::is_fresh(c.presence.seen(&self.looks, c.is_read()), now) {
            return true;
        }
        counters.clients_asked += 1;
        if has_ended(c.stream.socket()) {
            counters.clients_found_gone += 1;
            self.remove(number, counters, events);
            return false;
        }
        c.presence.is_there(now);
        true
    }

    /// Bytes held for clients, unread and unsent.
    pub fn buffered(&self) -> usize {
        let answered = |p: &Place| match p {
            Place::Answered(bytes) | Place::Coming { bytes, .. } => bytes.len(),
            Place::Waiting(_) => 0,
        };
        let of =
            |c: &ClientConnection| c.input.len() + c.unsent() + c.places.iter().map(answered).sum::<usize>();
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

    /// Takes the clients that wait at the door.
    pub fn accept(&mut self, now: Nanos, counters: &mut Counters) {
        if self.stance.door.is_others() {
            return;
        }
        // Who is taken now may have waited since then, unless none was left when the listener was last served.
        let waited_since = self.looks.arrived().min(self.door_waits.unwrap_or(Nanos::MAX));
        self.door_waits = Some(waited_since);
        for _ in 0..ACCEPT_MAX {
            if self.connections.len() >= self.most && !self.make_room(now, counters) {
                // All are at work: whoever comes waits in the listener's queue until one is done. Taking it
                // would use up the descriptors that peers and discovery need.
                return self.pause(true);
            }
            let Some(listener) = &self.listener else { return };
            match listener.socket().accept() {
                Ok((stream, _)) => {
                    let number = self.next_connection;
                    let watched = stream
                        .set_nonblocking(true)
                        .and_then(|()| stream.set_nodelay(true))
                        .and_then(|()| self.poll.watch(stream, Source::Client(number), true, false));
                    let stream = match watched {
                        Ok(stream) => stream,
                        Err(e) => {
                            log::warn!("client connection {number}: {e}");
                            continue;
                        }
                    };
                    self.next_connection += 1;
                    counters.clients_accepted += 1;
                    self.connections.insert(
                        number,
                        ClientConnection {
                            stream,
                            input: Vec::new(),
                            places: VecDeque::new(),
                            output: Vec::new(),
                            written: 0,
                            last: false,
                            active: now,
                            since: now,
                            spoken: false,
                            leaves: None,
                            presence: Presence::accepted(&self.looks, waited_since),
                        },
                    );
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.door_waits = None;
                    return;
                }
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                Err(e) => {
                    // Out of descriptors, most likely: without a pause the loop would spin on the same error.
                    log::warn!("accepting clients: {e}");
                    return self.pause(true);
                }
            }
        }
    }

    fn pause(&mut self, pause: bool) {
        let pause = pause || self.stance.door.is_others();
        if let Some(listener) = &mut self.listener
            && self.accepting == pause
        {
            match listener.interest(!pause, false) {
                Ok(()) => {
                    self.accepting = !pause;
                    if pause {
                        // Nobody looks at the listener from now on.
                        self.door_waits.get_or_insert(self.looks.quiet());
                    }
                }
                Err(e) => log::warn!("listener: {e}"),
            }
        }
    }

    /// Closes the connection that has been idle longest, if one is. One that was just taken, or on which something
    /// waits to be read, is not idle: in a rush of newcomers each would be closed for the next, its request unread. Nor is
    /// one that is still taking its last answer.
    /// Those that leave anyway go first, then those on which nothing ever came, or clients that say nothing would push
    /// out those that do.
    fn make_room(&mut self, now: Nanos, counters: &mut Counters) -> bool {
        let mute = self.connections.values().filter(|c| !c.spoken && c.input.is_empty()).count();
        let spoken_least = if mute > self.most / MUTE_PART { IDLE_CROWDED } else { IDLE_FULL };
        // In this order; whether something waits to be read or sent is asked last, for it is a system call.
        let rank = |c: &ClientConnection| {
            if c.leaves.is_some() {
                return Some(0);
            }
            let still = now.saturating_sub(c.active);
            if !c.is_idle() {
                (c.places.is_empty() && !c.input.is_empty() && still >= HALF_LEAST).then_some(3)
            } else if c.spoken {
                (still >= spoken_least).then_some(2)
            } else {
                (still >= MUTE_LEAST).then_some(1)
            }
        };
        let ranked = self.connections.iter().filter_map(|(n, c)| Some((rank(c)?, c.active, *n)));
        let mut ranked: Vec<(u8, Nanos, u64)> = ranked.collect();
        ranked.sort_unstable();
        let silent = |n: &u64| {
            let stands =
                |c: &ClientConnection| is_silent(c.stream.socket()) && !has_unsent(c.stream.socket());
            self.connections.get(n).is_some_and(|c| c.leaves.is_some() || stands(c))
        };
        let number = ranked.into_iter().map(|(.., number)| number).find(silent);
        let Some(number) = number else { return false };
        self.remove(number, counters, &mut Vec::new());
        true
    }

    /// Reads and writes what a connection is ready for.
    pub fn ready(&mut self, now: Nanos, ready: Ready, events: &mut Vec<FrontEvent>, counters: &mut Counters) {
        let Source::Client(number) = ready.source else { return };
        if ready.writable {
            self.flush(number, now, events, counters);
        }
        if ready.readable {
            self.read(number, now, events, counters);
        }
    }

    fn read(&mut self, number: u64, now: Nanos, events: &mut Vec<FrontEvent>, counters: &mut Counters) {
        let Some(c) = self.connections.get_mut(&number) else { return };
        if c.leaves.is_some() {
            return self.leaving(number, counters, events);
        }
        if !c.is_read() {
            // Not watched for reading: it is broken, and nothing more can be answered on it. Or it was watched when this
            // turn began.
            if has_ended(c.stream.socket()) {
                self.remove(number, counters, events);
            }
            return;
        }
        let most = READ_SIZE.min(INPUT_MAX - c.input.len());
        match c.stream.socket().read(&mut self.scratch[..most]) {
            Ok(0) => self.remove(number, counters, events),
            Ok(n) => {
                if c.spoken && c.input.is_empty() {
                    // A connection may stand idle between commands; a command's time begins with its first byte.
                    c.since = now;
                }
                c.input.extend_from_slice(&self.scratch[..n]);
                c.active = now;
                let arrived = c.presence.read(&self.looks, n == most);
                self.parse(number, (now, arrived), events, counters);
                self.flush(number, now, events, counters);
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
            Err(_) => self.remove(number, counters, events),
        }
    }

    /// Takes the whole commands that have come, as many as may wait for their answers.
    fn parse(
        &mut self,
        number: u64,
        (now, arrived): (Nanos, Nanos),
        events: &mut Vec<FrontEvent>,
        counters: &mut Counters,
    ) {
        let Some(c) = self.connections.get_mut(&number) else { return };
        let mut at = 0;
        while c.takes_commands() {
            match read_command(&c.input[at..]) {
                Ok(None) => break,
                Ok(Some((words, length))) => {
                    let input = &c.input[at..at + length];
                    at += length;
                    // One that has taken nothing yet may still ask; one that never ends must not keep its place for good.
                    // What has come there all the same is answered, or it would be lost.
                    let takes = self.stance.takes || !c.spoken;
                    (c.spoken, c.since) = (true, now);
                    let ticket = Ticket { request: RequestId(self.next_request), connection: number };
                    match command(input, &words, ticket, self.stance) {
                        Taken::Request(_) if !takes => {
                            counters.refused += 1;
                            c.places
                                .push_back(Place::Answered(encode(FinalAnswer::Refused { retry_after: 0 })));
                        }
                        Taken::Request(incoming) => {
                            let incoming = Incoming { arrived, ..incoming };
                            self.next_request += 1;
                            c.places.push_back(Place::Waiting(incoming.ticket.request));
                            counters.taken += 1;
                            events.push(FrontEvent::Request(incoming));
                        }
                        Taken::Answer(answer) => c.places.push_back(Place::Answered(answer)),
                        Taken::Malformed(problem) => {
                            counters.malformed += 1;
                            c.places.push_back(Place::Answered(error(&format!("ERR {problem}"))));
                        }
                        Taken::Nothing => {}
                    }
                }
                Err(e) => {
                    // Where the next command begins is not known: answer, then close.
                    log::debug!("client connection {number}: {e}");
                    counters.malformed += 1;
                    c.places.push_back(Place::Answered(error(&format!("ERR {e}"))));
                    c.last = true;
                }
            }
        }
        c.input.drain(..at);
        if c.last {
            c.input.clear();
        }
        if c.input.is_empty() {
            c.input = Vec::new();
        }
    }

    /// Gives the final answer for a ticket; it goes out once those before it on its connection have.
    pub fn answer(&mut self, ticket: Ticket, answer: FinalAnswer) {
        let Some(c) = self.connections.get_mut(&ticket.connection) else { return };
        let waiting = |p: &&mut Place| matches!(p, Place::Waiting(id) if *id == ticket.request);
        if let Some(place) = c.places.iter_mut().find(waiting) {
            *place = match answer {
                FinalAnswer::Coming(_) => {
                    Place::Coming { request: ticket.request, bytes: encode(answer), held_back: false }
                }
                answer => Place::Answered(encode(answer)),
            };
        }
    }

    /// The place of a value that comes in parts.
    fn coming(&mut self, connection: u64, wanted: RequestId) -> Option<&mut Place> {
        let is_it = |p: &&mut Place| matches!(p, Place::Coming { request, .. } if *request == wanted);
        self.connections.get_mut(&connection)?.places.iter_mut().find(is_it)
    }

    /// The next bytes of a value that comes in parts.
    pub fn part(&mut self, connection: u64, request: RequestId, part: &[u8]) {
        if let Some(Place::Coming { bytes, .. }) = self.coming(connection, request) {
            bytes.extend_from_slice(part);
        }
    }

    /// How much of this value waits for its client.
    pub fn waits(&self, connection: u64, wanted: RequestId) -> usize {
        let Some(c) = self.connections.get(&connection) else { return 0 };
        c.places
            .iter()
            .enumerate()
            .find_map(|(place, p)| match p {
                // Of the first place some may be on its way out already.
                Place::Coming { request, bytes, .. } if *request == wanted => {
                    Some(bytes.len() + if place == 0 { c.unsent() } else { 0 })
                }
                _ => None,
            })
            .unwrap_or(0)
    }

    /// Whether the cache of this value is not to be read until there is room: as soon as anything waits where memory is
    /// `tight`. [`FrontEvent::Room`] tells when.
    pub fn holds_back(&mut self, connection: u64, request: RequestId, tight: bool) -> bool {
        let waits = self.waits(connection, request);
        let Some(Place::Coming { held_back, .. }) = self.coming(connection, request) else { return false };
        *held_back = waits >= WINDOW || tight && waits > 0;
        *held_back
    }

    /// A value that came in parts is through, or has broken off: then the connection ends, so that the client can tell.
    pub fn finish(
        &mut self,
        connection: u64,
        request: RequestId,
        whole: bool,
        now: Nanos,
        events: &mut Vec<FrontEvent>,
        counters: &mut Counters,
    ) {
        let Some(place) = self.coming(connection, request) else { return };
        if let Place::Coming { bytes, .. } = place {
            let mut bytes = std::mem::take(bytes);
            bytes.extend_from_slice(if whole { b"\r\n" } else { b"" });
            *place = Place::Answered(bytes);
        }
        if whole {
            self.flush(connection, now, events, counters)
        } else {
            self.remove(connection, counters, events)
        }
    }

    /// Writes what may go out on this connection, and goes on with commands that waited for that.
    pub fn flush(&mut self, number: u64, now: Nanos, events: &mut Vec<FrontEvent>, counters: &mut Counters) {
        loop {
            let Some(c) = self.connections.get_mut(&number) else { return };
            while let Some(Place::Answered(_)) = c.places.front()
                && let Some(Place::Answered(bytes)) = c.places.pop_front()
            {
                c.output.extend_from_slice(&bytes);
                // The client's next command is not late for what it had to wait.
                c.since = now;
            }
            if let Some(Place::Coming { bytes, .. }) = c.places.front_mut() {
                c.output.drain(..std::mem::take(&mut c.written));
                c.output.append(bytes);
            }
            while c.unsent() > 0 {
                match c.stream.socket().write(&c.output[c.written..]) {
                    Ok(0) => return self.remove(number, counters, events),
                    Ok(n) => {
                        c.written += n;
                        c.active = now;
                    }
                    Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                    Err(e) if e.kind() == ErrorKind::Interrupted => {}
                    Err(_) => return self.remove(number, counters, events),
                }
            }
            if c.unsent() == 0 {
                (c.output, c.written) = (Vec::new(), 0);
            }
            let unsent = c.unsent();
            if let Some(Place::Coming { request, held_back, .. }) = c.places.front_mut()
                && *held_back
                && unsent == 0
            {
                *held_back = false;
                events.push(FrontEvent::Room(*request));
            }
            if c.leaves.is_some() {
                return;
            }
            // Who has just come is about to ask: as long as others come too, the sweep closes those that say nothing. Half a
            // command is no reason to stay once none is taken; until then what waits to be read is.
            let has_asked = c.spoken || self.stance.door == Door::Closed;
            let nothing_begun = c.input.is_empty() || c.spoken && !self.stance.takes;
            let done = c.last || self.stance.closes_idle && has_asked && nothing_begun;
            let stays = || {
                let whole = matches!(read_command(&c.input), Ok(Some(_)) | Err(_));
                whole || self.stance.takes && !is_silent(c.stream.socket())
            };
            if done && c.places.is_empty() && c.unsent() == 0 && (c.last || !stays()) {
                return self.leave(number, now, counters, events);
            }
            // Commands that were left unread because too much was owed may go on now.
            let before = c.places.len();
            if !c.input.is_empty() && c.takes_commands() {
                // What waited behind others on its connection has its time from now on, unless it has just come.
                let arrived = c.presence.read_in_turn(&self.looks).unwrap_or(now);
                self.parse(number, (now, arrived), events, counters);
            }
            let Some(c) = self.connections.get_mut(&number) else { return };
            let more = matches!(c.places.front(), Some(Place::Answered(_))) && c.places.len() > before;
            if more && c.unsent() == 0 {
                continue;
            }
            // While answers are owed the end of the connection is still of interest: the client has gone.
            let (read, write) = (c.is_read(), c.unsent() > 0);
            if c.stream.interest(read, write).is_err() {
                self.remove(number, counters, events);
            }
            return;
        }
    }

    /// Ends a connection on which nothing is owed. Closing over bytes that are unread, or that still come, resets it, and
    /// what was just answered may be destroyed on its way. So at first only our sending ends.
    fn leave(&mut self, number: u64, now: Nanos, counters: &mut Counters, events: &mut Vec<FrontEvent>) {
        let Some(c) = self.connections.get_mut(&number) else { return };
        if !c.spoken && !c.last {
            // Nothing was ever answered on it.
            return self.remove(number, counters, events);
        }
        c.leaves = Some(now + LEAVE);
        c.input = Vec::new();
        if c.stream.socket().shutdown(Shutdown::Write).is_err() || c.stream.interest(true, false).is_err() {
            return self.remove(number, counters, events);
        }
        self.leaving(number, counters, events);
    }

    /// Takes what still comes on a connection that leaves, where its framing is lost. A command that can be read stays
    /// unread: whoever sent it is told by the reset, and sends it elsewhere.
    fn leaving(&mut self, number: u64, counters: &mut Counters, events: &mut Vec<FrontEvent>) {
        let Some(c) = self.connections.get_mut(&number) else { return };
        let socket = c.stream.socket();
        let stays = if c.last {
            discard(socket, DISCARD_MAX)
        } else {
            match socket.peek(&mut [0]) {
                Ok(0) => false,
                // From now on its end is looked for in the sweep.
                Ok(_) => !has_ended(socket) && c.stream.interest(false, false).is_ok(),
                Err(e) => e.kind() == ErrorKind::WouldBlock,
            }
        };
        if !stays {
            self.remove(number, counters, events);
        }
    }

    /// Closes a connection; whoever waited on it has gone.
    fn remove(&mut self, number: u64, counters: &mut Counters, events: &mut Vec<FrontEvent>) {
        let Some(c) = self.connections.remove(&number) else { return };
        counters.clients_closed += 1;
        for place in c.places {
            if let Place::Waiting(request) | Place::Coming { request, .. } = place {
                counters.gone += 1;
                events.push(FrontEvent::Gone(request));
            }
        }
        self.pause(false);
    }

    /// Looks for clients that take nothing of what they are owed, say nothing or nothing whole, or are done, and tries
    /// the door again after an error.
    pub fn sweep(&mut self, now: Nanos, events: &mut Vec<FrontEvent>, counters: &mut Counters) {
        let stuck = |c: &ClientConnection| c.unsent() > 0 && now.saturating_sub(c.active) > STUCK;
        let stuck: Vec<u64> = self.connections.iter().filter(|(_, c)| stuck(c)).map(|(n, _)| *n).collect();
        for number in stuck {
            self.remove(number, counters, events);
        }
        // Where nothing is read, for too much is owed or too much has come, no read shows the end.
        let left = |c: &ClientConnection| match c.leaves {
            Some(until) => now >= until || has_ended(c.stream.socket()),
            None => !c.is_read() && has_ended(c.stream.socket()),
        };
        let left: Vec<u64> = self.connections.iter().filter(|(_, c)| left(c)).map(|(n, _)| *n).collect();
        for number in left {
            let waits = |c: &ClientConnection| c.leaves.is_none() && !c.places.is_empty();
            counters.left_unread += u64::from(self.connections.get(&number).is_some_and(waits));
            self.remove(number, counters, events);
        }
        // A client that says nothing, or half a command, must hold neither place nor memory for good.
        let unfinished = |c: &ClientConnection| {
            !(c.spoken && c.input.is_empty())
                && c.takes_commands()
                && c.places.is_empty()
                && now.saturating_sub(c.since) >= UNFINISHED
                // What has come but is not read yet may end it.
                && is_silent(c.stream.socket())
        };
        let late: Vec<u64> =
            self.connections.iter().filter(|(_, c)| unfinished(c)).map(|(n, _)| *n).collect();
        for number in late {
            counters.clients_unfinished += 1;
            if let Some(c) = self.connections.get_mut(&number).filter(|c| !c.input.is_empty()) {
                c.places.push_back(Place::Answered(error("ERR the command did not end in time")));
                c.input = Vec::new();
                c.last = true;
                self.flush(number, now, events, counters);
            } else {
                self.leave(number, now, counters, events);
            }
        }
        let stay = self.connections.values().filter(|c| c.leaves.is_none()).count();
        let crowded = stay > self.most / 2;
        let most = match (self.stance.closes_idle, crowded) {
            (true, _) => IDLE_CLOSING,
            (false, true) => IDLE_CROWDED,
            (false, false) => IDLE,
        };
        let done = |c: &ClientConnection| {
            c.is_idle() && now.saturating_sub(c.active) >= most && is_silent(c.stream.socket())
        };
        let mut done: Vec<u64> = self.connections.iter().filter(|(_, c)| done(c)).map(|(n, _)| *n).collect();
        let most = self.most * CROWD / 100;
        let beyond = stay.saturating_sub(done.len()).saturating_sub(most);
        let idle = |c: &ClientConnection| {
            c.spoken
                && c.is_idle()
                && now.saturating_sub(c.active) >= IDLE_LEAST
                && is_silent(c.stream.socket())
        };
        if beyond > 0 {
            let idle = self.connections.iter().filter(|(n, c)| idle(c) && !done.contains(n));
            let mut idle: Vec<(Nanos, u64)> = idle.map(|(n, c)| (c.active, *n)).collect();
            idle.sort_unstable();
            done.extend(idle.into_iter().take(beyond).map(|(_, number)| number));
        }
        for number in done {
            counters.clients_idle += 1;
            self.leave(number, now, counters, events);
        }
        // Also at the limit: connections that were at work when the door was shut may be idle by now, and a
        // newcomer would wait for good if only a client's leaving could open it again.
        self.pause(false);
    }

    /// Takes over what follows from the life cycle now. Whoever waits at a door that is about to close is let in first,
    /// and what has come is read before its connection is closed: otherwise it would be lost.
    pub fn follow(
        &mut self,
        stance: Stance,
        now: Nanos,
        events: &mut Vec<FrontEvent>,
        counters: &mut Counters,
    ) {
        if self.stance == stance {
            return;
        }
        if stance.door == Door::Closed {
            // As many as wait, in several turns' worth; those that are taken are too new to make room, so `most` is the end.
            let mut before = None;
            while before.replace(counters.clients_accepted) != Some(counters.clients_accepted) {
                self.accept(now, counters);
            }
        }
        self.stance = stance;
        if stance.door == Door::Closed {
            // Only this process's descriptor of it: the socket may be shared with another.
            self.listener = None;
        }
        self.pause(false);
        if stance.closes_idle {
            for number in self.connections.keys().copied().collect::<Vec<_>>() {
                self.read(number, now, events, counters);
                self.flush(number, now, events, counters);
            }
        }
    }
}

/// What a command turns out to be.
enum Taken {
    Request(Incoming),
    /// Something the balancer answers itself.
    Answer(Vec<u8>),
    Malformed(String),
    /// An empty command, which is not answered.
    Nothing,
}

fn command(input: &[u8], words: &[Range<usize>], ticket: Ticket, stance: Stance) -> Taken {
    let word = |i: usize| words.get(i).map_or(&[][..], |range| &input[range.clone()]);
    if words.is_empty() {
        return Taken::Nothing;
    }
    let name = word(0).to_ascii_uppercase();
    match (name.as_slice(), words.len()) {
        (b"C.GET", 4) | (b"C.SET", 5) => {
            let value = (words.len() == 5).then(|| word(4).to_vec());
            request([word(1), word(2), word(3)], value, ticket).map_or_else(Taken::Malformed, Taken::Request)
        }
        (b"C.GET" | b"C.SET", _) => Taken::Malformed("wrong number of arguments".into()),
        (b"PING", _) if stance.ready => Taken::Answer(b"+PONG\r\n".to_vec()),
        (b"PING", _) => Taken::Answer(error(&format!("LOADING {}", stance.state))),
        (b"CLIENT" | b"SELECT", _) => Taken::Answer(b"+OK\r\n".to_vec()),
        _ => {
            Taken::Malformed(format!("unknown command '{}'", word(0)[..word(0).len().min(32)].escape_ascii()))
        }
    }
}

fn request(
    [key, id, fields]: [&[u8]; 3],
    value: Option<Vec<u8>>,
    ticket: Ticket,
) -> Result<Incoming, String> {
    if key.is_empty() || id.is_empty() {
        return Err("key or id is empty".into());
    }
    let fields = std::str::from_utf8(fields).map_err(|_| "fields are not UTF-8".to_string())?;
    let (mut class, mut tenant, mut patience, mut work, mut kept) = (None, None, None, None, Vec::new());
    for field in fields.split(',').filter(|f| !f.is_empty()) {
        let (name, text) = field.split_once('=').ok_or_else(|| format!("field '{field}' has no value"))?;
        match name {
            "c" => class = Some(text.to_string()),
            "t" => tenant = Some(text.to_string()),
            "d" => patience = Some(text),
            // A guess, in microseconds: one that makes no sense is none.
            "h" => {
                let us = text.parse::<f64>().ok().filter(|us| (1.0..=HINT_MAX).contains(us));
                work = us.map(|us| (us * 1_000.0) as Nanos);
            }
            _ => {}
        }
        if name != "d" {
            kept.push((name.to_string(), text.to_string()));
        }
    }
    let class = class.ok_or("field 'c' is missing")?;
    let patience = patience.ok_or("field 'd' is missing")?;
    // Whatever a client writes, no time may overflow or run backwards: digits alone, no sign, no "inf".
    if !patience.bytes().all(|b| b.is_ascii_digit() || b == b'.') {
        return Err(format!("field 'd': '{patience}' is no time"));
    }
    let ms: f64 = patience.parse().map_err(|_| format!("field 'd': '{patience}' is no number"))?;
    if ms > PATIENCE_MAX {
        return Err(format!("field 'd': '{patience}' is too long a time"));
    }
    let patience = (ms * MS as f64) as Nanos;
    let order = Order { value, key: key.to_vec(), id: id.to_vec(), fields: kept };
    Ok(Incoming { ticket, class, tenant, arrived: 0, patience, work, order })
}

fn error(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    resp::write_error(&mut out, text);
    out
}

fn encode(answer: FinalAnswer) -> Vec<u8> {
    match answer {
        FinalAnswer::Served(value) => {
            let mut out = Vec::with_capacity(value.len() + 16);
            resp::write_bulk(&mut out, &value);
            out
        }
        // The value itself comes in parts.
        FinalAnswer::Coming(length) => format!("${length}\r\n").into_bytes(),
        FinalAnswer::Refused { retry_after: 0 } => error("BUSY"),
        FinalAnswer::Refused { retry_after } => error(&format!("BUSY {}", retry_after.div_ceil(MS))),
        FinalAnswer::Failed => error("ERR failed"),
        FinalAnswer::Invalid(problem) => error(&format!("ERR {problem}")),
    }
}

#[cfg(test)]
mod tests;
