//! Identifiers and the unit of time that settings, events and actions share.

/// A point in time or a duration, in nanoseconds on the caller's monotonic clock.
pub type Nanos = u64;

/// A client request, by a number that the balancer never uses twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u128);

/// A cache or the origin; the same number at every balancer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u64);

/// Which attempt of a request, counted from 0 in the order in which they are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptNumber(pub u32);

/// Hash of the key that a request concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u64);

/// Index into [`Settings::classes`](crate::Settings::classes).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);

/// Index into [`Settings::tenants`](crate::Settings::tenants).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub usize);

/// Issued with [`Action::SetTimer`](crate::Action::SetTimer), returned with
/// [`Event::TimerFired`](crate::Event::TimerFired).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerToken(pub u64);
