//! Rates of requests: arriving, consuming endpoint time, and usefully answered.

use crate::estimators::{NANOS_PER_SECOND, Rate};
use crate::identifiers::Nanos;

/// Time constant of the rates, in nanoseconds; shorter than the overload window of slow start.
const TIME_CONSTANT: f64 = 2.0 * NANOS_PER_SECOND;

/// Request rates of one balancer.
pub(crate) struct Traffic {
    requested: Rate,
    /// Requests that took up an endpoint's time, or were rejected by admission to spare it.
    consumed: Rate,
    /// Requests whose answer had value for the client.
    useful: Rate,
}

/// Stored form of the rates in a snapshot: requested, consumed, useful, each per second.
pub(crate) type StoredRates = [f64; 3];

impl Traffic {
    pub(crate) fn new(now: Nanos) -> Self {
        Traffic {
            requested: new_rate(now),
            consumed: new_rate(now),
            useful: new_rate(now),
        }
    }

    pub(crate) fn record_request(&mut self, now: Nanos) {
        self.requested.add(now);
    }

    pub(crate) fn record_consumed(&mut self, now: Nanos) {
        self.consumed.add(now);
    }

    pub(crate) fn record_useful(&mut self, now: Nanos) {
        self.useful.add(now);
    }

    pub(crate) fn requested_per_second(&self, now: Nanos) -> f64 {
        self.requested.per_second(now)
    }

    pub(crate) fn useful_per_second(&self, now: Nanos) -> f64 {
        self.useful.per_second(now)
    }

    /// Returns the number of requests within the time constant that took up endpoint time.
    pub(crate) fn recently_consumed(&self, now: Nanos) -> f64 {
        self.consumed.per_second(now) * TIME_CONSTANT / NANOS_PER_SECOND
    }

    /// Returns the number of usefully answered requests within the time constant.
    pub(crate) fn recently_useful(&self, now: Nanos) -> f64 {
        self.useful.per_second(now) * TIME_CONSTANT / NANOS_PER_SECOND
    }

    pub(crate) fn to_stored(&self, now: Nanos) -> StoredRates {
        [&self.requested, &self.consumed, &self.useful].map(|rate| rate.per_second(now))
    }

    pub(crate) fn restore(&mut self, [requested, consumed, useful]: StoredRates, now: Nanos) {
        self.requested.set_per_second(now, requested);
        self.consumed.set_per_second(now, consumed);
        self.useful.set_per_second(now, useful);
    }
}

/// Creates a rate with the time constant of all request rates.
pub(crate) fn new_rate(now: Nanos) -> Rate {
    Rate::new(TIME_CONSTANT, now)
}
