//! The overview: what the members of a region know of the other regions. The region's leader writes
//! it, broadcasts spread it, and anti-entropy finds what they miss.
//!
//! It is divided into [`PARTS`] by the regions' names, each with a version of its own, so that a
//! change of one region sends few rows.

use super::announcement_store::RegionKnowledge;
use super::{CLOCK_SKEW_MAX_MS, REGIONS_MAX, elapsed_seconds, seconds_ago};
use crate::Nanos;
use crate::envelope::PAYLOAD_MAX;
use crate::fault_injection::{InjectedFault, is_injected};
use crate::location::LOCATION_NAME_MAX;
use crate::payload::{PayloadBudget, PayloadError};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// The parts of the overview.
pub const PARTS: usize = 32;
const DIGEST_LENGTH: usize = 4 * PARTS;
/// How often each member transmits a new part.
const TRANSMISSIONS: u32 = 6;
/// Bytes for the list lengths and the head of a message.
const MESSAGE_HEADER_MAX: usize = 60;

/// What is known of one region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionStatus {
    /// Its name.
    pub region: String,
    /// The version of its summary.
    pub version: u64,
    /// Live members.
    pub alive: u32,
    /// The share count within the region.
    pub places: u32,
    /// The checksum of the configuration that most members have.
    pub config_checksum: u64,
    /// How many members have another configuration.
    pub config_minority: u32,
    /// Requests that it accepts a second, in tenths.
    pub request_rate_tenths: u32,
    /// Its delegates.
    pub delegates: Vec<SocketAddr>,
    /// How many authors contradict each other; 1 unless it is partitioned, 0 while it is silent.
    pub authors: u8,
    /// For how many seconds it has been silent.
    pub silent_seconds: Option<u32>,
}

impl RegionStatus {
    /// The status of a region as a delegate knows it.
    #[must_use]
    pub fn of(region: &str, knowledge: &RegionKnowledge, now: Nanos) -> Self {
        let summary = &knowledge.summary;
        RegionStatus {
            region: region.into(),
            version: knowledge.version,
            alive: summary.alive,
            places: knowledge.places,
            config_checksum: summary.config_checksum,
            config_minority: summary.config_minority,
            request_rate_tenths: summary.request_rate_tenths,
            delegates: summary.delegates.clone(),
            authors: u8::try_from(knowledge.authors).unwrap_or(u8::MAX),
            silent_seconds: knowledge
                .silent_since
                .map(|since| elapsed_seconds(now, since)),
        }
    }

    /// Whether another status is equal but for the length of a silence, which each member counts
    /// itself.
    fn is_equivalent(&self, other: &RegionStatus) -> bool {
        let without_length = |status: &RegionStatus| RegionStatus {
            silent_seconds: status.silent_seconds.map(|_| 0),
            ..status.clone()
        };
        without_length(self) == without_length(other)
    }
}

/// One part of the overview, as it is sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OverviewPart {
    number: u8,
    /// The member that wrote it; none if nobody has.
    pub author: Option<SocketAddr>,
    /// Unix time in milliseconds at the author, and greater than any version before.
    version: u64,
    rows: Vec<RegionStatus>,
}

impl OverviewPart {
    fn rank(&self) -> (u64, Option<SocketAddr>) {
        (self.version, self.author)
    }

    fn is_sound(&self, unix_ms: u64) -> bool {
        let is_sound_row = |row: &RegionStatus| {
            (1..=LOCATION_NAME_MAX).contains(&row.region.len())
                && part_of(&row.region) == usize::from(self.number)
        };
        self.version <= unix_ms + CLOCK_SKEW_MAX_MS
            && self.author.is_some()
            && self.rows.len() <= REGIONS_MAX
            && self.rows.iter().all(is_sound_row)
    }
}

#[derive(Clone, Debug, Default)]
struct StoredPart {
    part: OverviewPart,
    /// The silences of the rows are counted from here.
    stored_at: Nanos,
    transmissions_left: u32,
}

impl StoredPart {
    fn checksum(&self) -> u32 {
        if self.part.version == 0 {
            return 0;
        }
        xxh3_64(format!("{:?} {}", self.part.author, self.part.version).as_bytes()) as u32
    }

    /// The part as it is sent now: silences have lasted longer since it was stored.
    fn aged(&self, now: Nanos) -> OverviewPart {
        let mut part = self.part.clone();
        for row in &mut part.rows {
            if let Some(seconds) = &mut row.silent_seconds {
                *seconds = seconds.saturating_add(elapsed_seconds(now, self.stored_at));
            }
        }
        part
    }
}

/// What became of a received part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartMerge {
    /// It is new here.
    New,
    /// It is the stored one.
    Same,
    /// It is older than the stored one, which is to be sent back.
    Outdated(OverviewPart),
    /// It is beyond a bound.
    Unsound,
}

/// The overview that one member stores.
#[derive(Debug)]
pub struct RegionOverview {
    parts: Vec<StoredPart>,
}

