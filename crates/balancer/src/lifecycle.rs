//! The life cycle, without I/O: it is told what happens and when, and what the doors say and do follows from it alone.

use crate::timers::MS;
use routing::Nanos;

/// How long client connections stay open in a drain: a front that asks ten times a second and takes 0.2 s to turn away
/// has done so by then, and whoever is sent away sooner only comes back.
const IDLE_CLOSE_DELAY: Nanos = 400 * MS;
/// How long new connections are taken after a request to stop: they keep coming for up to 0.4 s. By the protocol what comes
/// later than this must be answered before the process is killed.
const ACCEPT_TIME_WHILE_ENDING: Nanos = 700 * MS;

/// How long commands are taken from a connection that is to close, as long as it never stands idle: who sends without
/// end would keep it open for good. An end may leave less time.
const COMMAND_INTAKE_TIME: Nanos = 1_500 * MS;

/// By the protocol a process is killed no sooner than `ACCEPT_TIME_WHILE_ENDING` and the longest deadline after the request to stop; a
/// deadline that is longer than this counts as this.
const CLIENT_TIMEOUT_MAX: Nanos = 3_000 * MS;
/// All that is taken in an end is answered this long before that.
const KILL_MARGIN: Nanos = 100 * MS;

/// What becomes of those who connect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerMode {
    /// They are let in.
    Open,
    /// They wait, or go to the other process that shares the socket.
    Paused,
    /// The door is closed for good; who waits at it is let in before.
    Closed,
    /// The door is left, with those who wait at it, to the other process; for good unless that one dies meanwhile.
    HandedOver,
}

