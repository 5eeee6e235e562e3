//! Watchers: beats, questions to silent members, and suspects given up.

use super::Member;
use super::swim::Runtime;
use crate::envelope::MessageKind;
use crate::fault_injection::{self, InjectedFault};
use crate::{Identity, heartbeat, suspicion};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A question of a watcher.
#[derive(Serialize, Deserialize)]
pub(crate) struct Ask {
    pub(crate) by: Identity,
    /// Who is suspect, and by which incarnation; without it only a word is wanted.
    pub(crate) suspect: Option<(Identity, u16)>,
}

impl Member {
    /// A watcher asks whether this member lives. One that is suspect raises its incarnation.
    pub(super) fn take_ask(&mut self, payload: &[u8]) -> bool {
        let Ok(ask) = postcard::from_bytes::<Ask>(payload) else {
            return false;
        };
        if ask.by.address == self.settings.address {
            return true;
        }
        let Some((suspect, incarnation)) = ask.suspect else {
            self.beat(ask.by.address);
            return true;
        };
        if suspect != self.id() || fault_injection::is_injected(InjectedFault::NeverRefutes) {
            return true;
        }
        let mut runtime = Runtime::default();
        let said = foca::Member::new(suspect, incarnation, foca::State::Suspect);
        let _ = self
            .swim
            .apply_many(std::iter::once(said), true, &mut runtime);
        self.roster.touch();
        self.statistics.refutations += 1;
        // Its header carries the new incarnation; the gossip that goes on tells the others.
        let _ = self.swim.announce(ask.by, &mut runtime);
        self.carry_out(runtime);
        true
    }

    /// Listens for whom it watches, and asks and gives up who is suspect.
    pub(super) fn listen(&mut self) {
        self.roster.refresh(&self.swim);
        let (living, suspects) = (self.roster.living(), self.roster.suspects());
        self.watch
            .draw(self.now, living, |address| suspects.contains_key(&address));
        self.suspicions.hold(self.now, suspects);
        let heard = |address: SocketAddr| self.heard.get(&address).copied().unwrap_or(0);
        let (patience, may) = (self.health.patience(), self.health.may_accuse(self.now));
        let steps = self.watch.due(self.now, patience, may, heard);
        let watch = &self.watch;
        let verdicts = self
            .suspicions
            .due(self.now, patience, may, |a| watch.watches(a), heard);
        for step in steps {
            match step {
                heartbeat::Step::Beat(to) => self.beat(to),
                // A suspect is asked below.
                heartbeat::Step::Ask(of) if self.roster.suspects().contains_key(&of) => {}
                heartbeat::Step::Ask(of) => self.ask(of, None),
                heartbeat::Step::Suspect(of) => self.say(of, foca::State::Suspect),
            }
        }
        for step in verdicts {
            match step {
                suspicion::Step::Ask(suspect, incarnation) => {
                    self.ask(suspect.address, Some((suspect, incarnation)));
                }
                suspicion::Step::GiveUp(suspect, _) => self.say(suspect.address, foca::State::Down),
            }
        }
    }

    pub(super) fn beat(&mut self, to: SocketAddr) {
        let payload = postcard::to_stdvec(&self.id()).unwrap_or_default();
        self.send(to, MessageKind::Heartbeat, &payload);
    }

    pub(super) fn ask(&mut self, of: SocketAddr, suspect: Option<(Identity, u16)>) {
        let payload = postcard::to_stdvec(&Ask {
            by: self.id(),
            suspect,
        })
        .unwrap_or_default();
        self.statistics.watcher_probes += 1;
        self.send(of, MessageKind::WatcherProbe, &payload);
    }

    /// Tells all of what a member is, by the word of this one.
    pub(super) fn say(&mut self, of: SocketAddr, state: foca::State) {
        let Some(member) = self.swim.iter_members().find(|m| m.id().address == of) else {
            return;
        };
        let said = foca::Member::new(*member.id(), member.incarnation(), state);
        let mut runtime = Runtime::default();
        // Its errors are those of sending.
        let _ = self
            .swim
            .apply_many(std::iter::once(said), true, &mut runtime);
        self.roster.touch();
        self.carry_out(runtime);
    }
}
