//! Shared shedding: all members shed load by one level when the demand exceeds the capacity of the
//! caches.
//!
//! In each round a member counts the requests that it admitted, and those of them that were then
//! rejected for lack of capacity. It reports these counts and its level to a few random members,
//! and forwards recent reports of other members, so that all members decide from nearly the same
//! sums. After each round a member sets its level to the mean of its own and the reported levels,
//! raises it at once according to the fraction rejected for capacity, or lowers it slowly at first
//! and then faster. An isolated member uses only its own counts.
//!
//! The level is a number of tiers. Each configured class has two tiers, for requests within and
//! beyond the quota of their tenant; the tiers are in the order of their priority weights (defined
//! by `routing`). Of each tier below the level the fraction [`MAX_SHED_FRACTION`] is shed; of the
//! tier that contains the level, the fractional part of the level is shed. All members shed the
//! same requests.

use crate::envelope::PAYLOAD_MAX;
use crate::fault_injection::{InjectedFault, is_injected};
use crate::payload::{PayloadBudget, PayloadError};
use crate::{MS, Nanos};
pub use routing::{AdmissionCounts, COUNTED_TIERS, MAX_SHED_FRACTION};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Length of a round, over which requests are counted and after which the level is adjusted.
pub const ROUND_INTERVAL: Nanos = 400 * MS;
/// Age at which a report expires.
pub const REPORT_TTL: Nanos = 1_500 * MS;
/// Fraction of admitted requests rejected for capacity above which the level is raised.
const RAISE_ABOVE: f64 = 0.15;
/// Fraction of admitted requests rejected for capacity that a raise of the level aims for. Some
/// excess must remain, because the members' concurrency limits at the caches only grow while they
/// are reached.
const TARGET_EXCESS: f64 = 0.1;
/// Fraction of admitted requests rejected for capacity below which the level is lowered.
const LOWER_BELOW: f64 = 0.08;
/// Factor by which the best recent throughput decays in each round.
const BEST_THROUGHPUT_DECAY: f64 = 0.98;
/// Fraction of the best recent throughput. If the fleet admits less than this although the caches
/// have capacity for the admitted requests, lowerings are enlarged.
const RECOVERY_BELOW: f64 = 0.9;
/// Minimum fraction of the difference to the best recent throughput that an enlarged lowering
/// admits.
const RECOVERY_FRACTION: f64 = 0.35;
/// Minimum number of requests admitted in a round over the fleet for the level to be raised.
const RAISE_MIN_REQUESTS: u32 = 20;
/// Additional fraction of requests that each of the first lowerings admits. It is smaller than the
/// distance between [`LOWER_BELOW`] and [`RAISE_ABOVE`], so that the level converges.
const LOWER_FRACTION: f64 = 0.03;
/// Number of consecutive lowerings after which each further one admits [`LOWER_GROWTH`] times as
/// much as the previous one.
const SLOW_LOWERINGS: u32 = 3;
const LOWER_GROWTH: f64 = 1.5;
/// Maximum number of lowerings whose step grows.
const LOWER_GROWTH_STEPS_MAX: u32 = 9;
/// Maximum additional fraction of requests that a lowering admits.
const LOWER_FRACTION_MAX: f64 = 0.5;
/// Minimum random factor of a lowering, to which up to [`JITTER_RANGE`] is added, so that members
/// do not adjust in lockstep.
const JITTER_MIN: f64 = 0.75;
const JITTER_RANGE: f64 = 0.5;
/// Number of rounds without another raise after a raise, because the reports of other members still
/// contain counts from before it.
const RAISE_COOLDOWN_ROUNDS: u32 = 1;
/// Level below which a lowering sets the level to 0.
const LEVEL_MIN: f64 = 0.01;
/// Maximum encoded length of the report count in front of the reports, in bytes.
const COUNT_LENGTH_MAX: usize = 2;

