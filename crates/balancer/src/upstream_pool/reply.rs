//! Parsing of received bytes as the reply to a job.

use super::exchange::{ExchangeResult, UpstreamJob};
use crate::resp::{self, RespError, parse_response};

/// A reply of which all necessary parts have arrived.
#[derive(Debug)]
pub(super) struct ParsedReply {
    pub(super) result: ExchangeResult,
    /// Length of the reply in bytes; `None` if its end has not arrived. The connection can't be
    /// used again then.
    pub(super) length: Option<usize>,
}

/// Parses the reply to a job; `None` while more bytes are needed.
///
/// # Errors
///
/// Returns an error if the bytes violate the protocol.
pub(super) fn parse_reply(
    job: UpstreamJob,
    input: &[u8],
) -> Result<Option<ParsedReply>, RespError> {
    Ok(match job {
        UpstreamJob::Attempt(..) => parse_response(input)?.map(|(response, length)| ParsedReply {
            result: ExchangeResult::Response(response),
            length,
        }),
        UpstreamJob::HealthCheck(_) => {
            resp::parse_reply(input)?.map(|(reply, length)| ParsedReply {
                result: ExchangeResult::Reply(reply),
                length: Some(length),
            })
        }
    })
}
