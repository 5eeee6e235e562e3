//! Shared shedding: all members shed load by one level when more is asked for than the caches have
//! capacity for.
//!
//! Each member counts, round by round, how many requests it admitted and how many of these were
//! then rejected for lack of capacity. It reports that and its level to a few others at random, and
//! passes on the recent reports of the rest. All thus judge by nearly the same sums. Each sets its
//! level to the mean of the levels that it knows, raises it at once by the fraction rejected for
//! capacity, and lowers it slowly at first and then faster. An isolated member goes by its own
//! counts alone.
//!
//! The level is a number of tiers. The configured classes, each within and beyond its tenant's
//! quota, are the tiers, in the order of their priority weights (`routing` orders them). Of all
//! tiers under the level [`MAX_SHED_FRACTION`] is shed, and of the tier in which it lies the
//! level's fractional part, the same requests at all members.

use crate::envelope::PAYLOAD_MAX;
use crate::fault_injection::{InjectedFault, is_injected};
use crate::payload::{PayloadBudget, PayloadError};
use crate::{MS, Nanos};
pub use routing::{AdmissionCounts, COUNTED_TIERS, MAX_SHED_FRACTION};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The length of the rounds over which requests are counted and after which the level moves.
pub const ROUND_INTERVAL: Nanos = 400 * MS;
/// How long a report counts.
pub const REPORT_TTL: Nanos = 1_500 * MS;
/// The level rises if more than this fraction of the admitted requests is rejected for capacity,
const RAISE_ABOVE: f64 = 0.15;
/// so that this fraction remains: without some excess the members' own limits would never be
/// reached and never grow.
const TARGET_EXCESS: f64 = 0.1;
/// The level falls if less than this fraction is rejected for capacity.
const LOWER_BELOW: f64 = 0.08;
/// The throughput of the best recent round decays by this factor a round.
const BEST_THROUGHPUT_DECAY: f64 = 0.98;
/// Below this fraction of the best recent throughput, with capacity for all that is admitted,
const RECOVERY_BELOW: f64 = 0.9;
/// this fraction of the difference is admitted at once.
const RECOVERY_FRACTION: f64 = 0.35;
/// Fewer admitted requests than this in a round, over the fleet, do not raise the level.
const RAISE_MIN_REQUESTS: u32 = 20;
/// The first lowerings admit this fraction more: less than lies between the two thresholds, so that
/// the level settles.
const LOWER_FRACTION: f64 = 0.03;
/// After this many lowerings in a row each admits [`LOWER_GROWTH`] times as much as the one before,
const SLOW_LOWERINGS: u32 = 3;
const LOWER_GROWTH: f64 = 1.5;
/// for at most this many lowerings,
const LOWER_GROWTH_STEPS_MAX: u32 = 9;
/// and at most this fraction.
const LOWER_FRACTION_MAX: f64 = 0.5;
/// Lowerings vary from this factor on, by up to [`JITTER_RANGE`], so that members do not move in
/// step.
const JITTER_MIN: f64 = 0.75;
const JITTER_RANGE: f64 = 0.5;
/// Rounds without another raise after one: the reports of others were counted before it.
const RAISE_COOLDOWN_ROUNDS: u32 = 1;
/// A level under this is 0.
const LEVEL_MIN: f64 = 0.01;
/// The longest encoding of the count of reports that stands before them, in bytes.
const COUNT_LENGTH_MAX: usize = 2;

/// A member's report of its last round.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LevelReport {
    /// The member.
    pub member: SocketAddr,
    /// Its generation.
    pub generation: u64,
    /// Counts up with each round.
    pub round: u32,
    /// Its age in milliseconds, as far as whoever passes it on can tell.
    pub age_ms: u16,
    /// The counts of its last round.
    pub counts: AdmissionCounts,
    /// The level that it sheds by.
    pub level: f32,
}

#[derive(Debug)]
struct ReceivedReport {
    report: LevelReport,
    /// When it was made, on the own clock.
    made_at: Nanos,
}

impl ReceivedReport {
    fn is_fresh(&self, now: Nanos) -> bool {
        is_injected(InjectedFault::AcceptsExpiredReports)
            || now.saturating_sub(self.made_at) < REPORT_TTL
    }
}

