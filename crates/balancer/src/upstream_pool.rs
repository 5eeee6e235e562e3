//! The tile caches, and the pools of connections to them. A connection carries one job at a time, so
//! that giving a job up (by closing) takes no other with it and no answer waits for a slower one before it.

use crate::counters::Counters;
use crate::poll::{EventSource, Poll, Readiness, Registered, connect, is_open_without_input};
use crate::resp::{Answer, Reply, RespError, parse_reply, parse_response};
use crate::response_stream::{ResponseStream, is_long};
use crate::timers::{MS, TimerKind, Timers};
use routing::{AttemptNumber, EndpointId, Nanos, RequestId};
use std::collections::{BTreeMap, HashMap};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// One read takes at most this much.
const READ_SIZE: usize = 32 * 1024;
/// A connection must rest this long after an answer before it carries the next job: nothing in an answer tells for which job it
/// is, and a second one may come some milliseconds behind the first (up to 4 were seen). It is found by then, and is
/// never taken for the next job's.
const REST: Nanos = 10 * MS;
/// Of all connections to peers, one peer gets at most this part.
const PEER_PART: usize = 4;
/// An answer that has begun and then stands still for this long has ended short: caches send an answer whole, and its
/// parts follow each other within a round trip ...
const STALL: Nanos = 40 * MS;
/// ... or, for a far cache, for so many times what its quickest connection took to come up, up to `STALL_LONG`: the only one so far
/// may have been held up on its way.
const STALL_TRIPS: u64 = 3;
/// The same for a long value of which nothing has been passed on yet: it may come slowly.
const STALL_LONG: Nanos = 500 * MS;
/// The same once something has been passed on: no other try can take its place.
const STALL_PASSING: Nanos = 5_000 * MS;

/// What a connection is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum UpstreamJob {
    /// A try of a request.
    Attempt(RequestId, AttemptNumber),
    /// A probe, by its number.
    Probe(u64),
}

/// A job that is to go out.
pub struct OutboundCommand {
    /// Which.
    pub job: UpstreamJob,
    /// Where to.
    pub server: EndpointId,
    /// When it has had its time.
    pub until: Nanos,
}

/// How a job ended.
#[derive(Debug, PartialEq, Eq)]
pub enum ExchangeResult {
    /// The peer's reply to a probe.
    Reply(Reply),
    /// The peer's answer to a try.
    Answer(Answer),
    /// What came can't be read: it ran.
    Spoilt,
    /// No connection came up, or it broke before the last byte was written: it never ran.
    NeverSent,
    /// The connection broke after that: it may have run.
    Broken,
    /// There is no place for another connection: it never ran, and says nothing of the peer.
    NoPlace,
}

/// What becomes of a job.
#[derive(Debug, PartialEq, Eq)]
pub enum UpstreamEvent {
    /// Its connection is up and nothing of it is written: it begins now with [`UpstreamPool::begin`] or is abandoned.
    Up {
        /// Which job.
        job: UpstreamJob,
    },
    /// It is over.
    End {
        /// Which job.
        job: UpstreamJob,
        /// How it ended.
        end: ExchangeResult,
    },
    /// A long value has begun to come; its parts follow, and the end of the job.
    Begun {
        /// Which job.
        job: UpstreamJob,
        /// The value's length in bytes.
        length: usize,
    },
    /// The next bytes of a long value.
    Part {
        /// Which job.
        job: UpstreamJob,
        /// The bytes.
        bytes: Vec<u8>,
    },
}

enum State {
    /// Nothing of the job is written: as a rule the connection is not up yet.
    Unbegun(UpstreamJob),
    /// A job is being written or waited for.
    Busy(UpstreamJob),
    Idle {
        since: Nanos,
    },
}

struct PeerConnection {
    server: EndpointId,
    /// Where it leads: the peer may have moved since.
    address: SocketAddr,
    stream: Registered<TcpStream>,
    state: State,
    /// The job's command, and how much of it is written.
    output: Vec<u8>,
    written: usize,
    input: Vec<u8>,
    /// How many jobs it has carried, the one at hand included.
    jobs: u32,
    /// When something came last, or could have: a connection that isn't read is not still. At first when it was begun.
    came: Nanos,
    /// For how long an answer that has begun may stand still; by what was known of the peer when the job began.
    stall: Nanos,
    /// The long value that is passed on.
    passing: Option<ResponseStream>,
    /// It is not read, for the client can't take more.
    paused: bool,
}

