//! Share count of a fleet with regions. The rules correspond to those of [`crate::share_count`],
//! with regions in place of members:
//!
//! 1. A reachable region counts with the places of its summary.
//! 2. A silent region keeps its places for `share_retention`.
//! 3. After that its places are dropped only if the live members of all reachable regions are more
//!    than half of all places published within `tombstone_retention`. At most one side of a
//!    partition has this majority; members on the other sides keep dividing by their last count.
//! 4. A region that was silent for `tombstone_retention` is removed.
//!
//! Within its region a member counts by the rules for members. A side without the majority divides
//! by at least half of all places, whether regions were cut off from each other or one region was
//! partitioned. During partitions shorter than `tombstone_retention` the sum of all shares is
//! therefore below 2: 1 on the side with the majority, and less than 1 on all other sides together.

use crate::Nanos;
use crate::fault_injection::{InjectedFault, is_injected};
use std::collections::BTreeMap;

/// Size of a region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RegionSize {
    /// Number of live members.
    pub alive: usize,
    /// Number of places, including those of vanished members.
    pub places: usize,
}

/// Maximum number of places within `tombstone_retention`, and the time at which it was published.
#[derive(Clone, Copy, Debug, Default)]
struct PeakPlaces {
    places: usize,
    published_at: Nanos,
}

impl PeakPlaces {
    fn update(&mut self, now: Nanos, places: usize, tombstone_retention: Nanos) {
        if places >= self.places || now.saturating_sub(self.published_at) >= tombstone_retention {
            *self = PeakPlaces {
                places,
                published_at: now,
            };
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct CountedRegion {
    size: RegionSize,
    peak: PeakPlaces,
    silent_since: Option<Nanos>,
}

/// One member's count of the balancers in all regions.
#[derive(Clone, Debug)]
pub struct RegionShareCounter {
    others: BTreeMap<String, CountedRegion>,
    own_peak: PeakPlaces,
    share_retention: Nanos,
    tombstone_retention: Nanos,
    last_count: usize,
}

impl RegionShareCounter {
    /// Creates a counter that knows only this member's region.
    #[must_use]
    pub fn new(share_retention: Nanos, tombstone_retention: Nanos) -> Self {
        RegionShareCounter {
            others: BTreeMap::new(),
            own_peak: PeakPlaces::default(),
            share_retention,
            tombstone_retention,
            last_count: 1,
        }
    }

    /// Updates another region; `silent_since` is the start of its silence, or `None` if it is
    /// reachable.
    pub fn update(
        &mut self,
        now: Nanos,
        region: &str,
        size: RegionSize,
        silent_since: Option<Nanos>,
    ) {
        let retention = self.tombstone_retention;
        if silent_since.is_some_and(|since| now.saturating_sub(since) >= retention) {
            return;
        }
        let counted = self
            .others
            .entry(region.to_string())
            .or_insert(CountedRegion {
                size,
                peak: PeakPlaces::default(),
                silent_since,
            });
        counted.size = size;
        counted.peak.update(now, size.places, retention);
        // The retention time starts at the earliest report of this silence.
        let earliest = |since: Nanos| {
            counted
                .silent_since
                .map_or(since, |earlier| earlier.min(since))
        };
        counted.silent_since = silent_since.map(earliest);
    }

    /// Marks regions that are no longer reported as silent from now on.
    pub fn silence_unreported(&mut self, now: Nanos, is_reported: impl Fn(&str) -> bool) {
        for (name, region) in &mut self.others {
            if !is_reported(name) {
                region.silent_since.get_or_insert(now);
            }
        }
    }

    /// Returns the current share count; `own` is the size of this member's region.
    pub fn count(&mut self, now: Nanos, own: RegionSize) -> usize {
        self.own_peak
            .update(now, own.places, self.tombstone_retention);
        self.remove_expired_regions(now);
        let drops_at_once = is_injected(InjectedFault::DropsSilentRegionsImmediately);
        let mut alive = own.alive;
        let mut counted = own.places;
        let mut all_places = self.own_peak.places;
        for region in self.others.values() {
            all_places += region.peak.places;
            match region.silent_since {
                None => {
                    alive += region.size.alive;
                    counted += region.size.places;
                }
                Some(since) if now.saturating_sub(since) < self.share_retention => {
                    counted += if drops_at_once { 0 } else { region.size.places };
                }
                Some(_) => {}
            }
        }
        let has_majority = 2 * alive > all_places || drops_at_once;
        self.last_count = if has_majority {
            counted
        } else {
            self.last_count.max(counted)
        };
        self.last_count
    }

    fn remove_expired_regions(&mut self, now: Nanos) {
        let retention = self.tombstone_retention;
        let mut removed_places = 0;
        self.others.retain(|_, region| {
            let is_kept = region
                .silent_since
                .is_none_or(|since| now.saturating_sub(since) < retention);
            removed_places += if is_kept { 0 } else { region.size.places };
            is_kept
        });
        self.last_count = self.last_count.saturating_sub(removed_places).max(1);
    }
}
