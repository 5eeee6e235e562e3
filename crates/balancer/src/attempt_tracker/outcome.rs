//! Mapping of the results of jobs to the engine's outcomes, as the protocol defines it.

use crate::counters::Counters;
use crate::resp::{CacheResponse, Reply};
use crate::upstream_pool::ExchangeResult;
use routing::{AttemptOutcome, CacheStatus, LoadReport};

/// Value that an endpoint served for a request.
#[derive(Debug, PartialEq)]
pub(super) struct ServedValue {
    pub(super) value: Vec<u8>,
    pub(super) cache_status: Option<CacheStatus>,
    pub(super) load_report: Option<LoadReport>,
}

/// Outcome of an attempt, with the served value if there is one.
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
            ExchangeResult::Response(response) => return AttemptReply::from(response),
            ExchangeResult::Unreadable | ExchangeResult::Reply(_) => AttemptOutcome::Unreadable,
            ExchangeResult::ConnectFailed => AttemptOutcome::ConnectFailed,
            ExchangeResult::Reset => AttemptOutcome::Reset,
            ExchangeResult::NoCapacity => AttemptOutcome::NotSent,
        })
    }
}

impl From<CacheResponse> for AttemptReply {
    fn from(response: CacheResponse) -> Self {
        match response {
            CacheResponse::Error(text) => AttemptReply::without_value(error_outcome(&text)),
            CacheResponse::Served {
                value,
                cache_status,
                load_report,
            } => AttemptReply {
                outcome: AttemptOutcome::Ok,
                served: Some(ServedValue {
                    value,
                    cache_status: cache_status.as_deref().and_then(parse_cache_status),
                    load_report: load_report.as_deref().map(parse_load_report),
                }),
            },
        }
    }
}

/// Maps the text of an error line to the outcome of the attempt.
fn error_outcome(text: &str) -> AttemptOutcome {
    let code = text.split(' ').next().unwrap_or_default();
    match (code, text) {
        ("BUSY", _) => AttemptOutcome::Rejected,
        (_, "ERR failed") => AttemptOutcome::Error,
        // Any other error concerns the command: no endpoint would accept it, and this endpoint is
        // not at fault.
        _ => {
            log::debug!("an endpoint rejected a request as invalid: {text}");
            AttemptOutcome::InvalidRequest
        }
    }
}

fn parse_cache_status(text: &[u8]) -> Option<CacheStatus> {
    match text {
        b"hit" => Some(CacheStatus::Hit),
        b"miss" => Some(CacheStatus::Miss),
        b"pending" => Some(CacheStatus::MissPending),
        _ => None,
    }
}

/// Parses a load report: `name=value` pairs, separated by commas or spaces. Invalid pairs are
/// skipped.
fn parse_load_report(text: &[u8]) -> LoadReport {
    let text = String::from_utf8_lossy(text);
    let pairs = text.split([',', ' ']);
    let pairs = pairs.filter_map(|pair| pair.split_once('='));
    routing_config::parse_load_report(
        pairs.filter_map(|(name, value)| Some((name, value.parse().ok()?))),
    )
}

/// Outcome of a health check, with the load report if the endpoint sent one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct HealthCheckReply {
    pub(super) outcome: AttemptOutcome,
    pub(super) load_report: Option<LoadReport>,
}

impl From<ExchangeResult> for HealthCheckReply {
    fn from(result: ExchangeResult) -> Self {
        let mut load_report = None;
        let outcome = match result {
            ExchangeResult::Reply(Reply::Status(_)) => AttemptOutcome::Ok,
            ExchangeResult::Reply(Reply::Bulk(Some(text))) => {
                load_report = Some(parse_load_report(&text));
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
            load_report,
        }
    }
}

/// Adds the outcome of an attempt to the counters.
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
