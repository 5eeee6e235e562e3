//! The event loop. Each turn passes the pending events to the engine and executes its actions,
//! polls the sockets, and processes the ready ones, which yields the events of the next turn.

mod admin;
mod admission;
mod configuration;
mod decisions;
mod deferred_requests;
mod discovery;
mod dispatch;
mod gossip;
mod hot_restart;
mod lifecycle;
mod limits;
mod readiness;
mod responses;
mod signals;
mod stalls;
mod startup;
mod timeouts;
mod turn_meter;

pub use startup::StartupError;

use crate::attempt_tracker::AttemptTracker;
use crate::config::Config;
use crate::counters::Counters;
use crate::discovery::DiscoveryClient;
use crate::engine_adapter::EngineAdapter;
use crate::forwarded_ids::ForwardedIds;
use crate::gossip::GossipTransport;
use crate::hot_restart::HotRestart;
use crate::lifecycle::Lifecycle;
use crate::listener::admin::AdminListener;
use crate::listener::resp::RespListener;
use crate::poll::{Poll, PollOutcome, Readiness};
use crate::poll_timestamps::{MAX_POLL_WAIT, PollTimestamps};
use crate::process_slots::ProcessSlots;
use crate::timers::{Clock, Timers};
use crate::upstream_pool::{UpstreamJob, UpstreamPool};
use deferred_requests::DeferredRequest;
use polling::Events;
use routing::Event;
use signals::SignalPipes;
use std::collections::VecDeque;
use std::io::{self, Write};
use std::time::Duration;
use turn_meter::TurnMeter;

/// Error in polling the sockets, after which the process can't continue.
#[derive(Debug, thiserror::Error)]
#[error("polling the sockets failed: {0}")]
pub struct PollError(#[from] io::Error);

/// The running balancer, with all state that a turn reads and changes.
pub struct EventLoop {
    /// Configuration in force. Its `stored_endpoint_list` is `None`: the list is moved out at
    /// startup.
    config: Config,
    clock: Clock,
    poll: Poll,
    timers: Timers,
    counters: Counters,
    engine: EngineAdapter,
    /// Events that the engine has not handled yet.
    pending_events: Vec<Event>,
    listener: RespListener,
    discovery: DiscoveryClient,
    upstream_pool: UpstreamPool,
    attempt_tracker: AttemptTracker,
    /// Jobs whose connection is established and whose command is not written yet.
    connected_jobs: VecDeque<UpstreamJob>,
    /// Number of consecutive turns in which connected jobs were postponed for lack of a recent
    /// poll.
    postponed_turns: u32,
    signals: SignalPipes,
    /// Times of the latest polls of the sockets, which bound the arrival times of input.
    poll_timestamps: PollTimestamps,
    turn_meter: TurnMeter,
    /// Number of polls for which attempts are still postponed after a stall; 0 if they are not.
    /// The discovery messages that arrived during the stall are read first, and the postponement
    /// ends early once they are.
    catch_up_polls_left: u32,
    /// Maximum number of bytes that requests and responses may hold together.
    memory_limit: usize,
    open_requests_max: usize,
    lifecycle: Lifecycle,
    admin_listener: Option<AdminListener>,
    /// Membership in a fleet, if one is configured.
    gossip: Option<GossipTransport>,
    /// Slot files shared with the other process of a hot restart; `None` if hot restart is
    /// unavailable.
    process_slots: Option<ProcessSlots>,
    hot_restart: HotRestart,
    /// Ids of forwarded requests that must not run twice.
    forwarded_ids: ForwardedIds,
    /// Requests whose ids are open at another process of a hot restart.
    deferred_requests: VecDeque<DeferredRequest>,
}

impl EventLoop {
    /// Runs until a graceful shutdown is complete.
    ///
    /// # Errors
    /// If the sockets can't be polled.
    pub fn run(mut self) -> Result<(), PollError> {
        let mut events = Events::new();
        let mut ready = Vec::new();
        while !self.is_finished() {
            self.turn(&mut events, &mut ready)?;
        }
        self.leave_fleet();
        self.print_counters();
        Ok(())
    }

    fn turn(&mut self, events: &mut Events, ready: &mut Vec<Readiness>) -> io::Result<()> {
        self.run_decisions();
        self.end_turn();
        let outcome = self.poll_sockets(events, ready)?;
        self.process_ready(ready, outcome);
        Ok(())
    }

    /// Waits for ready sockets and records the time of the poll.
    fn poll_sockets(
        &mut self,
        events: &mut Events,
        ready: &mut Vec<Readiness>,
    ) -> io::Result<PollOutcome> {
        let timeout = self.poll_timeout();
        let started_at = self.clock.now();
        let outcome = self.poll.wait(events, Some(timeout), ready)?;
        self.record_poll(started_at, self.clock.now(), outcome);
        Ok(outcome)
    }

    /// Returns the maximum time to wait for ready sockets: zero while other work is pending.
    fn poll_timeout(&self) -> Duration {
        if self.is_catching_up() || !self.connected_jobs.is_empty() || self.discovery.has_pending()
        {
            return Duration::ZERO;
        }
        let longest = Duration::from_nanos(MAX_POLL_WAIT);
        self.timers
            .time_to_next(self.clock.now())
            .map_or(longest, |wait| wait.min(longest))
    }

    /// Prints the counters on standard output, independent of the log level.
    fn print_counters(&self) {
        // A closed standard output must not end the process.
        let _ = writeln!(io::stdout(), "{}", self.counters);
        if let Some(gossip) = &self.gossip {
            let _ = writeln!(io::stdout(), "{gossip}");
        }
    }
}

#[cfg(test)]
mod tests;
