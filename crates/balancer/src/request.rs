//! Requests and their answers, independent of the protocol of the client listener.

use crate::resp::write_command;
use routing::{AttemptNumber, EndpointId, Nanos, RequestId};
use std::collections::BTreeMap;

/// Token that entitles its holder to answer one request. The token can't be copied, and answering
/// consumes it, so that no request is answered twice.
#[derive(Debug)]
pub struct AnswerToken {
    /// The request to be answered.
    pub request: RequestId,
    /// The client connection that waits for the answer.
    pub connection: u64,
}

/// What is known of a client that sends a request. A client that reads nothing occupies a connection
/// to a cache for a long time if its value is long, so connections are reserved for those that are
/// known to read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientHistory {
    /// Nothing was sent to the client on this connection yet.
    New,
    /// The client has received a response on this connection.
    Answered,
}

/// A request as the listener passes it to the event loop.
#[derive(Debug)]
pub struct IncomingRequest {
    /// Token for answering the request.
    pub answer_token: AnswerToken,
    /// Name of the request's class.
    pub class: String,
    /// Name of the tenant, if the client sent one.
    pub tenant: Option<String>,
    /// Whether the client has received a response on this connection before.
    pub client: ClientHistory,
    /// Earliest time at which the request can have arrived.
    pub arrived_at: Nanos,
    /// Time that the client waits for the answer, measured from `arrived_at`.
    pub client_timeout: Nanos,
    /// Client's estimate of the processing time on a standard core, if it sent one.
    pub estimated_work: Option<Nanos>,
    /// The command to be forwarded to a cache.
    pub command: CacheCommand,
}

/// A command for a cache, as the client sent it.
#[derive(Debug)]
pub struct CacheCommand {
    /// Value of a write; `None` for a read.
    pub value: Option<Vec<u8>>,
    /// Key that is read or written, as the client wrote it.
    pub key: Vec<u8>,
    /// Request id chosen by the client.
    pub request_id: Vec<u8>,
    /// The client's fields, each as `name=value,`, except for the timeout: each attempt sends its own
    /// timeout. They are one text, as a client may send very many short fields.
    pub fields: String,
}

impl CacheCommand {
    /// Encodes the command for an attempt with a timeout of `timeout_ms` milliseconds.
    #[must_use]
    pub fn encode(&self, timeout_ms: u64) -> Vec<u8> {
        let fields = format!("{}d={timeout_ms}", self.fields);
        let fields = fields.as_bytes();
        match &self.value {
            None => write_command(&[b"C.GET", &self.key, &self.request_id, fields]),
            Some(value) => write_command(&[b"C.SET", &self.key, &self.request_id, fields, value]),
        }
    }

    /// Returns the number of bytes of memory that an open request with this command takes.
    #[must_use]
    pub fn byte_size(&self) -> usize {
        let value = self.value.as_ref().map_or(0, Vec::len);
        REQUEST_OVERHEAD + value + self.key.len() + self.request_id.len() + self.fields.len()
    }
}

/// Memory of an open request besides its command, in bytes: its state in the engine, in the attempt
/// tracker, in the timers and on its client connection.
pub const REQUEST_OVERHEAD: usize = 3 * 1024;

/// How long a long value may be held back, as requests may be behind it on its connection. The times
/// count from the value's turn, as waiting for earlier answers does not count for a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HoldTimes {
    /// Time for which the value is held back while no request is behind it.
    pub alone: Nanos,
    /// Time until the first byte of the answer has to be sent.
    pub first_byte: Nanos,
    /// Time until the bytes that have arrived have to be sent.
    pub end: Nanos,
}

impl HoldTimes {
    /// The value is not held back.
    pub const NONE: HoldTimes = HoldTimes {
        alone: 0,
        first_byte: 0,
        end: 0,
    };
}

/// The final answer to a request.
#[derive(Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// The value or receipt that a cache returned for the request.
    Served(Vec<u8>),
    /// A value that is streamed in chunks; the cache may still abort it.
    Streaming {
        /// Length of the value in bytes.
        length: usize,
        /// How long the value may be held back so that it can still be replaced.
        hold: HoldTimes,
    },
    /// The request was rejected without effect; the client may safely retry it.
    Rejected {
        /// Minimum delay before a retry by the client; 0 if none is advised.
        retry_after: Nanos,
    },
    /// The request failed and may have had an effect.
    Failed,
    /// The request is invalid and was not forwarded, for this reason.
    Invalid(&'static str),
}

/// An attempt in flight.
#[derive(Debug)]
pub struct AttemptRecord {
    /// Endpoint that the attempt is sent to.
    pub endpoint: EndpointId,
    /// Time at which the attempt was started.
    pub sent_at: Nanos,
    /// Total stall time of the process at `sent_at`.
    pub total_stall_at_send: Nanos,
    /// Time at which the attempt times out; the client's deadline once its response has begun.
    pub deadline: Nanos,
    /// Time at which the head of a long value arrived; `None` if it has not.
    pub long_value_since: Option<Nanos>,
    /// Time at which the cache answered, if that was before the end of the attempt.
    pub answered_at: Option<Nanos>,
    /// Latest time at which writing the command may start; later the attempt is not sent.
    pub write_deadline: Nanos,
}

/// State of a request, from its arrival until it is answered and none of its attempts is in flight.
#[derive(Debug)]
pub struct RequestContext {
    /// Token for answering the request; `None` once it is answered or its client has disconnected.
    pub answer_token: Option<AnswerToken>,
    /// Time at which the client disconnected, if it did before the answer.
    pub client_disconnected_at: Option<Nanos>,
    /// The command to be forwarded to a cache.
    pub command: CacheCommand,
    /// What is known of the client.
    pub client: ClientHistory,
    /// Whether the request may run more than once without harm.
    pub is_idempotent: bool,
    /// Whether the id was recorded as forwarded.
    pub is_id_recorded: bool,
    /// Time at which the client stops waiting for the answer.
    pub deadline: Nanos,
    /// Time until which the answer has its full value.
    pub objective: Nanos,
    /// Attempts in flight.
    pub attempts: BTreeMap<AttemptNumber, AttemptRecord>,
}

impl RequestContext {
    /// Creates the context of a request that has just arrived.
    #[must_use]
    pub fn new(
        answer_token: AnswerToken,
        client: ClientHistory,
        command: CacheCommand,
        is_idempotent: bool,
        deadline: Nanos,
        objective: Nanos,
    ) -> Self {
        RequestContext {
            answer_token: Some(answer_token),
            client_disconnected_at: None,
            client,
            command,
            is_idempotent,
            is_id_recorded: false,
            deadline,
            objective,
            attempts: BTreeMap::new(),
        }
    }

    /// Returns whether the request needs no answer any more and has no attempt in flight.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.answer_token.is_none() && self.attempts.is_empty()
    }
}
