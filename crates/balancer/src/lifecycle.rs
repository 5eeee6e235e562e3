//! The life cycle, without I/O: it is told what happens and when, and what the doors say and do follows from it alone.

use crate::timers::MS;
use routing::Nanos;

/// How long client connections stay open in a drain: a front that asks ten times a second and takes 0.2 s to turn away
/// has done so by then, and whoever is sent away sooner only comes back.
const TURN_AWAY: Nanos = 400 * MS;
/// How long new connections are taken after a request to stop: they keep coming for up to 0.4 s. By the protocol what comes
/// later than this must be answered before the process is killed.
const ACCEPT_ON: Nanos = 700 * MS;

/// How long commands are taken from a connection that is to close, as long as it never stands idle: who sends without
/// end would keep it open for good. An end may leave less time.
const TAKE_ON: Nanos = 1_500 * MS;

/// By the protocol a process is killed no sooner than `ACCEPT_ON` and the longest deadline after the request to stop; a
/// deadline that is longer than this counts as this.
const DEADLINE_MOST: Nanos = 3_000 * MS;
/// All that is taken in an end is answered this long before that.
const KILL_MARGIN: Nanos = 100 * MS;

/// What becomes of those who connect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerMode {
    /// They are let in.
    Open,
    /// They wait, or go to the other process that shares the socket.
    Waits,
    /// The door is closed for good; who waits at it is let in before.
    Closed,
    /// The door is left, with those who wait at it, to the other process; for good unless that one dies meanwhile.
    Left,
}

impl ListenerMode {
    /// Nobody is let in here: who comes waits, or is the other process's.
    pub fn is_others(self) -> bool {
        matches!(self, ListenerMode::Waits | ListenerMode::Left)
    }
}

/// What follows for client connections at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LifecyclePolicy {
    /// The state's name, as logs, operators and clients read it.
    pub state: &'static str,
    /// `PING` is answered with a yes.
    pub ready: bool,
    /// New connections are taken, or not now, or never again.
    pub door: ListenerMode,
    /// A connection is closed once nothing is owed on it.
    pub closes_idle: bool,
    /// Commands are taken from open connections.
    pub takes: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// There is no list of caches yet, or there is but what another process knows is still waited for.
    Starting {
        listed: bool,
    },
    Serving,
    /// Drained by the operators since then; whether there is a list.
    Quiesced {
        since: Nanos,
        listed: bool,
    },
    /// Asked to stop at that time.
    Ending {
        since: Nanos,
    },
}

/// Where a process stands between its start and its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lifecycle {
    state: State,
    /// The clients' socket is the platform's, and other processes may take from it.
    shared: bool,
    /// One that serves clients does so now.
    other_serves: bool,
    /// What it knows is waited for.
    waits: bool,
    /// How long after a request to stop the last answer is given.
    last_answer: Nanos,
}

/// Why a call of the operators changes nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResumeConflict;

impl Lifecycle {
    /// A process that has just started, on a socket that is its own or shared; the longest time that a client waits for
    /// an answer.
    pub fn new(shared: bool, longest_deadline: Nanos) -> Self {
        let last_answer = longest_deadline.min(DEADLINE_MOST) + ACCEPT_ON - KILL_MARGIN;
        let state = State::Starting { listed: false };
        Lifecycle {
            state,
            shared,
            other_serves: false,
            waits: false,
            last_answer,
        }
    }

    /// By when what is taken now is answered, whatever its client's patience: the process may be killed then.
    pub fn answer_by(&self) -> Option<Nanos> {
        match self.state {
            State::Ending { since } => Some(since + self.last_answer),
            _ => None,
        }
    }

    /// How long commands are taken from a connection that is to close.
    fn take_on(&self) -> Nanos {
        match self.state {
            State::Ending { .. } => TAKE_ON.min(self.last_answer),
            _ => TAKE_ON,
        }
    }

    /// Whether another process that shares the socket serves clients.
    pub fn set_other_serves(&mut self, serves: bool) {
        self.other_serves = serves;
    }

