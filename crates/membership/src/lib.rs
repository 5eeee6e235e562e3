//! The membership of the fleet: which balancers there are, which of them stall, left or died, and
//! the share count that quotas, limits and budgets are divided by.
//!
//! A [`Member`] stands for one balancer. It does no I/O and has no clock: its caller passes
//! datagrams and the time, and takes datagrams to send, the time of the next tick, and the changes
//! of its [`View`]. Membership is SWIM (the library `foca`); what this crate adds has a module for
//! each protocol:
//!
//! - [`envelope`]: the frame of all datagrams, by fleet and format version;
//! - failure detection: [`heartbeat`]s to watchers, [`suspicion`] timers, [`local_health`] as in
//!   Lifeguard;
//! - dissemination: [`metadata`] of bounded size, broadcast and requested by the
//!   [`metadata_store`];
//! - [`anti_entropy`] of member lists, for what broadcasts have missed;
//! - [`shedding`]: one shedding level for the whole fleet;
//! - [`share_count`]: the share count, through partitions and deaths;
//! - [`regions`]: the federation of regions, whose members know only summaries of each other's
//!   region.
//!
//! Times are nanoseconds of the caller's monotonic clock. Nothing is encrypted or signed: the
//! datagrams belong on a trusted network.
#![forbid(unsafe_code)]

pub mod anti_entropy;
pub mod envelope;
pub mod fault_injection;
pub mod heartbeat;
mod identity;
pub mod local_health;
mod location;
mod member;
pub mod metadata;
pub mod metadata_store;
mod payload;
#[cfg(test)]
mod recorded_gossip_tests;
pub mod regions;
mod settings;
pub mod share_count;
pub mod shedding;
pub mod suspicion;
mod view;

pub use identity::Identity;
pub use location::{LOCATION_NAME_MAX, Location};
pub use member::{Member, MemberStatistics};
pub use metadata::{MemberMetadata, MetadataRecord, ServingPhase};
pub use payload::PayloadError;
pub use settings::{MembershipSettings, Timing};
pub use view::{MemberStatus, MemberView, MembershipEvent, RegionView, View};

/// A point in time or a span, in nanoseconds.
pub type Nanos = u64;

/// One millisecond.
pub const MS: Nanos = 1_000_000;
