//! Statistics over streams of samples: event rates, mean latencies, and a latency quantile.

use crate::identifiers::Nanos;

/// Number of nanoseconds in a second.
pub(crate) const NANOS_PER_SECOND: f64 = 1e9;

/// Ratio of a histogram bucket's upper to its lower edge; the quantile is overestimated by at most
/// this factor.
const BUCKET_GROWTH: f64 = 1.06;
/// Lower edge of the first histogram bucket, in nanoseconds.
const FIRST_BUCKET_NANOS: f64 = 1e5;
/// Number of histogram buckets; the last one ends at about 100 s.
const BUCKETS: usize = 240;
/// Upper bound of a bucket's weight when a histogram from another process is restored.
const MAX_BUCKET_WEIGHT: f64 = 1e9;

/// Weight of a new sample in a mean latency.
const LATENCY_GAIN: f64 = 0.1;
/// Relative rise of the baseline of a mean latency with each sample, so that an exceptionally low
/// mean is forgotten over time.
const BASELINE_GROWTH: f64 = 0.0003;

/// Quantile of latencies, computed from a histogram in which old samples decay.
pub(crate) struct LatencyQuantile {
    buckets: Vec<f64>,
    samples: u64,
    value: Nanos,
    decay: f64,
    quantile: f64,
}

/// Stored form of a histogram in a snapshot: the weights of its buckets and the number of samples.
pub(crate) type StoredHistogram = (Vec<f64>, u64);

impl LatencyQuantile {
    /// Creates an estimator of this quantile; the weight of a sample decays to 1/e after `memory`
    /// further samples.
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

    /// Returns the number of samples so far.
    pub(crate) fn samples(&self) -> u64 {
        self.samples
    }

    /// Returns the quantile as of the last sample, in nanoseconds; 0 without samples.
    pub(crate) fn value(&self) -> Nanos {
        self.value
    }

    pub(crate) fn to_stored(&self) -> StoredHistogram {
        (self.buckets.clone(), self.samples)
    }

    /// Restores a stored histogram; returns false if its bucket count or a weight is invalid.
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

    /// Returns the upper edge of the bucket that contains the quantile.
    fn upper_edge(buckets: &[f64], quantile: f64) -> Nanos {
        let mut remaining = buckets.iter().sum::<f64>() * quantile;
        let index = buckets.iter().position(|weight| {
            remaining -= weight;
            remaining <= 0.0
        });
        let growth = BUCKET_GROWTH.powi(index.unwrap_or(BUCKETS - 1) as i32 + 1);
        (FIRST_BUCKET_NANOS * growth) as Nanos
    }

    /// Returns the upper edge of the bucket that contains this latency in milliseconds.
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

/// Exponentially weighted mean of latencies, with its baseline: the mean with little queueing.
#[derive(Default)]
pub(crate) struct LatencyMean {
    recent: f64,
    baseline: f64,
    samples: f64,
}

/// Stored form of a latency mean in a snapshot: recent mean, baseline, number of samples.
pub(crate) type StoredLatencyMean = [f64; 3];

impl LatencyMean {
    /// Returns the recent mean, in nanoseconds.
    pub(crate) fn recent(&self) -> f64 {
        self.recent
    }

    /// Returns the mean with little queueing, in nanoseconds.
    pub(crate) fn baseline(&self) -> f64 {
        self.baseline
    }

    /// Adds a latency. The baseline is the lowest mean so far, raised slowly with each sample.
    /// During the first samples it equals their plain mean, so that one quick answer does not make
    /// all later ones look slow.
    pub(crate) fn add(&mut self, latency: Nanos) {
        self.add_with_baseline_growth(latency as f64, BASELINE_GROWTH);
    }

    /// Adds a latency; the baseline rises by the fraction `growth`.
    pub(crate) fn add_with_baseline_growth(&mut self, latency: f64, growth: f64) {
        self.samples += 1.0;
        self.recent += LATENCY_GAIN.max(1.0 / self.samples) * (latency - self.recent);
        let has_few_samples = self.samples * LATENCY_GAIN <= 1.0;
        self.baseline = if has_few_samples {
            self.recent
        } else {
            (self.baseline * (1.0 + growth)).min(self.recent)
        };
    }

    /// Reduces the excess of the recent mean over the baseline to this fraction.
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

/// Ratio of answer latency to the work that clients estimate. It is a ratio of two means, because a
/// single estimate is unreliable.
#[derive(Default)]
pub(crate) struct LatencyPerWork {
    latency: f64,
    estimated_work: f64,
}

impl LatencyPerWork {
    pub(crate) fn add(&mut self, latency: f64, estimated_work: f64, gain: f64) {
        self.latency += gain * (latency - self.latency);
        self.estimated_work += gain * (estimated_work - self.estimated_work);
    }

    /// Returns the expected latency of this amount of work, or `None` without samples.
    pub(crate) fn expected_latency(&self, estimated_work: f64) -> Option<f64> {
        (self.estimated_work > 0.0).then(|| estimated_work * self.latency / self.estimated_work)
    }
}

/// Event rate that decays exponentially with a time constant.
pub(crate) struct Rate {
    count: f64,
    updated_at: Nanos,
    time_constant: f64,
}

impl Rate {
    /// Creates a rate of 0 with this time constant, in nanoseconds.
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

/// Returns the median of the values above 0, or `None` if there are none.
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
