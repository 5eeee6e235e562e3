//! The upper level at one member: who speaks for its region, what delegates tell those of other regions, and what all
//! members of the region hold of the others ([`crate::regions`]).

use super::Member;
use crate::fault_injection::{self, InjectedFault};
use crate::regions::exchange::{DroppedAnnouncements, Exchange};
use crate::regions::overview::{Overview, RegionStatus};
use crate::regions::share_count::{Figures, RegionCount};
use crate::regions::{SILENT_AFTER, delegates};
use crate::{Location, MS, MembershipEvent, MembershipSettings, Nanos, RegionView};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// A member leads only after so long: it would speak for a region that it has not met yet.
const LEAD_AFTER: Nanos = 3_000 * MS;
const NEW: Nanos = 3_000 * MS;
/// The count is taken anew this often, and at each news.
const RECOUNT: Nanos = 200 * MS;

/// When something is due next.
#[derive(Debug)]
pub(super) struct Due {
    pub(super) ask: Nanos,
    pub(super) ask_join: Nanos,
    pub(super) publish: Nanos,
    pub(super) compare: Nanos,
    pub(super) gossip: Nanos,
    pub(super) recount: Nanos,
    pub(super) rejoin: Nanos,
}

/// The upper level of one member.
pub(super) struct Regional {
    pub(super) own: SocketAddr,
    pub(super) location: Location,
    pub(super) forget: Nanos,
    /// Unix time in milliseconds when this member's clock showed 0.
    pub(super) epoch_ms: u64,
    pub(super) started: Nanos,
    pub(super) delegates: Vec<SocketAddr>,
    /// The membership that they were drawn of.
    pub(super) drawn_of: Option<u64>,
    /// While this member is a delegate.
    pub(super) exchange: Option<Exchange>,
    pub(super) leads_since: Option<Nanos>,
    pub(super) former_leader: Option<SocketAddr>,
    pub(super) published: Nanos,
    /// When the overview was last looked at.
    pub(super) written: Nanos,
    pub(super) overview: Overview,
    /// Until then the overview is compared often.
    pub(super) unsure_until: Nanos,
    pub(super) count: RegionCount,
    /// The regions that are heard, as it was last reported.
    pub(super) heard: BTreeMap<String, bool>,
    /// Join addresses that answered from another region.
    pub(super) foreign: BTreeSet<SocketAddr>,
    /// Delegates of other regions that this member was referred to.
    pub(super) referred: Vec<SocketAddr>,
    pub(super) dropped: DroppedAnnouncements,
    pub(super) refused_parts: u64,
    pub(super) due: Due,
}

impl Regional {
    /// The upper level, where the fleet has regions.
    pub(super) fn new(settings: &MembershipSettings, unix_ms: u64, now: Nanos) -> Option<Self> {
        if settings.location.is_none() {
            return None;
        }
        let due = Due {
            ask: now,
            ask_join: now,
            publish: now,
            compare: now,
            gossip: now,
            recount: now,
            rejoin: now,
        };
        Some(Regional {
            own: settings.address,
            location: settings.location.clone(),
            forget: settings.timing.tombstone_retention,
            epoch_ms: unix_ms.saturating_sub(now / MS),
            started: now,
            delegates: Vec::new(),
            drawn_of: None,
            exchange: None,
            leads_since: None,
            former_leader: None,
            published: 0,
            written: 0,
            overview: Overview::default(),
            unsure_until: now + NEW,
            count: RegionCount::new(
                settings.timing.share_retention,
                settings.timing.tombstone_retention,
            ),
            heard: BTreeMap::new(),
            foreign: BTreeSet::new(),
            referred: Vec::new(),
            dropped: DroppedAnnouncements::default(),
            refused_parts: 0,
            due,
        })
    }

    pub(super) fn unix_ms(&self, now: Nanos) -> u64 {
        self.epoch_ms + now / MS
    }

