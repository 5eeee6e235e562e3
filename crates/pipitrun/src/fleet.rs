//! The fleet's talk: one UDP socket and one timer, fed into a `pipitrun_fleet::Member`. What it says of the others goes
//! into the log, the counters, the operators' door, and, as one figure, to the module. Without the key `fleet` of the
//! configuration there is none of this.

use crate::config::FleetConfig;
use crate::life_cycle::LifeCycle;
use crate::poll::{Poll, Source, Watched};
use crate::timers::MS;
use finchyard::{Allowance, Nanos, Tally};
use pipitrun_fleet::envelope::DATAGRAM_MAX;
use pipitrun_fleet::{Change, Member, Phase, Soft, State};
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
pub struct Fleet {
    poll: Poll,
    bind: SocketAddr,
    /// None while another process of this balancer holds the address.
    socket: Option<Watched<UdpSocket>>,
    bind_again: Nanos,
    member: Member,
    /// What the module was last told.
    told: usize,
    /// Requests taken, and when they were last looked at.
    traffic: (u64, Nanos),
    /// What the module was last allowed.
    allowed: Allowance,
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
    state: State,
    since_ms: u64,
    door: Option<SocketAddr>,
    build: Option<String>,
    config: Option<String>,
    requests_per_s: Option<f64>,
    places: Option<u16>,
}

impl Fleet {
    /// Opens the socket and begins to look for the others. `soft` is what is told of this balancer; `configured` is the
    /// settings' number of balancers. `beside` tells that another process of this balancer may still hold the address.
    pub fn open(
        poll: &Poll,
        config: &FleetConfig,
        soft: Soft,
        configured: usize,
        seed: u64,
        now: Nanos,
        beside: bool,
    ) -> io::Result<Self> {
        let mut me = Fleet {
            poll: poll.clone(),
            bind: config.bind,
            socket: None,
            bind_again: 0,
            member: Member::new(config.settings(&soft.name, configured), soft, now / MS, seed, now),
            told: configured,
            allowed: Allowance::default(),
            traffic: (0, now),
            unsent: 0,
        };
        match me.bind(now) {
            Err(e) if beside && e.kind() == ErrorKind::AddrInUse => {
                log::info!("fleet: {} is held by the other process of this balancer", config.bind);
            }
            result => result?,
        }
        Ok(me)
    }

    fn bind(&mut self, now: Nanos) -> io::Result<()> {
        self.bind_again = now + BIND_AGAIN;
        let socket = UdpSocket::bind(self.bind)?;
        socket.set_nonblocking(true)?;
        log::info!("fleet: {} talks at {}", self.member.fleet(), socket.local_addr()?);
        self.socket = Some(self.poll.watch(socket, Source::Fleet, true, false)?);
        Ok(())
    }

