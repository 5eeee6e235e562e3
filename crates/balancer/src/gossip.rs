//! The transport of gossip: one UDP socket and one timer, fed into a [`Member`]. What the member
//! sees goes into the log, the counters, `/admin/fleet` and, as two figures, to the engine. Without
//! the key `fleet` of the configuration there is none of this.

mod admin_view;
mod counters_line;
mod event_log;

use crate::config::FleetConfig;
use crate::lifecycle::Lifecycle;
use crate::poll::{EventSource, Interest, Poll, Registered};
use crate::timers::MS;
use admin_view::FleetRow;
use event_log::log_event;
use membership::envelope::DATAGRAM_MAX;
use membership::{Member, MemberMetadata, ServingPhase};
use routing::{AdmissionCounts, Nanos, SheddingLevel};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};

/// Datagrams that are read in one turn of the event loop; requests must not wait for more.
const DATAGRAMS_PER_TURN: usize = 1_024;
/// Over which time the rate of requests is measured.
const RATE_INTERVAL: Nanos = 2_000 * MS;
/// How soon an address that another process of this balancer holds is bound again.
const BIND_RETRY_INTERVAL: Nanos = 250 * MS;
/// For how long the same requests of a partly shed tier are shed.
const SHEDDING_ROTATION: Nanos = 1_000 * MS;

/// How this balancer takes part in its fleet.
pub struct GossipOptions<'a> {
    /// The key `fleet` of the configuration.
    pub config: &'a FleetConfig,
    /// What other members learn of this balancer.
    pub metadata: MemberMetadata,
    /// The settings' number of balancers.
    pub configured_balancers: usize,
    /// The seed of the member's random choices.
    pub seed: u64,
    /// Another process of this balancer may still hold the address.
    pub may_share_address: bool,
}

/// This balancer's part in the gossip of its fleet.
pub struct GossipTransport {
    poll: Poll,
    address: SocketAddr,
    /// None while another process of this balancer holds the address.
    socket: Option<Registered<UdpSocket>>,
    next_bind: Nanos,
    member: Member,
    /// As the engine was last notified.
    share_count: usize,
    shedding: SheddingLevel,
    request_rate: RequestRate,
    /// Datagrams that the system did not take: its buffer was full, or there is no route.
    unsent: u64,
}

impl GossipTransport {
    /// Binds the socket and begins to search for other members.
    ///
    /// # Errors
    ///
    /// Passes on the system's error if the address can't be bound, unless it is another process of
    /// this balancer that holds it.
    pub fn open(poll: &Poll, options: GossipOptions<'_>, now: Nanos) -> io::Result<Self> {
        let GossipOptions {
            config,
            metadata,
            configured_balancers,
            seed,
            may_share_address,
        } = options;
        let settings = config.settings(&metadata.name, configured_balancers);
        let mut transport = GossipTransport {
            poll: poll.clone(),
            address: config.bind,
            socket: None,
            next_bind: 0,
            member: Member::new(settings, metadata, now / MS, seed, now),
            share_count: configured_balancers,
            shedding: SheddingLevel::default(),
            request_rate: RequestRate::start(now),
            unsent: 0,
        };
        match transport.bind(now) {
            Err(e) if may_share_address && e.kind() == ErrorKind::AddrInUse => {
                log::info!(
                    "fleet: {} is in use by the other process of this balancer",
                    config.bind
                );
            }
            result => result?,
        }
        Ok(transport)
    }

    fn bind(&mut self, now: Nanos) -> io::Result<()> {
        self.next_bind = now + BIND_RETRY_INTERVAL;
        let socket = UdpSocket::bind(self.address)?;
        socket.set_nonblocking(true)?;
        log::info!(
            "fleet: {} gossips at {}",
            self.member.fleet_name(),
            socket.local_addr()?
        );
        let registered = self
            .poll
            .register(socket, EventSource::Gossip, Interest::READABLE)?;
        self.socket = Some(registered);
        Ok(())
    }

