//! Commands of clients as requests, and final answers as RESP.

use crate::lifecycle::LifecyclePolicy;
use crate::request::{CacheCommand, FinalAnswer, IncomingRequest, Ticket};
use crate::resp;
use crate::timers::MS;
use routing::Nanos;
use std::ops::Range;

/// The most work that a client may guess, in microseconds: more than an hour is no guess.
const HINT_MAX: f64 = 3.6e9;
/// No client waits longer than this.
const PATIENCE_MAX: f64 = 3_600_000.0;

/// What a command turns out to be.
pub(super) enum ParsedCommand {
    Request(IncomingRequest),
    /// Something the balancer answers itself.
    Answer(Vec<u8>),
    Malformed(String),
    /// An empty command, which is not answered.
    Nothing,
}

/// Reads a whole command of these words.
pub(super) fn command(
    input: &[u8],
    words: &[Range<usize>],
    ticket: Ticket,
    stance: LifecyclePolicy,
) -> ParsedCommand {
    let word = |i: usize| words.get(i).map_or(&[][..], |range| &input[range.clone()]);
    if words.is_empty() {
        return ParsedCommand::Nothing;
    }
    let name = word(0).to_ascii_uppercase();
    match (name.as_slice(), words.len()) {
        (b"C.GET", 4) | (b"C.SET", 5) => {
            let value = (words.len() == 5).then(|| word(4).to_vec());
            request([word(1), word(2), word(3)], value, ticket)
                .map_or_else(ParsedCommand::Malformed, ParsedCommand::Request)
        }
        (b"C.GET" | b"C.SET", _) => ParsedCommand::Malformed("wrong number of arguments".into()),
        (b"PING", _) if stance.ready => ParsedCommand::Answer(b"+PONG\r\n".to_vec()),
        (b"PING", _) => ParsedCommand::Answer(error(&format!("LOADING {}", stance.state))),
        (b"CLIENT" | b"SELECT", _) => ParsedCommand::Answer(b"+OK\r\n".to_vec()),
        _ => ParsedCommand::Malformed(format!(
            "unknown command '{}'",
            word(0)[..word(0).len().min(32)].escape_ascii()
        )),
    }
}

/// Reads a request's key, id and fields.
pub(super) fn request(
    [key, id, fields]: [&[u8]; 3],
    value: Option<Vec<u8>>,
    ticket: Ticket,
) -> Result<IncomingRequest, String> {
    if key.is_empty() || id.is_empty() {
        return Err("key or id is empty".into());
    }
    let fields = std::str::from_utf8(fields).map_err(|_| "fields are not UTF-8".to_string())?;
    let (mut class, mut tenant, mut patience, mut work, mut kept) =
        (None, None, None, None, Vec::new());
    for field in fields.split(',').filter(|f| !f.is_empty()) {
        let (name, text) = field
            .split_once('=')
            .ok_or_else(|| format!("field '{field}' has no value"))?;
        match name {
            "c" => class = Some(text.to_string()),
            "t" => tenant = Some(text.to_string()),
            "d" => patience = Some(text),
            // A guess, in microseconds: one that makes no sense is none.
            "h" => {
                let us = text
                    .parse::<f64>()
                    .ok()
                    .filter(|us| (1.0..=HINT_MAX).contains(us));
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
    let ms: f64 = patience
        .parse()
        .map_err(|_| format!("field 'd': '{patience}' is no number"))?;
    if ms > PATIENCE_MAX {
        return Err(format!("field 'd': '{patience}' is too long a time"));
    }
    let patience = (ms * MS as f64) as Nanos;
    let order = CacheCommand {
        value,
        key: key.to_vec(),
        request_id: id.to_vec(),
        fields: kept,
    };
    Ok(IncomingRequest {
        ticket,
        class,
        tenant,
        arrived_at: 0,
        client_timeout: patience,
        estimated_work: work,
        command: order,
    })
}

/// An error on the wire.
pub(super) fn error(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    resp::write_error(&mut out, text);
    out
}

/// A final answer on the wire.
pub(super) fn encode(answer: FinalAnswer) -> Vec<u8> {
    match answer {
        FinalAnswer::Served(value) => {
            let mut out = Vec::with_capacity(value.len() + 16);
            resp::write_bulk(&mut out, &value);
            out
        }
        // The value itself comes in parts.
        FinalAnswer::Streaming(length) => format!("${length}\r\n").into_bytes(),
        FinalAnswer::Rejected { retry_after: 0 } => error("BUSY"),
        FinalAnswer::Rejected { retry_after } => {
            error(&format!("BUSY {}", retry_after.div_ceil(MS)))
        }
        FinalAnswer::Failed => error("ERR failed"),
        FinalAnswer::Invalid(problem) => error(&format!("ERR {problem}")),
    }
}
