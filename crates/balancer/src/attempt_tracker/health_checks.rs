//! Health checks in flight.

use super::outcome::HealthCheckReply;
use crate::upstream_pool::{ExchangeResult, UpstreamJob};
use routing::{AttemptOutcome, EndpointId, Event};
use std::collections::HashMap;

/// Endpoints that are being checked, by the number of the check.
#[derive(Default)]
pub(super) struct HealthChecks {
    endpoints: HashMap<u64, EndpointId>,
    last_number: u64,
}

impl HealthChecks {
    /// Starts a check of an endpoint.
    pub(super) fn start(&mut self, endpoint: EndpointId) -> UpstreamJob {
        self.last_number += 1;
        self.endpoints.insert(self.last_number, endpoint);
        UpstreamJob::HealthCheck(self.last_number)
    }

    /// Ends a check that got no reply in time. Returns its end for the engine, if it was still in
    /// flight.
    pub(super) fn time_out(&mut self, number: u64) -> Option<Event> {
        let reply = HealthCheckReply {
            outcome: AttemptOutcome::Timeout,
            load_report: None,
        };
        self.end(number, reply)
    }

    /// Ends a check with the result of its job. Returns its end for the engine, if it was still in
    /// flight.
    pub(super) fn complete(&mut self, number: u64, result: ExchangeResult) -> Option<Event> {
        self.end(number, HealthCheckReply::from(result))
    }

    fn end(&mut self, number: u64, reply: HealthCheckReply) -> Option<Event> {
        let endpoint = self.endpoints.remove(&number)?;
        Some(Event::HealthCheckEnded {
            endpoint,
            outcome: reply.outcome,
            load_report: reply.load_report,
        })
    }
}
