//! The operators' door: HTTP/1.1, one call to a connection. What a call means is the life cycle's; this reads calls and
//! writes answers, and lets nobody who says nothing keep others waiting.

use super::CLOSE_TIMEOUT;
use crate::counters::Counters;
use crate::poll::{EventSource, Interest, Poll, Readiness, Registered};
use crate::sockets::discard;
use crate::timers::MS;
use routing::Nanos;
use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

/// Callers that are held at once; one more closes the one that is unfinished longest.
pub const CONNECTIONS_MAX: usize = 12;
/// At most this many are taken in one turn of the loop.
const ACCEPT_MAX: usize = 64;
/// The longest head of a call.
const HEAD_MAX: usize = 8 * 1024;
/// The most headers of a call.
const HEADERS_MAX: usize = 64;
/// A call must be whole this long after its connection came.
const UNFINISHED: Nanos = 2_000 * MS;
/// Of what comes behind a call this much is read, so that closing doesn't reset the answer away.
const DISCARD_MAX: usize = 64 * 1024;

/// What the operators ask for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminCommand {
    /// Whether this process is ready to serve.
    Health,
    /// Drain.
    Quiesce,
    /// Back to work.
    Resume,
    /// What is seen of the fleet.
    Fleet,
}

/// A call that waits for its answer, by its connection.
#[derive(Debug, PartialEq, Eq)]
pub struct AdminRequest {
    /// Which connection.
    pub connection: u64,
    /// What is asked.
    pub command: AdminCommand,
}

struct AdminConnection {
    stream: Registered<TcpStream>,
    since: Nanos,
    input: Vec<u8>,
    /// The answer, and how much of it is written; empty until there is one.
    output: Vec<u8>,
    written: usize,
}

/// The door and the callers at it.
pub struct AdminListener {
    poll: Poll,
    listener: Registered<TcpListener>,
    callers: BTreeMap<u64, AdminConnection>,
    next_caller: u64,
    fleet: bool,
}

/// What a head turns out to be.
#[derive(Debug, PartialEq, Eq)]
enum ParsedHead {
    More,
    Command(AdminCommand),
    /// A status, and the methods that are allowed where the method is what is wrong.
    Wrong(u16, &'static str),
}

/// `fleet`: there is a fleet to be asked for.
fn read_head(input: &[u8], fleet: bool) -> ParsedHead {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(input) {
        Ok(httparse::Status::Complete(length)) if length > HEAD_MAX => {
            return ParsedHead::Wrong(431, "");
        }
        Ok(httparse::Status::Complete(_)) => {}
        Ok(httparse::Status::Partial) if input.len() < HEAD_MAX => return ParsedHead::More,
        Ok(httparse::Status::Partial) | Err(httparse::Error::TooManyHeaders) => {
            return ParsedHead::Wrong(431, "");
        }
        Err(_) => return ParsedHead::Wrong(400, ""),
    }
    let path = request.path.unwrap_or_default();
    let (call, method) = match path.split_once('?').map_or(path, |(path, _)| path) {
        "/admin/health" => (AdminCommand::Health, "GET"),
        "/admin/quiesce" => (AdminCommand::Quiesce, "POST"),
        "/admin/resume" => (AdminCommand::Resume, "POST"),
        "/admin/fleet" if fleet => (AdminCommand::Fleet, "GET"),
        _ => return ParsedHead::Wrong(404, ""),
    };
    if request.method == Some(method) {
        ParsedHead::Command(call)
    } else {
        ParsedHead::Wrong(405, method)
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        431 => "Request Header Fields Too Large",
        _ => "Service Unavailable",
    }
}

impl AdminListener {
    /// Listens for calls; with a `fleet` also for those that ask for it.
    pub fn listen(poll: &Poll, address: SocketAddr, fleet: bool) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        log::info!("management listens on {}", listener.local_addr()?);
        listener.set_nonblocking(true)?;
        let listener = poll.watch(listener, EventSource::AdminListener, Interest::READABLE)?;
        Ok(AdminListener {
            poll: poll.clone(),
            listener,
            callers: BTreeMap::new(),
            next_caller: 0,
            fleet,
        })
    }