/// Report of a member about its last round.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LevelReport {
    /// Address of the reporting member.
    pub member: SocketAddr,
    /// Generation of the reporting member.
    pub generation: u64,
    /// Number of the round, incremented with each round.
    pub round: u32,
    /// Age of the report in milliseconds, as far as the sender knows it; time in transit is not
    /// included.
    pub age_ms: u16,
    /// Counts of the last round.
    pub counts: AdmissionCounts,
    /// Shedding level of the reporting member.
    pub level: f32,
}

#[derive(Debug)]
struct ReceivedReport {
    report: LevelReport,
    /// Time at which the report was made, on the local clock.
    created_at: Nanos,
}

impl ReceivedReport {
    fn is_fresh(&self, now: Nanos) -> bool {
        is_injected(InjectedFault::AcceptsExpiredReports)
            || now.saturating_sub(self.created_at) < REPORT_TTL
    }
}

/// Shedding state of one member.
#[derive(Debug)]
pub struct SharedShedding {
    tiers: usize,
    level: f64,
    /// Number of consecutive lowerings, which determines the size of the next one.
    lowerings: u32,
    /// Remaining rounds in which the level is not raised.
    raise_cooldown: u32,
    /// Best throughput of a recent round over the fleet, in requests per round.
    best_throughput: f64,
    own: LevelReport,
    current_counts: AdmissionCounts,
    round_end: Nanos,
    received: BTreeMap<SocketAddr, ReceivedReport>,
}

