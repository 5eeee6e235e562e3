//! The overview of the other regions at one member: passed on and compared within its region.

use super::Member;
use super::swim::GOSSIP;
use crate::envelope::MessageKind;
use crate::fault_injection::{self, InjectedFault};
use crate::regions::overview::{PARTS, Part, Taken};
use crate::{MS, Nanos};
use rand::RngExt;
use std::net::SocketAddr;

/// The overview is compared with that of one other member this often,
const COMPARE: Nanos = 2_000 * MS;
/// and this often while it has just begun, or differed.
pub(super) const COMPARE_NEW: Nanos = 200 * MS;
/// The overview is passed on to so many members at a time.
const GOSSIP_TO: usize = 2;

impl Member {
    /// Passes news of the overview on.
    pub(super) fn spread_overview(&mut self) {
        let others = self.swim.num_members();
        let Some(regional) = &mut self.regional else {
            return;
        };
        if self.now < regional.due.gossip || others == 0 || !regional.overview.has_news() {
            return;
        }
        regional.due.gossip = self.now + GOSSIP;
        for _ in 0..GOSSIP_TO.min(others) {
            let Some(to) = self.somebody() else { return };
            let Some(regional) = &mut self.regional else {
                return;
            };
            let parts = regional.overview.news(self.now);
            if !parts.is_empty() {
                self.tell_overview(to, &parts);
            }
        }
    }

    fn tell_overview(&mut self, to: SocketAddr, parts: &[Part]) {
        let payload = postcard::to_stdvec(parts).unwrap_or_default();
        self.send(to, MessageKind::Overview, &payload);
    }

    /// Asks one of the others whether it holds the same overview, if it is time.
    pub(super) fn compare_overview(&mut self) {
        let Some(regional) = &mut self.regional else {
            return;
        };
        if self.now < regional.due.compare
            || fault_injection::is_injected(InjectedFault::WithholdsOverview)
        {
            return;
        }
        let unsure = self.now < regional.unsure_until;
        regional.due.compare = self.now + if unsure { COMPARE_NEW } else { COMPARE };
        let sums = regional.overview.sums();
        if let Some(to) = self.somebody() {
            self.send(to, MessageKind::OverviewDigest, &sums);
        }
    }

    pub(super) fn take_overview_question(&mut self, from: SocketAddr, sums: &[u8]) -> bool {
        let first = self.rng.random_range(0..PARTS);
        let Some(regional) = &self.regional else {
            return false;
        };
        let Some(parts) = regional.overview.differing(self.now, sums, first) else {
            return false;
        };
        if !parts.is_empty() && self.table.knows(&from) {
            self.tell_overview(from, &parts);
        }
        true
    }

    pub(super) fn take_overview(&mut self, from: SocketAddr, payload: &[u8]) -> bool {
        let Ok(parts) = postcard::from_bytes::<Vec<Part>>(payload) else {
            return false;
        };
        if !self.table.knows(&from) {
            return true;
        }
        let Some(regional) = &mut self.regional else {
            return false;
        };
        let unix_ms = regional.unix_ms(self.now);
        let mut older = Vec::new();
        for part in parts {
            match regional.overview.take(self.now, unix_ms, part) {
                Taken::New => {
                    regional.due.recount = self.now;
                    regional.unsure_until = regional.unsure_until.max(self.now + COMPARE_NEW);
                }
                Taken::Same => {}
                Taken::Older(part) => older.push(part),
                Taken::Refused => regional.refused_parts += 1,
            }
        }
        // One at a time: what else is older is told at the next comparison.
        if let Some(part) = older.pop() {
            self.tell_overview(from, &[part]);
        }
        true
    }
}
