//! Lists compared with those of others ([`crate::compare`]).

use super::{Member, Runtime};
use crate::compare::{self, Entry};
use crate::envelope::Kind;
use crate::planted::{self, Fault};
use rand::RngExt;
use std::net::SocketAddr;

impl Member {
    /// What it holds of all others, and of itself.
    pub(super) fn entries(&self) -> Vec<Entry> {
        let own = Entry { id: self.id(), incarnation: 0, down: false, record: self.records.sum(&self.id()) };
        let mut entries = vec![own];
        entries.extend(self.swim.iter_membership_state().map(|m| Entry {
            id: *m.id(),
            incarnation: m.incarnation(),
            down: m.state() == foca::State::Down,
            record: self.records.sum(m.id()),
        }));
        entries
    }

    /// Asks one of the others whether it holds the same, if it is time.
    pub(super) fn compare(&mut self) {
        if planted::is(Fault::TellsRecordsOnce) || !self.pace.due(self.now) {
            return;
        }
        let others: Vec<SocketAddr> = self.swim.iter_members().map(|m| m.id().address).collect();
        if others.is_empty() {
            return;
        }
        let to = others[self.rng.random_range(0..others.len())];
        self.traffic.compared += 1;
        let question = compare::question(self.id(), &self.sums);
        self.send(to, Kind::Compare, &question);
    }

    /// Another asks.
    pub(super) fn take_compare(&mut self, from: SocketAddr, payload: &[u8]) -> bool {
        let first = self.rng.random_range(0..compare::BUCKETS);
        let entries = self.entries().into_iter();
        let Some((answer, by)) = compare::answer(payload, self.id(), &self.sums, entries, first) else {
            return false;
        };
        // Who is not held for living is not told of others: it hears by `foca` that it was given up.
        if by.address == self.settings.address || !self.swim.iter_members().any(|m| *m.id() == by) {
            return true;
        }
        if !answer.agrees() {
            self.pace.stir(self.now);
        }
        self.send(from, Kind::Told, &compare::write(&answer));
        true
    }

    /// What another holds is taken over as far as it is later, and it is told what it lacks.
    pub(super) fn take_told(&mut self, from: SocketAddr, payload: &[u8]) -> bool {
        let Some(told) = compare::read(payload) else { return false };
        if told.by.address == self.settings.address || !self.swim.iter_members().any(|m| *m.id() == told.by) {
            return true;
        }
        if told.agrees() {
            self.pace.agreed();
            return true;
        }
        self.pace.stir(self.now);
        if !told.last
            && let Some(back) = told.lacks(self.id(), self.entries().into_iter())
        {
            self.send(from, Kind::Told, &compare::write(&back));
        }
        let (own, most) = (self.settings.address, self.settings.members_max);
        let mut news = Vec::new();
        let mut want = Vec::new();
        for entry in &told.entries {
            let address = entry.id.address;
            if address == own {
                self.named.note(entry.id.generation);
            } else if entry.down && !self.table.knows(&address) || self.held.admit(address, most).is_err() {
                // A death of somebody unknown is no news; beyond the bound nobody is taken in.
                continue;
            } else if entry.record != 0 && entry.record != self.records.sum(&entry.id) {
                want.push(address);
            }
            let state = if entry.down { foca::State::Down } else { foca::State::Alive };
            news.push(foca::Member::new(entry.id, entry.incarnation, state));
        }
        let mut runtime = Runtime::default();
        // Its errors are those of sending.
        let _ = self.swim.apply_many(news.into_iter(), true, &mut runtime);
        self.carry_out(runtime);
        self.leap();
        for wanted in want.chunks(crate::records::WANT_MAX).take(2) {
            let payload = postcard::to_stdvec(wanted).unwrap_or_default();
            self.send(from, Kind::Want, &payload);
        }
        true
    }
}