    /// Takes the callers that wait.
    pub fn accept(&mut self, now: Nanos, counters: &mut Counters) {
        for _ in 0..ACCEPT_MAX {
            let stream = match self.listener.socket().accept() {
                Ok((stream, _)) => stream,
                Err(e)
                    if matches!(
                        e.kind(),
                        ErrorKind::Interrupted | ErrorKind::ConnectionAborted
                    ) =>
                {
                    continue;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) => return log::warn!("accepting management calls: {e}"),
            };
            if self.callers.len() >= CONNECTIONS_MAX {
                // They are numbered as they came.
                let unfinished = self.callers.iter().find(|(_, c)| c.output.is_empty());
                if let Some((&number, _)) = unfinished.or(self.callers.first_key_value()) {
                    counters.admin_calls_evicted += 1;
                    self.callers.remove(&number);
                }
            }
            let number = self.next_caller;
            let watched = stream.set_nonblocking(true).and_then(|()| {
                self.poll.watch(
                    stream,
                    EventSource::AdminConnection(number),
                    Interest::READABLE,
                )
            });
            match watched {
                Ok(stream) => {
                    self.next_caller += 1;
                    let (input, output) = (Vec::new(), Vec::new());
                    let caller = AdminConnection {
                        stream,
                        since: now,
                        input,
                        output,
                        written: 0,
                    };
                    self.callers.insert(number, caller);
                }
                Err(e) => log::warn!("management call: {e}"),
            }
        }
    }

    /// Reads and writes what a caller is ready for. Tells of a call that waits for its answer.
    pub fn ready(&mut self, ready: Readiness, counters: &mut Counters) -> Option<AdminRequest> {
        let EventSource::AdminConnection(number) = ready.source else {
            return None;
        };
        let c = self.callers.get_mut(&number)?;
        if !c.output.is_empty() {
            if ready.readable && !discard(c.stream.socket(), DISCARD_MAX) {
                self.callers.remove(&number);
            } else if c.written < c.output.len() {
                self.write(number);
            }
            return None;
        }
        let held = c.input.len();
        c.input.resize(HEAD_MAX, 0);
        let got = c.stream.socket().read(&mut c.input[held..]);
        c.input.truncate(held + *got.as_ref().unwrap_or(&0));
        match got {
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {
                return None;
            }
            Ok(n) if n > 0 => {}
            _ => {
                self.callers.remove(&number);
                return None;
            }
        }
        match read_head(&c.input, self.fleet) {
            ParsedHead::More => None,
            ParsedHead::Command(call) => {
                counters.admin_calls += 1;
                Some(AdminRequest {
                    connection: number,
                    command: call,
                })
            }
            ParsedHead::Wrong(status, allow) => {
                counters.admin_calls_invalid += 1;
                self.put(number, status, reason(status), allow);
                None
            }
        }
    }

    /// Answers a call, with the state that the process is in.
    pub fn answer(&mut self, caller: u64, status: u16, state: &str) {
        self.put(caller, status, state, "");
    }

    /// Answers a call with JSON of its own.
    pub fn answer_json(&mut self, caller: u64, body: &str) {
        self.put_body(caller, 200, body, "");
    }

    fn put(&mut self, number: u64, status: u16, state: &str, allow: &str) {
        self.put_body(
            number,
            status,
            &format!("{{\"state\":\"{state}\"}}\n"),
            allow,
        );
    }

    fn put_body(&mut self, number: u64, status: u16, body: &str, allow: &str) {
        let Some(c) = self.callers.get_mut(&number) else {
            return;
        };
        let allow = if allow.is_empty() {
            String::new()
        } else {
            format!("Allow: {allow}\r\n")
        };
        c.output = format!(
            "HTTP/1.1 {status} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nCache-Control: no-store\r\n\
             {allow}Connection: close\r\n\r\n{body}",
            reason(status),
            body.len()
        )
        .into_bytes();
        self.write(number);
    }

    fn write(&mut self, number: u64) {
        let Some(c) = self.callers.get_mut(&number) else {
            return;
        };
        while c.written < c.output.len() {
            match c.stream.socket().write(&c.output[c.written..]) {
                Ok(n) if n > 0 => c.written += n,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                _ => return drop(self.callers.remove(&number)),
            }
        }
        let unsent = c.written < c.output.len();
        if !unsent {
            // The caller ends the connection: closing over what it still sends would reset the answer away.
            let socket = c.stream.socket();
            if socket.shutdown(std::net::Shutdown::Write).is_err() || !discard(socket, DISCARD_MAX)
            {
                return drop(self.callers.remove(&number));
            }
        }
        if c.stream
            .set_interest(Interest::readable_and(unsent))
            .is_err()
        {
            self.callers.remove(&number);
        }
    }

    /// Ends calls that don't become whole, and answered ones whose callers stay.
    pub fn reap(&mut self, now: Nanos, counters: &mut Counters) {
        // Closed at once, what still comes would reset the answer away.
        self.callers
            .retain(|_, c| now.saturating_sub(c.since) < UNFINISHED + CLOSE_TIMEOUT);
        let late =
            |c: &AdminConnection| c.output.is_empty() && now.saturating_sub(c.since) >= UNFINISHED;
        let late: Vec<u64> = self
            .callers
            .iter()
            .filter(|(_, c)| late(c))
            .map(|(n, _)| *n)
            .collect();
        for number in late {
            counters.admin_calls_incomplete += 1;
            self.put(number, 408, reason(408), "");
        }
    }
}

#[cfg(test)]
mod tests;
