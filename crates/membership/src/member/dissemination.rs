//! Metadata records of members: told, passed on and asked for.

use super::Member;
use super::swim::{GOSSIP, GOSSIP_TO, Runtime};
use crate::envelope::MessageKind;
use crate::fault_injection::{self, InjectedFault};
use crate::metadata::{BUILD_MAX, EXTRA_MAX, MemberMetadata, NAME_MAX, ServingPhase, cut};
use crate::{MS, Nanos};
use rand::RngExt;
use std::net::SocketAddr;

/// Records that are no news are told once more this often, to one member.
const ROUND: Nanos = 500 * MS;
/// So many members are told of a leave at once; the others hear of it from them.
const LEAVE_TOLD: usize = 12;

impl Member {
    /// Tells something new of itself, if it is new.
    pub fn update_metadata(&mut self, change: impl FnOnce(&mut MemberMetadata)) {
        let mut soft = self.own.metadata.clone();
        change(&mut soft);
        let soft = bounded(soft);
        if soft != self.own.metadata {
            self.own.metadata = soft;
            self.put_own();
        }
    }

    pub(super) fn put_own(&mut self) {
        self.own.version += 1;
        self.own.member = self.id();
        self.records.put(self.own.clone(), self.swim.num_members());
    }

    pub(super) fn take_records(&mut self, payload: &[u8]) -> bool {
        let swim = &self.swim;
        let known = |address: SocketAddr| {
            let mut all = swim.iter_membership_state();
            all.find(|m| m.id().address == address)
                .map(|m| m.id().generation)
        };
        let taken = self
            .records
            .take(self.settings.address, payload, known, swim.num_members());
        let Some(unknown) = taken else { return false };
        if unknown > 0 {
            self.pace.stir(self.now);
        }
        true
    }

    /// Another asks for records that it lacks.
    pub(super) fn take_want(&mut self, from: SocketAddr, payload: &[u8]) -> bool {
        let Some(answers) = self.records.answer(payload) else {
            return false;
        };
        for answer in answers {
            if self.may_send() {
                self.send(from, MessageKind::MetadataRecords, &answer);
            }
        }
        true
    }

    /// One of the others who are there, at random.
    pub(super) fn somebody(&mut self) -> Option<SocketAddr> {
        let others = self.swim.num_members();
        let chosen = (others > 0).then(|| self.rng.random_range(0..others))?;
        self.swim.iter_members().nth(chosen).map(|m| m.id().address)
    }

    /// Passes records on.
    pub(super) fn spread(&mut self) {
        if self.swim.num_members() == 0 {
            return;
        }
        if self.now >= self.gossip {
            self.gossip = self.now + GOSSIP;
            for _ in 0..GOSSIP_TO {
                if self.records.has_news()
                    && self.may_send()
                    && let Some(to) = self.somebody()
                {
                    self.tell_records(to, false);
                }
            }
        }
        if self.now >= self.round
            && !fault_injection::is_injected(InjectedFault::GossipsRecordsOnce)
        {
            self.round = self.now + ROUND;
            if let Some(to) = self.somebody() {
                self.tell_records(to, true);
            }
        }
        let members = self.roster.mark();
        if let Some(want) =
            self.records
                .want(self.now, members, self.swim.iter_members().map(|m| m.id()))
            && let Some(to) = self.somebody()
        {
            self.send(to, MessageKind::MetadataRequest, &want);
        }
    }

    pub(super) fn tell_records(&mut self, to: SocketAddr, with_round: bool) {
        let payload = self.records.tell(self.settings.address, with_round);
        self.send(to, MessageKind::MetadataRecords, &payload);
    }

    /// Goes, and says so. The member answers nothing from then on; its last outputs are to be sent.
    pub fn leave(&mut self, now: Nanos) {
        self.now = self.now.max(now);
        if self.gone {
            return;
        }
        self.gone = true;
        if fault_injection::is_injected(InjectedFault::LeavesSilently) {
            return;
        }
        self.update_metadata(|soft| soft.phase = ServingPhase::Leaving);
        let own = self.own.member.address;
        let mut others: Vec<SocketAddr> =
            self.swim.iter_members().map(|m| m.id().address).collect();
        for _ in 0..LEAVE_TOLD.min(others.len()) {
            let to = others.swap_remove(self.rng.random_range(0..others.len()));
            let payload = self.records.tell(own, true);
            self.send(to, MessageKind::MetadataRecords, &payload);
        }
        let mut runtime = Runtime::default();
        // The word that it is down goes to a few at a time; some of it gets lost.
        let _ = self.swim.leave_cluster(&mut runtime);
        self.roster.touch();
        self.carry_out(runtime);
    }
}

/// Cuts what is too long.
pub(super) fn bounded(mut soft: MemberMetadata) -> MemberMetadata {
    soft.name = cut(&soft.name, NAME_MAX);
    soft.build = cut(&soft.build, BUILD_MAX);
    soft.extension.truncate(EXTRA_MAX);
    soft
}
