//! One level of admission for the whole fleet: who sheds what when more is asked for than caches have room for.
//!
//! Each member counts, step by step, how many requests it let in and how many of these then found no room. It tells that,
//! and the level it goes by, to a few others at random, and passes on what it has heard of the rest lately. All thus
//! judge by nearly the same sums, and each moves the mean of the levels it knows: up at once by the share that found no
//! room, down slowly at first and then faster. A member that hears nobody goes by its own counts alone.
//!
//! The level is a number of tiers. The settings' classes, each within and beyond its tenant's share, are the tiers, in
//! the order of their worth (that order is the module's); all tiers under the level are shed but for a twentieth, the
//! one that it stands in by the level's fraction. Which requests of that tier is the same at all members.

use crate::envelope::PAYLOAD_MAX;
use crate::fault_injection::{self, InjectedFault};
use crate::{MS, Nanos};
pub use routing::{AdmissionCounts, COUNTED_TIERS, MAX_SHED_FRACTION};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Counts are taken, and the level moved, over steps of this length.
pub const ROUND_INTERVAL: Nanos = 400 * MS;
/// What another told counts for so long.
pub const REPORT_TTL: Nanos = 1_500 * MS;
/// With more than this share of what was let in left without room the level rises ...
const HIGH: f64 = 0.15;
/// ... to leave this share: some excess has to try the caches' room, or the members' own limits at them would never be
/// reached and never grow, ...
const MEANT: f64 = 0.1;
/// ... and with less than this it sinks.
const LOW: f64 = 0.08;
/// What found room in the best step lately is forgotten at this pace.
const BEST_FADES: f64 = 0.98;
/// With less than this part of it let in, and room for all of that, so much of the rest is let in at once.
const FAR_BELOW: f64 = 0.9;
const BACK: f64 = 0.35;
/// Fewer than so many over the fleet in a step say nothing that the level may rise by.
const TELLING: u32 = 20;
/// A step down lets so much more of the tier in: as little as lies between the two, so that the level comes to rest there;
const DOWN_FIRST: f64 = 0.03;
/// after so many steps down on end half as much again each time, up to the most: the overload is over.
const DOWN_SLOW: u32 = 3;
const DOWN_GROWS: f64 = 1.5;
const DOWN_MOST: f64 = 0.5;
/// After it rose the level stays for so many steps: what others tell was counted before.
const RESTS: u32 = 1;
/// Under this a level is none.
const LEAST: f64 = 0.01;

/// A member's word of its load.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LevelReport {
    /// Whose.
    pub of: SocketAddr,
    /// Which of its lives.
    pub generation: u64,
    /// Counts up with each step.
    pub step: u32,
    /// How old it is, in milliseconds, as far as who passes it on can tell.
    pub age_ms: u16,
    /// What it counted in its last step.
    pub tally: AdmissionCounts,
    /// The level that it goes by.
    pub level: f32,
}

#[derive(Debug)]
struct Heard {
    word: LevelReport,
    /// When it was said, on the own clock.
    said: Nanos,
}

/// The level, as one member goes by it.
#[derive(Debug)]
pub struct SharedShedding {
    tiers: usize,
    level: f64,
    /// Steps down on end.
    downs: u32,
    /// Steps that it does not rise in.
    rests: u32,
    /// What found room in the best step lately, over the fleet.
    best: f64,
    own: LevelReport,
    open: AdmissionCounts,
    step_ends: Nanos,
    heard: BTreeMap<SocketAddr, Heard>,
}

impl SharedShedding {
    /// None is shed yet. `tiers` is how many the module has; `of` and `generation` tell who speaks.
    pub fn new(tiers: usize, of: SocketAddr, generation: u64, now: Nanos) -> Self {
        let own = LevelReport {
            of,
            generation,
            step: 0,
            age_ms: 0,
            tally: AdmissionCounts::default(),
            level: 0.0,
        };
        SharedShedding {
            tiers,
            level: 0.0,
            downs: 0,
            rests: 0,
            best: 0.0,
            own,
            open: AdmissionCounts::default(),
            step_ends: now + ROUND_INTERVAL,
            heard: BTreeMap::new(),
        }
    }

    /// The level, 0 (nothing is shed) up to the number of tiers.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Others whose word is fresh.
    pub fn hears(&self, now: Nanos) -> usize {
        self.heard
            .values()
            .filter(|heard| is_fresh(heard, now))
            .count()
    }

    /// Counts what ended since the last call.
    pub fn count(&mut self, tally: AdmissionCounts) {
        self.open.add(&tally);
    }

    /// Takes another's word, if it is newer than what was heard of that member; false for one that makes no sense.
    pub fn hear(&mut self, now: Nanos, word: LevelReport) -> bool {
        let level = f64::from(word.level);
        // Also what is no number.
        if !(0.0..=self.tiers as f64).contains(&level) {
            return false;
        }
        let newer = |heard: &Heard| {
            (word.generation, word.step) > (heard.word.generation, heard.word.step)
                || !is_fresh(heard, now)
        };
        let age = u64::from(word.age_ms) * MS;
        if word.of != self.own.of && age < REPORT_TTL && self.heard.get(&word.of).is_none_or(newer)
        {
            let said = now.saturating_sub(age);
            self.heard.insert(word.of, Heard { word, said });
        }
        true
    }

    /// Forgets who is known no more.
    pub fn retain(&mut self, known: impl Fn(SocketAddr) -> bool) {
        self.heard.retain(|address, _| known(*address));
    }

