//! What is counted and averaged, and what is remembered of keys: figures that `brain.rs` decides by. No decisions.

use crate::api::*;
use std::collections::BTreeSet;

const BUCKET_GROWTH: f64 = 1.06; // Record buckets grow by this factor, so T is at most this much too long.
const BUCKET_FLOOR: f64 = 1e5; // Lower edge of the record, 0.1 ms; 240 buckets reach some 100 s.
const BUCKETS: usize = 240;

/// The decayed record of latencies behind T.
pub(crate) struct Record {
    pub(crate) buckets: Vec<f64>,
    pub(crate) samples: u64,
    /// The quantile, as of the last sample.
    pub(crate) t: Nanos,
    fade: f64,
    quantile: f64,
}

impl Record {
    /// Tells this quantile of samples of which one weighs 1/e after `memory` more.
    pub(crate) fn new(memory: f64, quantile: f64) -> Self {
        Record {
            buckets: vec![0.0; BUCKETS],
            samples: 0,
            t: 0,
            fade: (-1.0 / memory).exp(),
            quantile,
        }
    }

    pub(crate) fn add(&mut self, latency: Nanos) {
        let place = ((latency as f64).max(BUCKET_FLOOR) / BUCKET_FLOOR).ln() / BUCKET_GROWTH.ln();
        self.buckets.iter_mut().for_each(|b| *b *= self.fade);
        self.buckets[(place as usize).min(BUCKETS - 1)] += 1.0;
        self.samples += 1;
        self.t = Self::upper_edge(&self.buckets, self.quantile);
    }

    /// Takes over the record of another; false if it is none.
    pub(crate) fn recall(&mut self, buckets: &[f64], samples: u64) -> bool {
        if buckets.len() != BUCKETS || buckets.iter().any(|b| !(0.0..1e9).contains(b)) {
            return false;
        }
        if buckets.iter().sum::<f64>() > 0.0 {
            self.buckets.copy_from_slice(buckets);
            (self.samples, self.t) = (samples, Self::upper_edge(&self.buckets, self.quantile));
        }
        true
    }

    /// Upper edge of the bucket in which the quantile lies.
    fn upper_edge(buckets: &[f64], q: f64) -> Nanos {
        let mut left = buckets.iter().sum::<f64>() * q;
        let at = buckets.iter().position(|b| {
            left -= b;
            left <= 0.0
        });
        (BUCKET_FLOOR * BUCKET_GROWTH.powi(at.unwrap_or(BUCKETS - 1) as i32 + 1)) as Nanos
    }

    /// The upper edge of the bucket that holds this latency in milliseconds.
    #[cfg(test)]
    pub(crate) fn edge(ms: f64) -> Nanos {
        let place = ((ms * 1e6 / BUCKET_FLOOR).ln() / BUCKET_GROWTH.ln()) as i32;
        (BUCKET_FLOOR * BUCKET_GROWTH.powi(place + 1)) as Nanos
    }
}

/// A decayed mean of latencies, and what it is when little waits: the yardstick of crowding.
#[derive(Default)]
pub(crate) struct Mean {
    pub(crate) now: f64,
    pub(crate) base: f64,
    samples: f64,
}

/// A mean as it is handed over.
pub(crate) type MeanParts = [f64; 3];

impl Mean {
    pub(crate) fn parts(&self) -> MeanParts {
        [self.now, self.base, self.samples]
    }
    pub(crate) fn of([now, base, samples]: MeanParts) -> Self {
        Mean { now, base, samples }
    }

    /// Takes a sample with this weight. The unloaded mean is the least mean, but of the first samples all count
    /// alike and none is a yardstick yet: one lucky quick answer would make all later ones look slow. It creeps
    /// up, to forget a low.
    pub(crate) fn add(&mut self, sample: f64, gain: f64, creep: f64) {
        self.samples += 1.0;
        self.now += gain.max(1.0 / self.samples) * (sample - self.now);
        let first = self.samples * gain <= 1.0;
        self.base = if first {
            self.now
        } else {
            (self.base * (1.0 + creep)).min(self.now)
        };
    }

    /// Forgets what it is above the unloaded mean, down to this part.
    pub(crate) fn fade(&mut self, part: f64) {
        self.now = self.base + (self.now - self.base) * part;
    }
}

/// How long answers take for the work that clients guess: a mean over a mean, as one guess says little.
#[derive(Default)]
pub(crate) struct Pace {
    took: f64,
    work: f64,
}

impl Pace {
    pub(crate) fn add(&mut self, took: f64, work: f64, gain: f64) {
        self.took += gain * (took - self.took);
        self.work += gain * (work - self.work);
    }
    /// How long this much work takes, once something is known.
    pub(crate) fn expect(&self, work: f64) -> Option<f64> {
        (self.work > 0.0).then(|| work * self.took / self.work)
    }
}

/// A count of happenings that decays with a time constant.
pub(crate) struct Rate {
    count: f64,
    at: Nanos,
    tau: f64,
}

impl Rate {
    pub(crate) fn new(tau: f64, at: Nanos) -> Self {
        Rate {
            count: 0.0,
            at,
            tau,
        }
    }
    pub(crate) fn add(&mut self, now: Nanos) {
        self.count = self.per_s(now) * self.tau / 1e9 + 1.0;
        self.at = now;
    }
    /// From now on it is as if this many a second had come for long.
    pub(crate) fn set_per_s(&mut self, now: Nanos, per_s: f64) {
        (self.count, self.at) = (per_s * self.tau / 1e9, now);
    }
    pub(crate) fn per_s(&self, now: Nanos) -> f64 {
        self.count * (-(now.saturating_sub(self.at) as f64) / self.tau).exp() * 1e9 / self.tau
    }
}

/// Which server answered which key in this period and in the last, so that memory stays bounded.
pub(crate) struct Known {
    pairs: [BTreeSet<(Key, EndpointId)>; 2],
    period: Nanos,
    since: Nanos,
}

impl Known {
    pub(crate) fn new(period: Nanos, since: Nanos) -> Self {
        Known {
            pairs: Default::default(),
            period,
            since,
        }
    }
    /// Begins a new period when it is time.
    pub(crate) fn age(&mut self, now: Nanos) {
        if now.saturating_sub(self.since) > self.period {
            self.pairs.swap(0, 1);
            self.pairs[0].clear();
            self.since = now;
        }
    }
    /// Whether the server answered this key lately, so that it most likely still holds it.
    pub(crate) fn held(&self, key: Option<Key>, id: EndpointId) -> bool {
        key.is_some_and(|k| self.pairs.iter().any(|pairs| pairs.contains(&(k, id))))
    }
    pub(crate) fn insert(&mut self, key: Option<Key>, id: EndpointId) {
        self.pairs[0].extend(key.map(|k| (k, id)));
    }
    pub(crate) fn remove(&mut self, key: Option<Key>, id: EndpointId) {
        let Some(key) = key else { return };
        self.pairs
            .iter_mut()
            .for_each(|pairs| _ = pairs.remove(&(key, id)));
    }
}

/// The middle one of these, those at 0 (nothing known) left out.
pub(crate) fn middle(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.filter(|v| *v > 0.0).collect();
    if values.is_empty() {
        return None;
    }
    let middle = values.len() / 2;
    Some(*values.select_nth_unstable_by(middle, f64::total_cmp).1)
}
