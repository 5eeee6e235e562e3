//! The slow map store behind the caches: it takes so many fetches and writes at a time, and may be
//! slowed while it works. Only caches call it.

use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// How the origin works.
#[derive(Clone, Copy, Debug)]
pub struct OriginOptions {
    /// Fetches and writes at work at a time.
    pub slots: usize,
    /// What one takes.
    pub service_time: Duration,
    /// One that has waited this long for a slot fails.
    pub timeout: Duration,
}

#[derive(Default)]
struct OriginState {
    in_service: usize,
    fetches: u64,
    failed: u64,
    /// 1 or more; 0 stands for 1.
    slowness: f64,
}

/// The origin; all clones are one.
#[derive(Clone)]
pub struct Origin {
    options: OriginOptions,
    state: Arc<(Mutex<OriginState>, Condvar)>,
}

impl Origin {
    /// An origin that works like this.
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

    /// Each fetch takes so many times as long from now on.
    pub fn slow(&self, slowness: f64) {
        self.state().slowness = slowness.max(1.0);
    }

    /// Fetches and writes that were served, and those that timed out in the queue.
    #[must_use]
    pub fn counts(&self) -> (u64, u64) {
        let state = self.state();
        (state.fetches, state.failed)
    }

    /// One fetch or write, from its beginning to its end; false if it timed out in the queue.
    pub fn work(&self) -> bool {
        let until = Instant::now() + self.options.timeout;
        let mut state = self.state();
        while state.in_service >= self.options.slots {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                state.failed += 1;
                return false;
            }
            state = self
                .state
                .1
                .wait_timeout(state, left)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
        state.in_service += 1;
        state.fetches += 1;
        let slowness = state.slowness.max(1.0);
        drop(state);
        std::thread::sleep(self.options.service_time.mul_f64(slowness));
        self.state().in_service -= 1;
        self.state.1.notify_one();
        true
    }
}

#[cfg(test)]
mod tests;