impl PeerConnection {
    fn job(&self) -> Option<UpstreamJob> {
        match self.state {
            State::Unbegun(job) | State::Busy(job) => Some(job),
            State::Idle { .. } => None,
        }
    }

    fn idle_since(&self) -> Option<Nanos> {
        match self.state {
            State::Idle { since } => Some(since),
            State::Unbegun(_) | State::Busy(_) => None,
        }
    }

    /// For how long an answer that has begun may stand still.
    fn stall(&self) -> Nanos {
        match &self.passing {
            Some(_) => STALL_PASSING,
            None if is_long(&self.input) => STALL_LONG,
            None => self.stall,
        }
    }

    /// How the job at hand ends when the connection breaks now.
    fn broken(&self) -> ExchangeResult {
        if self.written < self.output.len() {
            ExchangeResult::NeverSent
        } else {
            ExchangeResult::Broken
        }
    }
}

#[derive(Default)]
struct Peer {
    address: Option<SocketAddr>,
    /// It wants nothing new. What the module decided before it knew may still come here after the news.
    withdrawn: bool,
    /// Idle connections, the one used last at the end.
    idle: Vec<u64>,
    connections: usize,
    /// What the quickest of all its connections took to come up; others may be held up on their way.
    round_trip: Option<Nanos>,
}

/// All peers and the connections to them.
pub struct UpstreamPool {
    poll: Poll,
    peers: HashMap<EndpointId, Peer>,
    connections: BTreeMap<u64, PeerConnection>,
    jobs: HashMap<UpstreamJob, u64>,
    next_connection: u64,
    most: usize,
    connect_timeout: Nanos,
    /// Bytes of answers that have begun, and how many there may be.
    coming: usize,
    coming_most: usize,
    /// Idle connections are closed after this, before the peer would.
    idle_time: Nanos,
    /// What one read takes.
    scratch: Vec<u8>,
}

impl UpstreamPool {
    /// No peers yet; at most `most` connections are held at once.
    pub fn new(poll: &Poll, most: usize, connect_timeout: Nanos, conn_idle: Nanos) -> Self {
        UpstreamPool {
            poll: poll.clone(),
            peers: HashMap::new(),
            connections: BTreeMap::new(),
            jobs: HashMap::new(),
            next_connection: 0,
            most,
            connect_timeout,
            // A job written to a connection that the peer has just closed ends as a reset, and a write that may
            // have run can't be repeated: leave well before that.
            idle_time: conn_idle / 4 * 3,
            coming: 0,
            coming_most: usize::MAX,
            scratch: vec![0; READ_SIZE],
        }
    }

    /// From now on at most this many connections are held; those that are open stay.
    pub fn set_most(&mut self, most: usize) {
        self.most = most;
    }

    /// From now on answers that have begun hold at most this many bytes together; one that would go beyond it counts
    /// as spoilt.
    pub fn set_coming_most(&mut self, bytes: usize) {
        self.coming_most = bytes;
    }

    /// Where a peer is to be reached from now on; connections to its former address carry nothing new, what waits on
    /// them included. Tells whether that is news. Something new is sent there until it is withdrawn.
    pub fn set_address(
        &mut self,
        server: EndpointId,
        address: SocketAddr,
        events: &mut Vec<UpstreamEvent>,
        counters: &mut Counters,
    ) -> bool {
        let peer = self.peers.entry(server).or_default();
        peer.withdrawn = false;
        let former = peer.address.replace(address);
        if former.is_some_and(|former| former != address) {
            peer.round_trip = None;
            self.drop_unwritten(server, events, counters);
        }
        former != Some(address)
    }

    /// The peer wants nothing new, or is gone. What has not begun to be written never will be: a connection
    /// that comes up only after the grace of the drain rule must not carry its job there.
    pub fn withdraw(
        &mut self,
        server: EndpointId,
        events: &mut Vec<UpstreamEvent>,
        counters: &mut Counters,
    ) {
        if let Some(peer) = self.peers.get_mut(&server) {
            peer.withdrawn = true;
        }
        self.drop_unwritten(server, events, counters);
    }

