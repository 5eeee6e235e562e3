//! Simulated origin: the slow map store behind the caches, with limited concurrency and adjustable
//! speed. Caches call it directly, in the same process.

use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Capacity and speed of the origin.
#[derive(Clone, Copy, Debug)]
pub struct OriginOptions {
    /// Maximum number of fetches and writes processed concurrently.
    pub slots: usize,
    /// Processing time of a fetch or write.
    pub service_time: Duration,
    /// Maximum time a fetch or write waits for a slot before it fails.
    pub timeout: Duration,
}

/// Counters and speed of an origin, shared by its clones.
#[derive(Default)]
struct OriginState {
    /// Fetches and writes that hold a slot.
    in_service: usize,
    /// Fetches and writes that got a slot so far.
    fetches: u64,
    /// Fetches and writes that timed out in the queue.
    failed: u64,
    /// Factor applied to the processing time; values below 1 count as 1.
    slowdown: f64,
}

/// Handle to an origin; clones share its state.
#[derive(Clone)]
pub struct Origin {
    options: OriginOptions,
    state: Arc<(Mutex<OriginState>, Condvar)>,
}

impl Origin {
    /// Creates an origin with these options.
    #[must_use]
    pub fn new(options: OriginOptions) -> Self {
        Origin {
            options,
            state: Arc::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, OriginState> {
        self.state.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Multiplies the processing time of later fetches and writes by this factor, 1 or more.
    pub fn set_slowdown(&self, slowdown: f64) {
        self.state().slowdown = slowdown.max(1.0);
    }

    /// Returns the numbers of fetches and writes that got a slot, and of those that timed out in
    /// the queue.
    #[must_use]
    pub fn counts(&self) -> (u64, u64) {
        let state = self.state();
        (state.fetches, state.failed)
    }

    /// Processes one fetch or write and blocks until it ends; returns false if it timed out in the
    /// queue.
    pub fn process_request(&self) -> bool {
        let deadline = Instant::now() + self.options.timeout;
        let mut state = self.state();
        while state.in_service >= self.options.slots {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                state.failed += 1;
                return false;
            }
            state = self
                .state
                .1
                .wait_timeout(state, remaining)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
        state.in_service += 1;
        state.fetches += 1;
        let slowdown = state.slowdown.max(1.0);
        drop(state);
        std::thread::sleep(self.options.service_time.mul_f64(slowdown));
        self.state().in_service -= 1;
        self.state.1.notify_one();
        true
    }
}

#[cfg(test)]
mod tests;
