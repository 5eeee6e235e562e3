//! Identifiers and the unit of time shared by settings, events and actions.

/// Point in time or duration, in nanoseconds on the caller's monotonic clock.
pub type Nanos = u64;

/// Number of a client request; a balancer never uses the same number twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u128);

/// Number of a cache or origin server, the same at every balancer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u64);

/// Number of an attempt within its request, counted from 0 in the order of sending.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptNumber(pub u32);

/// Hash of the key that a request reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u64);

/// Index into [`Settings::classes`](crate::Settings::classes).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);

/// Index into [`Settings::tenants`](crate::Settings::tenants).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub usize);

/// Token of a timer, issued with [`Action::SetTimer`](crate::Action::SetTimer) and returned with
/// [`Event::TimerFired`](crate::Event::TimerFired).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerToken(pub u64);
