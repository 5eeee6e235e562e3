//! Lifecycle of the process: starting, serving, quiesced, shutting down (reported as `ending`).
//!
//! The state machine does no I/O. It is notified of events with their times, and its policy alone
//! determines what the listeners accept and answer.
//!
//! Contract with the platform: after SIGTERM, SIGKILL follows no sooner than 0.7 s plus the longest
//! client timeout of the deployment, which counts as at most 3 s. Until then clients may continue
//! to send on open connections.

use crate::timers::MS;
use routing::Nanos;

/// Time for which idle client connections stay open after a quiesce. A load balancer in front that
/// checks health ten times a second and takes 0.2 s to redirect clients has done so by then; a
/// client that is disconnected earlier would reconnect to this process.
const IDLE_CLOSE_DELAY: Nanos = 400 * MS;
/// Time for which new connections are accepted after SIGTERM. They are expected for up to 0.4 s;
/// by the contract with the platform, clients that connect later must also be answered before the
/// process is killed.
const ACCEPT_TIME_DURING_SHUTDOWN: Nanos = 700 * MS;
/// Maximum time for which commands are still accepted on connections that are to be closed once
/// idle. Without this limit a client that sends without pause would keep its connection open
/// forever. A shutdown may leave less time.
const COMMAND_INTAKE_TIME: Nanos = 1_500 * MS;
/// Maximum client timeout in the contract with the platform; longer client timeouts count as this
/// one. The process is killed no sooner than `ACCEPT_TIME_DURING_SHUTDOWN` plus the longest client
/// timeout after SIGTERM.
const CLIENT_TIMEOUT_MAX: Nanos = 3_000 * MS;
/// Minimum time between the last answer and the earliest time at which the process may be killed.
const KILL_MARGIN: Nanos = 100 * MS;

/// How the client listener treats new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerMode {
    /// New connections are accepted.
    Open,
    /// New connections stay in the backlog, or are accepted by the other process that shares the
    /// socket.
    Paused,
    /// The socket is closed permanently, after the connections in its backlog were accepted.
    Closed,
    /// The socket and its backlog are left to the other process. This is permanent unless that
    /// process dies before this one exits.
    HandedOver,
}

impl ListenerMode {
    /// Returns whether this process accepts no connections and leaves the socket open for the other
    /// process, or for itself later.
    #[must_use]
    pub fn is_left_to_other_process(self) -> bool {
        matches!(self, ListenerMode::Paused | ListenerMode::HandedOver)
    }
}

/// Policy for client connections that follows from the lifecycle state at a given time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LifecyclePolicy {
    /// Name of the state in logs, admin responses and answers to `PING`.
    pub state: &'static str,
    /// Whether `PING` is answered with `PONG`.
    pub ready: bool,
    /// Whether new connections are accepted.
    pub listener_mode: ListenerMode,
    /// Whether a connection is closed once all of its requests are answered.
    pub closes_idle: bool,
    /// Whether commands are accepted on open connections.
    pub accepts_commands: bool,
}

/// Whether other processes may accept from the client listener's socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketOwnership {
    /// The socket was opened by this process, which alone accepts from it.
    Exclusive,
    /// The socket was opened by the platform, which passes it to each process of this balancer.
    Shared,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LifecycleState {
    /// No endpoint list is loaded yet, or a state transfer from another process is awaited.
    Starting {
        /// Whether an endpoint list is loaded.
        listed: bool,
    },
    Serving,
    /// Drained by an operator.
    Quiesced {
        /// Time of the operator's command.
        since: Nanos,
        /// Whether an endpoint list is loaded.
        listed: bool,
    },
    /// A graceful shutdown is in progress.
    ShuttingDown {
        /// Time at which the shutdown was requested.
        since: Nanos,
    },
}

/// Lifecycle state of the process, with the conditions that its policy depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lifecycle {
    state: LifecycleState,
    socket: SocketOwnership,
    /// Whether another process of this balancer serves clients.
    other_process_serves: bool,
    /// Whether another process is given time to transfer its state or to notice this one.
    awaiting_other_process: bool,
    /// Maximum time from the shutdown request until the last answer.
    longest_answer_time: Nanos,
}

/// The process is shutting down and can't resume.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the process is shutting down and can't resume")]
pub struct ResumeConflict;

impl Lifecycle {
    /// Creates the lifecycle of a process that has just started. `longest_client_timeout` is the
    /// maximum time that a client waits for an answer.
    #[must_use]
    pub fn new(socket: SocketOwnership, longest_client_timeout: Nanos) -> Self {
        let client_timeout = longest_client_timeout.min(CLIENT_TIMEOUT_MAX);
        Lifecycle {
            state: LifecycleState::Starting { listed: false },
            socket,
            other_process_serves: false,
            awaiting_other_process: false,
            longest_answer_time: client_timeout + ACCEPT_TIME_DURING_SHUTDOWN - KILL_MARGIN,
        }
    }

    /// Returns the time by which all open requests must be answered, whatever their client
    /// timeouts, as the process may be killed shortly afterwards. `None` unless the process is
    /// shutting down.
    #[must_use]
    pub fn answer_deadline(&self) -> Option<Nanos> {
        match self.state {
            LifecycleState::ShuttingDown { since } => Some(since + self.longest_answer_time),
            _ => None,
        }
    }

    /// Returns the time for which commands are accepted on connections that are to be closed.
    fn command_intake_time(&self) -> Nanos {
        match self.state {
            LifecycleState::ShuttingDown { .. } => {
                COMMAND_INTAKE_TIME.min(self.longest_answer_time)
            }
            _ => COMMAND_INTAKE_TIME,
        }
    }

