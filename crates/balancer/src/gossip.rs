//! The fleet's talk: one UDP socket and one timer, fed into a `membership::Member`. What it says of the others goes
//! into the log, the counters, the operators' door, and, as one figure, to the module. Without the key `fleet` of the
//! configuration there is none of this.

use crate::config::FleetConfig;
use crate::lifecycle::Lifecycle;
use crate::poll::{EventSource, Interest, Poll, Registered};
use crate::timers::MS;
use membership::envelope::DATAGRAM_MAX;
use membership::{
    Location, Member, MemberMetadata, MemberStatus, MemberView, MembershipEvent, RegionView,
    ServingPhase,
};
use routing::{AdmissionCounts, Nanos, SheddingLevel};
use serde::Serialize;
use std::fmt;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};

/// Datagrams that are read in one turn of the loop; requests must not wait for more.
const READ_MAX: usize = 1_024;
/// Requests a second are told over spans of this length.
const TRAFFIC_SPAN: Nanos = 2_000 * MS;
/// An address that another process of this balancer still holds is tried again after this.
const BIND_AGAIN: Nanos = 250 * MS;
/// Of a class that is shed in part other requests are shed after this.
const SHED_TURN: Nanos = 1_000 * MS;

/// The talk of this balancer with the others of its fleet.
pub struct GossipTransport {
    poll: Poll,
    bind: SocketAddr,
    /// None while another process of this balancer holds the address.
    socket: Option<Registered<UdpSocket>>,
    bind_again: Nanos,
    member: Member,
    /// What the module was last told.
    told: usize,
    /// Requests taken, and when they were last looked at.
    traffic: (u64, Nanos),
    /// What the module was last allowed.
    allowed: SheddingLevel,
    /// Datagrams that the system did not take: its buffer was full, or there is no way.
    unsent: u64,
}

/// How a member is shown to the operators; times are in milliseconds.
#[derive(Serialize)]
struct Shown {
    name: String,
    address: SocketAddr,
    generation: u64,
    incarnation: u16,
    state: MemberStatus,
    since_ms: u64,
    door: Option<SocketAddr>,
    build: Option<String>,
    config: Option<String>,
    requests_per_s: Option<f64>,
    places: Option<u16>,
    #[serde(skip_serializing_if = "Option::is_none")]
    zone: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    site: Option<String>,
}

impl Shown {
    fn of(seen: &MemberView, now: Nanos) -> Self {
        let soft = seen.metadata.as_ref();
        let (zone, site) = place_of(soft);
        Shown {
            name: seen.name(),
            address: seen.id.address,
            generation: seen.id.generation,
            incarnation: seen.incarnation,
            state: seen.status,
            since_ms: now.saturating_sub(seen.since) / MS,
            door: soft.map(|soft| soft.listen_address),
            build: soft.map(|soft| soft.build.clone()),
            config: soft.map(|soft| format!("{:016x}", soft.config_checksum)),
            requests_per_s: soft.map(|soft| f64::from(soft.request_rate_tenths) / 10.0),
            places: soft.map(|soft| soft.places),
            zone,
            site,
        }
    }
}

/// How another region is shown to the operators.
#[derive(Serialize)]
struct ShownRegion {
    region: String,
    living: u32,
    places: u32,
    config: String,
    config_others: u32,
    requests_per_s: f64,
    delegates: Vec<SocketAddr>,
    authors: u8,
    /// Since its figures last changed, by the clocks of its delegates and of this balancer.
    changed_ms: u64,
    silent_ms: Option<u64>,
}

impl ShownRegion {
    fn of(seen: &RegionView, now: Nanos) -> Self {
        let row = &seen.overview;
        ShownRegion {
            region: row.region.clone(),
            living: row.alive,
            places: row.places,
            config: format!("{:016x}", row.config_checksum),
            config_others: row.config_minority,
            requests_per_s: f64::from(row.request_rate_tenths) / 10.0,
            delegates: row.delegates.clone(),
            authors: row.authors,
            changed_ms: (now / MS).saturating_sub(row.version),
            silent_ms: seen
                .silent_since
                .map(|since| now.saturating_sub(since) / MS),
        }
    }
}

