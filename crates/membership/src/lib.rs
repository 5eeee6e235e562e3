//! The fleet's own view: which balancers there are, which of them stall, left or died, and by how many the shares
//! of room, probes and retries are divided.
//!
//! A [`Member`] speaks for one balancer. It does no I/O and has no clock: it is told of datagrams and of the time, and
//! hands out datagrams, the time at which it wants to be woken, and the changes of its [`View`]. Who is there is found
//! out by SWIM (the library `foca`); what this crate decides beyond that is in modules of its own:
//!
//! - [`envelope`]: whose datagrams are read at all;
//! - [`heartbeat`]: who listens for whom, and when silence becomes a suspicion;
//! - [`suspicion`]: when a suspect is given up, and by whom;
//! - [`health`]: when a member distrusts itself and accuses nobody;
//! - [`anti_entropy`]: what rumours have missed is found by comparing lists;
//! - [`metadata`]: soft state of bounded size, spread and asked for;
//! - [`shedding`]: one level of admission for the whole fleet;
//! - [`share_count`]: how many balancers the rest is shared among, through splits and deaths;
//! - [`regions`]: a fleet of several regions, in which members know only summaries of the others.
//!
//! Times are nanoseconds on the caller's own monotonic clock; spans are nanoseconds too. Nothing is encrypted or signed:
//! the talk belongs on a network that is trusted.
#![forbid(unsafe_code)]

pub mod anti_entropy;
pub mod envelope;
pub mod fault_injection;
pub mod health;
pub mod heartbeat;
mod identity;
mod location;
mod member;
pub mod metadata;
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
pub use settings::{MembershipSettings, Timing};
pub use view::{MemberStatus, MemberView, MembershipEvent, RegionView, View};

/// A point in time or a span, in nanoseconds.
pub type Nanos = u64;

/// One millisecond.
pub const MS: Nanos = 1_000_000;