impl ListenerMode {
    /// Nobody is let in here: who comes waits, or is the other process's.
    pub fn is_left_to_other_process(self) -> bool {
        matches!(self, ListenerMode::Paused | ListenerMode::HandedOver)
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
    pub listener_mode: ListenerMode,
    /// A connection is closed once nothing is owed on it.
    pub closes_idle: bool,
    /// Commands are taken from open connections.
    pub accepts_commands: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LifecycleState {
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
    state: LifecycleState,
    /// The clients' socket is the platform's, and other processes may take from it.
    shares_listening_socket: bool,
    /// One that serves clients does so now.
    other_serves: bool,
    /// What it knows is waited for.
    awaiting_snapshot: bool,
    /// How long after a request to stop the last answer is given.
    longest_answer_time: Nanos,
}

/// Why a call of the operators changes nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResumeConflict;

impl Lifecycle {
    /// A process that has just started, on a socket that is its own or shared; the longest time that a client waits for
    /// an answer.
    pub fn new(shared: bool, longest_deadline: Nanos) -> Self {
        let last_answer =
            longest_deadline.min(CLIENT_TIMEOUT_MAX) + ACCEPT_TIME_WHILE_ENDING - KILL_MARGIN;
        let state = LifecycleState::Starting { listed: false };
        Lifecycle {
            state,
            shares_listening_socket: shared,
            other_serves: false,
            awaiting_snapshot: false,
            longest_answer_time: last_answer,
        }
    }

    /// By when what is taken now is answered, whatever its client's patience: the process may be killed then.
    pub fn answer_deadline(&self) -> Option<Nanos> {
        match self.state {
            LifecycleState::Ending { since } => Some(since + self.longest_answer_time),
            _ => None,
        }
    }

    /// How long commands are taken from a connection that is to close.
    fn command_intake_time(&self) -> Nanos {
        match self.state {
            LifecycleState::Ending { .. } => COMMAND_INTAKE_TIME.min(self.longest_answer_time),
            _ => COMMAND_INTAKE_TIME,
        }
    }

    /// Whether another process that shares the socket serves clients.
    pub fn set_other_serves(&mut self, serves: bool) {
        self.other_serves = serves;
    }

    /// What another process knows is waited for, or no longer.
    pub fn set_awaiting_snapshot(&mut self, waits: bool) {
        self.awaiting_snapshot = waits;
        self.serve_if_ready();
    }

    /// There is a list of caches.
    pub fn endpoints_listed(&mut self) {
        if let LifecycleState::Starting { listed } | LifecycleState::Quiesced { listed, .. } =
            &mut self.state
        {
            *listed = true;
        }
        self.serve_if_ready();
    }

    fn serve_if_ready(&mut self) {
        if self.state == (LifecycleState::Starting { listed: true }) && !self.awaiting_snapshot {
            self.state = LifecycleState::Serving;
        }
    }

    /// The operators drain the process. Said again, it changes nothing.
    pub fn quiesce(&mut self, now: Nanos) {
        let listed = match self.state {
            LifecycleState::Starting { listed } => listed,
            LifecycleState::Serving => true,
            LifecycleState::Quiesced { .. } | LifecycleState::Ending { .. } => return,
        };
        self.state = LifecycleState::Quiesced { since: now, listed };
    }

    /// The operators end the drain. An end can't be taken back: clients have been sent away for good.
    pub fn resume(&mut self) -> Result<(), ResumeConflict> {
        match self.state {
            LifecycleState::Quiesced { listed, .. } => {
                self.state = LifecycleState::Starting { listed }
            }
            LifecycleState::Starting { .. } | LifecycleState::Serving => {}
            LifecycleState::Ending { .. } => return Err(ResumeConflict),
        }
        self.serve_if_ready();
        Ok(())
    }

    /// The process is asked to stop. Tells whether that is news.
    pub fn stop(&mut self, now: Nanos) -> bool {
        let news = !matches!(self.state, LifecycleState::Ending { .. });
        if news {
            self.state = LifecycleState::Ending { since: now };
        }
        news
    }

    /// Whether `PING` and health say yes.
    pub fn is_ready(&self) -> bool {
        self.state == LifecycleState::Serving
    }

    /// The state's name, as logs and operators read it.
    pub fn name(&self) -> &'static str {
        match self.state {
            LifecycleState::Starting { .. } => "starting",
            LifecycleState::Serving => "serving",
            LifecycleState::Quiesced { .. } => "quiesced",
            LifecycleState::Ending { .. } => "ending",
        }
    }

    /// What follows for client connections. In a drain new ones are taken, for the front goes on asking.
    pub fn policy(&self, now: Nanos) -> LifecyclePolicy {
        let theirs = self.shares_listening_socket && self.other_serves;
        let (door, closes_idle) = match self.state {
            // On a shared socket a client that isn't answered yet is better off with the other, or in the queue.
            LifecycleState::Starting { .. } if self.shares_listening_socket => {
                (ListenerMode::Paused, false)
            }
            LifecycleState::Starting { .. } | LifecycleState::Serving => {
                (ListenerMode::Open, false)
            }
            LifecycleState::Quiesced { since, .. } => (
                if theirs {
                    ListenerMode::Paused
                } else {
                    ListenerMode::Open
                },
                now >= since + IDLE_CLOSE_DELAY,
            ),
            LifecycleState::Ending { .. } if theirs => (ListenerMode::HandedOver, true),
            LifecycleState::Ending { since } if now < since + ACCEPT_TIME_WHILE_ENDING => {
                (ListenerMode::Open, true)
            }
            LifecycleState::Ending { .. } => (ListenerMode::Closed, true),
        };
        let takes = self
            .draining_since()
            .is_none_or(|since| now < since + self.command_intake_time());
        LifecyclePolicy {
            state: self.name(),
            ready: self.is_ready(),
            listener_mode: door,
            closes_idle,
            accepts_commands: takes,
        }
    }

    /// Since when clients are sent away, if they are.
    fn draining_since(&self) -> Option<Nanos> {
        match self.state {
            LifecycleState::Starting { .. } | LifecycleState::Serving => None,
            LifecycleState::Quiesced { since, .. } | LifecycleState::Ending { since } => {
                Some(since)
            }
        }
    }

    /// When, if at all, something changes by time alone.
    pub fn next_change(&self, now: Nanos) -> Option<Nanos> {
        let since = self.draining_since()?;
        let mut parts = [
            IDLE_CLOSE_DELAY,
            ACCEPT_TIME_WHILE_ENDING,
            self.command_intake_time(),
        ];
        parts.sort_unstable();
        parts
            .into_iter()
            .map(|part| since + part)
            .find(|at| *at > now)
    }

    /// Whether the process may end, with or without clients connected.
    pub fn is_finished(&self, now: Nanos, clients: bool) -> bool {
        matches!(self.state, LifecycleState::Ending { .. })
            && matches!(
                self.policy(now).listener_mode,
                ListenerMode::Closed | ListenerMode::HandedOver
            )
            && !clients
    }
}

#[cfg(test)]
mod tests;