/// The shedding level of one member.
#[derive(Debug)]
pub struct SharedShedding {
    tiers: usize,
    level: f64,
    /// Lowerings in a row.
    lowerings: u32,
    /// Rounds in which the level is not raised.
    raise_cooldown: u32,
    /// The best throughput of a recent round, over the fleet.
    best_throughput: f64,
    own: LevelReport,
    current_counts: AdmissionCounts,
    round_ends: Nanos,
    received: BTreeMap<SocketAddr, ReceivedReport>,
}

impl SharedShedding {
    /// A member that sheds nothing. `tiers` is how many `routing` has.
    #[must_use]
    pub fn new(tiers: usize, member: SocketAddr, generation: u64, now: Nanos) -> Self {
        let own = LevelReport {
            member,
            generation,
            round: 0,
            age_ms: 0,
            counts: AdmissionCounts::default(),
            level: 0.0,
        };
        SharedShedding {
            tiers,
            level: 0.0,
            lowerings: 0,
            raise_cooldown: 0,
            best_throughput: 0.0,
            own,
            current_counts: AdmissionCounts::default(),
            round_ends: now + ROUND_INTERVAL,
            received: BTreeMap::new(),
        }
    }

    /// The level, from 0 (nothing is shed) to the number of tiers.
    #[must_use]
    pub fn level(&self) -> f64 {
        self.level
    }

    /// The number of other members with a fresh report.
    #[must_use]
    pub fn fresh_reports(&self, now: Nanos) -> usize {
        self.received
            .values()
            .filter(|received| received.is_fresh(now))
            .count()
    }

    /// Adds what was counted since the last call.
    pub fn add_counts(&mut self, counts: AdmissionCounts) {
        self.current_counts.add(&counts);
    }

    /// Stores another member's report if it is newer than the stored one.
    ///
    /// # Errors
    ///
    /// If the level is out of range or no number.
    pub fn receive(&mut self, now: Nanos, report: LevelReport) -> Result<(), PayloadError> {
        let level = f64::from(report.level);
        if !(0.0..=self.tiers as f64).contains(&level) {
            return Err(PayloadError::LevelOutOfRange(level.to_string()));
        }
        let is_newer = |stored: &ReceivedReport| {
            (report.generation, report.round) > (stored.report.generation, stored.report.round)
                || !stored.is_fresh(now)
        };
        let age = u64::from(report.age_ms) * MS;
        if report.member != self.own.member
            && age < REPORT_TTL
            && self.received.get(&report.member).is_none_or(is_newer)
        {
            let made_at = now.saturating_sub(age);
            self.received
                .insert(report.member, ReceivedReport { report, made_at });
        }
        Ok(())
    }

    /// Forgets members that are no longer known.
    pub fn retain(&mut self, is_known: impl Fn(SocketAddr) -> bool) {
        self.received.retain(|address, _| is_known(*address));
    }

    /// Whether there is something to report: a level, or a round with requests rejected for
    /// capacity.
    #[must_use]
    pub fn has_report(&self) -> bool {
        self.level > 0.0 || self.own.counts.capacity_rejections > 0
    }

    /// The own report and the freshest of the others, as many as fit into a datagram.
    #[must_use]
    pub fn reports(&self, now: Nanos) -> Vec<LevelReport> {
        let mut fresh: Vec<&ReceivedReport> = self
            .received
            .values()
            .filter(|received| received.is_fresh(now))
            .collect();
        fresh.sort_by_key(|received| std::cmp::Reverse(received.made_at));
        let mut budget = PayloadBudget::new(PAYLOAD_MAX - COUNT_LENGTH_MAX);
        let mut reports = Vec::new();
        budget.push(&mut reports, self.own);
        for received in fresh {
            let age_ms = now.saturating_sub(received.made_at) / MS;
            let report = LevelReport {
                age_ms: u16::try_from(age_ms).unwrap_or(u16::MAX),
                ..received.report
            };
            if !budget.push(&mut reports, report) {
                break;
            }
        }
        reports
    }

    /// Moves the level if a round has ended; true if one has. `jitter` is random, from 0 to 1.
    pub fn tick(&mut self, now: Nanos, jitter: f64) -> bool {
        if now < self.round_ends {
            return false;
        }
        self.round_ends = now + ROUND_INTERVAL;
        self.own.round += 1;
        self.own.counts = std::mem::take(&mut self.current_counts);
        self.received.retain(|_, received| received.is_fresh(now));
        let counts = self.fleet_counts();
        self.level = self.mean_level();
        self.move_level(&counts, jitter);
        self.own.level = self.level as f32;
        true
    }

    fn fleet_counts(&self) -> AdmissionCounts {
        let mut sum = self.own.counts;
        for received in self.received.values() {
            sum.add(&received.report.counts);
        }
        sum
    }

