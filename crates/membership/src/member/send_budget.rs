//! Send budget of a member of a fleet with regions: a token bucket of bytes.
//!
//! When hundreds of members die or rejoin at once, each causes a broadcast. Broadcasts and digests
//! are deferred while the bucket is empty. Heartbeats, probes and their answers are never deferred,
//! so that a lack of tokens does not make a member suspect.

use crate::Nanos;

const BYTES_PER_SECOND: u64 = 14_000;
const BURST_BYTES: u64 = 150_000;
const SECOND: Nanos = 1_000_000_000;

/// Token bucket of the bytes that may be sent.
#[derive(Debug)]
pub(super) struct SendBudget {
    /// Number of available bytes; negative if more non-deferrable bytes were sent than available.
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

    /// Deducts sent bytes, whether or not the datagram could have been deferred.
    pub(super) fn spend(&mut self, bytes: usize) {
        self.available = self
            .available
            .saturating_sub_unsigned(bytes as u64)
            .max(-(BURST_BYTES as i64));
    }

    /// Returns whether deferrable datagrams may be sent now.
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