    fn drop_unwritten(
        &mut self,
        server: EndpointId,
        events: &mut Vec<UpstreamEvent>,
        counters: &mut Counters,
    ) {
        let unwritten =
            |c: &PeerConnection| c.server == server && c.written == 0 && c.job().is_some();
        let unwritten: Vec<u64> = self
            .connections
            .iter()
            .filter(|(_, c)| unwritten(c))
            .map(|(n, _)| *n)
            .collect();
        for number in unwritten {
            self.end(number, ExchangeResult::NeverSent, events, counters);
        }
        self.close_idle(server, counters);
    }

    /// Finds a job a connection, an idle one or a new one: it is up now or later, or the job ends.
    pub fn dispatch(
        &mut self,
        now: Nanos,
        OutboundCommand { job, server, until }: OutboundCommand,
        timers: &mut Timers,
        events: &mut Vec<UpstreamEvent>,
        counters: &mut Counters,
    ) {
        while let Some(number) = self.take_idle(now, server) {
            // It may have ended since it was last looked at; a job written to it would be lost as a reset.
            if !self
                .connections
                .get(&number)
                .is_some_and(|c| is_open_without_input(c.stream.socket()))
            {
                self.remove(number, counters);
                continue;
            }
            if let Some(c) = self.connections.get_mut(&number) {
                c.state = State::Unbegun(job);
                c.jobs += 1;
                self.jobs.insert(job, number);
                events.push(UpstreamEvent::Up { job });
            }
            return;
        }
        match self.open(server, counters) {
            Ok((stream, address)) => {
                let number = self.next_connection;
                let watched = self
                    .poll
                    .watch(stream, EventSource::Upstream(number), false, true);
                let stream = match watched {
                    Ok(stream) => stream,
                    Err(e) => {
                        log::warn!("connection to a peer: {e}");
                        return events.push(UpstreamEvent::End {
                            job,
                            end: ExchangeResult::NoPlace,
                        });
                    }
                };
                self.next_connection += 1;
                counters.peers_opened += 1;
                let c = PeerConnection {
                    server,
                    address,
                    stream,
                    state: State::Unbegun(job),
                    output: Vec::new(),
                    written: 0,
                    input: Vec::new(),
                    jobs: 1,
                    came: now,
                    stall: STALL,
                    passing: None,
                    paused: false,
                };
                self.connections.insert(number, c);
                self.jobs.insert(job, number);
                self.peers.entry(server).or_default().connections += 1;
                timers.set(
                    until.min(now + self.connect_timeout),
                    TimerKind::Connect(number),
                );
            }
            Err(end) => events.push(UpstreamEvent::End { job, end }),
        }
    }

    /// Writes a job's command; its connection is up.
    pub fn begin(
        &mut self,
        job: UpstreamJob,
        command: Vec<u8>,
        events: &mut Vec<UpstreamEvent>,
        counters: &mut Counters,
    ) {
        let Some(number) = self.jobs.get(&job).copied() else {
            return;
        };
        let Some(c) = self.connections.get_mut(&number) else {
            return;
        };
        // A job begins once, however often its connection is reported to be up.
        if !matches!(c.state, State::Unbegun(_)) {
            return;
        }
        (c.state, c.output, c.written) = (State::Busy(job), command, 0);
        let round_trip = self.peers.get(&c.server).and_then(|peer| peer.round_trip);
        c.stall = round_trip
            .unwrap_or_default()
            .saturating_mul(STALL_TRIPS)
            .clamp(STALL, STALL_LONG);
        self.write(number, events, counters);
    }

    /// Whether this job's last byte is not written: it never ran.
    pub fn is_unsent(&self, job: UpstreamJob) -> bool {
        let c = self
            .jobs
            .get(&job)
            .and_then(|number| self.connections.get(number));
        c.is_some_and(|c| matches!(c.state, State::Unbegun(_)) || c.written < c.output.len())
    }

