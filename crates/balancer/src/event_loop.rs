//! The event loop. One turn decides on what the previous one read, polls the sockets, and processes
//! what is ready, which yields the events of the next turn.

mod admin;
mod admission;
mod configuration;
mod decisions;
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
use polling::Events;
use routing::Event;
use signals::SignalPipes;
use std::collections::VecDeque;
use std::io::{self, Write};
use std::time::Duration;
use turn_meter::TurnMeter;

/// The event loop failed at run time.
#[derive(Debug, thiserror::Error)]
#[error("waiting: {0}")]
pub struct PollError(#[from] io::Error);

/// The balancer at run time: all state that a turn reads and changes.
pub struct EventLoop {
    /// The configuration in force, but for the known endpoint list, which is taken out at the
    /// start.
    config: Config,
    clock: Clock,
    poll: Poll,
    timers: Timers,
    counters: Counters,
    engine: EngineAdapter,
    /// What has happened and the engine has not handled yet.
    pending_events: Vec<Event>,
    listener: RespListener,
    discovery: DiscoveryClient,
    upstream_pool: UpstreamPool,
    attempt_tracker: AttemptTracker,
    /// Jobs with an established connection of which nothing is written yet.
    connected_jobs: VecDeque<UpstreamJob>,
    /// How many turns in a row some of these have waited for a recent poll.
    postponed_turns: u32,
    signals: SignalPipes,
    /// When the sockets were last polled.
    poll_timestamps: PollTimestamps,
    turn_meter: TurnMeter,
    /// After a stall: how many more polls attempts wait for discovery messages that came meanwhile.
    catch_up_polls_left: u32,
    /// Bytes that requests and responses may hold together.
    memory_limit: usize,
    open_requests_max: usize,
    lifecycle: Lifecycle,
    admin_listener: Option<AdminListener>,
    /// Membership in a fleet, if one is configured.
    gossip: Option<GossipTransport>,
    /// This process and its possible other one during a hot restart.
    process_slots: Option<ProcessSlots>,
    hot_restart: HotRestart,
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

    /// Waits for ready sockets.
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

    /// How long to wait for sockets: not at all while work is left.
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

    /// Prints on standard output, so that no choice of log level hides the counters.
    fn print_counters(&self) {
        // Nobody may be reading any more; that is no reason to fail.
        let _ = writeln!(io::stdout(), "{}", self.counters);
        if let Some(gossip) = &self.gossip {
            let _ = writeln!(io::stdout(), "{gossip}");
        }
    }
}

#[cfg(test)]
mod tests;
