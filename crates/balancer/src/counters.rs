//! What the balancer took in, sent and answered.

use routing::DecisionReason;
use std::fmt;

/// A step that the module took, or left out, for a reason.
#[derive(Clone, Copy)]
pub enum DecisionStep {
    /// The request was turned away.
    Rejected,
    /// The request was given up.
    Failed,
    /// The request waits for room.
    Queued,
    /// The request was late and got no copy.
    HedgeSuppressed,
}

impl DecisionStep {
    const ALL: [DecisionStep; 4] = [
        DecisionStep::Rejected,
        DecisionStep::Failed,
        DecisionStep::Queued,
        DecisionStep::HedgeSuppressed,
    ];

    /// The name by which logs and counters call it.
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

/// Those that happened, as `refused.origin=3`.
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
            /// Why requests were refused, failed or held, and copies not sent.
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
    /// Requests taken from clients.
    requests,
    /// Commands that were no request: malformed, or lacking a field.
    malformed_commands,
    /// Requests with a class that the settings don't name.
    unknown_class,
    /// Requests with the id of one that is still open.
    duplicate_id,
    /// Requests turned away for want of memory or places, without asking the module.
    rejected_at_limits,
    /// Requests whose time was over when they were read.
    expired_when_read,
    /// Clients that were asked for right before something was sent for them, since the last look was too long ago.
    client_checks,
    /// Of these, clients that had left.
    client_checks_disconnected,
    /// Attempts that waited for the next look at the sockets, since the last was too long ago.
    attempts_postponed,
    /// Times that the process was held up between two looks at the sockets.
    stalls,
    /// The longest of these, in milliseconds.
    longest_stall_ms,
    /// Turns of the loop that took long.
    long_turns,
    /// The longest turn, in microseconds.
    longest_turn_us,
    /// Attempts sent, the first of each request included.
    attempts,
    /// Attempts sent while another of the request was out.
    hedges,
    /// Probes sent.
    health_checks,
    /// Attempts that were answered.
    attempts_ok,
    /// Attempts that the peer answered with an error.
    attempts_error,
    /// Attempts that the peer turned away.
    attempts_rejected,
    /// Attempts that ran out of time.
    attempts_timeout,
    /// Attempts whose connection never came up or broke before all was written.
    attempts_connect_failed,
    /// Attempts whose connection broke after that.
    attempts_reset,
    /// Attempts whose answer can't be read.
    attempts_unreadable,
    /// Attempts that the peer answered with an error that speaks against the request itself.
    attempts_invalid,
    /// Attempts called back by the module.
    attempts_cancelled,
    /// Attempts never sent, for want of time or of a connection.
    attempts_not_sent,
    /// Requests answered with a value or receipt.
    served,
    /// Requests refused.
    rejected,
    /// Requests failed.
    failed,
    /// Requests whose client left before the answer.
    client_disconnects,
    /// Attempts that were never sent because the client had left before.
    unsent_after_disconnect,
    /// The longest time between the two, in milliseconds, rounded up.
    longest_unsent_after_disconnect_ms,
    /// Clients that were found to have left while their connections were not read.
    disconnects_while_unread,
    /// Client connections accepted.
    clients_accepted,
    /// Client connections closed, by either side.
    clients_closed,
    /// Replies of peers that can't be read.
    upstream_unreadable,
    /// Of these, for standing still before their end.
    upstream_stalled,
    /// Long values passed on as they came.
    streamed,
    /// Of these, broken off by the cache: the client's connection was ended.
    streams_aborted,
    /// Attempts and probes without a place for another connection.
    upstream_slots_exhausted,
    /// Of these, for saying nothing, or half a command, for too long.
    clients_incomplete,
    /// Of these, for having nothing open for long.
    clients_idle,
    /// Connections to peers begun.
    upstream_opened,
    /// Connections to peers closed, by either side.
    upstream_closed,
    /// Messages of discovery taken.
    discovery_messages,
    /// Lines of the list that were left: of an older version than the line before.
    discovery_outdated_lines,
    /// Calls of discovery begun.
    discovery_calls,
    /// Calls of discovery that failed or ended.
    discovery_failed,
    /// Of these, given up for saying nothing.
    discovery_silent,
    /// The longest silence before that, in milliseconds.
    longest_discovery_silence_ms,
    /// Calls of the operators.
    admin_calls,
    /// Calls that were none: no HTTP, an unknown path, a wrong method, too long.
    admin_calls_invalid,
    /// Callers that sent no whole call in time.
    admin_calls_incomplete,
    /// Unfinished callers closed for newcomers.
    admin_calls_evicted,
    /// Configurations read again and taken over.
    reloads,
    /// Configurations read again and found faulty; the old one stayed.
    reloads_failed,
}
