//! The neutral request context: what every front's requests have in common, whatever protocol they came by.

use crate::resp::write_command;
use routing::{AttemptNumber, EndpointId, Nanos, RequestId};
use std::collections::BTreeMap;

/// The right to answer one request, and the duty. It can't be copied, and answering uses it up: so nothing is
/// answered twice.
#[derive(Debug)]
pub struct Ticket {
    /// The request.
    pub request: RequestId,
    /// The client connection that waits for the answer.
    pub connection: u64,
}

/// A request as a front hands it in.
#[derive(Debug)]
pub struct IncomingRequest {
    /// The duty to answer it.
    pub ticket: Ticket,
    /// Its class, by name.
    pub class: String,
    /// Its tenant, by name.
    pub tenant: Option<String>,
    /// The earliest time at which it can have come.
    pub arrived_at: Nanos,
    /// How long the client waits from then on.
    pub client_timeout: Nanos,
    /// The client's guess at the work on a standard core, if it gives one.
    pub estimated_work: Option<Nanos>,
    /// What is passed on.
    pub command: CacheCommand,
}

/// What a peer is to do, in the client's words.
#[derive(Debug)]
pub struct CacheCommand {
    /// The value of a write; a read has none.
    pub value: Option<Vec<u8>>,
    /// What it concerns.
    pub key: Vec<u8>,
    /// The client's id for it.
    pub request_id: Vec<u8>,
    /// The client's names and values but for its patience, which is told anew with each try.
    pub fields: Vec<(String, String)>,
}

impl CacheCommand {
    /// The command for a peer that is waited for so many milliseconds.
    pub fn encode(&self, ms: u64) -> Vec<u8> {
        let mut fields = String::new();
        for (name, value) in &self.fields {
            fields.push_str(&format!("{name}={value},"));
        }
        fields.push_str(&format!("d={ms}"));
        match &self.value {
            None => write_command(&[b"C.GET", &self.key, &self.request_id, fields.as_bytes()]),
            Some(value) => write_command(&[
                b"C.SET",
                &self.key,
                &self.request_id,
                fields.as_bytes(),
                value,
            ]),
        }
    }

    /// Bytes that it holds.
    pub fn byte_size(&self) -> usize {
        let fields: usize = self
            .fields
            .iter()
            .map(|(name, value)| name.len() + value.len())
            .sum();
        self.value.as_ref().map_or(0, Vec::len) + self.key.len() + self.request_id.len() + fields
    }
}

/// The final answer of a request.
#[derive(Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// The value or receipt that a peer gave for this request.
    Served(Vec<u8>),
    /// The same, of this length; the value comes in parts and may still break off.
    Streaming(usize),
    /// Turned away: trying again is harmless, after this long if it is not 0.
    Rejected {
        /// The advice.
        retry_after: Nanos,
    },
    /// Failed.
    Failed,
    /// The request makes no sense, so it was passed on to nobody; why.
    Invalid(&'static str),
}

/// One attempt at a peer.
#[derive(Debug)]
pub struct AttemptRecord {
    /// Where it went.
    pub endpoint: EndpointId,
    /// When.
    pub sent_at: Nanos,
    /// For how long the process had been held up by then, in all.
    pub stalled_before: Nanos,
    /// When it has had its time.
    pub deadline: Nanos,
    /// Its first byte is written by then or never.
    pub write_deadline: Nanos,
}

/// A request from its arrival until it is answered and nothing of it is out any more.
#[derive(Debug)]
pub struct RequestContext {
    /// Until it is answered or the client has left.
    pub ticket: Option<Ticket>,
    /// When its client left.
    pub client_left_at: Option<Nanos>,
    /// What is passed on.
    pub command: CacheCommand,
    /// When the client gives up.
    pub deadline: Nanos,
    /// Attempts that are out.
    pub attempts: BTreeMap<AttemptNumber, AttemptRecord>,
}

impl RequestContext {
    /// The context of a request that has just come.
    pub fn new(ticket: Ticket, order: CacheCommand, deadline: Nanos) -> Self {
        RequestContext {
            ticket: Some(ticket),
            client_left_at: None,
            command: order,
            deadline,
            attempts: BTreeMap::new(),
        }
    }

    /// Nothing is owed and nothing expected any more.
    pub fn is_finished(&self) -> bool {
        self.ticket.is_none() && self.attempts.is_empty()
    }
}
