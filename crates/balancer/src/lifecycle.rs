//! The lifecycle of the process, without I/O: starting, serving, quiesced, ending. It is notified
//! of what happens and when; what the listeners answer and do follows from it alone.

use crate::timers::MS;
use routing::Nanos;

/// How long idle client connections stay open once the process drains: a load balancer in front
/// that checks health ten times a second and takes 0.2 s to redirect clients has done so by then. A
/// client that is disconnected sooner only comes back.
const IDLE_CLOSE_DELAY: Nanos = 400 * MS;
/// How long new connections are accepted after a request to stop: they keep coming for up to 0.4 s.
/// By the protocol what comes later has to be answered before the process is killed.
const ACCEPT_TIME_WHILE_ENDING: Nanos = 700 * MS;
/// How long commands are accepted on a connection that is to close as soon as it is idle: a client
/// that sends without pause would keep it open for good. A shutdown may leave less time.
const COMMAND_INTAKE_TIME: Nanos = 1_500 * MS;
/// By the protocol a process is killed no sooner than `ACCEPT_TIME_WHILE_ENDING` and the longest
/// client timeout after the request to stop. A longer client timeout than this counts as this.
const CLIENT_TIMEOUT_MAX: Nanos = 3_000 * MS;
/// The last answer is given this long before that.
const KILL_MARGIN: Nanos = 100 * MS;

/// What becomes of clients that connect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerMode {
    /// They are accepted.
    Open,
    /// They wait, or go to the other process that shares the socket.
    Paused,
    /// The socket is closed for good; those in its backlog are accepted before.
    Closed,
    /// The socket and its backlog are left to the other process; for good, unless that one dies
    /// meanwhile.
    HandedOver,
}

impl ListenerMode {
    /// Nobody is accepted here: clients wait, or are the other process's.
    #[must_use]
    pub fn is_left_to_other_process(self) -> bool {
        matches!(self, ListenerMode::Paused | ListenerMode::HandedOver)
    }
}

/// What follows for client connections at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LifecyclePolicy {
    /// The state's name in logs, admin responses and `PING`.
    pub state: &'static str,
    /// `PING` is answered with `PONG`.
    pub ready: bool,
    /// Whether new connections are accepted.
    pub listener_mode: ListenerMode,
    /// A connection is closed once nothing is owed on it.
    pub closes_idle: bool,
    /// Commands are accepted on open connections.
    pub accepts_commands: bool,
}

/// Whether other processes may accept from the client listener's socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketOwnership {
    /// This process has opened it.
    Exclusive,
    /// The platform has opened it, and hands it to each process of this balancer.
    Shared,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LifecycleState {
    /// There is no endpoint list yet, or there is one but the state of another process is awaited.
    Starting {
        listed: bool,
    },
    Serving,
    /// Drained by an operator since then; whether there is an endpoint list.
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
    socket: SocketOwnership,
    /// Another process of this balancer serves clients.
    other_serves: bool,
    /// The state of another process is awaited.
    awaiting_snapshot: bool,
    /// How long after a request to stop the last answer is given.
    longest_answer_time: Nanos,
}

/// The process is ending, and can't resume.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the process is ending")]
pub struct ResumeConflict;

impl Lifecycle {
    /// A process that has just started; no client waits longer for an answer than
    /// `longest_client_timeout`.
    #[must_use]
    pub fn new(socket: SocketOwnership, longest_client_timeout: Nanos) -> Self {
        let client_timeout = longest_client_timeout.min(CLIENT_TIMEOUT_MAX);
        Lifecycle {
            state: LifecycleState::Starting { listed: false },
            socket,
            other_serves: false,
            awaiting_snapshot: false,
            longest_answer_time: client_timeout + ACCEPT_TIME_WHILE_ENDING - KILL_MARGIN,
        }
    }

    /// While the process ends: by when open requests are answered, whatever their client timeouts.
    /// The process may be killed then.
    #[must_use]
    pub fn answer_deadline(&self) -> Option<Nanos> {
        match self.state {
            LifecycleState::Ending { since } => Some(since + self.longest_answer_time),
            _ => None,
        }
    }

    /// How long commands are accepted on a connection that is to close.
    fn command_intake_time(&self) -> Nanos {
        match self.state {
            LifecycleState::Ending { .. } => COMMAND_INTAKE_TIME.min(self.longest_answer_time),
            _ => COMMAND_INTAKE_TIME,
        }
    }

    /// Notes whether another process that shares the socket serves clients.
    pub fn set_other_serves(&mut self, serves: bool) {
        self.other_serves = serves;
    }

    /// Notes whether the state of another process is awaited.
    pub fn set_awaiting_snapshot(&mut self, awaiting: bool) {
        self.awaiting_snapshot = awaiting;
        self.serve_if_ready();
    }

