//! What the balancer took in, sent and answered.

use std::fmt;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// Counts since the start, printed as `name=value` pairs.
        #[derive(Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: u64,)*
        }

        impl fmt::Display for Counters {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("counters:")?;
                $(write!(f, concat!(" ", stringify!($name), "={}"), self.$name)?;)*
                Ok(())
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
    /// Tries sent, the first of each request included.
    tries,
    /// Tries sent while another of the request was out.
    copies,
    /// Probes sent.
    probes,
    /// Tries that were answered.
    try_ok,
    /// Tries that the peer answered with an error.
    try_error,
    /// Tries that the peer turned away.
    try_full,
    /// Tries that ran out of time.
    try_timeout,
    /// Tries whose connection never came up or broke before all was written.
    try_connect_failed,
    /// Tries whose connection broke after that.
    try_reset,
    /// Tries whose answer can't be read.
    try_spoilt,
    /// Tries that the peer answered with an error that speaks against the request itself.
    try_unfit,
    /// Tries called back by the module.
    try_cancelled,
    /// Tries never sent, for want of time or of a connection.
    try_moot,
    /// Requests answered with a value or receipt.
    served,
    /// Requests refused.
    refused,
    /// Requests failed.
    failed,
    /// Requests whose client left before the answer.
    gone,
    /// Client connections accepted.
    clients_accepted,
    /// Client connections closed, by either side.
    clients_closed,
    /// Replies of peers that can't be read.
    spoilt,
    /// Tries and probes without a place for another connection.
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
    /// Calls of discovery begun.
    list_calls,
    /// Calls of discovery that failed or ended.
    list_failed,
    /// Configurations read again and taken over.
    reloads,
    /// Configurations read again and found faulty; the old one stayed.
    reloads_failed,
}
