//! One level of admission for the whole fleet: who sheds what when more is asked for than caches have room for.
//!
//! Each member counts, step by step, how many requests it let in and how many of these then found no room. It tells that,
//! and the level it goes by, to a few others at random, and passes on what it has heard of the rest lately. All thus
//! judge by nearly the same sums, and each moves the mean of the levels it knows: up at once by the share that found no
//! room, down slowly at first and then faster. A member that hears nobody goes by its own counts alone.
//!
//! The level is a number of rungs. The settings' classes, each within and beyond its tenant's share, are the rungs, in
//! the order of their worth (that order is the module's); all rungs under the level are shed but for a twentieth, the
//! one that it stands in by the level's fraction. Which requests of that rung is the same at all members.

use crate::envelope::PAYLOAD_MAX;
use crate::planted::{self, Fault};
use crate::{MS, Nanos};
pub use finchyard::{RUNGS_COUNTED, SHED_MOST, Tally};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Counts are taken, and the level moved, over steps of this length.
pub const STEP: Nanos = 400 * MS;
/// What another told counts for so long.
pub const FRESH: Nanos = 1_500 * MS;
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
/// A step down lets so much more of the rung in: as little as lies between the two, so that the level comes to rest there;
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
pub struct Word {
    /// Whose.
    pub of: SocketAddr,
    /// Which of its lives.
    pub generation: u64,
    /// Counts up with each step.
    pub step: u32,
    /// How old it is, in milliseconds, as far as who passes it on can tell.
    pub age_ms: u16,
    /// What it counted in its last step.
    pub tally: Tally,
    /// The level that it goes by.
    pub level: f32,
}

#[derive(Debug)]
struct Heard {
    word: Word,
    /// When it was said, on the own clock.
    said: Nanos,
}

/// The level, as one member goes by it.
#[derive(Debug)]
pub struct Overload {
    rungs: usize,
    level: f64,
    /// Steps down on end.
    downs: u32,
    /// Steps that it does not rise in.
    rests: u32,
    /// What found room in the best step lately, over the fleet.
    best: f64,
    own: Word,
    open: Tally,
    step_ends: Nanos,
    heard: BTreeMap<SocketAddr, Heard>,
}

impl Overload {
    /// None is shed yet. `rungs` is how many the module has; `of` and `generation` tell who speaks.
    pub fn new(rungs: usize, of: SocketAddr, generation: u64, now: Nanos) -> Self {
        let own = Word { of, generation, step: 0, age_ms: 0, tally: Tally::default(), level: 0.0 };
        Overload {
            rungs,
            level: 0.0,
            downs: 0,
            rests: 0,
            best: 0.0,
            own,
            open: Tally::default(),
            step_ends: now + STEP,
            heard: BTreeMap::new(),
        }
    }

    /// The level, 0 (nothing is shed) up to the number of rungs.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Others whose word is fresh.
    pub fn hears(&self, now: Nanos) -> usize {
        self.heard.values().filter(|heard| is_fresh(heard, now)).count()
    }

    /// Counts what ended since the last call.
    pub fn count(&mut self, tally: Tally) {
        self.open.add(&tally);
    }