    /// Sets whether another process that shares the socket serves clients.
    pub fn set_other_process_serves(&mut self, serves: bool) {
        self.other_process_serves = serves;
    }

    /// Sets whether another process is given time to transfer its state or to notice this one. Once the process serves, this
    /// does not change its state any more.
    pub fn set_awaiting_other_process(&mut self, awaiting: bool) {
        self.awaiting_other_process = awaiting;
        self.serve_if_ready();
    }

    /// Records that an endpoint list is loaded.
    pub fn endpoints_listed(&mut self) {
        if let LifecycleState::Starting { listed } | LifecycleState::Quiesced { listed, .. } =
            &mut self.state
        {
            *listed = true;
        }
        self.serve_if_ready();
    }

    fn serve_if_ready(&mut self) {
        if self.state == (LifecycleState::Starting { listed: true }) && !self.awaiting_other_process
        {
            self.state = LifecycleState::Serving;
        }
    }

    /// Drains the process on an operator's command. No effect if it is already drained or shutting
    /// down.
    pub fn quiesce(&mut self, now: Nanos) {
        let listed = match self.state {
            LifecycleState::Starting { listed } => listed,
            LifecycleState::Serving => true,
            LifecycleState::Quiesced { .. } | LifecycleState::ShuttingDown { .. } => return,
        };
        self.state = LifecycleState::Quiesced { since: now, listed };
    }

    /// Ends a drain on an operator's command.
    ///
    /// # Errors
    /// If the process is shutting down. This can't be undone, as clients are already being
    /// disconnected.
    pub fn resume(&mut self) -> Result<(), ResumeConflict> {
        match self.state {
            LifecycleState::Quiesced { listed, .. } => {
                self.state = LifecycleState::Starting { listed };
            }
            LifecycleState::Starting { .. } | LifecycleState::Serving => {}
            LifecycleState::ShuttingDown { .. } => return Err(ResumeConflict),
        }
        self.serve_if_ready();
        Ok(())
    }

    /// Starts a graceful shutdown. Returns false if one is already in progress.
    pub fn begin_shutdown(&mut self, now: Nanos) -> bool {
        let is_first = !matches!(self.state, LifecycleState::ShuttingDown { .. });
        if is_first {
            self.state = LifecycleState::ShuttingDown { since: now };
        }
        is_first
    }

    /// Returns whether `PING` and the health endpoint report the process as ready.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.state == LifecycleState::Serving
    }

    /// Returns the name of the state in logs and admin responses.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self.state {
            LifecycleState::Starting { .. } => "starting",
            LifecycleState::Serving => "serving",
            LifecycleState::Quiesced { .. } => "quiesced",
            LifecycleState::ShuttingDown { .. } => "ending",
        }
    }

    /// Returns the policy for client connections at `now`.
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
        let other_accepts = is_shared && self.other_process_serves;
        match self.state {
            // This process can't answer clients yet: the other process may, or they wait in the
            // backlog.
            LifecycleState::Starting { .. } if is_shared => ListenerMode::Paused,
            LifecycleState::Quiesced { .. } if other_accepts => ListenerMode::Paused,
            // A quiesced process still accepts, because health checks use new connections.
            LifecycleState::Starting { .. }
            | LifecycleState::Serving
            | LifecycleState::Quiesced { .. } => ListenerMode::Open,
            LifecycleState::ShuttingDown { .. } if other_accepts => ListenerMode::HandedOver,
            LifecycleState::ShuttingDown { since } if now < since + ACCEPT_TIME_DURING_SHUTDOWN => {
                ListenerMode::Open
            }
            LifecycleState::ShuttingDown { .. } => ListenerMode::Closed,
        }
    }

    fn closes_idle(&self, now: Nanos) -> bool {
        match self.state {
            LifecycleState::Starting { .. } | LifecycleState::Serving => false,
            LifecycleState::Quiesced { since, .. } => now >= since + IDLE_CLOSE_DELAY,
            LifecycleState::ShuttingDown { .. } => true,
        }
    }

    /// Returns the time at which the drain by a quiesce or a shutdown started; `None` if the process
    /// is not draining.
    fn draining_since(&self) -> Option<Nanos> {
        match self.state {
            LifecycleState::Starting { .. } | LifecycleState::Serving => None,
            LifecycleState::Quiesced { since, .. } | LifecycleState::ShuttingDown { since } => {
                Some(since)
            }
        }
    }

    /// Returns the next time at which the policy changes without a further event; `None` if only an
    /// event can change it.
    #[must_use]
    pub fn next_change(&self, now: Nanos) -> Option<Nanos> {
        let since = self.draining_since()?;
        [
            IDLE_CLOSE_DELAY,
            ACCEPT_TIME_DURING_SHUTDOWN,
            self.command_intake_time(),
        ]
        .into_iter()
        .map(|delay| since + delay)
        .filter(|at| *at > now)
        .min()
    }

    /// Returns whether the process may exit, given the number of open client connections.
    #[must_use]
    pub fn is_finished(&self, now: Nanos, open_connections: usize) -> bool {
        matches!(self.state, LifecycleState::ShuttingDown { .. })
            && matches!(
                self.listener_mode(now),
                ListenerMode::Closed | ListenerMode::HandedOver
            )
            && open_connections == 0
    }
}

#[cfg(test)]
mod tests;