    fn mean_level(&self) -> f64 {
        let mut sum = self.level;
        for received in self.received.values() {
            sum += f64::from(received.report.level);
        }
        sum / (self.received.len() + 1) as f64
    }

    fn move_level(&mut self, counts: &AdmissionCounts, jitter: f64) {
        let total = counts.total_admitted();
        let admitted = f64::from(total);
        // A queued request may be rejected in a later round than it was admitted in.
        let rejected = f64::from(counts.capacity_rejections.min(total));
        let rejected_fraction = rejected / f64::from(total.max(1));
        self.best_throughput =
            (self.best_throughput * BEST_THROUGHPUT_DECAY).max(admitted - rejected);
        let cools_down = self.raise_cooldown > 0;
        self.raise_cooldown = self.raise_cooldown.saturating_sub(1);
        if rejected_fraction >= LOWER_BELOW {
            self.lowerings = 0;
            let is_excessive = rejected_fraction > RAISE_ABOVE && total >= RAISE_MIN_REQUESTS;
            if is_excessive && !cools_down {
                self.raise_cooldown = RAISE_COOLDOWN_ROUNDS;
                self.raise(rejected - TARGET_EXCESS * admitted, &counts.admitted);
            }
        } else if !is_injected(InjectedFault::NeverLowersShedLevel) {
            self.lowerings += 1;
            let more = self.lowering_step(admitted);
            let jitter = JITTER_MIN + JITTER_RANGE * jitter.clamp(0.0, 1.0);
            self.lower(more * jitter, counts);
        }
    }

    /// How many more requests a lowering admits.
    fn lowering_step(&self, admitted: f64) -> f64 {
        let growth_steps = self.lowerings.saturating_sub(SLOW_LOWERINGS);
        let growth = LOWER_GROWTH.powi(growth_steps.min(LOWER_GROWTH_STEPS_MAX) as i32);
        let more = admitted * (LOWER_FRACTION * growth).min(LOWER_FRACTION_MAX);
        if admitted < RECOVERY_BELOW * self.best_throughput {
            more.max((self.best_throughput - admitted) * RECOVERY_FRACTION)
        } else {
            more
        }
    }

    /// Raises the level so that `excess` fewer requests are admitted, those of the least priority
    /// weight first.
    fn raise(&mut self, excess: f64, admitted: &[u32; COUNTED_TIERS]) {
        if is_injected(InjectedFault::ShedsAllTiersAtOnce) {
            self.level = self.tiers as f64 - 0.5;
            return;
        }
        let mut tier = self.level.floor();
        let mut passed_fraction = 1.0 - (self.level - tier);
        let mut remaining = excess;
        let mut level_max = self.level;
        while (tier as usize) < self.tiers {
            let admitted = f64::from(admitted[counted_tier(tier)]);
            // Not positive where nearly all of the tier is shed already, or nothing of it came.
            let sheddable = admitted * (1.0 - (1.0 - MAX_SHED_FRACTION) / passed_fraction);
            if remaining < sheddable {
                self.level = tier + 1.0 - passed_fraction * (1.0 - remaining / admitted);
                return;
            }
            remaining -= sheddable.max(0.0);
            (tier, passed_fraction) = (tier + 1.0, 1.0);
            // Tiers of which nothing came are not shed in advance.
            level_max = if sheddable > 0.0 { tier } else { level_max };
        }
        self.level = level_max;
    }

    /// Lowers the level so that `more` requests are admitted, those of the greatest priority weight
    /// first.
    fn lower(&mut self, mut more: f64, counts: &AdmissionCounts) {
        while self.level > 0.0 {
            let tier = (self.level.ceil() - 1.0).max(0.0);
            let shed_fraction = (self.level - tier).min(MAX_SHED_FRACTION);
            let admitted = f64::from(counts.admitted[counted_tier(tier)]);
            let offered = admitted / (1.0 - shed_fraction);
            if more < offered * shed_fraction {
                self.level = tier + shed_fraction - more / offered;
                break;
            }
            more -= offered * shed_fraction;
            self.level = tier;
        }
        if self.level < LEVEL_MIN {
            self.level = 0.0;
        }
    }
}

/// The index of a tier's counts; the last one counts all further tiers.
fn counted_tier(tier: f64) -> usize {
    (tier as usize).min(COUNTED_TIERS - 1)
}

#[cfg(test)]
mod tests;