    /// The idle connection used last among those that have rested. One that the peer may be closing for its idle time is
    /// none, though the sweep has not come by.
    fn take_idle(&mut self, now: Nanos, server: EndpointId) -> Option<u64> {
        let idle = &mut self.peers.get_mut(&server)?.idle;
        let times = REST..self.idle_time;
        let rested = |n: &u64| {
            let since = self.connections.get(n).and_then(PeerConnection::idle_since);
            since.is_some_and(|since| times.contains(&now.saturating_sub(since)))
        };
        let place = idle.iter().rposition(rested)?;
        Some(idle.remove(place))
    }

    /// Begins a connection, or says how the job that needed it ends.
    fn open(
        &mut self,
        server: EndpointId,
        counters: &mut Counters,
    ) -> Result<(TcpStream, SocketAddr), ExchangeResult> {
        let peer = self
            .peers
            .get(&server)
            .filter(|p| !p.withdrawn)
            .ok_or(ExchangeResult::NeverSent)?;
        let address = peer.address.ok_or(ExchangeResult::NeverSent)?;
        let crowded = peer.connections >= (self.most / PEER_PART).max(1);
        if crowded && !self.make_room(Some(server), counters) {
            return Err(ExchangeResult::NoPlace);
        }
        if self.connections.len() >= self.most && !self.make_room(None, counters) {
            return Err(ExchangeResult::NoPlace);
        }
        connect(address)
            .map(|stream| (stream, address))
            .map_err(|e| match e.kind() {
                ErrorKind::ConnectionRefused
                | ErrorKind::NetworkUnreachable
                | ErrorKind::HostUnreachable => ExchangeResult::NeverSent,
                // Out of descriptors or ports: ours to bear, not the peer's.
                _ => {
                    log::warn!("socket for a peer at {address}: {e}");
                    ExchangeResult::NoPlace
                }
            })
    }

    /// Closes the connection that has been idle longest, to this peer or to any, if one is. It may be one that rests.
    fn make_room(&mut self, server: Option<EndpointId>, counters: &mut Counters) -> bool {
        let eligible = self
            .connections
            .iter()
            .filter(|(_, c)| server.is_none_or(|server| c.server == server));
        let idle = eligible.filter_map(|(n, c)| Some((c.idle_since()?, *n)));
        let Some((_, number)) = idle.min() else {
            return false;
        };
        self.remove(number, counters);
        true
    }

    /// Gives a job up by closing its connection. Nothing more is heard of it.
    pub fn abandon(&mut self, job: UpstreamJob, counters: &mut Counters) {
        if let Some(number) = self.jobs.get(&job).copied() {
            if let Some(c) = self.connections.get(&number) {
                log::trace!(
                    connection = number, begun = !matches!(c.state, State::Unbegun(_)), jobs = c.jobs,
                    written = c.written, of = c.output.len(), come = c.input.len();
                    "{job:?} abandoned at server {}", c.server.0
                );
            }
            self.remove(number, counters);
        }
    }

    /// A connection that is not up by now has failed.
    pub fn connect_due(
        &mut self,
        number: u64,
        events: &mut Vec<UpstreamEvent>,
        counters: &mut Counters,
    ) {
        if self
            .connections
            .get(&number)
            .is_some_and(|c| matches!(c.state, State::Unbegun(_)))
        {
            self.end(number, ExchangeResult::NeverSent, events, counters);
        }
    }

    /// An answer that has begun and still lacks its end is spoilt if nothing has come for long.
    pub fn stall_due(
        &mut self,
        now: Nanos,
        number: u64,
        events: &mut Vec<UpstreamEvent>,
        counters: &mut Counters,
    ) {
        let Some(c) = self
            .connections
            .get(&number)
            .filter(|c| c.job().is_some() && !c.paused)
        else {
            return;
        };
        let begun = c.passing.is_some() || !c.input.is_empty();
        if begun && now >= c.came + c.stall() {
            counters.stalled += 1;
            self.end(number, ExchangeResult::Spoilt, events, counters);
        }
    }

    /// Whether the answer to this job is read on: not while the client can't take more of it.
    pub fn pause(&mut self, now: Nanos, job: UpstreamJob, pause: bool, timers: &mut Timers) {
        let Some(number) = self.jobs.get(&job).copied() else {
            return;
        };
        let Some(c) = self
            .connections
            .get_mut(&number)
            .filter(|c| c.paused != pause)
        else {
            return;
        };
        if let Err(e) = c.stream.interest(!pause, false) {
            // It is read on: better a longer buffer than an answer that never ends.
            return log::warn!("connection to a peer: {e}");
        }
        c.paused = pause;
        c.came = now;
        if !pause {
            timers.set(now + c.stall(), TimerKind::ResponseStall(number));
        }
    }

