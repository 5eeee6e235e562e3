//! What the delegates of all regions tell each other: announcements, and proof that their authors still live.
//!
//! Each delegate holds the latest announcement of each author. An author counts up its beats, so that a region whose
//! figures don't change is told from one that can't be heard. Two delegates compare what they hold: the question lists
//! each entry's version and beats, the answer brings what the asker lacks and asks for what the other lacks.

use super::{Announcement, AnnouncementPayload, RegionSummary, add};
use super::{AnnouncementKey, REGIONS_MAX, SILENT_AFTER};
use crate::envelope::PAYLOAD_MAX;
use crate::fault_injection::{self, InjectedFault};
use crate::{MS, Nanos};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Authors of one region that are held: where a region is split, each part has one.
const AUTHORS_MAX: usize = 4;
/// Authors that are remembered after they were forgotten.
const FORGOTTEN_MAX: usize = REGIONS_MAX * AUTHORS_MAX;
/// An author shows that it lives this often.
const BEAT: Nanos = 1_000 * MS;
/// So many beats of an author that was replaced may still have been on their way.
const LATE_BEATS: u32 = 3;
/// The most rows of one question: as many as fit into a datagram.
const ROWS_MAX: usize = 64;
const SECOND: Nanos = 1_000 * MS;

/// What one holds of one entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    key: u32,
    version: u64,
    beats: u32,
    /// Seconds since something new was heard of its author.
    age_s: u32,
}

/// An announcement with what is known of its author's life.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgedAnnouncement {
    /// The announcement.
    pub announcement: Announcement,
    beats: u32,
    age_s: u32,
}

impl AgedAnnouncement {
    /// An announcement that its author has just made.
    pub fn new(announcement: Announcement) -> Self {
        AgedAnnouncement {
            announcement,
            beats: 0,
            age_s: 0,
        }
    }

    /// Announcements as they stand in a datagram.
    pub fn encode(told: &[AgedAnnouncement]) -> Vec<u8> {
        postcard::to_stdvec(told).unwrap_or_default()
    }
}

/// Asks another what it holds.
#[derive(Debug, Serialize, Deserialize)]
pub struct Question {
    /// The asker's region.
    pub region: String,
    /// It speaks for its region; of others nothing is wanted.
    pub delegate: bool,
    /// All that the asker holds stands in the rows.
    whole: bool,
    rows: Vec<Row>,
}

/// What the asker lacks, and what the other lacks.
#[derive(Debug, Serialize, Deserialize)]
pub struct Answer {
    /// The region of who answers.
    pub region: String,
    rows: Vec<Row>,
    /// Announcements that are newer than the asker's.
    pub told: Vec<AgedAnnouncement>,
    wanted: Vec<u32>,
}

/// Announcements that were dropped, as counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct DroppedAnnouncements {
    /// Beyond a bound: figures, names, a version from the future.
    pub unsound: u64,
    /// An older version of the same author.
    pub outdated: u64,
    /// Of more regions than are held.
    pub over_capacity: u64,
}

#[derive(Clone, Debug)]
struct Held {
    announcement: Announcement,
    beats: u32,
    heard: Nanos,
    /// Another says that it took its author's place, by when this one had so many beats.
    replaced_at: Option<u32>,
}

impl Held {
    fn row(&self, now: Nanos) -> Row {
        Row {
            key: AnnouncementKey::of(&self.announcement).0,
            version: self.announcement.version,
            beats: self.beats,
            age_s: self.age_s(now),
        }
    }

    fn age_s(&self, now: Nanos) -> u32 {
        u32::try_from(now.saturating_sub(self.heard) / SECOND).unwrap_or(u32::MAX)
    }

    fn told(&self, now: Nanos) -> AgedAnnouncement {
        AgedAnnouncement {
            announcement: self.announcement.clone(),
            beats: self.beats,
            age_s: self.age_s(now),
        }
    }

    fn is_silent(&self, now: Nanos) -> bool {
        now.saturating_sub(self.heard) >= SILENT_AFTER
    }

    /// Whether another took its author's place, and it has not shown since that it lives.
    fn is_replaced(&self) -> bool {
        self.replaced_at
            .is_some_and(|beats| self.beats <= beats + LATE_BEATS)
    }
}

/// The last that was known of an author that was forgotten.
#[derive(Clone, Copy, Debug)]
struct Forgotten {
    version: u64,
    beats: u32,
    at: Nanos,
}

/// What a delegate knows of one region, from all its authors.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Known {
    /// What it last said.
    pub summary: RegionSummary,
    /// That version.
    pub version: u64,
    /// The most places that any author who lives tells of: in a region that is split each part may tell of fewer.
    pub places: u32,
    /// Authors who live; more than one where a region is split.
    pub authors: usize,
    /// When something new was last heard of it, if that is long ago.
    pub silent_since: Option<Nanos>,
}