    /// Notes that there is an endpoint list.
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

    /// Drains the process by an operator's command. A second time changes nothing.
    pub fn quiesce(&mut self, now: Nanos) {
        let listed = match self.state {
            LifecycleState::Starting { listed } => listed,
            LifecycleState::Serving => true,
            LifecycleState::Quiesced { .. } | LifecycleState::Ending { .. } => return,
        };
        self.state = LifecycleState::Quiesced { since: now, listed };
    }

    /// Ends a drain by an operator's command.
    ///
    /// # Errors
    /// If the process is ending: clients have been disconnected for good.
    pub fn resume(&mut self) -> Result<(), ResumeConflict> {
        match self.state {
            LifecycleState::Quiesced { listed, .. } => {
                self.state = LifecycleState::Starting { listed };
            }
            LifecycleState::Starting { .. } | LifecycleState::Serving => {}
            LifecycleState::Ending { .. } => return Err(ResumeConflict),
        }
        self.serve_if_ready();
        Ok(())
    }

    /// Begins the end of the process. False if it is ending already.
    pub fn stop(&mut self, now: Nanos) -> bool {
        let is_first = !matches!(self.state, LifecycleState::Ending { .. });
        if is_first {
            self.state = LifecycleState::Ending { since: now };
        }
        is_first
    }

    /// Whether `PING` and the health endpoint say that it serves.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.state == LifecycleState::Serving
    }

    /// The state's name in logs and admin responses.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self.state {
            LifecycleState::Starting { .. } => "starting",
            LifecycleState::Serving => "serving",
            LifecycleState::Quiesced { .. } => "quiesced",
            LifecycleState::Ending { .. } => "ending",
        }
    }

    /// What follows for client connections now.
    #[must_use]
    pub fn policy(&self, now: Nanos) -> LifecyclePolicy {
        LifecyclePolicy {
            state: self.name(),
            ready: self.is_ready(),
            listener_mode: self.listener_mode(now),
            closes_idle: self.closes_idle(now),
            accepts_commands: self
                .draining_since()
                .is_none_or(|since| now < since + self.command_intake_time()),
        }
    }

    fn listener_mode(&self, now: Nanos) -> ListenerMode {
        let is_shared = self.socket == SocketOwnership::Shared;
        let is_others = is_shared && self.other_serves;
        match self.state {
            // A client that can't be answered yet is better off with the other process, or in the
            // backlog.
            LifecycleState::Starting { .. } if is_shared => ListenerMode::Paused,
            LifecycleState::Quiesced { .. } if is_others => ListenerMode::Paused,
            // Quiesced it still accepts: health checks come on new connections.
            LifecycleState::Starting { .. }
            | LifecycleState::Serving
            | LifecycleState::Quiesced { .. } => ListenerMode::Open,
            LifecycleState::Ending { .. } if is_others => ListenerMode::HandedOver,
            LifecycleState::Ending { since } if now < since + ACCEPT_TIME_WHILE_ENDING => {
                ListenerMode::Open
            }
            LifecycleState::Ending { .. } => ListenerMode::Closed,
        }
    }

    fn closes_idle(&self, now: Nanos) -> bool {
        match self.state {
            LifecycleState::Starting { .. } | LifecycleState::Serving => false,
            LifecycleState::Quiesced { since, .. } => now >= since + IDLE_CLOSE_DELAY,
            LifecycleState::Ending { .. } => true,
        }
    }

    /// Since when the process drains, if it does.
    fn draining_since(&self) -> Option<Nanos> {
        match self.state {
            LifecycleState::Starting { .. } | LifecycleState::Serving => None,
            LifecycleState::Quiesced { since, .. } | LifecycleState::Ending { since } => {
                Some(since)
            }
        }
    }

    /// When the policy changes next by time alone, if it does.
    #[must_use]
    pub fn next_change(&self, now: Nanos) -> Option<Nanos> {
        let since = self.draining_since()?;
        [
            IDLE_CLOSE_DELAY,
            ACCEPT_TIME_WHILE_ENDING,
            self.command_intake_time(),
        ]
        .into_iter()
        .map(|delay| since + delay)
        .filter(|at| *at > now)
        .min()
    }

    /// Whether the process may exit, with this many client connections open.
    #[must_use]
    pub fn is_finished(&self, now: Nanos, open_connections: usize) -> bool {
        matches!(self.state, LifecycleState::Ending { .. })
            && matches!(
                self.listener_mode(now),
                ListenerMode::Closed | ListenerMode::HandedOver
            )
            && open_connections == 0
    }
}

#[cfg(test)]
mod tests;