    /// Reads what has come.
    pub fn ready(&mut self, now: Nanos) {
        let Some(socket) = &self.socket else { return };
        // One byte more than any datagram of ours: what is cut short is told by it.
        let mut bytes = [0; DATAGRAM_MAX + 1];
        for _ in 0..READ_MAX {
            match socket.socket().recv_from(&mut bytes) {
                Ok((length, from)) => self.member.datagram(now, from, &bytes[..length]),
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
    pub fn turn(&mut self, now: Nanos, life: &LifeCycle, taken: u64) -> Option<usize> {
        if self.socket.is_none() && now >= self.bind_again {
            // Whoever holds it is about to end; it is tried for as long as this process runs.
            let _ = self.bind(now);
        }
        let phase = match life.name() {
            "starting" => Phase::Joining,
            "serving" => Phase::Serving,
            _ => Phase::Draining,
        };
        let span = now.saturating_sub(self.traffic.1);
        let tenths = (span >= TRAFFIC_SPAN).then(|| {
            let requests = taken.saturating_sub(self.traffic.0);
            self.traffic = (taken, now);
            rounded(requests * 10_000 * MS / span)
        });
        self.member.tell(|soft| {
            soft.phase = phase;
            soft.traffic = tenths.unwrap_or(soft.traffic);
        });
        if self.socket.is_some() {
            self.member.turn(now);
        }
        self.after();
        let shared_by = self.member.shared_by();
        (shared_by != self.told).then(|| {
            self.told = shared_by;
            shared_by
        })
    }

    /// From now on load is shed by a level that all agree on; the module has so many rungs.
    pub fn share_overload(&mut self, rungs: usize) {
        self.member.share_overload(rungs);
    }

    /// Counts what the module let in and what of it found no room.
    pub fn count(&mut self, tally: Tally) {
        self.member.count(tally);
    }

    /// What the module is to let in, if that is something new. Turns are those of the clock, the same everywhere.
    pub fn allowance(&mut self, now: Nanos) -> Option<Allowance> {
        let level = self.member.level();
        if level == 0.0 && self.allowed.level == 0.0 {
            return None;
        }
        let turn = now / SHED_TURN;
        let allowed = Allowance { level, turn, turn_ends: (turn + 1) * SHED_TURN };
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
        if self.socket.is_some() { self.member.due() } else { self.bind_again }
    }

    /// Tells the others that this balancer goes.
    pub fn leave(&mut self, now: Nanos) {
        self.member.leave(now);
        self.after();
    }

    /// Sends and logs what the member hands out.
    fn after(&mut self) {
        for (to, datagram) in self.member.take_outputs() {
            let sent = self.socket.as_ref().map(|socket| socket.socket().send_to(&datagram, to));
            // What does not go is as good as lost on the way: the talk is made for that.
            self.unsent += u64::from(!matches!(sent, Some(Ok(_))));
        }
        for change in self.member.take_changes() {
            report(&change);
        }
    }

    /// What the operators are shown.
    pub fn json(&self, now: Nanos) -> String {
        let view = self.member.view();
        let members: Vec<Shown> = view
            .members
            .iter()
            .map(|seen| Shown {
                name: seen.name(),
                address: seen.id.address,
                generation: seen.id.generation,
                incarnation: seen.incarnation,
                state: seen.state,
                since_ms: now.saturating_sub(seen.since) / MS,
                door: seen.soft.as_ref().map(|soft| soft.door),
                build: seen.soft.as_ref().map(|soft| soft.build.clone()),
                config: seen.soft.as_ref().map(|soft| format!("{:016x}", soft.config)),
                requests_per_s: seen.soft.as_ref().map(|soft| f64::from(soft.traffic) / 10.0),
                places: seen.soft.as_ref().map(|soft| soft.places),
            })
            .collect();
        let (id, soft) = (self.member.id(), self.member.soft());
        let shown = serde_json::json!({
            "fleet": self.member.fleet(),
            "name": soft.name,
            "address": id.address,
            "generation": id.generation,
            "door": soft.door,
            "config": format!("{:016x}", soft.config),
            "shared_by": self.told,
            "living": view.living,
            "places": view.places,
            "cut_off": view.cut_off,
            "level": self.member.level(),
            "members": members,
            "datagrams": self.member.traffic(),
            "unsent": self.unsent,
        });
        format!("{shown}\n")
    }
}

/// To two figures: what changes less is not worth telling a whole fleet.
fn rounded(tenths: u64) -> u32 {
    let step = 10u64.pow(tenths.max(1).ilog10().saturating_sub(1));
    u32::try_from(tenths / step * step).unwrap_or(u32::MAX)
}

/// One line a change.
fn report(change: &Change) {
    match change {
        Change::Became { name, id, was, is } => {
            let was = was.map_or("unknown", State::name);
            let level = if *is == State::Dead { log::Level::Warn } else { log::Level::Info };
            log::log!(
                level, member = name.as_str(), address:% = id.address, generation = id.generation,
                was = was, is = is.name();
                "fleet: {name} is {}", is.name()
            );
        }
        Change::Count { was, is, living } => {
            log::info!(was = *was, is = *is, living = *living; "fleet: shares are divided by {is}");
        }
        Change::NameTwice { name, addresses: [one, other] } => {
            log::warn!(member = name.as_str(); "fleet: {one} and {other} are both called {name}; both count");
        }
        Change::Returned { generation } => {
            log::warn!(generation = *generation; "fleet: given up by others, and back");
        }
        Change::StoodStill => {
            log::warn!("fleet: this process stood still; what it waited for begins anew");
        }
    }
}

/// The counts, as `name=value` pairs.
impl fmt::Display for Fleet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let view = self.member.view();
        let count = |state: State| view.members.iter().filter(|seen| seen.state == state).count();
        write!(f, "fleet: shared_by={} living={} places={}", self.told, view.living, view.places)?;
        for state in
            [State::Joining, State::Serving, State::Stalled, State::Draining, State::Left, State::Dead]
        {
            write!(f, " {}={}", state.name(), count(state))?;
        }
        let t = self.member.traffic();
        write!(
            f,
            " sent={} sent_bytes={} heard={} heard_bytes={} unsent={} torn={} foreign={} version={} malformed={} \
             full={} asked={} suspicions={} given_up={} refuted={} returned={} gaps={} compared={} load={} level={:.2}",
            t.sent,
            t.sent_bytes,
            t.heard,
            t.heard_bytes,
            self.unsent,
            t.torn,
            t.foreign,
            t.version,
            t.malformed,
            t.full,
            t.asked,
            t.suspicions,
            t.given_up,
            t.refuted,
            t.returned,
            t.gaps,
            t.compared,
            t.load,
            self.member.level()
        )
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn traffic_is_told_to_two_figures() {
        for (tenths, told) in [(0, 0), (7, 7), (99, 99), (123, 120), (98_765, 98_000)] {
            assert_eq!(rounded(tenths), told);
        }
    }
}
