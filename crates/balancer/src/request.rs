//! Requests: what all of them have in common, whichever listener they came by.

use crate::resp::write_command;
use routing::{AttemptNumber, EndpointId, Nanos, RequestId};
use std::collections::BTreeMap;

/// The right and the duty to answer one request. It can't be copied, and answering consumes it, so
/// that no request is answered twice.
#[derive(Debug)]
pub struct AnswerToken {
    /// The request.
    pub request: RequestId,
    /// The client connection that waits for the answer.
    pub connection: u64,
}

/// A request as the listener hands it over.
#[derive(Debug)]
pub struct IncomingRequest {
    /// The duty to answer it.
    pub answer_token: AnswerToken,
    /// The name of its class.
    pub class: String,
    /// The name of its tenant.
    pub tenant: Option<String>,
    /// The earliest time at which it can have arrived.
    pub arrived_at: Nanos,
    /// How long the client waits from then on.
    pub client_timeout: Nanos,
    /// The client's estimate of the work on a standard core, if it gives one.
    pub estimated_work: Option<Nanos>,
    /// What is forwarded.
    pub command: CacheCommand,
}

/// What a cache is to do, in the client's words.
#[derive(Debug)]
pub struct CacheCommand {
    /// The value of a write; a read has none.
    pub value: Option<Vec<u8>>,
    /// The key.
    pub key: Vec<u8>,
    /// The client's id for the request.
    pub request_id: Vec<u8>,
    /// The client's fields but for its timeout, which is sent anew with each attempt.
    pub fields: Vec<(String, String)>,
}

impl CacheCommand {
    /// Encodes the command for an attempt with this timeout.
    #[must_use]
    pub fn encode(&self, timeout_ms: u64) -> Vec<u8> {
        let mut fields = String::new();
        for (name, value) in &self.fields {
            fields.push_str(&format!("{name}={value},"));
        }
        fields.push_str(&format!("d={timeout_ms}"));
        let fields = fields.as_bytes();
        match &self.value {
            None => write_command(&[b"C.GET", &self.key, &self.request_id, fields]),
            Some(value) => write_command(&[b"C.SET", &self.key, &self.request_id, fields, value]),
        }
    }

    /// Bytes that it holds.
    #[must_use]
    pub fn byte_size(&self) -> usize {
        let fields: usize = self
            .fields
            .iter()
            .map(|(name, value)| name.len() + value.len())
            .sum();
        let value = self.value.as_ref().map_or(0, Vec::len);
        value + self.key.len() + self.request_id.len() + fields
    }
}

/// The final answer to a request.
#[derive(Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// The value or receipt that a cache gave for this request.
    Served(Vec<u8>),
    /// The same, of this length; the value arrives in parts and may still break off.
    Streaming(usize),
    /// Rejected: a retry is harmless.
    Rejected {
        /// How long the client should wait before it; 0 for no advice.
        retry_after: Nanos,
    },
    /// Failed: the request may have had an effect.
    Failed,
    /// The request makes no sense and was forwarded to no cache; why.
    Invalid(&'static str),
}

/// One attempt.
#[derive(Debug)]
pub struct AttemptRecord {
    /// The endpoint that it was sent to.
    pub endpoint: EndpointId,
    /// When it was sent.
    pub sent_at: Nanos,
    /// For how long the process had stalled by then, in all.
    pub total_stall_at_send: Nanos,
    /// When it times out.
    pub deadline: Nanos,
    /// Its first byte is written by then or never.
    pub write_deadline: Nanos,
}

/// A request from its arrival until it is answered and none of its attempts is in flight.
#[derive(Debug)]
pub struct RequestContext {
    /// Until it is answered or its client has disconnected.
    pub answer_token: Option<AnswerToken>,
    /// When its client disconnected.
    pub client_disconnected_at: Option<Nanos>,
    /// What is forwarded.
    pub command: CacheCommand,
    /// When the client times out.
    pub deadline: Nanos,
    /// Attempts in flight.
    pub attempts: BTreeMap<AttemptNumber, AttemptRecord>,
}

impl RequestContext {
    /// The context of a request that has just arrived.
    #[must_use]
    pub fn new(answer_token: AnswerToken, command: CacheCommand, deadline: Nanos) -> Self {
        RequestContext {
            answer_token: Some(answer_token),
            client_disconnected_at: None,
            command,
            deadline,
            attempts: BTreeMap::new(),
        }
    }

    /// Whether no answer is owed and no attempt is in flight.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.answer_token.is_none() && self.attempts.is_empty()
    }
}
