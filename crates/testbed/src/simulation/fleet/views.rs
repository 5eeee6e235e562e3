//! Comparison of the members' views with the actual state of the fleet.

use super::{SimulatedFleet, address, region_name};
use membership::{Member, MemberStatus, ServingPhase};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

impl SimulatedFleet {
    /// Returns whether the views of all running members are correct: each lists all other running
    /// members of its region as serving with their current generation, no other member as present,
    /// and for each other region the number of running members.
    pub fn converged(&self) -> bool {
        self.converged_by_side(|_| 0)
    }

    /// Returns whether the views are correct in a partitioned fleet: each member is expected to see
    /// its own side only. `side` maps a slot to its side. The check starts at the member whose view
    /// was wrong last time, so that in a fleet that has not converged it usually examines one view
    /// instead of all.
    pub fn converged_by_side(&self, side: impl Fn(usize) -> usize) -> bool {
        let count = self.slots.len();
        let running = self.running_by_region(&side);
        let is_wrong = |n: &usize| !self.has_correct_view(*n, &side, &running);
        match (0..count)
            .map(|i| (self.last_wrong_member.get() + i) % count)
            .find(is_wrong)
        {
            Some(n) => {
                self.last_wrong_member.set(n);
                false
            }
            None => true,
        }
    }

    /// Returns the number of running members by region and side.
    fn running_by_region(&self, side: impl Fn(usize) -> usize) -> HashMap<(usize, usize), usize> {
        let mut running: HashMap<(usize, usize), usize> = HashMap::new();
        for n in self.running() {
            *running.entry((self.slots[n].region, side(n))).or_default() += 1;
        }
        running
    }

    /// Returns whether all running members of a region have correct member lists of that region.
    pub fn region_converged(&self, region: usize, side: impl Fn(usize) -> usize) -> bool {
        let running = self.running_by_region(&side);
        (0..self.slots.len())
            .filter(|n| self.slots[*n].region == region)
            .all(|n| self.member_list_is_correct(n, &side, &running))
    }

    /// Returns whether the member in slot `n` has a correct view; true if none runs there.
    fn has_correct_view(
        &self,
        n: usize,
        side: impl Fn(usize) -> usize,
        running: &HashMap<(usize, usize), usize>,
    ) -> bool {
        self.member_list_is_correct(n, &side, running)
            && self.region_list_is_correct(n, &side, running)
    }

    /// Returns whether a member's list of its own region is correct.
    fn member_list_is_correct(
        &self,
        n: usize,
        side: impl Fn(usize) -> usize,
        running: &HashMap<(usize, usize), usize>,
    ) -> bool {
        let Some(member) = &self.slots[n].member else {
            return true;
        };
        let region = self.slots[n].region;
        let expected = running[&(region, side(n))] - 1;
        let mut present = 0;
        let correct = member.members().filter(|seen| {
            present += usize::from(seen.status.is_present());
            // A suspected member whose metadata says that it serves counts as correctly listed:
            // with datagram loss, members are suspected now and then and refute it soon afterwards.
            let serves = seen
                .metadata
                .as_ref()
                .is_some_and(|metadata| metadata.phase == ServingPhase::Serving);
            let status_is_correct = seen.status == MemberStatus::Serving
                || seen.status == MemberStatus::Stalled && serves;
            let slot = self
                .slot_by_address
                .get(&seen.id.address)
                .copied()
                .filter(|m| side(*m) == side(n));
            let id = slot
                .and_then(|m| self.slots[m].member.as_ref())
                .map(Member::id);
            status_is_correct && id == Some(seen.id)
        });
        correct.count() == expected && present == expected
    }

    /// Returns whether a member's rows of other regions are correct: for each other region on its
    /// side, one row with the number of running members, and no further row. Rows of silent
    /// regions are ignored.
    fn region_list_is_correct(
        &self,
        n: usize,
        side: impl Fn(usize) -> usize,
        running: &HashMap<(usize, usize), usize>,
    ) -> bool {
        let Some(member) = &self.slots[n].member else {
            return true;
        };
        let (own_region, side) = (self.slots[n].region, side(n));
        let alive_by_region: HashMap<&str, usize> = member
            .other_regions()
            .filter(|(_, silent_since)| silent_since.is_none())
            .map(|(row, _)| (row.region.as_str(), row.alive as usize))
            .collect();
        let expected_rows = running
            .iter()
            .filter(|((region, region_side), _)| *region != own_region && *region_side == side);
        let mut count = 0;
        let all_match =
            expected_rows
                .inspect(|_| count += 1)
                .all(|((region, _), running_count)| {
                    alive_by_region.get(region_name(*region).as_str()) == Some(running_count)
                });
        !self.has_regions || all_match && alive_by_region.len() == count
    }

    /// Counts the pairs of members in which one has a wrong view of the other, by the kind of
    /// error.
    pub fn count_wrong_views(&self) -> BTreeMap<&'static str, usize> {
        let mut counts = BTreeMap::new();
        for n in self.running() {
            let Some(member) = &self.slots[n].member else {
                continue;
            };
            let seen: HashMap<SocketAddr, &membership::MemberView> = member
                .members()
                .map(|seen| (seen.id.address, seen))
                .collect();
            for (m, slot) in self.slots.iter().enumerate().filter(|(m, _)| *m != n) {
                let error = match (&slot.member, seen.get(&address(m))) {
                    (Some(_), None) => "missing",
                    (None, Some(seen)) if seen.status.is_present() => {
                        "dead member listed as present"
                    }
                    (Some(member), Some(seen))
                        if seen.id != member.id() && seen.status.is_present() =>
                    {
                        "older generation listed as present"
                    }
                    (Some(member), Some(seen)) if seen.id != member.id() => {
                        "older generation listed as dead"
                    }
                    (Some(_), Some(seen)) if seen.metadata.is_none() => "metadata missing",
                    (Some(_), Some(seen)) if seen.status == MemberStatus::Serving => continue,
                    (Some(_), Some(seen)) if seen.status == MemberStatus::Stalled => "suspect",
                    (Some(_), Some(seen)) if seen.status.is_present() => "metadata outdated",
                    (Some(_), Some(_)) => "running member listed as dead",
                    (None, _) => continue,
                };
                *counts.entry(error).or_default() += 1;
            }
        }
        counts
    }
}
