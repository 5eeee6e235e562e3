//! Fleet membership: tracks which balancers are live, stalled, departed or dead, and computes the
//! share count, the number that quotas, limits and budgets are divided by.
//!
//! A [`Member`] represents one balancer. It does no I/O and has no clock: the caller passes
//! received datagrams and the current time, and takes from it the datagrams to send, the time of
//! the next tick, and the changes of its [`View`]. Membership uses SWIM (the library `foca`). This
//! crate adds a module for each further protocol:
//!
//! - [`envelope`]: the frame of every datagram, which identifies fleet and format version;
//! - failure detection: [`heartbeat`]s sent to watchers, [`suspicion`] timers, and [`local_health`]
//!   as in Lifeguard;
//! - dissemination: [`metadata`] records of bounded size, which the [`metadata_store`] broadcasts
//!   and requests;
//! - [`anti_entropy`] of member lists, which repairs updates that broadcasts missed;
//! - [`shedding`]: one shedding level for the whole fleet;
//! - [`share_count`]: the share count, by which the sum of all shares stays bounded during
//!   partitions and mass deaths;
//! - [`regions`]: the federation of regions, in which members store only a summary of each other
//!   region.
//!
//! Times are nanoseconds of the caller's monotonic clock. Datagrams are neither encrypted nor
//! signed, so they must stay on a trusted network.
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

/// A point in time or a duration, in nanoseconds.
pub type Nanos = u64;

/// One millisecond in nanoseconds.
pub const MS: Nanos = 1_000_000;
