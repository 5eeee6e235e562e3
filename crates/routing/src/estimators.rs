//! Statistics over streams of samples: event rates, mean latencies, a latency quantile.

use crate::identifiers::Nanos;

/// Nanoseconds in a second.
pub(crate) const NANOS_PER_SECOND: f64 = 1e9;

/// Width of a histogram bucket, as the factor between its edges: the most by which the quantile is
/// overestimated.
const BUCKET_GROWTH: f64 = 1.06;
/// Lower edge of the first bucket, in nanoseconds.
const FIRST_BUCKET_NANOS: f64 = 1e5;
/// Buckets of the histogram; they reach some 100 s.
const BUCKETS: usize = 240;
/// The greatest weight of a bucket that is accepted from another process.
const MAX_BUCKET_WEIGHT: f64 = 1e9;

/// Weight of a new sample in a mean latency.
const LATENCY_GAIN: f64 = 0.1;
/// Rise of the baseline of a mean latency with each sample, so that an exceptional low is
/// forgotten.
const BASELINE_CREEP: f64 = 0.0003;

/// A quantile of latencies, over a histogram in which old samples decay.
pub(crate) struct LatencyQuantile {
    buckets: Vec<f64>,
    samples: u64,
    value: Nanos,
    decay: f64,
    quantile: f64,
}

/// A histogram as it is stored in a snapshot: its buckets, and how many samples it has had.
pub(crate) type StoredHistogram = (Vec<f64>, u64);

impl LatencyQuantile {
    /// This quantile of samples of which one weighs 1/e after `memory` more.
    pub(crate) fn new(memory: f64, quantile: f64) -> Self {
        LatencyQuantile {
            buckets: vec![0.0; BUCKETS],
            samples: 0,
            value: 0,
            decay: (-1.0 / memory).exp(),
            quantile,
        }
    }

    pub(crate) fn add(&mut self, latency: Nanos) {
        let latency = (latency as f64).max(FIRST_BUCKET_NANOS);
        let index = (latency / FIRST_BUCKET_NANOS).ln() / BUCKET_GROWTH.ln();
        for weight in &mut self.buckets {
            *weight *= self.decay;
        }
        self.buckets[(index as usize).min(BUCKETS - 1)] += 1.0;
        self.samples += 1;
        self.value = Self::upper_edge(&self.buckets, self.quantile);
    }

    /// How many samples there have been.
    pub(crate) fn samples(&self) -> u64 {
        self.samples
    }

    /// The quantile as of the last sample; 0 without samples.
    pub(crate) fn value(&self) -> Nanos {
        self.value
    }

    pub(crate) fn to_stored(&self) -> StoredHistogram {
        (self.buckets.clone(), self.samples)
    }

    /// Takes over a stored histogram; false if it is of another form.
    #[must_use]
    pub(crate) fn restore(&mut self, (buckets, samples): &StoredHistogram) -> bool {
        let is_valid = |weight: &f64| (0.0..MAX_BUCKET_WEIGHT).contains(weight);
        if buckets.len() != BUCKETS || !buckets.iter().all(is_valid) {
            return false;
        }
        if buckets.iter().sum::<f64>() > 0.0 {
            self.buckets.copy_from_slice(buckets);
            self.samples = *samples;
            self.value = Self::upper_edge(&self.buckets, self.quantile);
        }
        true
    }

    /// Upper edge of the bucket that contains the quantile.
    fn upper_edge(buckets: &[f64], quantile: f64) -> Nanos {
        let mut remaining = buckets.iter().sum::<f64>() * quantile;
        let index = buckets.iter().position(|weight| {
            remaining -= weight;
            remaining <= 0.0
        });
        let growth = BUCKET_GROWTH.powi(index.unwrap_or(BUCKETS - 1) as i32 + 1);
        (FIRST_BUCKET_NANOS * growth) as Nanos
    }

    /// The upper edge of the bucket that contains this latency in milliseconds.
    #[cfg(test)]
    pub(crate) fn bucket_edge(milliseconds: f64) -> Nanos {
        let index = ((milliseconds * 1e6 / FIRST_BUCKET_NANOS).ln() / BUCKET_GROWTH.ln()) as i32;
        (FIRST_BUCKET_NANOS * BUCKET_GROWTH.powi(index + 1)) as Nanos
    }