    /// Draws the delegates anew among these members and the own one.
    fn draw(&mut self, now: Nanos, members: u64, living: &[SocketAddr]) {
        if self.drawn_of == Some(members) {
            return;
        }
        let first = self.drawn_of.is_none() || living.is_empty();
        self.drawn_of = Some(members);
        if fault_injection::is_injected(InjectedFault::NeverReplacesDelegates)
            && !first
            && now - self.started > 2 * LEAD_AFTER
        {
            return;
        }
        let former = self.delegates.first().copied();
        self.delegates = delegates::draw(
            &self.location.region,
            living.iter().copied().chain([self.own]),
        );
        if former != self.delegates.first().copied() {
            self.former_leader = former;
        }
        if !self.delegates.contains(&self.own) {
            self.dropped = self.dropped();
            self.exchange = None;
        } else if self.exchange.is_none() {
            self.exchange = Some(Exchange::new(self.own, &self.location.region, self.forget));
        }
        self.leads_since =
            (self.delegates.first() == Some(&self.own)).then(|| self.leads_since.unwrap_or(now));
    }

    /// What was dropped since the start.
    pub(super) fn dropped(&self) -> DroppedAnnouncements {
        let now = self
            .exchange
            .as_ref()
            .map(Exchange::dropped)
            .unwrap_or_default();
        DroppedAnnouncements {
            unsound: self.dropped.unsound + now.unsound,
            outdated: self.dropped.outdated + now.outdated,
            over_capacity: self.dropped.over_capacity + now.over_capacity,
        }
    }

    pub(super) fn leads(&self, now: Nanos) -> bool {
        self.leads_since.is_some() && now.saturating_sub(self.started) >= LEAD_AFTER
    }

    /// The rows of the overview as its leader knows them. Regions that the leader before knew, and this one has not heard
    /// of, are kept: it may just not have been told yet.
    pub(super) fn rows(&self, now: Nanos) -> Vec<RegionStatus> {
        let Some(exchange) = &self.exchange else {
            return Vec::new();
        };
        let known = exchange.regions(now);
        let mut rows: BTreeMap<String, RegionStatus> = BTreeMap::new();
        let led_for = self
            .leads_since
            .map_or(0, |since| now.saturating_sub(since));
        let unknown = self
            .overview
            .rows()
            .filter(|(row, _)| !known.contains_key(row.region.as_str()));
        for (row, silent_since) in unknown {
            let since = match (silent_since, self.leads_since) {
                (Some(since), _) => Some(since),
                (None, Some(since)) if led_for >= SILENT_AFTER => Some(since),
                _ => None,
            };
            if since.is_some_and(|since| now.saturating_sub(since) >= self.forget) {
                continue;
            }
            let silent_s = since.map(|since| (now.saturating_sub(since) / (1_000 * MS)) as u32);
            let authors = if since.is_some() { 0 } else { row.authors };
            rows.insert(
                row.region.clone(),
                RegionStatus {
                    silent_seconds: silent_s,
                    authors,
                    ..row.clone()
                },
            );
        }
        rows.extend(
            known
                .iter()
                .map(|(region, known)| (region.to_string(), RegionStatus::of(region, known, now))),
        );
        rows.into_values().collect()
    }

    /// Whether any other region is known.
    pub(super) fn knows_others(&self, now: Nanos) -> bool {
        let by_exchange = self
            .exchange
            .as_ref()
            .is_some_and(|exchange| !exchange.regions(now).is_empty());
        by_exchange || self.overview.rows().next().is_some()
    }

    /// Delegates of other regions and of the own one, with whether their region is silent.
    pub(super) fn targets(&self, now: Nanos) -> Vec<(SocketAddr, bool)> {
        let mut targets: BTreeMap<SocketAddr, bool> = BTreeMap::new();
        for (row, silent_since) in self.overview.rows() {
            targets.extend(
                row.delegates
                    .iter()
                    .map(|delegate| (*delegate, silent_since.is_some())),
            );
        }
        if let Some(exchange) = &self.exchange {
            let known = exchange.regions(now);
            for (region, delegates) in exchange.delegates() {
                let silent = known
                    .get(region)
                    .is_some_and(|known| known.silent_since.is_some());
                targets.extend(delegates.into_iter().map(|delegate| (delegate, silent)));
            }
        }
        targets.extend(self.referred.iter().map(|delegate| (*delegate, false)));
        targets.extend(self.delegates.iter().map(|delegate| (*delegate, false)));
        targets.remove(&self.own);
        targets.into_iter().collect()
    }

