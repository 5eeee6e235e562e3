//! Overview of the other regions, stored by every member of a region. The leader of the region
//! writes it, broadcasts disseminate it, and anti-entropy repairs missed broadcasts.
//!
//! The overview is divided into [`PARTS`] parts by region name. Each part has its own version, so
//! that a change of one region sends few rows.

use super::announcement_store::CombinedSummary;
use super::{CLOCK_SKEW_MAX_MS, REGIONS_MAX, elapsed_seconds, seconds_ago};
use crate::Nanos;
use crate::envelope::PAYLOAD_MAX;
use crate::fault_injection::{InjectedFault, is_injected};
use crate::location::LOCATION_NAME_MAX;
use crate::payload::{PayloadBudget, PayloadError};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// Number of parts of the overview.
pub const PARTS: usize = 32;
const DIGEST_LENGTH: usize = 4 * PARTS;
/// Number of times that each member transmits a new part.
const TRANSMISSIONS: u32 = 6;
/// Bytes reserved for the list lengths and the header of a message.
const MESSAGE_HEADER_MAX: usize = 60;

/// Status of one region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionStatus {
    /// Name of the region.
    pub region: String,
    /// Version of its summary.
    pub version: u64,
    /// Number of live members.
    pub alive: u32,
    /// Share count within the region.
    pub places: u32,
    /// Checksum of the most common configuration.
    pub config_checksum: u64,
    /// Number of members with another configuration.
    pub config_minority: u32,
    /// Rate of requests that the region accepts, in tenths of a request per second.
    pub request_rate_tenths: u32,
    /// Delegates of the region.
    pub delegates: Vec<SocketAddr>,
    /// Number of live authors: 1 normally, more while the region is partitioned, 0 while it is
    /// silent.
    pub authors: u8,
    /// Duration of the region's silence in seconds when the part was written or sent; `None` if it
    /// is reachable.
    pub silent_seconds: Option<u32>,
}

impl RegionStatus {
    /// Returns the status of a region from the combined announcements that a delegate stores.
    #[must_use]
    pub fn new(region: &str, combined: &CombinedSummary, now: Nanos) -> Self {
        let summary = &combined.summary;
        RegionStatus {
            region: region.into(),
            version: combined.version,
            alive: summary.alive,
            places: combined.places,
            config_checksum: summary.config_checksum,
            config_minority: summary.config_minority,
            request_rate_tenths: summary.request_rate_tenths,
            delegates: summary.delegates.clone(),
            authors: u8::try_from(combined.authors).unwrap_or(u8::MAX),
            silent_seconds: combined
                .silent_since
                .map(|since| elapsed_seconds(now, since)),
        }
    }

    /// Returns whether another status is equal except for the duration of a silence, which each
    /// member measures itself.
    fn is_equivalent(&self, other: &RegionStatus) -> bool {
        let without_duration = |status: &RegionStatus| RegionStatus {
            silent_seconds: status.silent_seconds.map(|_| 0),
            ..status.clone()
        };
        without_duration(self) == without_duration(other)
    }
}

/// One part of the overview, as it is sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OverviewPart {
    number: u8,
    /// Member that wrote the part; `None` if it was never written.
    pub author: Option<SocketAddr>,
    /// Unix time in milliseconds at the author, raised if necessary above every earlier version.
    version: u64,
    rows: Vec<RegionStatus>,
}

impl OverviewPart {
    fn rank(&self) -> (u64, Option<SocketAddr>) {
        (self.version, self.author)
    }

    fn is_valid(&self, unix_ms: u64) -> bool {
        let is_valid_row = |row: &RegionStatus| {
            (1..=LOCATION_NAME_MAX).contains(&row.region.len())
                && part_number(&row.region) == usize::from(self.number)
        };
        self.version <= unix_ms + CLOCK_SKEW_MAX_MS
            && self.author.is_some()
            && self.rows.len() <= REGIONS_MAX
            && self.rows.iter().all(is_valid_row)
    }
}

#[derive(Clone, Debug, Default)]
struct StoredPart {
    part: OverviewPart,
    /// Time at which the part was stored; the silences in its rows are those of this time.
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

