//! By how many balancers shares are divided in a fleet of regions: the rule of [`crate::share_count`], with regions for places.
//!
//! 1. A region that is heard counts with the places that it tells of.
//! 2. One that is silent keeps its places for `hold`.
//! 3. After that they count no more only where the living of all regions that are heard are more than half of all
//!    places that were told of within `forget`. Of any split only one side can be that; the others go on dividing by
//!    what they last divided by.
//! 4. A region that was silent for `forget` is forgotten.
//!
//! Within its region a member counts by the rule for members. Whoever is not on the side that holds more than half of all
//! places divides by half of them at least, whether regions were cut apart or one was cut in two. The sum of all shares
//! is then under 2 through splits shorter than `forget`: 1 on the side with the majority, under 1 on all others.

use crate::Nanos;
use crate::fault_injection::{self, InjectedFault};
use std::collections::BTreeMap;

/// What a region last told of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Figures {
    /// Members that are there.
    pub living: usize,
    /// Members that count.
    pub places: usize,
}

/// The most places within `forget`, and when they were told.
#[derive(Clone, Copy, Debug, Default)]
struct Peak {
    places: usize,
    at: Nanos,
}

impl Peak {
    fn note(&mut self, now: Nanos, places: usize, forget: Nanos) {
        if places >= self.places || now.saturating_sub(self.at) >= forget {
            *self = Peak { places, at: now };
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Region {
    figures: Figures,
    peak: Peak,
    silent_since: Option<Nanos>,
}

/// One member's count of the whole fleet.
#[derive(Clone, Debug)]
pub struct RegionCount {
    others: BTreeMap<String, Region>,
    own_peak: Peak,
    hold: Nanos,
    forget: Nanos,
    /// What was last divided by.
    last: usize,
}

impl RegionCount {
    /// The own region alone.
    pub fn new(hold: Nanos, forget: Nanos) -> Self {
        RegionCount {
            others: BTreeMap::new(),
            own_peak: Peak::default(),
            hold,
            forget,
            last: 1,
        }
    }

    /// Another region is there, or silent since a time.
    pub fn set(&mut self, now: Nanos, region: &str, figures: Figures, silent_since: Option<Nanos>) {
        let forget = self.forget;
        if silent_since.is_some_and(|since| now.saturating_sub(since) >= forget) {
            return;
        }
        let known = self.others.entry(region.to_string()).or_insert(Region {
            figures,
            peak: Peak::default(),
            silent_since,
        });
        known.figures = figures;
        known.peak.note(now, figures.places, forget);
        // Its places are kept from the beginning of its silence, whoever told of it first.
        known.silent_since =
            silent_since.map(|since| known.silent_since.map_or(since, |former| former.min(since)));
    }

    /// Regions that are told of no more are silent from now on.
    pub fn silence_all_but(&mut self, now: Nanos, told: impl Fn(&str) -> bool) {
        for (_, region) in self.others.iter_mut().filter(|(name, _)| !told(name)) {
            region.silent_since.get_or_insert(now);
        }
    }

    /// By how many to divide now. `own` are the figures of the own region.
    pub fn now(&mut self, now: Nanos, own: Figures) -> usize {
        let (hold, forget) = (self.hold, self.forget);
        self.own_peak.note(now, own.places, forget);
        let mut forgotten = 0;
        self.others.retain(|_, region| {
            let keep = region
                .silent_since
                .is_none_or(|since| now.saturating_sub(since) < forget);
            forgotten += if keep { 0 } else { region.figures.places };
            keep
        });
        self.last = self.last.saturating_sub(forgotten).max(1);
        let (mut living, mut counted, mut all) = (own.living, own.places, self.own_peak.places);
        for region in self.others.values() {
            all += region.peak.places;
            match region.silent_since {
                None => {
                    living += region.figures.living;
                    counted += region.figures.places;
                }
                Some(since) if now.saturating_sub(since) < hold => {
                    let at_once =
                        fault_injection::is_injected(InjectedFault::DropsSilentRegionsImmediately);
                    counted += if at_once { 0 } else { region.figures.places };
                }
                Some(_) => {}
            }
        }
        let majority = 2 * living > all
            || fault_injection::is_injected(InjectedFault::DropsSilentRegionsImmediately);
        self.last = if majority {
            counted
        } else {
            self.last.max(counted)
        };
        self.last
    }
}