impl Default for RegionOverview {
    fn default() -> Self {
        let empty = |number| StoredPart {
            part: OverviewPart {
                number: number as u8,
                ..OverviewPart::default()
            },
            ..StoredPart::default()
        };
        RegionOverview {
            parts: (0..PARTS).map(empty).collect(),
        }
    }
}

/// The part in which a region's row is.
fn part_of(region: &str) -> usize {
    xxh3_64(region.as_bytes()) as usize % PARTS
}

impl RegionOverview {
    /// All rows, and since when a silent region has been silent.
    pub fn rows(&self) -> impl Iterator<Item = (&RegionStatus, Option<Nanos>)> {
        self.parts.iter().flat_map(|stored| {
            let since = |seconds: u32| seconds_ago(stored.stored_at, seconds);
            let rows = stored.part.rows.iter();
            rows.map(move |row| (row, row.silent_seconds.map(since)))
        })
    }

    /// Writes what the leader knows now; parts that are equivalent to the stored ones are kept.
    pub fn write(&mut self, now: Nanos, unix_ms: u64, author: SocketAddr, rows: Vec<RegionStatus>) {
        let mut parts: Vec<Vec<RegionStatus>> = vec![Vec::new(); PARTS];
        let mut budgets: Vec<PayloadBudget> = (0..PARTS).map(|_| message_budget()).collect();
        for row in rows.into_iter().take(REGIONS_MAX) {
            let number = part_of(&row.region);
            budgets[number].push(&mut parts[number], row);
        }
        for (stored, rows) in self.parts.iter_mut().zip(parts) {
            let former = &stored.part;
            let is_equivalent = former.rows.len() == rows.len()
                && former
                    .rows
                    .iter()
                    .zip(&rows)
                    .all(|(former, row)| former.is_equivalent(row));
            if is_equivalent {
                continue;
            }
            let part = OverviewPart {
                number: former.number,
                author: Some(author),
                version: unix_ms.max(former.version + 1),
                rows,
            };
            *stored = StoredPart {
                part,
                stored_at: now,
                transmissions_left: TRANSMISSIONS,
            };
        }
    }

    /// Merges a received part.
    pub fn merge(&mut self, now: Nanos, unix_ms: u64, part: OverviewPart) -> PartMerge {
        let is_sound = part.is_sound(unix_ms);
        let Some(stored) = self
            .parts
            .get_mut(usize::from(part.number))
            .filter(|_| is_sound)
        else {
            return PartMerge::Unsound;
        };
        if part.rank() == stored.part.rank() {
            return PartMerge::Same;
        }
        if part.rank() < stored.part.rank() {
            return PartMerge::Outdated(stored.aged(now));
        }
        let withheld = is_injected(InjectedFault::WithholdsOverview);
        *stored = StoredPart {
            part,
            stored_at: now,
            transmissions_left: if withheld { 0 } else { TRANSMISSIONS },
        };
        PartMerge::New
    }

    /// Whether a part is still to be broadcast.
    #[must_use]
    pub fn has_broadcasts(&self) -> bool {
        self.parts
            .iter()
            .any(|stored| stored.transmissions_left > 0)
    }

    /// The parts to broadcast, as many as fit into a datagram; counts the transmissions.
    pub fn next_broadcast(&mut self, now: Nanos) -> Vec<OverviewPart> {
        let mut budget = message_budget();
        let mut broadcast = Vec::new();
        let mut order: Vec<usize> = (0..PARTS)
            .filter(|number| self.parts[*number].transmissions_left > 0)
            .collect();
        order.sort_by_key(|number| std::cmp::Reverse(self.parts[*number].transmissions_left));
        for number in order {
            let part = self.parts[number].aged(now);
            if budget.push(&mut broadcast, part) {
                self.parts[number].transmissions_left -= 1;
            }
        }
        broadcast
    }

    /// The digest: four bytes for each part.
    #[must_use]
    pub fn digest(&self) -> Vec<u8> {
        self.parts
            .iter()
            .flat_map(|stored| stored.checksum().to_le_bytes())
            .collect()
    }

    /// The parts that differ from a received digest, as many as fit into a datagram, from `first`
    /// on.
    ///
    /// # Errors
    ///
    /// If the digest has another length than this version's.
    pub fn differing(
        &self,
        now: Nanos,
        digest: &[u8],
        first: usize,
    ) -> Result<Vec<OverviewPart>, PayloadError> {
        if digest.len() != DIGEST_LENGTH {
            return Err(PayloadError::DigestLength {
                expected: DIGEST_LENGTH,
                actual: digest.len(),
            });
        }
        let mut budget = message_budget();
        let mut parts = Vec::new();
        for number in (0..PARTS).map(|n| (n + first) % PARTS) {
            let stored = &self.parts[number];
            let theirs = &digest[4 * number..4 * number + 4];
            if stored.checksum().to_le_bytes() != theirs && stored.part.author.is_some() {
                budget.push(&mut parts, stored.aged(now));
            }
        }
        Ok(parts)
    }
}

fn message_budget() -> PayloadBudget {
    PayloadBudget::new(PAYLOAD_MAX - MESSAGE_HEADER_MAX)
}
