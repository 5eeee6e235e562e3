//! How much a member of a fleet in regions sends: a token bucket of bytes.
//!
//! Rumours and comparisons go out as fast as there is news, and when hundreds of members die or return at once there is
//! news of each. What waits for the bucket is told a little later; beats, probes, questions to suspects and their answers
//! never wait, so that no member is taken for dead for want of bytes.

use crate::Nanos;

/// What is sent on and on, at most.
const BYTES_PER_S: u64 = 14_000;
/// What is sent at once, at most.
const BURST: u64 = 150_000;
const SECOND: Nanos = 1_000_000_000;

/// Bytes that may still be sent.
#[derive(Debug)]
pub(super) struct Budget {
    left: i64,
    at: Nanos,
}

impl Budget {
    pub(super) fn new(now: Nanos) -> Self {
        Budget {
            left: BURST as i64,
            at: now,
        }
    }

    /// Bytes were sent, whatever they were for.
    pub(super) fn spend(&mut self, bytes: usize) {
        self.left = self
            .left
            .saturating_sub_unsigned(bytes as u64)
            .max(-(BURST as i64));
    }

    /// Whether what can wait may be sent now.
    pub(super) fn allows(&mut self, now: Nanos) -> bool {
        let span = now.saturating_sub(self.at).min(SECOND);
        let gained = BYTES_PER_S * span / SECOND;
        if gained > 0 {
            self.left = self.left.saturating_add_unsigned(gained).min(BURST as i64);
            self.at = now;
        }
        self.left > 0
    }
}