impl SharedShedding {
    /// Creates the state of a member that sheds nothing. `tiers` is the number of shedding tiers of
    /// `routing`.
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
            round_end: now + ROUND_INTERVAL,
            received: BTreeMap::new(),
        }
    }

    /// Returns the level, from 0 (nothing is shed) to the number of tiers.
    #[must_use]
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Returns the number of other members with a fresh report.
    #[must_use]
    pub fn fresh_reports(&self, now: Nanos) -> usize {
        self.received
            .values()
            .filter(|received| received.is_fresh(now))
            .count()
    }

    /// Adds the counts since the last call.
    pub fn add_counts(&mut self, counts: AdmissionCounts) {
        self.current_counts.add(&counts);
    }

    /// Stores another member's report if it is newer than the stored one.
    ///
    /// # Errors
    ///
    /// If the level is not between 0 and the number of tiers, or is not a number.
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
            let created_at = now.saturating_sub(age);
            self.received
                .insert(report.member, ReceivedReport { report, created_at });
        }
        Ok(())
    }

    /// Removes the reports of members that are no longer tracked.
    pub fn retain(&mut self, is_tracked: impl Fn(SocketAddr) -> bool) {
        self.received.retain(|address, _| is_tracked(*address));
    }

    /// Returns whether there is something to report: a level, or a round with requests rejected for
    /// capacity.
    #[must_use]
    pub fn has_report(&self) -> bool {
        self.level > 0.0 || self.own.counts.capacity_rejections > 0
    }

    /// Returns this member's report and the most recent reports of others, as many as fit into a
    /// datagram.
    #[must_use]
    pub fn reports(&self, now: Nanos) -> Vec<LevelReport> {
        let mut fresh: Vec<&ReceivedReport> = self
            .received
            .values()
            .filter(|received| received.is_fresh(now))
            .collect();
        fresh.sort_by_key(|received| std::cmp::Reverse(received.created_at));
        let mut budget = PayloadBudget::new(PAYLOAD_MAX - COUNT_LENGTH_MAX);
        let mut reports = Vec::new();
        budget.push(&mut reports, self.own);
        for received in fresh {
            let age_ms = now.saturating_sub(received.created_at) / MS;
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

    /// Adjusts the level if a round has ended, and returns whether one has. `jitter` is a random
    /// value from 0 to 1.
    pub fn tick(&mut self, now: Nanos, jitter: f64) -> bool {
        if now < self.round_end {
            return false;
        }
        self.round_end = now + ROUND_INTERVAL;
        self.own.round += 1;
        self.own.counts = std::mem::take(&mut self.current_counts);
        self.received.retain(|_, received| received.is_fresh(now));
        let counts = self.fleet_counts();
        self.level = self.mean_level();
        self.adjust_level(&counts, jitter);
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

    fn adjust_level(&mut self, counts: &AdmissionCounts, jitter: f64) {
        let total = counts.total_admitted();
        let admitted = f64::from(total);
        // A queued request may be rejected in a later round than the one in which it was admitted.
        let rejected = f64::from(counts.capacity_rejections.min(total));
        let rejected_fraction = rejected / f64::from(total.max(1));
        self.best_throughput =
            (self.best_throughput * BEST_THROUGHPUT_DECAY).max(admitted - rejected);
        let in_cooldown = self.raise_cooldown > 0;
        self.raise_cooldown = self.raise_cooldown.saturating_sub(1);
        if rejected_fraction >= LOWER_BELOW {
            self.lowerings = 0;
            let is_excessive = rejected_fraction > RAISE_ABOVE && total >= RAISE_MIN_REQUESTS;
            if is_excessive && !in_cooldown {
                self.raise_cooldown = RAISE_COOLDOWN_ROUNDS;
                self.raise(rejected - TARGET_EXCESS * admitted, &counts.admitted);
            }
        } else if !is_injected(InjectedFault::NeverLowersShedLevel) {
            self.lowerings += 1;
            let additional = self.lowering_step(admitted);
            let jitter = JITTER_MIN + JITTER_RANGE * jitter.clamp(0.0, 1.0);
            self.lower(additional * jitter, counts);
        }
    }

    /// Returns how many additional requests a lowering admits.
    fn lowering_step(&self, admitted: f64) -> f64 {
        let growth_steps = self.lowerings.saturating_sub(SLOW_LOWERINGS);
        let growth = LOWER_GROWTH.powi(growth_steps.min(LOWER_GROWTH_STEPS_MAX) as i32);
        let additional = admitted * (LOWER_FRACTION * growth).min(LOWER_FRACTION_MAX);
        if admitted < RECOVERY_BELOW * self.best_throughput {
            additional.max((self.best_throughput - admitted) * RECOVERY_FRACTION)
        } else {
            additional
        }
    }

    /// Raises the level so that `excess` fewer requests are admitted, starting with those of the
    /// lowest priority weight.
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
            // Not positive if nearly all of the tier is shed already, or if no request of it was
            // admitted.
            let sheddable = admitted * (1.0 - (1.0 - MAX_SHED_FRACTION) / passed_fraction);
            if remaining < sheddable {
                self.level = tier + 1.0 - passed_fraction * (1.0 - remaining / admitted);
                return;
            }
            remaining -= sheddable.max(0.0);
            (tier, passed_fraction) = (tier + 1.0, 1.0);
            // Tiers without admitted requests are not shed in advance.
            level_max = if sheddable > 0.0 { tier } else { level_max };
        }
        self.level = level_max;
    }

    /// Lowers the level so that `additional` more requests are admitted, starting with those of the
    /// highest priority weight.
    fn lower(&mut self, mut additional: f64, counts: &AdmissionCounts) {
        while self.level > 0.0 {
            let tier = (self.level.ceil() - 1.0).max(0.0);
            let shed_fraction = (self.level - tier).min(MAX_SHED_FRACTION);
            let admitted = f64::from(counts.admitted[counted_tier(tier)]);
            let offered = admitted / (1.0 - shed_fraction);
            if additional < offered * shed_fraction {
                self.level = tier + shed_fraction - additional / offered;
                break;
            }
            additional -= offered * shed_fraction;
            self.level = tier;
        }
        if self.level < LEVEL_MIN {
            self.level = 0.0;
        }
    }
}

/// Returns the index of a tier's counts; the last index counts all further tiers.
fn counted_tier(tier: f64) -> usize {
    (tier as usize).min(COUNTED_TIERS - 1)
}

#[cfg(test)]
mod tests;