    /// Whether there is something to tell the others: a level, or a step with requests that found no room.
    pub fn is_loud(&self) -> bool {
        self.level > 0.0 || self.own.tally.capacity_rejections > 0
    }

    /// What it tells: its own word, and the freshest of what it heard.
    pub fn words(&self, now: Nanos) -> Vec<LevelReport> {
        let mut fresh: Vec<&Heard> = self
            .heard
            .values()
            .filter(|heard| is_fresh(heard, now))
            .collect();
        fresh.sort_by_key(|heard| std::cmp::Reverse(heard.said));
        let mut words = vec![self.own];
        let length =
            |word: &LevelReport| postcard::to_stdvec(word).map_or(PAYLOAD_MAX, |bytes| bytes.len());
        // The count of words stands before them, in at most two bytes.
        let mut room = PAYLOAD_MAX - 2 - length(&words[0]);
        for heard in fresh {
            let age = now.saturating_sub(heard.said) / MS;
            let word = LevelReport {
                age_ms: u16::try_from(age).unwrap_or(u16::MAX),
                ..heard.word
            };
            let Some(left) = room.checked_sub(length(&word)) else {
                break;
            };
            room = left;
            words.push(word);
        }
        words
    }

    /// Moves the level where a step has ended; true if one has. `jitter` is drawn from 0 to 1: members don't step down
    /// by the same.
    pub fn turn(&mut self, now: Nanos, jitter: f64) -> bool {
        if now < self.step_ends {
            return false;
        }
        self.step_ends = now + ROUND_INTERVAL;
        self.own.step += 1;
        self.own.tally = std::mem::take(&mut self.open);
        self.heard.retain(|_, heard| is_fresh(heard, now));
        let mut sum = self.own.tally;
        let mut levels = self.level;
        for heard in self.heard.values() {
            sum.add(&heard.word.tally);
            levels += f64::from(heard.word.level);
        }
        self.level = levels / (self.heard.len() + 1) as f64;
        // What is held for a while may be turned away in another step than it came in.
        let short = f64::from(sum.capacity_rejections.min(sum.total_admitted()));
        let share = short / f64::from(sum.total_admitted().max(1));
        let let_in = f64::from(sum.total_admitted());
        self.best = (self.best * BEST_FADES).max(let_in - short);
        let rests = self.rests > 0;
        self.rests = self.rests.saturating_sub(1);
        if share >= LOW {
            self.downs = 0;
            if share > HIGH && sum.total_admitted() >= TELLING && !rests {
                self.rests = RESTS;
                self.raise(short - MEANT * let_in, &sum.admitted);
            }
        } else if !fault_injection::is_injected(InjectedFault::NeverLowersShedLevel) {
            self.downs += 1;
            let grown = DOWN_GROWS.powi(self.downs.saturating_sub(DOWN_SLOW).min(9) as i32);
            let more = let_in * (DOWN_FIRST * grown).min(DOWN_MOST);
            let far_below = let_in < FAR_BELOW * self.best;
            let more = if far_below {
                more.max((self.best - let_in) * BACK)
            } else {
                more
            };
            self.lower(more * (0.75 + 0.5 * jitter.clamp(0.0, 1.0)), &sum);
        }
        self.own.level = self.level as f32;
        true
    }

    /// So many found no room: they are not let in next time, those of the least worth first.
    fn raise(&mut self, short: f64, let_in: &[u32; COUNTED_TIERS]) {
        let mut tier = self.level.floor();
        let mut passes = 1.0 - (self.level - tier);
        let mut drop = short;
        let mut most = self.level;
        if fault_injection::is_injected(InjectedFault::ShedsAllTiersAtOnce) {
            self.level = self.tiers as f64 - 0.5;
            return;
        }
        while (tier as usize) < self.tiers {
            let let_in = f64::from(let_in[(tier as usize).min(COUNTED_TIERS - 1)]);
            // Nearly all of it is shed already, or there is none of it.
            let can = let_in * (1.0 - (1.0 - MAX_SHED_FRACTION) / passes);
            if drop < can {
                self.level = tier + 1.0 - passes * (1.0 - drop / let_in);
                return;
            }
            drop -= can.max(0.0);
            (tier, passes) = (tier + 1.0, 1.0);
            // No higher than what was asked for: tiers of which nothing came are not shut beforehand.
            most = if can > 0.0 { tier } else { most };
        }
        self.level = most;
    }

    /// Lets so much more in, those of the most worth first.
    fn lower(&mut self, mut more: f64, sum: &AdmissionCounts) {
        while self.level > 0.0 {
            let tier = (self.level.ceil() - 1.0).max(0.0);
            let shed = (self.level - tier).min(MAX_SHED_FRACTION);
            let asked =
                f64::from(sum.admitted[(tier as usize).min(COUNTED_TIERS - 1)]) / (1.0 - shed);
            if more < asked * shed {
                self.level = tier + shed - more / asked;
                break;
            }
            more -= asked * shed;
            self.level = tier;
        }
        if self.level < LEAST {
            self.level = 0.0;
        }
    }
}

fn is_fresh(heard: &Heard, now: Nanos) -> bool {
    fault_injection::is_injected(InjectedFault::AcceptsExpiredReports)
        || now.saturating_sub(heard.said) < REPORT_TTL
}

#[cfg(test)]
mod tests;
