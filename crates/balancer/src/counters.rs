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
            DecisionStep::Rejected => "refused",
            DecisionStep::Failed => "failed",
            DecisionStep::Queued => "held",
            DecisionStep::HedgeSuppressed => "no_copy",
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
    taken,
    /// Commands that were no request: malformed, or lacking a field.
    malformed,
    /// Requests with a class that the settings don't name.
    class_unknown,
    /// Requests with the id of one that is still open.
    id_open,
    /// Requests turned away for want of memory or places, without asking the module.
    overfull,
    /// Requests whose time was over when they were read.
    over_when_read,
    /// Clients that were asked for right before something was sent for them, since the last look was too long ago.
    clients_asked,
    /// Of these, clients that had left.
    clients_found_gone,
    /// Attempts that waited for the next look at the sockets, since the last was too long ago.
    postponed,
    /// Times that the process was held up between two looks at the sockets.
    held_up,
    /// The longest of these, in milliseconds.
    held_up_ms,
    /// Turns of the loop that took long.
    turns_long,
    /// The longest turn, in microseconds.
    turn_longest_us,
    /// Attempts sent, the first of each request included.
    tries,
    /// Attempts sent while another of the request was out.
    copies,
    /// Probes sent.
    probes,
    /// Attempts that were answered.
    try_ok,
    /// Attempts that the peer answered with an error.
    try_error,
    /// Attempts that the peer turned away.
    try_full,
    /// Attempts that ran out of time.
    try_timeout,
    /// Attempts whose connection never came up or broke before all was written.
    try_connect_failed,
    /// Attempts whose connection broke after that.
    try_reset,
    /// Attempts whose answer can't be read.
    try_spoilt,
    /// Attempts that the peer answered with an error that speaks against the request itself.
    try_unfit,
    /// Attempts called back by the module.
    try_cancelled,
    /// Attempts never sent, for want of time or of a connection.
    try_moot,
    /// Requests answered with a value or receipt.
    served,
    /// Requests refused.
    refused,
    /// Requests failed.
    failed,
    /// Requests whose client left before the answer.
    gone,
    /// Attempts that were never sent because the client had left before.
    left_unsent,
    /// The longest time between the two, in milliseconds, rounded up.
    left_unsent_ms,
    /// Clients that were found to have left while their connections were not read.
    left_unread,
    /// Client connections accepted.
    clients_accepted,
    /// Client connections closed, by either side.
    clients_closed,
    /// Replies of peers that can't be read.
    spoilt,
    /// Of these, for standing still before their end.
    stalled,
    /// Long values passed on as they came.
    passed_on,
    /// Of these, broken off by the cache: the client's connection was ended.
    broken_off,
    /// Attempts and probes without a place for another connection.
    no_place,
    /// Of these, for saying nothing, or half a command, for too long.
    clients_unfinished,
    /// Of these, for having nothing open for long.
    clients_idle,
    /// Connections to peers begun.
    peers_opened,
    /// Connections to peers closed, by either side.
    peers_closed,
    /// Messages of discovery taken.
    list_news,
    /// Lines of the list that were left: of an older version than the line before.
    list_old,
    /// Calls of discovery begun.
    list_calls,
    /// Calls of discovery that failed or ended.
    list_failed,
    /// Of these, given up for saying nothing.
    list_silent,
    /// The longest silence before that, in milliseconds.
    list_silent_ms,
    /// Calls of the operators.
    calls,
    /// Calls that were none: no HTTP, an unknown path, a wrong method, too long.
    calls_wrong,
    /// Callers that sent no whole call in time.
    calls_unfinished,
    /// Unfinished callers closed for newcomers.
    calls_pushed_out,
    /// Configurations read again and taken over.
    reloads,
    /// Configurations read again and found faulty; the old one stayed.
    reloads_failed,
}
