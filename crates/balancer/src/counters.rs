//! Process counters, printed on `SIGUSR1` and on exit.

use routing::DecisionReason;
use std::fmt;

/// A kind of engine decision that is counted by its reason.
#[derive(Clone, Copy)]
pub enum DecisionStep {
    /// The request was rejected.
    Rejected,
    /// The request failed.
    Failed,
    /// The request was queued until capacity is available.
    Queued,
    /// The attempt exceeded its expected latency, but no hedge was sent.
    HedgeSuppressed,
}

impl DecisionStep {
    const ALL: [DecisionStep; 4] = [
        DecisionStep::Rejected,
        DecisionStep::Failed,
        DecisionStep::Queued,
        DecisionStep::HedgeSuppressed,
    ];

    /// Returns the step's name in logs and counters.
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

/// Number of decisions by step and reason.
#[derive(Default)]
pub struct DecisionCounts([[u64; DecisionReason::ALL.len()]; DecisionStep::ALL.len()]);

impl DecisionCounts {
    /// Counts one decision.
    pub fn count(&mut self, step: DecisionStep, reason: DecisionReason) {
        self.0[step as usize][reason as usize] += 1;
    }
}

/// Formats the counts that are not 0, such as `rejected.origin=3`.
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
        /// Counters since the start of the process, printed as `name=value` pairs.
        #[derive(Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: u64,)*
            /// Numbers of requests rejected, failed and queued, and of hedges suppressed, by reason.
            pub decisions: DecisionCounts,
        }

        impl fmt::Display for Counters {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("counters:")?;
                $(write!(f, concat!(" ", stringify!($name), "={}"), self.$name)?;)*
                write!(f, "{}", self.decisions)
            }
        }
    };
}

counters! {
    /// Requests received from clients.
    requests,
    /// Commands that can't be interpreted as a request: malformed, or without a required field.
    malformed_commands,
    /// Requests of a class that the settings don't define.
    unknown_class,
    /// Requests with the id of a request that is still open.
    duplicate_id,
    /// Requests that must not run twice with the id of one that was forwarded recently.
    repeated_id,
    /// Requests rejected without being passed to the engine, because the limit of memory or of open
    /// requests was reached.
    rejected_at_limits,
    /// Commands that were answered with `-BUSY`, because the incomplete commands of all clients
    /// exceeded their memory limit.
    commands_over_memory,
    /// Served answers that were replaced by an error, because they waited on a connection while
    /// requests and responses exceeded their memory limit.
    answers_over_memory,
    /// Connections closed with unsent answers because their clients read nothing while requests and
    /// responses exceeded their memory limit by a third.
    slow_readers_closed,
    /// Requests whose client timeout had already passed when they were read.
    expired_when_read,
    /// Checks of a client's connection right before an attempt is written, made because the last
    /// poll is not recent enough.
    client_checks,
    /// Checks counted in `client_checks` that found the client disconnected.
    client_checks_disconnected,
    /// Times that connected attempts were postponed to the next poll, because the last poll was not
    /// recent enough or discovery messages from a stall were unread.
    attempts_postponed,
    /// Stalls of the process between two polls.
    stalls,
    /// Longest stall, in milliseconds.
    longest_stall_ms,
    /// Turns of the event loop that took longer than 20 ms.
    long_turns,
    /// Longest turn of the event loop, in microseconds.
    longest_turn_us,
    /// Attempts, including the first of each request.
    attempts,
    /// Attempts started while another attempt of the same request was in flight.
    hedges,
    /// Health checks started.
    health_checks,
    /// Attempts that received a value or a receipt.
    attempts_ok,
    /// Attempts to which the cache responded with an error or a miss.
    attempts_error,
    /// Attempts that the cache rejected.
    attempts_rejected,
    /// Attempts that timed out.
    attempts_timeout,
    /// Attempts whose connection was not established, or failed before the command was written
    /// completely.
    attempts_connect_failed,
    /// Attempts whose connection failed after the command was written completely.
    attempts_reset,
    /// Attempts that received an unreadable response.
    attempts_unreadable,
    /// Attempts to which the cache responded that the request itself is invalid.
    attempts_invalid,
    /// Attempts cancelled by the engine.
    attempts_cancelled,
    /// Attempts not sent because no time or no connection was available.
    attempts_not_sent,
    /// Requests answered with a value or receipt.
    served,
    /// Requests rejected.
    rejected,
    /// Requests failed.
    failed,
    /// Requests whose client disconnected before the answer.
    client_disconnects,
    /// Attempts not sent because the client had disconnected.
    unsent_after_disconnect,
    /// Longest time from a client's disconnect until its unsent attempt ended, in milliseconds,
    /// rounded up.
    longest_unsent_after_disconnect_ms,
    /// Clients found disconnected while reading from their connections was paused.
    disconnects_while_unread,
    /// Client connections accepted.
    clients_accepted,
    /// Client connections accepted only to reject their commands, because all others were in use.
    clients_overflow,
    /// Client connections closed, by either side.
    clients_closed,
    /// Unreadable responses of caches.
    upstream_unreadable,
    /// Responses counted in `upstream_unreadable` that stalled before they were complete.
    upstream_stalled,
    /// Long values streamed to clients.
    streamed,
    /// Values counted in `streamed` that the cache aborted. Unless the value was replaced, the
    /// client's connection was closed.
    streams_aborted,
    /// Aborted values, counted in `streams_aborted`, of which the client had received nothing: it got
    /// an error instead.
    streams_replaced,
    /// Attempts and health checks for which no upstream connection slot was available.
    upstream_slots_exhausted,
    /// Client connections closed because no complete command arrived in time.
    clients_incomplete,
    /// Client connections closed because they were idle.
    clients_idle,
    /// Upstream connections opened, including those that were never established.
    upstream_opened,
    /// Upstream connections closed, by either side.
    upstream_closed,
    /// Messages received from discovery.
    discovery_messages,
    /// Lines of discovery messages skipped because their version is older than that of the
    /// line before.
    discovery_outdated_lines,
    /// Calls to discovery.
    discovery_calls,
    /// Calls to discovery that failed or ended.
    discovery_failed,
    /// Calls to discovery closed because nothing was received within the silence timeout.
    discovery_silent,
    /// Longest silence of a call counted in `discovery_silent`, in milliseconds.
    longest_discovery_silence_ms,
    /// Admin calls.
    admin_calls,
    /// Invalid admin calls: not HTTP, an unknown path, a wrong method, or too long.
    admin_calls_invalid,
    /// Admin connections on which no complete call arrived in time.
    admin_calls_incomplete,
    /// Admin connections without a complete call that were closed to accept new ones.
    admin_calls_evicted,
    /// Successful reloads of the configuration.
    reloads,
    /// Reloads rejected because the configuration was invalid; the current one stayed in force.
    reloads_failed,
}
