//! Counters, printed on `SIGUSR1` and at the end of the process.

use routing::DecisionReason;
use std::fmt;

/// A decision of the engine that has a reason.
#[derive(Clone, Copy)]
pub enum DecisionStep {
    /// The request was rejected.
    Rejected,
    /// The request failed.
    Failed,
    /// The request waits for capacity.
    Queued,
    /// The request was late and got no hedge.
    HedgeSuppressed,
}

impl DecisionStep {
    const ALL: [DecisionStep; 4] = [
        DecisionStep::Rejected,
        DecisionStep::Failed,
        DecisionStep::Queued,
        DecisionStep::HedgeSuppressed,
    ];

    /// Its name in logs and counters.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            DecisionStep::Rejected => "rejected",
            DecisionStep::Failed => "failed",
            DecisionStep::Queued => "queued",
            DecisionStep::HedgeSuppressed => "hedge_suppressed",
        }
    }
}

/// How often each step was taken for each reason.
#[derive(Default)]
pub struct DecisionCounts([[u64; DecisionReason::ALL.len()]; DecisionStep::ALL.len()]);

impl DecisionCounts {
    /// Counts one.
    pub fn count(&mut self, step: DecisionStep, reason: DecisionReason) {
        self.0[step as usize][reason as usize] += 1;
    }
}

/// Those that occurred, as `rejected.origin=3`.
impl fmt::Display for DecisionCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for step in DecisionStep::ALL {
            for reason in DecisionReason::ALL {
                let count = self.0[step as usize][reason as usize];
                if count > 0 {
                    write!(f, " {}.{}={count}", step.name(), reason.name())?;
                }
            }
        }
        Ok(())
    }
}

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// Counts since the start, printed as `name=value` pairs.
        #[derive(Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: u64,)*
            /// Why requests were rejected, failed or queued, and hedges suppressed.
            pub steps: DecisionCounts,
        }

        impl fmt::Display for Counters {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("counters:")?;
                $(write!(f, concat!(" ", stringify!($name), "={}"), self.$name)?;)*
                write!(f, "{}", self.steps)
            }
        }
    };
}

counters! {
    /// Requests that arrived from clients.
    requests,
    /// Commands that are no request: malformed, or lacking a field.
    malformed_commands,
    /// Requests of a class that the settings don't name.
    unknown_class,
    /// Requests with the id of one that is still open.
    duplicate_id,
    /// Requests rejected without asking the engine: the limit of memory or of open requests.
    rejected_at_limits,
    /// Requests whose client timeout was over when they were read.
    expired_when_read,
    /// Clients whose connection was checked right before something was sent for them, as the last
    /// poll was too long ago.
    client_checks,
    /// Of these, clients that had disconnected.
    client_checks_disconnected,
    /// Attempts that waited for the next poll, as the last was too long ago.
    attempts_postponed,
    /// Stalls of the process between two polls.
    stalls,
    /// The longest of these, in milliseconds.
    longest_stall_ms,
    /// Turns of the event loop that took long.
    long_turns,
    /// The longest turn, in microseconds.
    longest_turn_us,
    /// Attempts, the first of each request included.
    attempts,
    /// Attempts made while another of the request was in flight.
    hedges,
    /// Health checks.
    health_checks,
    /// Attempts that were answered.
    attempts_ok,
    /// Attempts that the cache answered with an error.
    attempts_error,
    /// Attempts that the cache rejected.
    attempts_rejected,
    /// Attempts that timed out.
    attempts_timeout,
    /// Attempts whose connection was never established, or broke before all was written.
    attempts_connect_failed,
    /// Attempts whose connection broke after that.
    attempts_reset,
    /// Attempts whose answer is unreadable.
    attempts_unreadable,
    /// Attempts that the cache answered with an error about the request itself.
    attempts_invalid,
    /// Attempts cancelled by the engine.
    attempts_cancelled,
    /// Attempts never sent, for want of time or of a connection.
    attempts_not_sent,
    /// Requests answered with a value or receipt.
    served,
    /// Requests rejected.
    rejected,
    /// Requests failed.
    failed,
    /// Requests whose client disconnected before the answer.
    client_disconnects,
    /// Attempts never sent because the client had disconnected before.
    unsent_after_disconnect,
    /// The longest time between the two, in milliseconds, rounded up.
    longest_unsent_after_disconnect_ms,
    /// Clients found to be disconnected while their connections were not read.
    disconnects_while_unread,
    /// Client connections accepted.
    clients_accepted,
    /// Client connections closed, by either side.
    clients_closed,
    /// Unreadable answers of caches.
    upstream_unreadable,
    /// Of these, those that stalled before their end.
    upstream_stalled,
    /// Long values that were streamed.
    streamed,
    /// Of these, aborted by the cache: the client's connection was closed.
    streams_aborted,
    /// Attempts and health checks without a slot for another connection.
    upstream_slots_exhausted,
    /// Client connections closed for sending nothing, or half a command, for too long.
    clients_incomplete,
    /// Client connections closed for being idle.
    clients_idle,
    /// Upstream connections begun.
    upstream_opened,
    /// Upstream connections closed, by either side.
    upstream_closed,
    /// Messages of discovery.
    discovery_messages,
    /// Lines of the endpoint list that were skipped: of an older version than the line before.
    discovery_outdated_lines,
    /// Calls to discovery.
    discovery_calls,
    /// Calls to discovery that failed or ended.
    discovery_failed,
    /// Of these, given up for being silent.
    discovery_silent,
    /// The longest silence before that, in milliseconds.
    longest_discovery_silence_ms,
    /// Admin calls.
    admin_calls,
    /// Invalid ones: no HTTP, an unknown path, a wrong method, too long.
    admin_calls_invalid,
    /// Admin connections on which no whole call came in time.
    admin_calls_incomplete,
    /// Unfinished admin connections closed for new ones.
    admin_calls_evicted,
    /// Configurations reloaded.
    reloads,
    /// Configurations that were faulty when reloaded; the old one stayed.
    reloads_failed,
}