    /// Reads and writes what a connection is ready for.
    pub fn ready(
        &mut self,
        now: Nanos,
        ready: Readiness,
        timers: &mut Timers,
        events: &mut Vec<UpstreamEvent>,
        counters: &mut Counters,
    ) {
        let EventSource::Upstream(number) = ready.source else {
            return;
        };
        let Some(c) = self.connections.get_mut(&number) else {
            return;
        };
        if let State::Unbegun(job) = c.state {
            let up = matches!(c.stream.socket().take_error(), Ok(None))
                && c.stream.socket().peer_addr().is_ok();
            if !up {
                return self.end(number, ExchangeResult::NeverSent, events, counters);
            }
            if let Some(peer) = self.peers.get_mut(&c.server) {
                let took = now.saturating_sub(c.came);
                peer.round_trip = Some(peer.round_trip.map_or(took, |least| least.min(took)));
            }
            return events.push(UpstreamEvent::Up { job });
        }
        if ready.readable {
            self.read(number, now, timers, events, counters);
        }
        if ready.writable {
            self.write(number, events, counters);
        }
    }

    fn write(&mut self, number: u64, events: &mut Vec<UpstreamEvent>, counters: &mut Counters) {
        let Some(c) = self.connections.get_mut(&number) else {
            return;
        };
        while c.written < c.output.len() {
            match c.stream.socket().write(&c.output[c.written..]) {
                Ok(0) => return self.end(number, ExchangeResult::NeverSent, events, counters),
                Ok(n) => c.written += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return self.end(number, ExchangeResult::NeverSent, events, counters),
            }
        }
        let unsent = c.written < c.output.len();
        if c.stream.interest(true, unsent).is_err() {
            let end = c.broken();
            self.end(number, end, events, counters);
        }
    }

