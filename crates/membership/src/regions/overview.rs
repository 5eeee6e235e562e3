//! What the members of a region know of the other regions: written by the region's leader, spread as a rumour, compared.
//!
//! The overview stands in [`PARTS`] parts by the region's name, each with a version of its own, so that a change of one
//! region moves a few rows and not all.

use super::exchange::Known;
use super::{CLOCK_SKEW_MAX_MS, REGIONS_MAX, add};
use crate::envelope::PAYLOAD_MAX;
use crate::fault_injection::{self, InjectedFault};
use crate::location::LOCATION_NAME_MAX;
use crate::{MS, Nanos};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// Into so many parts the overview is divided.
pub const PARTS: usize = 32;
/// A part that is new is passed on so often by each member that hears of it; who is missed finds out by comparing.
const RUMOURS: u32 = 6;
/// The room that the lengths and the head of a message take.
const HEAD_MAX: usize = 60;
const SECOND: Nanos = 1_000 * MS;

/// What is known of one region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionStatus {
    /// Its name.
    pub region: String,
    /// The version of its summary.
    pub version: u64,
    /// Members that are there.
    pub alive: u32,
    /// Members that count.
    pub places: u32,
    /// The checksum of the configuration that most members have.
    pub config_checksum: u64,
    /// How many members have another one.
    pub config_minority: u32,
    /// Requests that it takes a second, in tenths.
    pub request_rate_tenths: u32,
    /// Who speaks for it.
    pub delegates: Vec<SocketAddr>,
    /// How many speak for it in contradiction; 1 unless it is split, 0 while it is silent.
    pub authors: u8,
    /// For how many seconds it has been silent.
    pub silent_seconds: Option<u32>,
}

impl RegionStatus {
    /// The row of a region that a delegate knows.
    pub fn of(region: &str, known: &Known, now: Nanos) -> Self {
        let summary = &known.summary;
        RegionStatus {
            region: region.into(),
            version: known.version,
            alive: summary.alive,
            places: known.places,
            config_checksum: summary.config_checksum,
            config_minority: summary.config_minority,
            request_rate_tenths: summary.request_rate_tenths,
            delegates: summary.delegates.clone(),
            authors: u8::try_from(known.authors).unwrap_or(u8::MAX),
            silent_seconds: known.silent_since.map(|since| seconds(now, since)),
        }
    }

    /// Whether another says the same; how long a silence has lasted each member counts for itself.
    fn says_the_same(&self, other: &RegionStatus) -> bool {
        self.silent_seconds.is_some() == other.silent_seconds.is_some()
            && self.without_silence() == other.without_silence()
    }

    fn without_silence(&self) -> RegionStatus {
        RegionStatus {
            silent_seconds: None,
            ..self.clone()
        }
    }
}

fn seconds(now: Nanos, since: Nanos) -> u32 {
    u32::try_from(now.saturating_sub(since) / SECOND).unwrap_or(u32::MAX)
}

/// One part, as it travels.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Which one.
    number: u8,
    /// Who wrote it; none if nobody has.
    pub author: Option<SocketAddr>,
    /// Unix time in milliseconds at the author, and more than any version before.
    version: u64,
    rows: Vec<RegionStatus>,
}

#[derive(Clone, Debug, Default)]
struct Held {
    part: Part,
    /// The rows' silence counts from here.
    taken: Nanos,
    rumours: u32,
}

impl Held {
    fn sum(&self) -> u32 {
        if self.part.version == 0 {
            return 0;
        }
        xxh3_64(format!("{:?} {}", self.part.author, self.part.version).as_bytes()) as u32
    }

    /// The part as it is told now: silences have gone on since it was taken.
    fn told(&self, now: Nanos) -> Part {
        let mut part = self.part.clone();
        for silent_s in part
            .rows
            .iter_mut()
            .filter_map(|row| row.silent_seconds.as_mut())
        {
            *silent_s = silent_s.saturating_add(seconds(now, self.taken));
        }
        part
    }
}

/// What became of a part that another told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Taken {
    /// It is new here.
    New,
    /// It is the one that is held.
    Same,
    /// It is older than the one that is held, which is told back.
    Older(Part),
    /// It makes no sense.
    Refused,
}

/// The overview that one member holds.
#[derive(Debug)]
pub struct Overview {
    held: Vec<Held>,
}

impl Default for Overview {
    fn default() -> Self {
        let part = |number| Part {
            number: number as u8,
            ..Part::default()
        };
        let held = |number| Held {
            part: part(number),
            ..Held::default()
        };
        Overview {
            held: (0..PARTS).map(held).collect(),
        }
    }
}

