//! How the library `foca` is configured, and how it hands out what it does.

use super::context::{GOSSIP_FANOUT, GOSSIP_INTERVAL};
use crate::envelope;
use crate::identity::MembershipCodec;
use crate::{Identity, MS, MembershipSettings, Nanos};
use foca::{Foca, NoCustomBroadcast, OwnedNotification, PeriodicParams, Timer};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// `foca` transmits each update this often, and once more for each doubling of the fleet;
const BASE_TRANSMISSIONS: u32 = 6;
/// in a fleet with regions at most this often.
const REGIONAL_TRANSMISSIONS_MAX: u32 = 10;
const INDIRECT_PROBES: usize = 3;
const ANNOUNCE_INTERVAL: Nanos = 5_000 * MS;

/// `foca`, as this crate uses it.
pub(super) type Swim = Foca<Identity, MembershipCodec, Xoshiro256PlusPlus, NoCustomBroadcast>;

/// What `foca` hands out in one call.
#[derive(Default)]
pub(super) struct Runtime {
    pub(super) datagrams: Vec<(Identity, Vec<u8>)>,
    pub(super) timers: Vec<(Duration, Timer<Identity>)>,
    pub(super) notifications: Vec<OwnedNotification<Identity>>,
}

impl foca::Runtime<Identity> for &mut Runtime {
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

/// How often `foca` transmits each update. With regions the bytes are bounded, and anti-entropy
/// finds what is missed.
fn transmissions(settings: &MembershipSettings) -> u8 {
    let transmissions = BASE_TRANSMISSIONS + settings.members_max.max(2).ilog2();
    let limit = if settings.location.is_none() {
        u32::from(u8::MAX)
    } else {
        REGIONAL_TRANSMISSIONS_MAX
    };
    transmissions.min(limit) as u8
}

/// The configuration of `foca`.
pub(super) fn foca_config(settings: &MembershipSettings) -> foca::Config {
    let timing = &settings.timing;
    let span = Duration::from_nanos;
    let non_zero = |n: usize| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
    let every = |interval, members| {
        Some(PeriodicParams {
            frequency: span(interval),
            num_members: non_zero(members),
        })
    };
    foca::Config {
        probe_period: span(timing.probe_interval),
        probe_rtt: span(timing.ack_timeout),
        num_indirect_probes: non_zero(INDIRECT_PROBES),
        max_transmissions: NonZeroU8::new(transmissions(settings)).unwrap_or(NonZeroU8::MIN),
        // Unused: `suspicion` decides.
        suspect_to_down_after: span(timing.suspicion_timeout),
        remove_down_after: Some(span(timing.tombstone_retention)),
        max_packet_size: non_zero(envelope::PAYLOAD_MAX),
        notify_down_members: true,
        periodic_announce: every(ANNOUNCE_INTERVAL, 1),
        // Unused: see `announce_to_drawn_dead`.
        periodic_announce_to_down_members: None,
        periodic_gossip: every(GOSSIP_INTERVAL, GOSSIP_FANOUT),
    }
}