    fn read(
        &mut self,
        number: u64,
        now: Nanos,
        timers: &mut Timers,
        events: &mut Vec<UpstreamEvent>,
        counters: &mut Counters,
    ) {
        let Some(c) = self.connections.get_mut(&number) else {
            return;
        };
        match c.stream.socket().read(&mut self.scratch) {
            Ok(0) => {
                let end = c.broken();
                return self.end(number, end, events, counters);
            }
            Ok(n) => {
                c.came = now;
                c.input.extend_from_slice(&self.scratch[..n]);
                self.coming += n;
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => return,
            Err(_) => {
                let end = c.broken();
                return self.end(number, end, events, counters);
            }
        }
        let Some(job) = c.job() else {
            // Something comes that nobody asked for: whose answer it would be taken for is unknown.
            return self.end(number, ExchangeResult::Broken, events, counters);
        };
        let unwritten = c.written < c.output.len();
        if c.passing.is_none()
            && !unwritten
            && matches!(job, UpstreamJob::Attempt(..))
            && let held = c.input.len()
            && let Some((passing, length)) = ResponseStream::begin(&mut c.input)
        {
            self.coming -= held - c.input.len();
            c.passing = Some(passing);
            events.push(UpstreamEvent::Begun { job, length });
        }
        let read = match &mut c.passing {
            None => read_end(job, &c.input),
            Some(passing) => {
                let bytes = passing.part(&mut c.input);
                self.coming -= bytes.len();
                if !bytes.is_empty() {
                    events.push(UpstreamEvent::Part { job, bytes });
                }
                passing
                    .tail(&c.input)
                    .map(|t| t.map(|(answer, length)| (ExchangeResult::Answer(answer), length)))
            }
        };
        let (end, length) = match read {
            // The reader bounds each message; all that have begun are bounded together.
            Ok(None) if self.coming <= self.coming_most => {
                if !unwritten {
                    timers.set(now + c.stall(), TimerKind::ResponseStall(number));
                }
                return;
            }
            Ok(Some((end, length))) => (end, length),
            Ok(None) | Err(_) => {
                let start = c.input[..c.input.len().min(64)].escape_ascii();
                log::debug!("server {}: an answer can't be read: {start}", c.server.0);
                counters.spoilt += 1;
                // Before the last byte of the command nothing can have run.
                (
                    if unwritten {
                        ExchangeResult::NeverSent
                    } else {
                        ExchangeResult::Spoilt
                    },
                    None,
                )
            }
        };
        let peer = self
            .peers
            .get_mut(&c.server)
            .filter(|p| p.address == Some(c.address) && !p.withdrawn);
        let useless = length != Some(c.input.len()) || unwritten;
        let Some(peer) = peer.filter(|_| !useless) else {
            // It came early, can't be read or has something behind it: where the next answer would begin is unknown. Or
            // the peer wants nothing new, or has moved: it might be another cache's by the time of the next job.
            return self.end(number, end, events, counters);
        };
        peer.idle.push(number);
        self.coming -= c.input.len();
        c.state = State::Idle { since: now };
        (c.input, c.output, c.written) = (Vec::new(), Vec::new(), 0);
        c.passing = None;
        self.jobs.remove(&job);
        events.push(UpstreamEvent::End { job, end });
    }

    /// Closes a connection and says how its job ended.
    fn end(
        &mut self,
        number: u64,
        end: ExchangeResult,
        events: &mut Vec<UpstreamEvent>,
        counters: &mut Counters,
    ) {
        if let Some(job) = self.remove(number, counters) {
            events.push(UpstreamEvent::End { job, end });
        }
    }

    /// Closes a connection; its job, if it had one, is over.
    fn remove(&mut self, number: u64, counters: &mut Counters) -> Option<UpstreamJob> {
        let c = self.connections.remove(&number)?;
        self.coming -= c.input.len();
        counters.peers_closed += 1;
        if let Some(peer) = self.peers.get_mut(&c.server) {
            peer.idle.retain(|n| *n != number);
            peer.connections -= 1;
            // Of a peer that left the list nothing is kept once its last connection is closed.
            if peer.connections == 0 && peer.address.is_none() {
                self.peers.remove(&c.server);
            }
        }
        let job = c.job()?;
        self.jobs.remove(&job);
        Some(job)
    }

    /// The peer is gone: nothing new can be sent to it.
    pub fn forget(&mut self, server: EndpointId) {
        if let Some(peer) = self.peers.get_mut(&server) {
            peer.address = None;
            if peer.connections == 0 {
                self.peers.remove(&server);
            }
        }
    }

    /// The peers with an address.
    pub fn listed(&self) -> Vec<EndpointId> {
        self.peers
            .iter()
            .filter(|(_, p)| p.address.is_some())
            .map(|(id, _)| *id)
            .collect()
    }

    /// Closes the idle connections to a peer.
    pub fn close_idle(&mut self, server: EndpointId, counters: &mut Counters) {
        let idle = self
            .peers
            .get_mut(&server)
            .map(|p| std::mem::take(&mut p.idle))
            .unwrap_or_default();
        for number in idle {
            self.remove(number, counters);
        }
    }

    /// Closes connections that have stood idle for long.
    pub fn sweep(&mut self, now: Nanos, counters: &mut Counters) {
        let old = |c: &PeerConnection| {
            c.idle_since()
                .is_some_and(|since| now.saturating_sub(since) >= self.idle_time)
        };
        let old: Vec<u64> = self
            .connections
            .iter()
            .filter(|(_, c)| old(c))
            .map(|(n, _)| *n)
            .collect();
        for number in old {
            self.remove(number, counters);
        }
    }
}

/// How a job ended by what has come for it, and the length of that unless the connection is of no further use.
fn read_end(
    job: UpstreamJob,
    input: &[u8],
) -> Result<Option<(ExchangeResult, Option<usize>)>, RespError> {
    Ok(match job {
        UpstreamJob::Attempt(..) => {
            parse_response(input)?.map(|(answer, length)| (ExchangeResult::Answer(answer), length))
        }
        UpstreamJob::Probe(_) => {
            parse_reply(input)?.map(|(reply, length)| (ExchangeResult::Reply(reply), Some(length)))
        }
    })
}

#[cfg(test)]
mod tests;