/// The zone and the site that a record tells of.
fn place_of(soft: Option<&MemberMetadata>) -> (Option<String>, Option<String>) {
    let location = soft
        .and_then(|soft| Location::decode(&soft.extension))
        .unwrap_or_default();
    let named = |name: String| Some(name).filter(|name| !name.is_empty());
    (named(location.zone), named(location.site))
}

impl GossipTransport {
    /// Opens the socket and begins to look for the others. `soft` is what is told of this balancer; `configured` is the
    /// settings' number of balancers. `beside` tells that another process of this balancer may still hold the address.
    pub fn open(
        poll: &Poll,
        config: &FleetConfig,
        soft: MemberMetadata,
        configured: usize,
        seed: u64,
        now: Nanos,
        beside: bool,
    ) -> io::Result<Self> {
        let mut me = GossipTransport {
            poll: poll.clone(),
            bind: config.bind,
            socket: None,
            bind_again: 0,
            member: Member::new(
                config.settings(&soft.name, configured),
                soft,
                now / MS,
                seed,
                now,
            ),
            told: configured,
            allowed: SheddingLevel::default(),
            traffic: (0, now),
            unsent: 0,
        };
        match me.bind(now) {
            Err(e) if beside && e.kind() == ErrorKind::AddrInUse => {
                log::info!(
                    "fleet: {} is held by the other process of this balancer",
                    config.bind
                );
            }
            result => result?,
        }
        Ok(me)
    }

    fn bind(&mut self, now: Nanos) -> io::Result<()> {
        self.bind_again = now + BIND_AGAIN;
        let socket = UdpSocket::bind(self.bind)?;
        socket.set_nonblocking(true)?;
        log::info!(
            "fleet: {} talks at {}",
            self.member.fleet_name(),
            socket.local_addr()?
        );
        self.socket = Some(
            self.poll
                .watch(socket, EventSource::Gossip, Interest::READABLE)?,
        );
        Ok(())
    }