/// The part that a region stands in.
fn part_of(region: &str) -> usize {
    xxh3_64(region.as_bytes()) as usize % PARTS
}

impl Overview {
    /// All rows, and since when a silent region has been silent.
    pub fn rows(&self) -> impl Iterator<Item = (&RegionStatus, Option<Nanos>)> {
        self.held.iter().flat_map(|held| {
            let since = |silent_s: u32| held.taken.saturating_sub(Nanos::from(silent_s) * SECOND);
            held.part
                .rows
                .iter()
                .map(move |row| (row, row.silent_seconds.map(since)))
        })
    }

    /// Writes what is known now, as the leader; parts that say the same as before stay as they are.
    pub fn write(&mut self, now: Nanos, unix_ms: u64, author: SocketAddr, rows: Vec<RegionStatus>) {
        let mut parts: Vec<Vec<RegionStatus>> = vec![Vec::new(); PARTS];
        let mut room = [PAYLOAD_MAX - HEAD_MAX; PARTS];
        for row in rows.into_iter().take(REGIONS_MAX) {
            let number = part_of(&row.region);
            add(&mut parts[number], row, &mut room[number]);
        }
        for (held, rows) in self.held.iter_mut().zip(parts) {
            let same = held.part.rows.len() == rows.len()
                && held
                    .part
                    .rows
                    .iter()
                    .zip(&rows)
                    .all(|(former, row)| former.says_the_same(row));
            if same {
                continue;
            }
            let version = unix_ms.max(held.part.version + 1);
            let part = Part {
                number: held.part.number,
                author: Some(author),
                version,
                rows,
            };
            *held = Held {
                part,
                taken: now,
                rumours: RUMOURS,
            };
        }
    }

    /// Takes a part that another told.
    pub fn take(&mut self, now: Nanos, unix_ms: u64, part: Part) -> Taken {
        let bounded = |row: &RegionStatus| (1..=LOCATION_NAME_MAX).contains(&row.region.len());
        let sound = part.version <= unix_ms + CLOCK_SKEW_MAX_MS
            && part.author.is_some()
            && part.rows.len() <= REGIONS_MAX
            && part
                .rows
                .iter()
                .all(|row| bounded(row) && part_of(&row.region) == usize::from(part.number));
        let Some(held) = self
            .held
            .get_mut(usize::from(part.number))
            .filter(|_| sound)
        else {
            return Taken::Refused;
        };
        let rank = |part: &Part| (part.version, part.author);
        if rank(&part) == rank(&held.part) {
            return Taken::Same;
        }
        if rank(&part) < rank(&held.part) {
            return Taken::Older(held.told(now));
        }
        let rumours = if fault_injection::is_injected(InjectedFault::WithholdsOverview) {
            0
        } else {
            RUMOURS
        };
        *held = Held {
            part,
            taken: now,
            rumours,
        };
        Taken::New
    }

    /// Whether something is to be passed on.
    pub fn has_news(&self) -> bool {
        self.held.iter().any(|held| held.rumours > 0)
    }

    /// The parts that are to be passed on, as many as a datagram bears.
    pub fn news(&mut self, now: Nanos) -> Vec<Part> {
        let mut room = PAYLOAD_MAX - HEAD_MAX;
        let mut news = Vec::new();
        let mut order: Vec<usize> = (0..PARTS).filter(|n| self.held[*n].rumours > 0).collect();
        order.sort_by_key(|n| std::cmp::Reverse(self.held[*n].rumours));
        for number in order {
            let part = self.held[number].told(now);
            if add(&mut news, part, &mut room) {
                self.held[number].rumours -= 1;
            }
        }
        news
    }

    /// What is held, summed up: four bytes a part.
    pub fn sums(&self) -> Vec<u8> {
        self.held
            .iter()
            .flat_map(|held| held.sum().to_le_bytes())
            .collect()
    }

    /// The parts in which another holds something else, as many as a datagram bears, from this one on; `None` if the sums
    /// can't be read.
    pub fn differing(&self, now: Nanos, sums: &[u8], from: usize) -> Option<Vec<Part>> {
        if sums.len() != 4 * PARTS {
            return None;
        }
        let mut room = PAYLOAD_MAX - HEAD_MAX;
        let mut parts = Vec::new();
        for number in (0..PARTS).map(|n| (n + from) % PARTS) {
            let held = &self.held[number];
            let same = held.sum().to_le_bytes() == sums[4 * number..4 * number + 4];
            if same || held.part.author.is_none() {
                continue;
            }
            add(&mut parts, held.told(now), &mut room);
        }
        Some(parts)
    }
}