    #[cfg(test)]
    pub(crate) fn total_weight(&self) -> f64 {
        self.buckets.iter().sum()
    }
}

/// An exponentially weighted mean of latencies, and its value with little queueing: the baseline.
#[derive(Default)]
pub(crate) struct LatencyMean {
    recent: f64,
    baseline: f64,
    samples: f64,
}

/// A latency mean as it is stored in a snapshot: recent mean, baseline, samples.
pub(crate) type StoredLatencyMean = [f64; 3];

impl LatencyMean {
    /// The mean lately, in nanoseconds.
    pub(crate) fn recent(&self) -> f64 {
        self.recent
    }

    /// The mean with little queueing, in nanoseconds.
    pub(crate) fn baseline(&self) -> f64 {
        self.baseline
    }

    /// Adds a latency. The baseline is the least mean so far, which slowly rises. While the first
    /// samples arrive it equals their plain mean: one quick answer must not make all later ones
    /// look slow.
    pub(crate) fn add(&mut self, latency: Nanos) {
        self.add_with_creep(latency as f64, BASELINE_CREEP);
    }

    /// Adds a latency; the baseline rises by `creep`.
    pub(crate) fn add_with_creep(&mut self, latency: f64, creep: f64) {
        self.samples += 1.0;
        self.recent += LATENCY_GAIN.max(1.0 / self.samples) * (latency - self.recent);
        let is_settling = self.samples * LATENCY_GAIN <= 1.0;
        self.baseline = if is_settling {
            self.recent
        } else {
            (self.baseline * (1.0 + creep)).min(self.recent)
        };
    }

    /// Reduces what the recent mean exceeds the baseline by to this fraction.
    pub(crate) fn decay_toward_baseline(&mut self, fraction: f64) {
        self.recent = self.baseline + (self.recent - self.baseline) * fraction;
    }

    pub(crate) fn to_stored(&self) -> StoredLatencyMean {
        [self.recent, self.baseline, self.samples]
    }

    pub(crate) fn from_stored([recent, baseline, samples]: StoredLatencyMean) -> Self {
        LatencyMean {
            recent,
            baseline,
            samples,
        }
    }
}

/// How long answers take in proportion to the work that clients estimate: a ratio of two means, as
/// a single estimate says little.
#[derive(Default)]
pub(crate) struct WorkPace {
    latency: f64,
    estimated_work: f64,
}

impl WorkPace {
    pub(crate) fn add(&mut self, latency: f64, estimated_work: f64, gain: f64) {
        self.latency += gain * (latency - self.latency);
        self.estimated_work += gain * (estimated_work - self.estimated_work);
    }

    /// How long this much work takes, once there are samples.
    pub(crate) fn expected_latency(&self, estimated_work: f64) -> Option<f64> {
        (self.estimated_work > 0.0).then(|| estimated_work * self.latency / self.estimated_work)
    }
}

/// A rate of events that decays with a time constant.
pub(crate) struct Rate {
    count: f64,
    updated_at: Nanos,
    time_constant: f64,
}

impl Rate {
    /// A rate of 0 with this time constant in nanoseconds.
    pub(crate) fn new(time_constant: f64, now: Nanos) -> Self {
        Rate {
            count: 0.0,
            updated_at: now,
            time_constant,
        }
    }

    /// Counts one event.
    pub(crate) fn add(&mut self, now: Nanos) {
        self.count = self.per_second(now) * self.time_constant / NANOS_PER_SECOND + 1.0;
        self.updated_at = now;
    }

    pub(crate) fn set_per_second(&mut self, now: Nanos, per_second: f64) {
        self.count = per_second * self.time_constant / NANOS_PER_SECOND;
        self.updated_at = now;
    }

    pub(crate) fn per_second(&self, now: Nanos) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at) as f64;
        self.count * (-elapsed / self.time_constant).exp() * NANOS_PER_SECOND / self.time_constant
    }
}

/// The median of the values over 0.
pub(crate) fn median(mut values: Vec<f64>) -> Option<f64> {
    values.retain(|value| *value > 0.0);
    if values.is_empty() {
        return None;
    }
    let middle = values.len() / 2;
    Some(*values.select_nth_unstable_by(middle, f64::total_cmp).1)
}

#[cfg(test)]
mod tests;