/// The announcements that one delegate holds.
pub struct Exchange {
    own: SocketAddr,
    region: String,
    forget: Nanos,
    held: BTreeMap<(String, SocketAddr), Held>,
    /// What was forgotten of authors lately. Others may still tell it: without this it would go round for good.
    forgotten: BTreeMap<(String, SocketAddr), Forgotten>,
    beat: Nanos,
    dropped: DroppedAnnouncements,
}

impl Exchange {
    /// Nothing yet, at a member of this region. What was silent for `forget` is forgotten.
    pub fn new(own: SocketAddr, region: &str, forget: Nanos) -> Self {
        Exchange {
            own,
            region: region.into(),
            forget,
            held: BTreeMap::new(),
            forgotten: BTreeMap::new(),
            beat: 0,
            dropped: DroppedAnnouncements::default(),
        }
    }

    /// What was dropped.
    pub fn dropped(&self) -> DroppedAnnouncements {
        self.dropped
    }

    /// Entries held.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    fn own_key(&self) -> (String, SocketAddr) {
        (self.region.clone(), self.own)
    }

    /// What this member last announced itself.
    pub fn own_summary(&self) -> Option<&RegionSummary> {
        self.held
            .get(&self.own_key())
            .map(|held| held.announcement.summary())
    }

    /// Announces the own region, by a version above any that is known of this author.
    pub fn publish(
        &mut self,
        now: Nanos,
        unix_ms: u64,
        summary: RegionSummary,
    ) -> AgedAnnouncement {
        let former = self
            .held
            .get(&self.own_key())
            .map_or(0, |held| held.announcement.version);
        let announcement = Announcement {
            region: self.region.clone(),
            author: self.own,
            version: unix_ms.max(former + 1),
            payload: AnnouncementPayload::Summary(summary),
        };
        let held = Held {
            announcement,
            beats: 0,
            heard: now,
            replaced_at: None,
        };
        let told = held.told(now);
        self.held.insert(self.own_key(), held);
        told
    }

    /// Gives up announcing: another leads.
    pub fn retire(&mut self) {
        self.held.remove(&self.own_key());
    }

    /// Shows that this author lives, and forgets those that do not.
    pub fn turn(&mut self, now: Nanos) {
        let key = self.own_key();
        if let Some(own) = self.held.get_mut(&key) {
            own.heard = now;
            if now >= self.beat {
                self.beat = now + BEAT;
                own.beats += 1;
            }
        }
        let living: BTreeSet<String> = self
            .held
            .iter()
            .filter(|(_, held)| !held.is_silent(now))
            .map(|(key, _)| key.0.clone())
            .collect();
        let forget = self.forget;
        let is_over = |(region, _): &(String, SocketAddr), held: &Held| {
            let replaced = held.is_silent(now) && living.contains(region);
            replaced || now.saturating_sub(held.heard) >= forget
        };
        let over: Vec<(String, SocketAddr)> = self
            .held
            .iter()
            .filter(|(place, held)| is_over(place, held))
            .map(|(place, _)| place.clone())
            .collect();
        over.into_iter()
            .for_each(|place| self.forget_author(now, place));
        self.forgotten
            .retain(|_, forgotten| now.saturating_sub(forgotten.at) < forget);
    }

    fn forget_author(&mut self, now: Nanos, place: (String, SocketAddr)) {
        let Some(held) = self.held.remove(&place) else {
            return;
        };
        if self.forgotten.len() >= FORGOTTEN_MAX {
            let oldest = self
                .forgotten
                .iter()
                .min_by_key(|(_, forgotten)| forgotten.at);
            oldest
                .map(|(place, _)| place.clone())
                .and_then(|place| self.forgotten.remove(&place));
        }
        let forgotten = Forgotten {
            version: held.announcement.version,
            beats: held.beats,
            at: now,
        };
        self.forgotten.insert(place, forgotten);
    }

    /// The regions other than the own one.
    pub fn regions(&self, now: Nanos) -> BTreeMap<&str, Known> {
        let mut regions: BTreeMap<&str, Vec<&Held>> = BTreeMap::new();
        for ((region, _), held) in self
            .held
            .iter()
            .filter(|((region, _), _)| *region != self.region)
        {
            regions.entry(region).or_default().push(held);
        }
        regions
            .into_iter()
            .filter_map(|(region, held)| Some((region, known(&held, now)?)))
            .collect()
    }

    /// The delegates of all authors, by region, the own region's included.
    pub fn delegates(&self) -> BTreeMap<&str, BTreeSet<SocketAddr>> {
        let mut delegates: BTreeMap<&str, BTreeSet<SocketAddr>> = BTreeMap::new();
        for ((region, author), held) in &self.held {
            let of_region = delegates.entry(region).or_default();
            of_region.insert(*author);
            of_region.extend(&held.announcement.summary().delegates);
        }
        delegates
    }

    /// Asks another what it holds. `from` picks the first row where not all fit.
    pub fn question(&self, now: Nanos, delegate: bool, from: usize) -> Question {
        let count = self.held.len();
        let rows = (0..count.min(ROWS_MAX)).map(|n| (n + from) % count);
        let all: Vec<&Held> = self.held.values().collect();
        Question {
            region: self.region.clone(),
            delegate,
            whole: count <= ROWS_MAX,
            rows: rows.map(|n| all[n].row(now)).collect(),
        }
    }

    fn by_key(&self) -> BTreeMap<u32, (String, SocketAddr)> {
        let key = |held: &Held| AnnouncementKey::of(&held.announcement).0;
        self.held
            .iter()
            .map(|(place, held)| (key(held), place.clone()))
            .collect()
    }

    /// Answers a question, as far as a datagram bears it.
    pub fn answer(&mut self, now: Nanos, question: &Question) -> Answer {
        let mut answer = Answer {
            region: self.region.clone(),
            rows: Vec::new(),
            told: Vec::new(),
            wanted: Vec::new(),
        };
        if fault_injection::is_injected(InjectedFault::SkipsRegionAntiEntropy) {
            return answer;
        }
        let mut room = PAYLOAD_MAX - LENGTHS_MAX;
        let places = self.by_key();
        let mut named = BTreeSet::new();
        for row in question.rows.iter().take(ROWS_MAX) {
            named.insert(row.key);
            let Some(held) = places
                .get(&row.key)
                .and_then(|place| self.held.get_mut(place))
            else {
                if question.delegate {
                    add(&mut answer.wanted, row.key, &mut room);
                }
                continue;
            };
            let version = held.announcement.version;
            if row.version > version && question.delegate {
                add(&mut answer.wanted, row.key, &mut room);
            } else if row.version == version && row.beats >= held.beats {
                hear(held, now, row.beats, row.age_s);
            } else if row.version == version {
                add(&mut answer.rows, held.row(now), &mut room);
            } else if row.version < version {
                add(&mut answer.told, held.told(now), &mut room);
            }
        }
        if question.whole {
            let unnamed = places.iter().filter(|(key, _)| !named.contains(key));
            for held in unnamed.filter_map(|(_, place)| self.held.get(place)) {
                add(&mut answer.told, held.told(now), &mut room);
            }
        }
        answer
    }

    /// Takes an answer over; returns what the other wants to be told, and the announcements that are new here.
    pub fn take_answer(
        &mut self,
        now: Nanos,
        unix_ms: u64,
        answer: &Answer,
    ) -> (Vec<AgedAnnouncement>, Vec<AgedAnnouncement>) {
        let places = self.by_key();
        for row in &answer.rows {
            if let Some(held) = places
                .get(&row.key)
                .and_then(|place| self.held.get_mut(place))
                && row.version == held.announcement.version
            {
                hear(held, now, row.beats, row.age_s);
            }
        }
        let new = self.take(now, unix_ms, &answer.told);
        let wanted = answer.wanted.iter().filter_map(|key| places.get(key));
        let mut room = PAYLOAD_MAX - LENGTHS_MAX;
        let mut told = Vec::new();
        for held in wanted.filter_map(|place| self.held.get(place)) {
            add(&mut told, held.told(now), &mut room);
        }
        (told, new)
    }

    /// Takes announcements over; returns those that are new here.
    pub fn take(
        &mut self,
        now: Nanos,
        unix_ms: u64,
        told: &[AgedAnnouncement],
    ) -> Vec<AgedAnnouncement> {
        let is_new = |told: &&AgedAnnouncement| self.take_one(now, unix_ms, told);
        told.iter().filter(is_new).cloned().collect()
    }

    fn take_one(&mut self, now: Nanos, unix_ms: u64, told: &AgedAnnouncement) -> bool {
        let announcement = &told.announcement;
        if !announcement.is_sound(unix_ms)
            && !fault_injection::is_injected(InjectedFault::AcceptsUnsoundAnnouncements)
        {
            self.dropped.unsound += 1;
            return false;
        }
        let place = (announcement.region.clone(), announcement.author);
        let heard = now.saturating_sub(Nanos::from(told.age_s) * SECOND);
        // Of oneself one knows best; but an earlier life may have told a later time, which the next version goes beyond.
        if place == self.own_key() {
            if let Some(own) = self
                .held
                .get_mut(&place)
                .filter(|own| own.announcement.version < announcement.version)
            {
                own.announcement.version = announcement.version + 1;
            }
            return false;
        }
        if let Some(held) = self.held.get_mut(&place) {
            let older = announcement.version < held.announcement.version;
            if older && !fault_injection::is_injected(InjectedFault::AcceptsOlderAnnouncements) {
                self.dropped.outdated += 1;
                return false;
            }
            if announcement.version == held.announcement.version {
                hear(held, now, told.beats, told.age_s);
                return false;
            }
        } else if self.is_forgotten(&place, told) || !self.has_room(&place, told, now) {
            return false;
        }
        self.forgotten.remove(&place);
        let replaces = |announcement: &Announcement| announcement.summary().replaces;
        let before = self
            .held
            .get(&place)
            .and_then(|held| replaces(&held.announcement));
        let former = replaces(announcement).filter(|former| *former != announcement.author);
        let replaced_at = self.held.get(&place).and_then(|held| held.replaced_at);
        let held = Held {
            announcement: announcement.clone(),
            beats: told.beats,
            heard,
            replaced_at,
        };
        self.held.insert(place, held);
        // Said once it is known: where a region is split each part says so of the other's leader.
        if let Some(former) = former.filter(|former| Some(*former) != before)
            && let Some(held) = self.held.get_mut(&(announcement.region.clone(), former))
        {
            held.replaced_at = Some(held.beats);
        }
        true
    }

    /// Whether this is no later word of an author than the last one before it was forgotten.
    fn is_forgotten(&self, place: &(String, SocketAddr), told: &AgedAnnouncement) -> bool {
        let last = self
            .forgotten
            .get(place)
            .map(|forgotten| (forgotten.version, forgotten.beats));
        last.is_some_and(|last| (told.announcement.version, told.beats) <= last)
    }

    /// Whether one more author is taken in, for which one that says less may have to go. One that is silent is none that
    /// others have replaced.
    fn has_room(
        &mut self,
        place: &(String, SocketAddr),
        told: &AgedAnnouncement,
        now: Nanos,
    ) -> bool {
        let heard = now.saturating_sub(Nanos::from(told.age_s) * SECOND);
        let silent = now.saturating_sub(heard) >= SILENT_AFTER;
        let authors = self
            .held
            .iter()
            .filter(|((region, _), _)| *region == place.0);
        let authors: Vec<(&(String, SocketAddr), &Held)> = authors.collect();
        let replaced = silent && authors.iter().any(|(_, held)| !held.is_silent(now));
        if replaced || now.saturating_sub(heard) >= self.forget {
            return false;
        }
        if authors.is_empty() {
            let regions: BTreeSet<&String> = self.held.keys().map(|(region, _)| region).collect();
            let full = regions.len() >= REGIONS_MAX;
            self.dropped.over_capacity += u64::from(full);
            return !full;
        }
        if authors.len() < AUTHORS_MAX {
            return true;
        }
        let says = |held: &Held| (!held.is_silent(now), held.announcement.summary().alive);
        let least = authors.iter().min_by_key(|(_, held)| says(held));
        let least =
            least.filter(|(_, held)| says(held) < (!silent, told.announcement.summary().alive));
        let Some(least) = least.map(|(place, _)| (*place).clone()) else {
            self.dropped.over_capacity += 1;
            return false;
        };
        self.forget_author(now, least);
        true
    }
}

