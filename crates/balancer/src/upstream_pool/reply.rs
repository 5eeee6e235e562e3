//! Reads what arrives on a connection as the reply to its job.

use super::exchange::{ExchangeResult, UpstreamJob};
use crate::resp::{self, RespError, parse_response};

/// A reply that has arrived as far as it is needed.
#[derive(Debug)]
pub(super) struct ParsedReply {
    pub(super) result: ExchangeResult,
    /// The reply's length in bytes; unknown if its end has not arrived, so that the connection
    /// can't be used again.
    pub(super) length: Option<usize>,
}

/// The reply to a job; `None` while more bytes are needed.
///
/// # Errors
///
/// Says how the bytes break the protocol.
pub(super) fn parse_reply(
    job: UpstreamJob,
    input: &[u8],
) -> Result<Option<ParsedReply>, RespError> {
    Ok(match job {
        UpstreamJob::Attempt(..) => parse_response(input)?.map(|(answer, length)| ParsedReply {
            result: ExchangeResult::Response(answer),
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
