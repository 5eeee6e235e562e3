//! The transport of gossip: one UDP socket and one timer that drive a [`Member`]. The state of the
//! member is reported in the log, the counters and `/admin/fleet`; the engine receives the share
//! count and the shedding level. The transport exists only if the configuration has the key
//! `fleet`.

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

/// Maximum number of datagrams read per turn of the event loop, to limit the delay of requests.
const DATAGRAMS_PER_TURN: usize = 1_024;
/// Interval over which the request rate is measured.
const RATE_INTERVAL: Nanos = 2_000 * MS;
/// Interval between attempts to bind an address that another process of this balancer still holds.
const BIND_RETRY_INTERVAL: Nanos = 250 * MS;
/// Time for which the same requests of a partly shed tier are shed.
const SHEDDING_ROTATION: Nanos = 1_000 * MS;

/// Options of the gossip transport.
pub struct GossipOptions<'a> {
    /// Value of the key `fleet` of the configuration.
    pub config: &'a FleetConfig,
    /// Metadata of this balancer, announced to other members.
    pub metadata: MemberMetadata,
    /// Number of balancers in the settings. It is the share count until the member reports another.
    pub configured_balancers: usize,
    /// Seed of the member's random choices.
    pub seed: u64,
    /// Whether another process of this balancer may still hold the address. Binding is then
    /// retried.
    pub may_share_address: bool,
}

/// The gossip socket of this balancer and its member of the fleet.
pub struct GossipTransport {
    poll: Poll,
    address: SocketAddr,
    /// `None` while another process of this balancer holds the address.
    socket: Option<Registered<UdpSocket>>,
    /// Time of the next attempt to bind the address.
    next_bind: Nanos,
    member: Member,
    /// Share count last reported to the engine.
    share_count: usize,
    /// Shedding level last reported to the engine.
    shedding: SheddingLevel,
    request_rate: RequestRate,
    /// Number of datagrams that were not sent: the send buffer was full, there was no route, or the
    /// socket was not bound.
    unsent: u64,
}

impl GossipTransport {
    /// Binds the socket and starts the member, which begins to join the fleet.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound. An address in use is not an error if another
    /// process of this balancer may hold it.
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
                    "fleet: {} is in use by the other process of this balancer; retrying",
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
            "fleet: gossip of fleet {} listens on {}",
            self.member.fleet_name(),
            socket.local_addr()?
        );
        let registered = self
            .poll
            .register(socket, EventSource::Gossip, Interest::READABLE)?;
        self.socket = Some(registered);
        Ok(())
    }

    /// Reads and processes the received datagrams.
    pub fn handle_ready(&mut self, now: Nanos) {
        let Some(socket) = &self.socket else { return };
        // One byte more than the maximum length, so that a longer datagram is detected.
        let mut bytes = [0; DATAGRAM_MAX + 1];
        for _ in 0..DATAGRAMS_PER_TURN {
            match socket.socket().recv_from(&mut bytes) {
                Ok((length, from)) => self.member.receive(now, from, &bytes[..length]),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) => {
                    log::warn!("fleet: receiving gossip datagrams failed: {e}");
                    break;
                }
            }
        }
        self.flush();
    }

    /// Performs the work that is due at `now`. `requests` is the number of requests accepted since
    /// the start. Returns the share count if it has changed.
    pub fn tick(&mut self, now: Nanos, lifecycle: &Lifecycle, requests: u64) -> Option<usize> {
        if self.socket.is_none() && now >= self.next_bind {
            // Binding fails until the process that holds the address has ended.
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
        let previous = std::mem::replace(&mut self.share_count, share_count);
        (share_count != previous).then_some(share_count)
    }

    /// Enables the shedding level that all members share. `tiers` is the number of tiers of the
    /// engine.
    pub fn enable_shared_shedding(&mut self, tiers: usize) {
        self.member.enable_shared_shedding(tiers);
    }

    /// Adds the numbers of requests that the engine admitted and rejected for lack of capacity.
    pub fn add_admission_counts(&mut self, counts: AdmissionCounts) {
        self.member.add_admission_counts(counts);
    }

    /// Returns the shedding level for the engine if it has changed. Rotations follow the clock, so
    /// that all members shed the same requests.
    pub fn shedding_change(&mut self, now: Nanos) -> Option<SheddingLevel> {
        let level = self.member.shedding_level();
        let previous = self.shedding.level;
        if level == 0.0 && previous == 0.0 {
            return None;
        }
        let rotation = now / SHEDDING_ROTATION;
        let shedding = SheddingLevel {
            level,
            rotation,
            rotation_ends: (rotation + 1) * SHEDDING_ROTATION,
        };
        if previous == 0.0 {
            log::warn!(
                level = level;
                "fleet: overload; all members now shed load by a common level"
            );
        } else if level == 0.0 {
            log::info!("fleet: overload ended; no load is shed");
        }
        if shedding == self.shedding {
            return None;
        }
        self.shedding = shedding;
        Some(shedding)
    }

    /// Returns the time at which the next [`GossipTransport::tick`] is due.
    #[must_use]
    pub fn next_tick(&self) -> Nanos {
        if self.socket.is_some() {
            self.member.next_tick()
        } else {
            self.next_bind
        }
    }

    /// Announces to other members that this balancer leaves the fleet.
    pub fn leave(&mut self, now: Nanos) {
        self.member.leave(now);
        self.flush();
    }

    /// Sends the member's datagrams and logs its events.
    fn flush(&mut self) {
        for (to, datagram) in self.member.take_datagrams() {
            let socket = self.socket.as_ref().map(Registered::socket);
            let sent = socket.map(|socket| socket.send_to(&datagram, to));
            // Gossip tolerates lost datagrams, so unsent datagrams are counted and not retried.
            self.unsent += u64::from(!matches!(sent, Some(Ok(_))));
        }
        for event in self.member.take_events() {
            log_event(&event);
        }
    }

    /// Returns the response body of `/admin/fleet`.
    #[must_use]
    pub fn admin_json(&self, now: Nanos) -> String {
        FleetRow::new(&self.member, self.share_count, self.unsent, now).to_json()
    }
}

/// Measurement of the request rate over successive intervals.
struct RequestRate {
    /// Number of requests at the start of the interval.
    requests: u64,
    interval_start: Nanos,
}

impl RequestRate {
    fn start(now: Nanos) -> Self {
        RequestRate {
            requests: 0,
            interval_start: now,
        }
    }

    /// Returns the request rate in tenths of a request per second, once per interval.
    fn sample(&mut self, now: Nanos, requests: u64) -> Option<u32> {
        let elapsed = now.saturating_sub(self.interval_start);
        if elapsed < RATE_INTERVAL {
            return None;
        }
        let accepted = requests.saturating_sub(self.requests);
        (self.requests, self.interval_start) = (requests, now);
        Some(round_to_two_digits(accepted * 10_000 * MS / elapsed))
    }
}

/// Rounds down to two significant digits, so that smaller changes are not announced to the fleet.
fn round_to_two_digits(tenths: u64) -> u32 {
    let step = 10u64.pow(tenths.max(1).ilog10().saturating_sub(1));
    u32::try_from(tenths / step * step).unwrap_or(u32::MAX)
}

#[cfg(test)]
mod tests;