    /// Takes another's word, if it is newer than what was heard of that member; false for one that makes no sense.
    pub fn hear(&mut self, now: Nanos, word: Word) -> bool {
        let level = f64::from(word.level);
        // Also what is no number.
        if !(0.0..=self.rungs as f64).contains(&level) {
            return false;
        }
        let newer = |heard: &Heard| {
            (word.generation, word.step) > (heard.word.generation, heard.word.step) || !is_fresh(heard, now)
        };
        let age = u64::from(word.age_ms) * MS;
        if word.of != self.own.of && age < FRESH && self.heard.get(&word.of).is_none_or(newer) {
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
        self.level > 0.0 || self.own.tally.short > 0
    }

    /// What it tells: its own word, and the freshest of what it heard.
    pub fn words(&self, now: Nanos) -> Vec<Word> {
        let mut fresh: Vec<&Heard> = self.heard.values().filter(|heard| is_fresh(heard, now)).collect();
        fresh.sort_by_key(|heard| std::cmp::Reverse(heard.said));
        let mut words = vec![self.own];
        let length = |word: &Word| postcard::to_stdvec(word).map_or(PAYLOAD_MAX, |bytes| bytes.len());
        // The count of words stands before them, in at most two bytes.
        let mut room = PAYLOAD_MAX - 2 - length(&words[0]);
        for heard in fresh {
            let age = now.saturating_sub(heard.said) / MS;
            let word = Word { age_ms: u16::try_from(age).unwrap_or(u16::MAX), ..heard.word };
            let Some(left) = room.checked_sub(length(&word)) else { break };
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
        self.step_ends = now + STEP;
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
        let short = f64::from(sum.short.min(sum.all()));
        let share = short / f64::from(sum.all().max(1));
        let let_in = f64::from(sum.all());
        self.best = (self.best * BEST_FADES).max(let_in - short);
        let rests = self.rests > 0;
        self.rests = self.rests.saturating_sub(1);
        if share >= LOW {
            self.downs = 0;
            if share > HIGH && sum.all() >= TELLING && !rests {
                self.rests = RESTS;
                self.raise(short - MEANT * let_in, &sum.let_in);
            }
        } else if !planted::is(Fault::NeverLowersItsLevel) {
            self.downs += 1;
            let grown = DOWN_GROWS.powi(self.downs.saturating_sub(DOWN_SLOW).min(9) as i32);
            let more = let_in * (DOWN_FIRST * grown).min(DOWN_MOST);
            let far_below = let_in < FAR_BELOW * self.best;
            let more = if far_below { more.max((self.best - let_in) * BACK) } else { more };
            self.lower(more * (0.75 + 0.5 * jitter.clamp(0.0, 1.0)), &sum);
        }
        self.own.level = self.level as f32;
        true
    }

    /// So many found no room: they are not let in next time, those of the least worth first.
    fn raise(&mut self, short: f64, let_in: &[u32; RUNGS_COUNTED]) {
        let mut rung = self.level.floor();
        let mut passes = 1.0 - (self.level - rung);
        let mut drop = short;
        let mut most = self.level;
        if planted::is(Fault::ShedsTheDearestToo) {
            self.level = self.rungs as f64 - 0.5;
            return;
        }
        while (rung as usize) < self.rungs {
            let let_in = f64::from(let_in[(rung as usize).min(RUNGS_COUNTED - 1)]);
            // Nearly all of it is shed already, or there is none of it.
            let can = let_in * (1.0 - (1.0 - SHED_MOST) / passes);
            if drop < can {
                self.level = rung + 1.0 - passes * (1.0 - drop / let_in);
                return;
            }
            drop -= can.max(0.0);
            (rung, passes) = (rung + 1.0, 1.0);
            // No higher than what was asked for: rungs of which nothing came are not shut beforehand.
            most = if can > 0.0 { rung } else { most };
        }
        self.level = most;
    }

    /// Lets so much more in, those of the most worth first.
    fn lower(&mut self, mut more: f64, sum: &Tally) {
        while self.level > 0.0 {
            let rung = (self.level.ceil() - 1.0).max(0.0);
            let shed = (self.level - rung).min(SHED_MOST);
            let asked = f64::from(sum.let_in[(rung as usize).min(RUNGS_COUNTED - 1)]) / (1.0 - shed);
            if more < asked * shed {
                self.level = rung + shed - more / asked;
                break;
            }
            more -= asked * shed;
            self.level = rung;
        }
        if self.level < LEAST {
            self.level = 0.0;
        }
    }
}

fn is_fresh(heard: &Heard, now: Nanos) -> bool {
    planted::is(Fault::BelievesStaleWords) || now.saturating_sub(heard.said) < FRESH
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(n: u8) -> SocketAddr {
        SocketAddr::from(([10, 0, 0, n], 7_946))
    }

    fn member(n: u8) -> Overload {
        Overload::new(6, at(n), 1, 0)
    }

    /// Reads are on rung 3, writes worth more on rung 5; the others are empty.
    fn tally(reads: u32, writes: u32, short: u32) -> Tally {
        let mut tally = Tally { short, ..Tally::default() };
        (tally.let_in[3], tally.let_in[5]) = (reads, writes);
        tally
    }

    fn word(n: u8, step: u32, tally: Tally, level: f32) -> Word {
        Word { of: at(n), generation: 1, step, age_ms: 0, tally, level }
    }

    fn exchange(members: &mut [Overload], now: Nanos) {
        for i in 0..members.len() {
            for word in members[i].words(now) {
                members.iter_mut().for_each(|m| assert!(m.hear(now, word)));
            }
        }
    }

    fn shed(level: f64, rung: f64) -> f64 {
        (level - rung).clamp(0.0, SHED_MOST)
    }

    /// Members that hear all of each other, under a load of which `room` a step can be served; a tenth are writes. What is
    /// let in in each step, of reads and of writes.
    fn play(members: &mut [Overload], asked: impl Fn(u64) -> f64, room: f64, until: u64) -> Vec<(f64, f64)> {
        let mut all = Vec::new();
        let n = members.len() as f64;
        for step in 1..=until {
            let now = step * STEP;
            let mut let_in = (0.0, 0.0);
            for member in members.iter_mut() {
                let reads = 0.9 * asked(step) / n * (1.0 - shed(member.level(), 3.0));
                let writes = 0.1 * asked(step) / n * (1.0 - shed(member.level(), 5.0));
                let_in = (let_in.0 + reads, let_in.1 + writes);
                let short = (reads + writes - room / n).max(0.0);
                member.count(tally(reads as u32, writes as u32, short as u32));
            }
            exchange(members, now);
            members.iter_mut().enumerate().for_each(|(i, m)| {
                m.turn(now, i as f64 / n);
            });
            all.push(let_in);
        }
        all
    }

    #[test]
    fn twice_the_room_is_shed_by_half_soon_the_least_worth_first_and_let_in_again_when_it_is_over() {
        let mut members: Vec<Overload> = (1..=12).map(member).collect();
        let asked = |step| if step <= 40 { 2_400.0 } else { 600.0 };
        let let_in = play(&mut members, asked, 1_200.0, 70);
        for (step, (reads, writes)) in let_in.iter().enumerate().take(40).skip(4) {
            assert!((1_100.0..1_400.0).contains(&(reads + writes)), "step {step}: {let_in:?}");
            assert!((writes - 240.0).abs() < 1.0, "no write is shed: {let_in:?}");
        }
        assert_eq!(members[0].level(), 0.0, "{let_in:?}");
        let back = let_in.iter().rposition(|(reads, _)| *reads < 539.0).unwrap();
        assert!(back < 40 + 15, "all is let in within 6 s: {back}");
    }

    #[test]
    fn where_reads_alone_are_not_enough_writes_are_shed_too_and_none_is_shut_out() {
        let mut members: Vec<Overload> = (1..=4).map(member).collect();
        let let_in = play(&mut members, |_| 20_000.0, 1_500.0, 40);
        let (reads, writes) = let_in[39];
        assert!((reads - 900.0).abs() < 10.0 && (400.0..900.0).contains(&writes), "{reads} {writes}");
    }

    #[test]
    fn members_with_uneven_traffic_go_by_one_level() {
        let mut members: Vec<Overload> = (1..=4).map(member).collect();
        for step in 1..=20u64 {
            let now = step * STEP;
            members[0].count(tally(900, 0, 300));
            members[1..].iter_mut().for_each(|m| m.count(tally(30, 0, 0)));
            exchange(&mut members, now);
            members.iter_mut().for_each(|m| {
                m.turn(now, 0.5);
            });
        }
        let levels: Vec<f64> = members.iter().map(Overload::level).collect();
        let (least, most) = levels.iter().fold((f64::MAX, 0f64), |(a, b), l| (a.min(*l), b.max(*l)));
        assert!(least > 3.5 && most - least < 0.05 && most <= 4.0, "writes are not shed unseen: {levels:?}");
    }

    #[test]
    fn little_traffic_a_few_refusals_and_calm_raise_nothing() {
        let mut mine = member(1);
        let calm = [tally(19, 0, 19), tally(900, 100, 49), tally(1_000, 0, 0), tally(0, 0, 0)];
        for (step, tally) in calm.into_iter().enumerate() {
            mine.count(tally);
            assert!(mine.turn((step as u64 + 1) * STEP, 0.5));
            assert_eq!(mine.level(), 0.0);
        }
        assert!(!mine.is_loud());
        assert!(!mine.turn(4 * STEP + 1, 0.5), "not before the step ends");
    }

    #[test]
    fn a_word_is_believed_while_it_is_fresh_and_none_that_makes_no_sense() {
        let mut mine = member(1);
        assert!(mine.hear(0, word(2, 5, tally(100, 0, 50), 3.0)));
        assert!(mine.hear(0, word(2, 4, tally(100, 0, 0), 0.0)), "older, and left");
        mine.turn(STEP, 0.5);
        assert!(mine.level() > 1.5, "{}", mine.level());
        for wrong in [f32::NAN, -0.1, 6.1, f32::INFINITY] {
            assert!(!mine.hear(STEP, word(3, 1, tally(1, 0, 0), wrong)));
        }
        let old = Word { age_ms: 1_500, ..word(3, 1, tally(1_000, 0, 1_000), 6.0) };
        assert!(mine.hear(STEP, old));
        assert_eq!(mine.hears(STEP), 1, "too old when it came");
        // Alone it goes by itself, and lets go of what nobody says any more.
        for step in 5..60 {
            mine.count(tally(100, 0, 0));
            mine.turn(step * STEP, 0.5);
        }
        assert_eq!((mine.hears(60 * STEP), mine.level()), (0, 0.0));
        assert!(
            mine.hear(60 * STEP, word(2, 1, tally(1, 0, 0), 1.0)),
            "who began anew, once its old word is stale"
        );
        assert_eq!(mine.hears(60 * STEP), 1);
    }

    #[test]
    fn what_is_told_is_bounded_and_grows_older_on_its_way() {
        let mut mine = member(1);
        let much = Tally { let_in: [u32::MAX; RUNGS_COUNTED], short: u32::MAX };
        (2..=100).for_each(|n| assert!(mine.hear(u64::from(n) * MS, word(n, 1, much, 0.0))));
        let words = mine.words(200 * MS);
        assert_eq!((words[0].of, words[1].of, words[1].age_ms), (at(1), at(100), 100));
        let bytes = postcard::to_stdvec(&words).unwrap().len();
        assert!(words.len() >= 10 && (PAYLOAD_MAX - 150..=PAYLOAD_MAX).contains(&bytes), "{bytes}");
        mine.turn(STEP, 0.5);
        assert!(mine.level() > 0.8, "sums that overflow are the most there is: {}", mine.level());
    }
}
