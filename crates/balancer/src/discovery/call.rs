//! One HTTP call to discovery. Writes the request, and reads the headers and body of the response
//! as they arrive.

use super::body::Body;
use super::error::WatchError;
use super::messages::MessageScanner;
use crate::poll::{Interest, Registered};
use crate::timers::MS;
use routing::Nanos;
use std::fmt;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// Maximum time without received bytes before a watch fails. Discovery sends an empty line every 2
/// s.
pub(super) const SILENCE_TIMEOUT: Nanos = 3_500 * MS;
/// Maximum time until the response begins. It is longer than [`SILENCE_TIMEOUT`], as discovery
/// queues calls and a new call goes to the end of the queue. It must be well below 6 s: the
/// balancer counts as notified of the changes that a silent call misses 6 s after the call began,
/// or 2 s after the end of its wait in the queue if that is later.
pub(super) const FIRST_BYTE_TIMEOUT: Nanos = 4_000 * MS;
/// Timeout of a connection to discovery. An unreachable machine does not refuse connections.
pub(super) const CONNECT_TIMEOUT: Nanos = 1_000 * MS;
/// Maximum length of the headers of a response, in bytes.
const MAX_HEADERS_LENGTH: usize = 4 << 20;
/// Maximum number of bytes per read.
const READ_SIZE: usize = 32 * 1024;
/// Maximum number of headers of a response.
const MAX_HEADER_COUNT: usize = 32;

/// Progress of a call, as named in log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallStage {
    Connecting,
    AwaitingHeaders,
    InHeaders,
    InChunk,
    BetweenMessages,
    InMessage,
}

impl fmt::Display for CallStage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            CallStage::Connecting => "before the connection was established",
            CallStage::AwaitingHeaders => "before the response headers",
            CallStage::InHeaders => "in the response headers",
            CallStage::InChunk => "in a chunk",
            CallStage::BetweenMessages => "between two messages",
            CallStage::InMessage => "in a message",
        })
    }
}

/// An open call.
pub(super) struct WatchCall {
    pub(super) number: u64,
    socket: Registered<TcpStream>,
    request: Vec<u8>,
    written: usize,
    input: Vec<u8>,
    /// Body of the response; `None` until the headers have been read.
    body: Option<Body>,
    /// Received part of the body that follows the last complete message.
    pub(super) text: Vec<u8>,
    pub(super) scanner: MessageScanner,
    /// Whether the last read filled its buffer, so that the socket may hold more data.
    pub(super) has_unread: bool,
    pub(super) last_read: Nanos,
    /// Version of the last message of this call.
    pub(super) version: Option<u64>,
    /// Whether a part of the body has arrived.
    pub(super) is_established: bool,
}

impl WatchCall {
    /// Creates a watch of the changes since a version, or of the full list if `since` is `None`.
    pub(super) fn new(
        number: u64,
        socket: Registered<TcpStream>,
        address: SocketAddr,
        since: Option<u64>,
        now: Nanos,
    ) -> Self {
        let since = since.map_or(String::new(), |version| format!("&since={version}"));
        let request = format!(
            "GET /registry/instances?follow=1{since} HTTP/1.1\r\n\
             Host: {address}\r\nAccept: application/json\r\n\r\n"
        );
        WatchCall {
            number,
            socket,
            request: request.into_bytes(),
            written: 0,
            input: Vec::new(),
            body: None,
            text: Vec::new(),
            scanner: MessageScanner::default(),
            has_unread: false,
            last_read: now,
            version: None,
            is_established: false,
        }
    }

    pub(super) fn has_unwritten_bytes(&self) -> bool {
        self.written < self.request.len()
    }

    /// Returns the time at which the call fails unless bytes arrive.
    pub(super) fn silence_deadline(&self) -> Nanos {
        self.last_read
            + match (&self.body, self.written) {
                (Some(_), _) => SILENCE_TIMEOUT,
                (None, 0) => CONNECT_TIMEOUT,
                (None, _) => FIRST_BYTE_TIMEOUT,
            }
    }

    /// Returns the progress of the call.
    pub(super) fn stage(&self) -> CallStage {
        match &self.body {
            None if self.written == 0 => CallStage::Connecting,
            None if self.input.is_empty() => CallStage::AwaitingHeaders,
            None => CallStage::InHeaders,
            Some(body) if body.is_in_chunk() => CallStage::InChunk,
            Some(_) if self.text.is_empty() && self.input.is_empty() => CallStage::BetweenMessages,
            Some(_) => CallStage::InMessage,
        }
    }

    /// Writes as much of the request as the socket accepts.
    ///
    /// # Errors
    ///
    /// Returns an error if connecting or writing failed.
    pub(super) fn write(&mut self) -> Result<(), WatchError> {
        if let Ok(Some(error)) = self.socket.socket().take_error() {
            return Err(WatchError::Connect(error));
        }
        while self.has_unwritten_bytes() {
            match self.socket.socket().write(&self.request[self.written..]) {
                Ok(n) => self.written += n,
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {
                    break;
                }
                Err(e) => return Err(WatchError::Write(e)),
            }
        }
        let unwritten = self.has_unwritten_bytes();
        let registered = self.socket.set_interest(Interest::readable_and(unwritten));
        registered.map_err(WatchError::Register)
    }

    /// Reads once and decodes the received bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if reading failed, or if the response violates the protocol or has ended.
    pub(super) fn read(&mut self, now: Nanos) -> Result<(), WatchError> {
        let before = self.input.len();
        self.input.resize(before + READ_SIZE, 0);
        let read = self.socket.socket().read(&mut self.input[before..]);
        self.input.truncate(before + *read.as_ref().unwrap_or(&0));
        self.has_unread = matches!(read, Ok(READ_SIZE));
        match read {
            Ok(0) => return Err(WatchError::Closed),
            Ok(_) => self.last_read = now,
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {
                return Ok(());
            }
            Err(e) => return Err(WatchError::Read(e)),
        }
        if self.body.is_none() {
            self.body = self.parse_headers()?;
        }
        match &mut self.body {
            Some(body) => body.decode(&mut self.input, &mut self.text),
            None => Ok(()),
        }
    }

    /// Parses the status and headers once they have arrived completely. Returns the framing of the
    /// body.
    fn parse_headers(&mut self) -> Result<Option<Body>, WatchError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADER_COUNT];
        let mut response = httparse::Response::new(&mut headers);
        let length = match response.parse(&self.input)? {
            httparse::Status::Complete(length) => length,
            httparse::Status::Partial if self.input.len() < MAX_HEADERS_LENGTH => return Ok(None),
            httparse::Status::Partial => {
                return Err(WatchError::HeadersTooLong {
                    limit: MAX_HEADERS_LENGTH,
                });
            }
        };
        if response.code != Some(200) {
            return Err(WatchError::Status(response.code.unwrap_or(0)));
        }
        let value = |name: &str| {
            let mut headers = response.headers.iter();
            let header = headers.find(|h| h.name.eq_ignore_ascii_case(name))?;
            std::str::from_utf8(header.value).ok().map(str::trim)
        };
        let is_chunked =
            value("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked"));
        let body = if is_chunked {
            Body::Chunked { remaining: 0 }
        } else if let Some(length) = value("content-length") {
            let remaining = length
                .parse()
                .map_err(|_| WatchError::ContentLength(length.into()))?;
            Body::Length { remaining }
        } else {
            Body::UntilClose
        };
        self.input.drain(..length);
        Ok(Some(body))
    }
}