    /// Reads what has come.
    pub fn ready(&mut self, now: Nanos) {
        let Some(socket) = &self.socket else { return };
        // One byte more than any datagram of ours: what is cut short is told by it.
        let mut bytes = [0; DATAGRAM_MAX + 1];
        for _ in 0..READ_MAX {
            match socket.socket().recv_from(&mut bytes) {
                Ok((length, from)) => self.member.receive(now, from, &bytes[..length]),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) => {
                    log::warn!("fleet: reading: {e}");
                    break;
                }
            }
        }
        self.after();
    }

    /// The member's own turn. `taken` is the count of requests taken since the start. Returns what the module is to be
    /// told, if it is something new.
    pub fn turn(&mut self, now: Nanos, life: &Lifecycle, taken: u64) -> Option<usize> {
        if self.socket.is_none() && now >= self.bind_again {
            // Whoever holds it is about to end; it is tried for as long as this process runs.
            let _ = self.bind(now);
        }
        let phase = match life.name() {
            "starting" => ServingPhase::Joining,
            "serving" => ServingPhase::Serving,
            _ => ServingPhase::Draining,
        };
        let span = now.saturating_sub(self.traffic.1);
        let tenths = (span >= TRAFFIC_SPAN).then(|| {
            let requests = taken.saturating_sub(self.traffic.0);
            self.traffic = (taken, now);
            rounded(requests * 10_000 * MS / span)
        });
        self.member.update_metadata(|soft| {
            soft.phase = phase;
            soft.request_rate_tenths = tenths.unwrap_or(soft.request_rate_tenths);
        });
        if self.socket.is_some() {
            self.member.tick(now);
        }
        self.after();
        let shared_by = self.member.share_count();
        (shared_by != self.told).then(|| {
            self.told = shared_by;
            shared_by
        })
    }

    /// From now on load is shed by a level that all agree on; the module has so many tiers.
    pub fn share_overload(&mut self, tiers: usize) {
        self.member.enable_shared_shedding(tiers);
    }

    /// Counts what the module let in and what of it found no room.
    pub fn count(&mut self, tally: AdmissionCounts) {
        self.member.add_admission_counts(tally);
    }

    /// What the module is to let in, if that is something new. Turns are those of the clock, the same everywhere.
    pub fn allowance(&mut self, now: Nanos) -> Option<SheddingLevel> {
        let level = self.member.shedding_level();
        if level == 0.0 && self.allowed.level == 0.0 {
            return None;
        }
        let turn = now / SHED_TURN;
        let allowed = SheddingLevel {
            level,
            rotation: turn,
            rotation_ends: (turn + 1) * SHED_TURN,
        };
        let (rose, fell) = (level > 0.0 && self.allowed.level == 0.0, level == 0.0);
        if rose {
            log::warn!(level = level; "fleet: more is asked for than there is room for; all shed by one level");
        } else if fell {
            log::info!("fleet: nothing is shed any more");
        }
        (allowed != self.allowed).then(|| {
            self.allowed = allowed;
            allowed
        })
    }

    /// When the next turn is due.
    pub fn due(&self) -> Nanos {
        if self.socket.is_some() {
            self.member.next_tick()
        } else {
            self.bind_again
        }
    }

    /// Tells the others that this balancer goes.
    pub fn leave(&mut self, now: Nanos) {
        self.member.leave(now);
        self.after();
    }

    /// Sends and logs what the member hands out.
    fn after(&mut self) {
        for (to, datagram) in self.member.take_datagrams() {
            let sent = self
                .socket
                .as_ref()
                .map(|socket| socket.socket().send_to(&datagram, to));
            // What does not go is as good as lost on the way: the talk is made for that.
            self.unsent += u64::from(!matches!(sent, Some(Ok(_))));
        }
        for change in self.member.take_events() {
            report(&change);
        }
    }

    /// What the operators are shown.
    pub fn json(&self, now: Nanos) -> String {
        let view = self.member.view();
        let members: Vec<Shown> = view
            .members
            .iter()
            .map(|seen| Shown::of(seen, now))
            .collect();
        let (id, soft) = (self.member.id(), self.member.metadata());
        let mut shown = serde_json::json!({
            "fleet": self.member.fleet_name(),
            "name": soft.name,
            "address": id.address,
            "generation": id.generation,
            "door": soft.listen_address,
            "config": format!("{:016x}", soft.config_checksum),
            "shared_by": self.told,
            "living": view.alive,
            "places": view.places,
            "cut_off": view.isolated,
            "level": self.member.shedding_level(),
            "members": members,
            "datagrams": self.member.statistics(),
            "unsent": self.unsent,
        });
        if !self.member.location().is_none() {
            self.show_regions(&mut shown, now);
        }
        format!("{shown}\n")
    }
}

impl GossipTransport {
    /// Adds what is known of the regions.
    fn show_regions(&self, shown: &mut serde_json::Value, now: Nanos) {
        let view = self.member.view();
        let location = self.member.location();
        let regions: Vec<ShownRegion> = view
            .regions
            .iter()
            .map(|seen| ShownRegion::of(seen, now))
            .collect();
        let (dropped, refused_parts) = self.member.regions_dropped();
        shown["region"] = location.region.as_str().into();
        shown["zone"] = location.zone.as_str().into();
        shown["site"] = location.site.as_str().into();
        shown["delegates"] = view
            .delegates
            .iter()
            .map(ToString::to_string)
            .collect::<Vec<_>>()
            .into();
        shown["regions"] = serde_json::json!(regions);
        shown["regions_dropped"] = serde_json::json!({
            "unsound": dropped.unsound,
            "older": dropped.outdated,
            "full": dropped.over_capacity,
            "refused_parts": refused_parts,
        });
    }
}