    /// Returns the part to send now, with silences extended by the time since it was stored.
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

/// Result of merging a received part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartMergeResult {
    /// The part is new and was stored.
    New,
    /// The part equals the stored one.
    Same,
    /// The part is older than the stored one, which is to be sent back.
    Outdated(OverviewPart),
    /// The part is invalid or exceeds a limit, and was dropped.
    Invalid,
}

/// Overview that one member stores.
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

/// Returns the number of the part that contains a region's row.
fn part_number(region: &str) -> usize {
    xxh3_64(region.as_bytes()) as usize % PARTS
}

impl RegionOverview {
    /// Returns all rows, with the start of the silence of silent regions.
    pub fn rows(&self) -> impl Iterator<Item = (&RegionStatus, Option<Nanos>)> {
        self.parts.iter().flat_map(|stored| {
            let since = |seconds: u32| seconds_ago(stored.stored_at, seconds);
            let rows = stored.part.rows.iter();
            rows.map(move |row| (row, row.silent_seconds.map(since)))
        })
    }

    /// Writes the leader's rows as new versions of the parts that changed; a part that is
    /// equivalent to the stored one is kept.
    pub fn write(&mut self, now: Nanos, unix_ms: u64, author: SocketAddr, rows: Vec<RegionStatus>) {
        let mut parts: Vec<Vec<RegionStatus>> = vec![Vec::new(); PARTS];
        let mut budgets: Vec<PayloadBudget> = (0..PARTS).map(|_| message_budget()).collect();
        for row in rows.into_iter().take(REGIONS_MAX) {
            let number = part_number(&row.region);
            budgets[number].push(&mut parts[number], row);
        }
        for (stored, rows) in self.parts.iter_mut().zip(parts) {
            let previous = &stored.part;
            let is_equivalent = previous.rows.len() == rows.len()
                && previous
                    .rows
                    .iter()
                    .zip(&rows)
                    .all(|(previous, row)| previous.is_equivalent(row));
            if is_equivalent {
                continue;
            }
            let part = OverviewPart {
                number: previous.number,
                author: Some(author),
                version: unix_ms.max(previous.version + 1),
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
    pub fn merge(&mut self, now: Nanos, unix_ms: u64, part: OverviewPart) -> PartMergeResult {
        let is_valid = part.is_valid(unix_ms);
        let Some(stored) = self
            .parts
            .get_mut(usize::from(part.number))
            .filter(|_| is_valid)
        else {
            return PartMergeResult::Invalid;
        };
        if part.rank() == stored.part.rank() {
            return PartMergeResult::Same;
        }
        if part.rank() < stored.part.rank() {
            return PartMergeResult::Outdated(stored.aged(now));
        }
        let withheld = is_injected(InjectedFault::WithholdsOverview);
        *stored = StoredPart {
            part,
            stored_at: now,
            transmissions_left: if withheld { 0 } else { TRANSMISSIONS },
        };
        PartMergeResult::New
    }

    /// Returns whether any part has remaining broadcast transmissions.
    #[must_use]
    pub fn has_broadcasts(&self) -> bool {
        self.parts
            .iter()
            .any(|stored| stored.transmissions_left > 0)
    }

    /// Returns the parts to broadcast, as many as fit into a datagram, and counts their
    /// transmissions.
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

    /// Returns the digest, which has four bytes for each part.
    #[must_use]
    pub fn digest(&self) -> Vec<u8> {
        self.parts
            .iter()
            .flat_map(|stored| stored.checksum().to_le_bytes())
            .collect()
    }

    /// Returns the parts that differ from a received digest, as many as fit into a datagram,
    /// starting with part `first`.
    ///
    /// # Errors
    ///
    /// If the digest does not have this version's length.
    pub fn differing_parts(
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
        for number in (0..PARTS).map(|offset| (first + offset) % PARTS) {
            let stored = &self.parts[number];
            let received = &digest[4 * number..4 * number + 4];
            if stored.checksum().to_le_bytes() != received && stored.part.author.is_some() {
                budget.push(&mut parts, stored.aged(now));
            }
        }
        Ok(parts)
    }
}

fn message_budget() -> PayloadBudget {
    PayloadBudget::new(PAYLOAD_MAX - MESSAGE_HEADER_MAX)
}