    /// Takes the overview into the count, and reports regions that fell silent or are heard again.
    fn recount(&mut self, now: Nanos, changes: &mut Vec<MembershipEvent>) {
        let mut heard = BTreeMap::new();
        for (row, silent_since) in self
            .overview
            .rows()
            .filter(|(row, _)| row.region != self.location.region)
        {
            let figures = Figures {
                living: row.alive as usize,
                places: row.places as usize,
            };
            self.count.set(now, &row.region, figures, silent_since);
            let is_heard = silent_since.is_none();
            if self.heard.get(&row.region) != Some(&is_heard) {
                changes.push(MembershipEvent::RegionReachability {
                    region: row.region.clone(),
                    reachable: is_heard,
                    alive: row.alive,
                });
            }
            heard.insert(row.region.clone(), is_heard);
        }
        self.count
            .silence_all_but(now, |region| heard.contains_key(region));
        self.heard = heard;
    }
}

impl Member {
    /// Where this balancer runs.
    pub fn location(&self) -> &Location {
        &self.settings.location
    }

    /// Who speaks for the own region, first the leader; empty where there are no regions.
    pub fn delegates(&self) -> &[SocketAddr] {
        self.regional
            .as_ref()
            .map_or(&[], |regional| &regional.delegates)
    }

    /// The other regions by the overview.
    pub fn region_rows(&self) -> impl Iterator<Item = (&RegionStatus, Option<Nanos>)> {
        let rows = self
            .regional
            .iter()
            .flat_map(|regional| regional.overview.rows());
        rows.filter(|(row, _)| row.region != self.settings.location.region)
    }

    /// Announcements that were dropped, and parts of the overview that were refused.
    pub fn regions_dropped(&self) -> (DroppedAnnouncements, u64) {
        let regional = self.regional.as_ref();
        regional.map_or_else(Default::default, |regional| {
            (regional.dropped(), regional.refused_parts)
        })
    }

    /// Announcements held, by a delegate.
    pub fn announcements(&self) -> usize {
        let exchange = self
            .regional
            .as_ref()
            .and_then(|regional| regional.exchange.as_ref());
        exchange.map_or(0, Exchange::len)
    }

    pub(super) fn regions_seen(&self) -> Vec<RegionView> {
        let seen = |(row, silent_since): (&RegionStatus, Option<Nanos>)| RegionView {
            overview: row.clone(),
            silent_since,
        };
        self.region_rows().map(seen).collect()
    }

    pub(super) fn living_elsewhere(&self) -> usize {
        let heard = self
            .region_rows()
            .filter(|(_, silent_since)| silent_since.is_none());
        heard.map(|(row, _)| row.alive as usize).sum()
    }

    pub(super) fn places_elsewhere(&self) -> usize {
        self.region_rows().map(|(row, _)| row.places as usize).sum()
    }

    /// The figures of the own region, as this member counts them.
    pub(super) fn own_figures(&self) -> Figures {
        let living = self.count.living();
        Figures {
            living,
            places: self.table.count().max(living),
        }
    }

    pub(super) fn total_count(&mut self) -> usize {
        let own = self.own_figures();
        match &mut self.regional {
            None => self.table.count(),
            Some(regional) => regional.count.now(self.now, own),
        }
    }

    /// The upper level's turn: what is due is done.
    pub(super) fn regional(&mut self) {
        let Some(regional) = &mut self.regional else {
            return;
        };
        self.roster.refresh(&self.swim);
        regional.draw(self.now, self.roster.mark(), self.roster.living());
        if let Some(exchange) = &mut regional.exchange {
            exchange.turn(self.now);
        }
        self.lead();
        self.ask_regions();
        self.spread_overview();
        self.compare_overview();
        let Some(regional) = &mut self.regional else {
            return;
        };
        if self.now >= regional.due.recount {
            regional.due.recount = self.now + RECOUNT;
            regional.recount(self.now, &mut self.changes);
        }
    }
}