    /// What another process knows is waited for, or no longer.
    pub fn set_waits(&mut self, waits: bool) {
        self.waits = waits;
        self.settle();
    }

    /// There is a list of caches.
    pub fn listed(&mut self) {
        if let State::Starting { listed } | State::Quiesced { listed, .. } = &mut self.state {
            *listed = true;
        }
        self.settle();
    }

    fn settle(&mut self) {
        if self.state == (State::Starting { listed: true }) && !self.waits {
            self.state = State::Serving;
        }
    }

    /// The operators drain the process. Said again, it changes nothing.
    pub fn quiesce(&mut self, now: Nanos) {
        let listed = match self.state {
            State::Starting { listed } => listed,
            State::Serving => true,
            State::Quiesced { .. } | State::Ending { .. } => return,
        };
        self.state = State::Quiesced { since: now, listed };
    }

    /// The operators end the drain. An end can't be taken back: clients have been sent away for good.
    pub fn resume(&mut self) -> Result<(), ResumeConflict> {
        match self.state {
            State::Quiesced { listed, .. } => self.state = State::Starting { listed },
            State::Starting { .. } | State::Serving => {}
            State::Ending { .. } => return Err(ResumeConflict),
        }
        self.settle();
        Ok(())
    }

    /// The process is asked to stop. Tells whether that is news.
    pub fn stop(&mut self, now: Nanos) -> bool {
        let news = !matches!(self.state, State::Ending { .. });
        if news {
            self.state = State::Ending { since: now };
        }
        news
    }

    /// Whether `PING` and health say yes.
    pub fn is_ready(&self) -> bool {
        self.state == State::Serving
    }

    /// The state's name, as logs and operators read it.
    pub fn name(&self) -> &'static str {
        match self.state {
            State::Starting { .. } => "starting",
            State::Serving => "serving",
            State::Quiesced { .. } => "quiesced",
            State::Ending { .. } => "ending",
        }
    }

    /// What follows for client connections. In a drain new ones are taken, for the front goes on asking.
    pub fn stance(&self, now: Nanos) -> LifecyclePolicy {
        let theirs = self.shared && self.other_serves;
        let (door, closes_idle) = match self.state {
            // On a shared socket a client that isn't answered yet is better off with the other, or in the queue.
            State::Starting { .. } if self.shared => (ListenerMode::Waits, false),
            State::Starting { .. } | State::Serving => (ListenerMode::Open, false),
            State::Quiesced { since, .. } => (
                if theirs {
                    ListenerMode::Waits
                } else {
                    ListenerMode::Open
                },
                now >= since + TURN_AWAY,
            ),
            State::Ending { .. } if theirs => (ListenerMode::Left, true),
            State::Ending { since } if now < since + ACCEPT_ON => (ListenerMode::Open, true),
            State::Ending { .. } => (ListenerMode::Closed, true),
        };
        let takes = self
            .since()
            .is_none_or(|since| now < since + self.take_on());
        LifecyclePolicy {
            state: self.name(),
            ready: self.is_ready(),
            door,
            closes_idle,
            takes,
        }
    }

    /// Since when clients are sent away, if they are.
    fn since(&self) -> Option<Nanos> {
        match self.state {
            State::Starting { .. } | State::Serving => None,
            State::Quiesced { since, .. } | State::Ending { since } => Some(since),
        }
    }

    /// When, if at all, something changes by time alone.
    pub fn due(&self, now: Nanos) -> Option<Nanos> {
        let since = self.since()?;
        let mut parts = [TURN_AWAY, ACCEPT_ON, self.take_on()];
        parts.sort_unstable();
        parts
            .into_iter()
            .map(|part| since + part)
            .find(|at| *at > now)
    }

    /// Whether the process may end, with or without clients connected.
    pub fn is_over(&self, now: Nanos, clients: bool) -> bool {
        matches!(self.state, State::Ending { .. })
            && matches!(
                self.stance(now).door,
                ListenerMode::Closed | ListenerMode::Left
            )
            && !clients
    }
}

#[cfg(test)]
mod tests;
