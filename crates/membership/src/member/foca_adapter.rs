//! Configuration of the library `foca`, and collection of its output.

use super::context::{GOSSIP_FANOUT, GOSSIP_INTERVAL};
use crate::envelope;
use crate::identity::MembershipCodec;
use crate::{Identity, MS, MembershipSettings, Nanos};
use foca::{Foca, NoCustomBroadcast, OwnedNotification, PeriodicParams, Timer};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// Number of transmissions of each update by `foca`, to which one is added for each doubling of the
/// maximum number of members.
const BASE_TRANSMISSIONS: u32 = 6;
/// Maximum number of transmissions of each update in a fleet with regions.
const REGIONAL_TRANSMISSIONS_MAX: u32 = 10;
const INDIRECT_PROBES: usize = 3;
const ANNOUNCE_INTERVAL: Nanos = 5_000 * MS;

/// `foca` with the types of this crate.
pub(super) type FocaInstance =
    Foca<Identity, MembershipCodec, Xoshiro256PlusPlus, NoCustomBroadcast>;

/// Output of one call of `foca`.
#[derive(Default)]
pub(super) struct CollectingRuntime {
    pub(super) datagrams: Vec<(Identity, Vec<u8>)>,
    pub(super) timers: Vec<(Duration, Timer<Identity>)>,
    pub(super) notifications: Vec<OwnedNotification<Identity>>,
}

impl foca::Runtime<Identity> for &mut CollectingRuntime {
    fn notify(&mut self, notification: foca::Notification<'_, Identity>) {
        self.notifications.push(notification.to_owned());
    }

    fn send_to(&mut self, to: Identity, data: &[u8]) {
        self.datagrams.push((to, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Identity>, after: Duration) {
        self.timers.push((after, event));
    }
}

/// Returns the number of transmissions of each update. With regions it is limited to bound the
/// bytes sent, and anti-entropy repairs missed updates.
fn transmissions(settings: &MembershipSettings) -> u8 {
    let transmissions = BASE_TRANSMISSIONS + settings.members_max.max(2).ilog2();
    let limit = if settings.location.is_none() {
        u32::from(u8::MAX)
    } else {
        REGIONAL_TRANSMISSIONS_MAX
    };
    transmissions.min(limit) as u8
}

/// Returns the configuration of `foca`.
pub(super) fn foca_config(settings: &MembershipSettings) -> foca::Config {
    let timing = &settings.timing;
    let duration = Duration::from_nanos;
    let non_zero = |value: usize| NonZeroUsize::new(value).unwrap_or(NonZeroUsize::MIN);
    let periodic = |interval, members| {
        Some(PeriodicParams {
            frequency: duration(interval),
            num_members: non_zero(members),
        })
    };
    foca::Config {
        probe_period: duration(timing.probe_interval),
        probe_rtt: duration(timing.ack_timeout),
        num_indirect_probes: non_zero(INDIRECT_PROBES),
        max_transmissions: NonZeroU8::new(transmissions(settings)).unwrap_or(NonZeroU8::MIN),
        // Unused: the suspicion timers of this crate decide when a suspect is dead.
        suspect_to_down_after: duration(timing.suspicion_timeout),
        remove_down_after: Some(duration(timing.tombstone_retention)),
        max_packet_size: non_zero(envelope::PAYLOAD_MAX),
        notify_down_members: true,
        periodic_announce: periodic(ANNOUNCE_INTERVAL, 1),
        // Unused: `announce_to_assigned_dead` replaces it.
        periodic_announce_to_down_members: None,
        periodic_gossip: periodic(GOSSIP_INTERVAL, GOSSIP_FANOUT),
    }
}
