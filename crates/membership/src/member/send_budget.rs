//! The send budget of a member of a fleet with regions: a token bucket of bytes.
//!
//! When hundreds of members die or return at once there is a broadcast for each. Broadcasts and
//! digests wait for the bucket; heartbeats, probes and their answers never do, so that no member is
//! suspected for want of bytes.

use crate::Nanos;

const BYTES_PER_SECOND: u64 = 14_000;
const BURST_BYTES: u64 = 150_000;
const SECOND: Nanos = 1_000_000_000;

/// The bytes that may still be sent.
#[derive(Debug)]
pub(super) struct SendBudget {
    available: i64,
    refilled_at: Nanos,
}

impl SendBudget {
    pub(super) fn new(now: Nanos) -> Self {
        SendBudget {
            available: BURST_BYTES as i64,
            refilled_at: now,
        }
    }

    /// Counts bytes that were sent, deferrable or not.
    pub(super) fn spend(&mut self, bytes: usize) {
        self.available = self
            .available
            .saturating_sub_unsigned(bytes as u64)
            .max(-(BURST_BYTES as i64));
    }

    /// Whether deferrable datagrams may be sent now.
    pub(super) fn allows(&mut self, now: Nanos) -> bool {
        let span = now.saturating_sub(self.refilled_at).min(SECOND);
        let refill = BYTES_PER_SECOND * span / SECOND;
        if refill > 0 {
            self.available = self
                .available
                .saturating_add_unsigned(refill)
                .min(BURST_BYTES as i64);
            self.refilled_at = now;
        }
        self.available > 0
    }
}