    /// Reads the datagrams that have arrived.
    pub fn handle_ready(&mut self, now: Nanos) {
        let Some(socket) = &self.socket else { return };
        // One byte more than the longest datagram, so that a truncated one is recognised.
        let mut bytes = [0; DATAGRAM_MAX + 1];
        for _ in 0..DATAGRAMS_PER_TURN {
            match socket.socket().recv_from(&mut bytes) {
                Ok((length, from)) => self.member.receive(now, from, &bytes[..length]),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) => {
                    log::warn!("fleet: receiving: {e}");
                    break;
                }
            }
        }
        self.flush();
    }

    /// Does what is due. `requests` is the count of requests taken since the start. Returns the
    /// share count, if it has changed.
    pub fn tick(&mut self, now: Nanos, lifecycle: &Lifecycle, requests: u64) -> Option<usize> {
        if self.socket.is_none() && now >= self.next_bind {
            // The process that holds it is about to end; binding is repeated until then.
            let _ = self.bind(now);
        }
        let phase = match lifecycle.name() {
            "starting" => ServingPhase::Joining,
            "serving" => ServingPhase::Serving,
            _ => ServingPhase::Draining,
        };
        let rate = self.request_rate.sample(now, requests);
        self.member.update_metadata(|metadata| {
            metadata.phase = phase;
            metadata.request_rate_tenths = rate.unwrap_or(metadata.request_rate_tenths);
        });
        if self.socket.is_some() {
            self.member.tick(now);
        }
        self.flush();
        let share_count = self.member.share_count();
        let former = std::mem::replace(&mut self.share_count, share_count);
        (share_count != former).then_some(share_count)
    }

    /// From now on load is shed by a level that all members agree on; the engine has this many
    /// tiers.
    pub fn enable_shared_shedding(&mut self, tiers: usize) {
        self.member.enable_shared_shedding(tiers);
    }

    /// Adds what the engine admitted and rejected for want of capacity.
    pub fn add_admission_counts(&mut self, counts: AdmissionCounts) {
        self.member.add_admission_counts(counts);
    }

    /// The level by which the engine is to shed, if it has changed. Rotations follow the clock, so
    /// that they are the same everywhere.
    pub fn shedding_change(&mut self, now: Nanos) -> Option<SheddingLevel> {
        let level = self.member.shedding_level();
        let former = self.shedding.level;
        if level == 0.0 && former == 0.0 {
            return None;
        }
        let rotation = now / SHEDDING_ROTATION;
        let shedding = SheddingLevel {
            level,
            rotation,
            rotation_ends: (rotation + 1) * SHEDDING_ROTATION,
        };
        if former == 0.0 {
            log::warn!(level = level; "fleet: overload; all members shed by one level");
        } else if level == 0.0 {
            log::info!("fleet: the overload is over, nothing is shed");
        }
        if shedding == self.shedding {
            return None;
        }
        self.shedding = shedding;
        Some(shedding)
    }

    /// When the next [`GossipTransport::tick`] is due.
    #[must_use]
    pub fn next_tick(&self) -> Nanos {
        if self.socket.is_some() {
            self.member.next_tick()
        } else {
            self.next_bind
        }
    }

    /// Announces to other members that this balancer leaves.
    pub fn leave(&mut self, now: Nanos) {
        self.member.leave(now);
        self.flush();
    }

    /// Sends the member's datagrams and logs its events.
    fn flush(&mut self) {
        for (to, datagram) in self.member.take_datagrams() {
            let socket = self.socket.as_ref().map(Registered::socket);
            let sent = socket.map(|socket| socket.send_to(&datagram, to));
            // What is not sent counts as lost on the way, which gossip tolerates.
            self.unsent += u64::from(!matches!(sent, Some(Ok(_))));
        }
        for event in self.member.take_events() {
            log_event(&event);
        }
    }

    /// The page `/admin/fleet`.
    #[must_use]
    pub fn admin_json(&self, now: Nanos) -> String {
        FleetRow::new(&self.member, self.share_count, self.unsent, now).to_json()
    }
}

/// The rate of requests, measured over an interval.
struct RequestRate {
    /// Requests at the beginning of the interval.
    requests: u64,
    since: Nanos,
}

impl RequestRate {
    fn start(now: Nanos) -> Self {
        RequestRate {
            requests: 0,
            since: now,
        }
    }

    /// Tenths of requests a second, once the interval is over.
    fn sample(&mut self, now: Nanos, requests: u64) -> Option<u32> {
        let elapsed = now.saturating_sub(self.since);
        if elapsed < RATE_INTERVAL {
            return None;
        }
        let taken = requests.saturating_sub(self.requests);
        (self.requests, self.since) = (requests, now);
        Some(rounded(taken * 10_000 * MS / elapsed))
    }
}

/// To two figures: smaller changes are not announced to the fleet.
fn rounded(tenths: u64) -> u32 {
    let step = 10u64.pow(tenths.max(1).ilog10().saturating_sub(1));
    u32::try_from(tenths / step * step).unwrap_or(u32::MAX)
}

#[cfg(test)]
mod tests;