/// What the authors of one region say, taken together: the word of the one with the most living members. In a region that
/// is split it is the same one each time, whoever spoke last.
fn known(authors: &[&Held], now: Nanos) -> Option<Known> {
    let mut living: Vec<&Held> = authors
        .iter()
        .copied()
        .filter(|held| !held.is_silent(now))
        .collect();
    if living.iter().any(|held| !held.is_replaced()) {
        living.retain(|held| !held.is_replaced());
    }
    let considered = if living.is_empty() { authors } else { &living };
    let rank = |held: &&&Held| (held.announcement.summary().alive, held.announcement.version);
    let first = if living.is_empty() {
        considered.iter().max_by_key(|held| held.heard)?
    } else {
        considered.iter().max_by_key(rank)?
    };
    let places = considered
        .iter()
        .map(|held| held.announcement.summary().places)
        .max()?;
    Some(Known {
        summary: first.announcement.summary().clone(),
        version: first.announcement.version,
        places,
        authors: living.len(),
        silent_since: living.is_empty().then_some(first.heard),
    })
}

/// Takes a sign of life over, if it is a later one.
fn hear(held: &mut Held, now: Nanos, beats: u32, age_s: u32) {
    let heard = now.saturating_sub(Nanos::from(age_s) * SECOND);
    if beats > held.beats {
        held.beats = beats;
        held.heard = held.heard.max(heard);
    }
}

/// What the names and the lengths of the lists of a message take at most.
const LENGTHS_MAX: usize = 40;