/// To two figures: what changes less is not worth telling a whole fleet.
fn rounded(tenths: u64) -> u32 {
    let step = 10u64.pow(tenths.max(1).ilog10().saturating_sub(1));
    u32::try_from(tenths / step * step).unwrap_or(u32::MAX)
}

/// One line a change.
fn report(change: &MembershipEvent) {
    match change {
        MembershipEvent::StatusChanged { name, id, was, is } => {
            let was = was.map_or("unknown", MemberStatus::name);
            let level = if *is == MemberStatus::Dead {
                log::Level::Warn
            } else {
                log::Level::Info
            };
            log::log!(
                level, member = name.as_str(), address:% = id.address, generation = id.generation,
                was = was, is = is.name();
                "fleet: {name} is {}", is.name()
            );
        }
        MembershipEvent::ShareCountChanged {
            was,
            is,
            alive: living,
        } => {
            log::info!(was = *was, is = *is, living = *living; "fleet: shares are divided by {is}");
        }
        MembershipEvent::DuplicateName {
            name,
            addresses: [one, other],
        } => {
            log::warn!(member = name.as_str(); "fleet: {one} and {other} are both called {name}; both count");
        }
        MembershipEvent::Rejoined { generation } => {
            log::warn!(generation = *generation; "fleet: given up by others, and back");
        }
        MembershipEvent::RegionReachability {
            region,
            reachable: true,
            alive: living,
        } => {
            log::info!(region = region.as_str(), living = *living; "fleet: region {region} is heard");
        }
        MembershipEvent::RegionReachability {
            region,
            reachable: false,
            alive: living,
        } => {
            log::warn!(region = region.as_str(), living = *living; "fleet: region {region} is silent");
        }
        MembershipEvent::Stalled => {
            log::warn!("fleet: this process stood still; what it waited for begins anew");
        }
    }
}

/// The counts, as `name=value` pairs.
impl fmt::Display for GossipTransport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let view = self.member.view();
        let count = |state: MemberStatus| {
            view.members
                .iter()
                .filter(|seen| seen.status == state)
                .count()
        };
        write!(
            f,
            "fleet: shared_by={} living={} places={}",
            self.told, view.alive, view.places
        )?;
        for state in [
            MemberStatus::Joining,
            MemberStatus::Serving,
            MemberStatus::Stalled,
            MemberStatus::Draining,
            MemberStatus::Left,
            MemberStatus::Dead,
        ] {
            write!(f, " {}={}", state.name(), count(state))?;
        }
        let t = self.member.statistics();
        write!(
            f,
            " sent={} sent_bytes={} heard={} heard_bytes={} unsent={} torn={} foreign={} version={} malformed={} \
             full={} asked={} suspicions={} given_up={} refuted={} returned={} gaps={} compared={} load={} level={:.2}",
            t.sent,
            t.sent_bytes,
            t.received,
            t.received_bytes,
            self.unsent,
            t.corrupt,
            t.foreign,
            t.unsupported_version,
            t.malformed,
            t.over_capacity,
            t.watcher_probes,
            t.suspicions,
            t.confirmed_dead,
            t.refutations,
            t.rejoins,
            t.stalls,
            t.digests,
            t.level_reports,
            self.member.shedding_level()
        )?;
        if self.member.location().is_none() {
            return Ok(());
        }
        let silent = view
            .regions
            .iter()
            .filter(|seen| seen.silent_since.is_some())
            .count();
        let (dropped, refused_parts) = self.member.regions_dropped();
        write!(
            f,
            " regions={} silent_regions={silent} regions_asked={} put_off={} unsound={} older={} full_regions={} refused_parts={refused_parts}",
            view.regions.len(),
            t.region_digests,
            t.deferred,
            dropped.unsound,
            dropped.outdated,
            dropped.over_capacity,
        )
    }
}

#[cfg(test)]
mod tests;
