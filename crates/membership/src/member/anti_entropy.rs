//! What members agree on beyond who is there: lists compared with those of others ([`crate::anti_entropy`]), and the level by
//! which all shed load.

use super::Member;
use super::swim::{GOSSIP, GOSSIP_TO, Runtime};
use crate::anti_entropy::{self as compare, Entry};
use crate::envelope::MessageKind;
use crate::fault_injection::{self, InjectedFault};
use crate::shedding::{AdmissionCounts, LevelReport, SharedShedding};
use crate::{Identity, MS, Nanos};
use rand::RngExt;
use std::net::SocketAddr;

/// Who was heard itself within this needs no question.
const HEARD: Nanos = 1_000 * MS;

impl Member {
    /// What it holds of all others, and of itself.
    pub(super) fn entries(&self) -> impl Iterator<Item = Entry> {
        let own = Entry {
            id: self.id(),
            incarnation: 0,
            down: false,
            record: self.records.sum(&self.id()),
        };
        let others = self.swim.iter_membership_state().map(|m| Entry {
            id: *m.id(),
            incarnation: m.incarnation(),
            down: m.state() == foca::State::Down,
            record: self.records.sum(m.id()),
        });
        std::iter::once(own).chain(others)
    }

    /// Whether it takes this one for there, in this life. Itself it is not among those.
    fn is_there(&self, id: &Identity) -> bool {
        self.swim.iter_members().any(|m| m.id() == id)
    }

    /// Asks one of the others whether it holds the same, if it is time.
    pub(super) fn compare(&mut self) {
        if fault_injection::is_injected(InjectedFault::GossipsRecordsOnce)
            || fault_injection::is_injected(InjectedFault::SkipsAntiEntropy)
            || !self.pace.due(self.now)
        {
            return;
        }
        if !self.may_send() {
            return;
        }
        let Some(to) = self.somebody() else { return };
        self.statistics.digests += 1;
        let question = compare::question(self.id(), &self.sums);
        self.send(to, MessageKind::MemberListDigest, &question);
    }

    /// Another asks.
    pub(super) fn take_compare(&mut self, from: SocketAddr, payload: &[u8]) -> bool {
        let first = self.rng.random_range(0..compare::BUCKETS);
        let answer = compare::answer(payload, self.id(), &self.sums, self.entries(), first);
        let Some((answer, by)) = answer else {
            return false;
        };
        // Who is not held for living is not told of others: it hears by `foca` that it was given up.
        if !self.is_there(&by) || !answer.agrees() && !self.may_send() {
            return true;
        }
        if !answer.agrees() {
            self.pace.stir(self.now);
        }
        self.send(from, MessageKind::MemberListDelta, &compare::write(&answer));
        true
    }

    /// What another holds is taken over as far as it is later, and it is told what it lacks.
    pub(super) fn take_told(&mut self, from: SocketAddr, payload: &[u8]) -> bool {
        let Some(told) = compare::read(payload) else {
            return false;
        };
        if !self.is_there(&told.by) {
            return true;
        }
        if told.agrees() {
            self.pace.agreed();
            return true;
        }
        self.pace.stir(self.now);
        if !told.last
            && self.may_send()
            && let Some(back) = told.lacks(self.id(), self.entries())
        {
            self.send(from, MessageKind::MemberListDelta, &compare::write(&back));
        }
        let (own, most) = (self.settings.address, self.settings.members_max);
        let mut news = Vec::new();
        let mut want = Vec::new();
        for entry in &told.entries {
            let address = entry.id.address;
            if address == own {
                self.named.note(entry.id.generation);
            } else if entry.down && !self.table.knows(&address)
                || self.held.admit(address, most).is_err()
            {
                // A death of somebody unknown is no news; beyond the bound nobody is taken in.
                continue;
            } else if entry.record != 0 && entry.record != self.records.sum(&entry.id) {
                want.push(address);
            }
            // A death that another holds may be one that it saw across a split: whoever is taken for living here is asked
            // first, and refutes. Who was heard just now lives, and of itself a member knows best: it returns.
            let state = match entry.down {
                false => foca::State::Alive,
                true if address == own => foca::State::Down,
                true if self
                    .heard
                    .get(&address)
                    .is_some_and(|at| self.now - *at < HEARD) =>
                {
                    continue;
                }
                true => foca::State::Suspect,
            };
            news.push(foca::Member::new(entry.id, entry.incarnation, state));
        }
        let mut runtime = Runtime::default();
        // Its errors are those of sending.
        let _ = self.swim.apply_many(news.into_iter(), true, &mut runtime);
        self.roster.touch();
        self.carry_out(runtime);
        self.leap();
        for wanted in want.chunks(crate::metadata::WANT_MAX).take(2) {
            let payload = postcard::to_stdvec(wanted).unwrap_or_default();
            self.send(from, MessageKind::MetadataRequest, &payload);
        }
        true
    }
}

/// The level that all shed load by together ([`crate::shedding`]).
impl Member {
    /// Begins to agree on a level with the others; `tiers` is how many the module has.
    pub fn enable_shared_shedding(&mut self, tiers: usize) {
        let id = self.id();
        self.overload = Some(SharedShedding::new(
            tiers,
            id.address,
            id.generation,
            self.now,
        ));
    }

    /// Counts what the module let in and what of it found no room.
    pub fn add_admission_counts(&mut self, tally: AdmissionCounts) {
        if let Some(overload) = &mut self.overload {
            overload.count(tally);
        }
    }

    /// The level, 0 where nothing is shed or none is agreed on.
    pub fn shedding_level(&self) -> f64 {
        self.overload.as_ref().map_or(0.0, SharedShedding::level)
    }

    /// Moves the level, and tells some of the others while there is something to tell.
    pub(super) fn shed(&mut self) {
        let jitter = self.rng.random();
        let Some(overload) = &mut self.overload else {
            return;
        };
        if overload.turn(self.now, jitter) {
            let table = &self.table;
            overload.retain(|address| table.knows(&address));
        }
        if self.now < self.tell_load
            || !overload.is_loud()
            || fault_injection::is_injected(InjectedFault::WithholdsShedLevel)
        {
            return;
        }
        self.tell_load = self.now + GOSSIP;
        let words = postcard::to_stdvec(&overload.words(self.now)).unwrap_or_default();
        for _ in 0..GOSSIP_TO.min(self.swim.num_members()) {
            let Some(to) = self.somebody() else { return };
            self.statistics.level_reports += 1;
            self.send(to, MessageKind::LevelReports, &words);
        }
    }

    /// Others tell of their load, and of what they heard.
    pub(super) fn take_load(&mut self, payload: &[u8]) -> bool {
        let Some(overload) = &mut self.overload else {
            return true;
        };
        let Ok(words) = postcard::from_bytes::<Vec<LevelReport>>(payload) else {
            return false;
        };
        let table = &self.table;
        // One that makes no sense says nothing of the rest.
        words
            .into_iter()
            .filter(|word| table.knows(&word.of))
            .all(|word| overload.hear(self.now, word))
    }
}
