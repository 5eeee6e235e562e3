//! What comes back from an endpoint, as the engine's outcomes: the protocol's table of answers.

use crate::counters::Counters;
use crate::resp::{Answer, Reply};
use crate::upstream_pool::ExchangeResult;
use routing::{AttemptOutcome, CacheStatus, LoadReport};

/// The value that an endpoint served for a request.
#[derive(Debug, PartialEq)]
pub(super) struct ServedValue {
    pub(super) value: Vec<u8>,
    pub(super) cache_status: Option<CacheStatus>,
    pub(super) load_report: Option<LoadReport>,
}

/// How an attempt ended, with the value that was served, if one was.
#[derive(Debug, PartialEq)]
pub(super) struct AttemptReply {
    pub(super) outcome: AttemptOutcome,
    pub(super) served: Option<ServedValue>,
}

impl AttemptReply {
    pub(super) fn without_value(outcome: AttemptOutcome) -> Self {
        AttemptReply {
            outcome,
            served: None,
        }
    }
}

impl From<ExchangeResult> for AttemptReply {
    fn from(result: ExchangeResult) -> Self {
        AttemptReply::without_value(match result {
            ExchangeResult::Response(answer) => return AttemptReply::from(answer),
            ExchangeResult::Unreadable | ExchangeResult::Reply(_) => AttemptOutcome::Unreadable,
            ExchangeResult::ConnectFailed => AttemptOutcome::ConnectFailed,
            ExchangeResult::Reset => AttemptOutcome::Reset,
            ExchangeResult::NoCapacity => AttemptOutcome::NotSent,
        })
    }
}

impl From<Answer> for AttemptReply {
    fn from(answer: Answer) -> Self {
        match answer {
            Answer::Error(text) => AttemptReply::without_value(error_outcome(&text)),
            Answer::Served { value, note, load } => AttemptReply {
                outcome: AttemptOutcome::Ok,
                served: Some(ServedValue {
                    value,
                    cache_status: note.as_deref().and_then(cache_status),
                    load_report: load.as_deref().map(load_report),
                }),
            },
        }
    }
}

/// What an error reply says of the attempt.
fn error_outcome(text: &str) -> AttemptOutcome {
    let code = text.split(' ').next().unwrap_or_default();
    match (code, text) {
        ("BUSY", _) => AttemptOutcome::Rejected,
        (_, "ERR failed") => AttemptOutcome::Error,
        // Another complaint is about the command: no endpoint takes it, and this one is sound.
        _ => {
            log::debug!("an endpoint answers: {text}");
            AttemptOutcome::InvalidRequest
        }
    }
}

fn cache_status(text: &[u8]) -> Option<CacheStatus> {
    match text {
        b"hit" => Some(CacheStatus::Hit),
        b"miss" => Some(CacheStatus::Miss),
        b"pending" => Some(CacheStatus::MissPending),
        _ => None,
    }
}

/// A load report: names and values, separated by commas. What can't be read is skipped.
fn load_report(text: &[u8]) -> LoadReport {
    let text = String::from_utf8_lossy(text);
    let pairs = text.split([',', ' ']);
    let pairs = pairs.filter_map(|pair| pair.split_once('='));
    routing_config::parse_load_report(
        pairs.filter_map(|(name, value)| Some((name, value.parse().ok()?))),
    )
}

/// What a health check found.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct HealthCheckReply {
    pub(super) outcome: AttemptOutcome,
    pub(super) load_report: Option<LoadReport>,
}

impl From<ExchangeResult> for HealthCheckReply {
    fn from(result: ExchangeResult) -> Self {
        let mut report = None;
        let outcome = match result {
            ExchangeResult::Reply(Reply::Status(_)) => AttemptOutcome::Ok,
            ExchangeResult::Reply(Reply::Bulk(Some(text))) => {
                report = Some(load_report(&text));
                AttemptOutcome::Ok
            }
            ExchangeResult::Reply(_) => AttemptOutcome::Error,
            ExchangeResult::ConnectFailed => AttemptOutcome::ConnectFailed,
            ExchangeResult::Reset => AttemptOutcome::Reset,
            ExchangeResult::Unreadable | ExchangeResult::Response(_) => AttemptOutcome::Unreadable,
            ExchangeResult::NoCapacity => AttemptOutcome::NotSent,
        };
        HealthCheckReply {
            outcome,
            load_report: report,
        }
    }
}

/// Counts how an attempt ended.
pub(super) fn count(outcome: AttemptOutcome, counters: &mut Counters) {
    *match outcome {
        AttemptOutcome::Ok => &mut counters.attempts_ok,
        AttemptOutcome::Error | AttemptOutcome::CacheMiss => &mut counters.attempts_error,
        AttemptOutcome::Unreadable => &mut counters.attempts_unreadable,
        AttemptOutcome::InvalidRequest => &mut counters.attempts_invalid,
        AttemptOutcome::Rejected => &mut counters.attempts_rejected,
        AttemptOutcome::Timeout => &mut counters.attempts_timeout,
        AttemptOutcome::ConnectFailed => &mut counters.attempts_connect_failed,
        AttemptOutcome::Reset => &mut counters.attempts_reset,
        AttemptOutcome::Cancelled => &mut counters.attempts_cancelled,
        AttemptOutcome::NotSent => &mut counters.attempts_not_sent,
    } += 1;
}

#[cfg(test)]
mod tests;
