//! Comparison of what members see with what is true.

use super::{SimulatedFleet, address, region_name};
use membership::{Member, MemberStatus, ServingPhase};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

impl SimulatedFleet {
    /// Whether all that run see what is true: each other as serving, by their present generation,
    /// and nobody else as there; of other regions the number of those who run.
    pub fn settled(&self) -> bool {
        self.settled_by(|_| 0)
    }

    /// The same where members of different sides don't reach each other. The look begins where the
    /// last one found something untrue: a fleet that is not settled costs one member's view, not
    /// all of them.
    pub fn settled_by(&self, side: impl Fn(usize) -> usize) -> bool {
        let count = self.slots.len();
        let living = self.living(&side);
        let untrue = |n: &usize| !self.has_true_view(*n, &side, &living);
        match (0..count)
            .map(|i| (self.last_wrong_view.get() + i) % count)
            .find(untrue)
        {
            Some(n) => {
                self.last_wrong_view.set(n);
                false
            }
            None => true,
        }
    }

    /// Those who run, by region and side.
    fn living(&self, side: impl Fn(usize) -> usize) -> HashMap<(usize, usize), usize> {
        let mut living: HashMap<(usize, usize), usize> = HashMap::new();
        for n in self.running() {
            *living.entry((self.slots[n].region, side(n))).or_default() += 1;
        }
        living
    }

    /// Whether the members of a region see what is true of each other.
    pub fn region_settled(&self, region: usize, side: impl Fn(usize) -> usize) -> bool {
        let living = self.living(&side);
        (0..self.slots.len())
            .filter(|n| self.slots[*n].region == region)
            .all(|n| self.sees_true_members(n, &side, &living))
    }

    /// Whether a member, if one runs at this place, sees what is true.
    fn has_true_view(
        &self,
        n: usize,
        side: impl Fn(usize) -> usize,
        living: &HashMap<(usize, usize), usize>,
    ) -> bool {
        self.sees_true_members(n, &side, living) && self.sees_true_regions(n, &side, living)
    }

    /// Whether a member sees what is true of its own region.
    fn sees_true_members(
        &self,
        n: usize,
        side: impl Fn(usize) -> usize,
        living: &HashMap<(usize, usize), usize>,
    ) -> bool {
        let Some(member) = &self.slots[n].member else {
            return true;
        };
        let region = self.slots[n].region;
        let with_it = living[&(region, side(n))] - 1;
        let mut there = 0;
        let true_ones = member.members().filter(|seen| {
            there += usize::from(seen.status.is_present());
            // Where datagrams get lost a suspicion that is refuted at once is no error.
            let serves = seen
                .metadata
                .as_ref()
                .is_some_and(|soft| soft.phase == ServingPhase::Serving);
            let right = seen.status == MemberStatus::Serving
                || seen.status == MemberStatus::Stalled && serves;
            let of = self
                .numbers
                .get(&seen.id.address)
                .copied()
                .filter(|m| side(*m) == side(n));
            let id = of
                .and_then(|m| self.slots[m].member.as_ref())
                .map(Member::id);
            right && id == Some(seen.id)
        });
        true_ones.count() == with_it && there == with_it
    }

    /// Whether a member has heard of all other regions on its side, and how many run there.
    fn sees_true_regions(
        &self,
        n: usize,
        side: impl Fn(usize) -> usize,
        living: &HashMap<(usize, usize), usize>,
    ) -> bool {
        let Some(member) = &self.slots[n].member else {
            return true;
        };
        let (own, side) = (self.slots[n].region, side(n));
        let heard: HashMap<&str, usize> = member
            .other_regions()
            .filter(|(_, silent_since)| silent_since.is_none())
            .map(|(row, _)| (row.region.as_str(), row.alive as usize))
            .collect();
        let others = living
            .iter()
            .filter(|((region, of_side), _)| *region != own && *of_side == side);
        let mut count = 0;
        let all = others
            .inspect(|_| count += 1)
            .all(|((region, _), living)| heard.get(region_name(*region).as_str()) == Some(living));
        !self.in_regions || all && heard.len() == count
    }

    /// How many pairs of members are not yet true, by what one holds of the other wrongly.
    pub fn wrong_views(&self) -> BTreeMap<&'static str, usize> {
        let mut all = BTreeMap::new();
        for n in self.running() {
            let Some(member) = &self.slots[n].member else {
                continue;
            };
            let seen: HashMap<SocketAddr, &membership::MemberView> = member
                .members()
                .map(|seen| (seen.id.address, seen))
                .collect();
            for (m, place) in self.slots.iter().enumerate().filter(|(m, _)| *m != n) {
                let what = match (&place.member, seen.get(&address(m))) {
                    (Some(_), None) => "not known",
                    (None, Some(seen)) if seen.status.is_present() => "death not known",
                    (Some(member), Some(seen))
                        if seen.id != member.id() && seen.status.is_present() =>
                    {
                        "older life taken for there"
                    }
                    (Some(member), Some(seen)) if seen.id != member.id() => "older life known dead",
                    (Some(_), Some(seen)) if seen.metadata.is_none() => "record not known",
                    (Some(_), Some(seen)) if seen.status == MemberStatus::Serving => continue,
                    (Some(_), Some(seen)) if seen.status == MemberStatus::Stalled => "suspect",
                    (Some(_), Some(seen)) if seen.status.is_present() => "record too old",
                    (Some(_), Some(_)) => "taken for dead",
                    (None, _) => continue,
                };
                *all.entry(what).or_default() += 1;
            }
        }
        all
    }
}
