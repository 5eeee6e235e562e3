//! One process of hollow members: a loop over their sockets and timers.

use super::messages::{MemberCommand, MemberReport};
use super::{HollowError, HollowPlan, MemberPlacement, REPORT};
use crate::process;
use crate::simulation::fleet::region_name;
use membership::envelope::DATAGRAM_MAX;
use membership::{
    Location, MS, Member, MemberMetadata, MemberStatus, MembershipEvent, MembershipSettings, Nanos,
    ServingPhase, Timing,
};
use nix::sys::epoll::{Epoll, EpollCreateFlags, EpollEvent, EpollFlags, EpollTimeout};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::io::{BufRead, ErrorKind, Write};
use std::net::{SocketAddr, UdpSocket};
use std::sync::mpsc::{Receiver, TryRecvError, channel};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Datagrams read of one socket in a turn.
const READ_MAX: usize = 64;
/// Ready sockets that are handled in one turn.
const EVENTS_MAX: usize = 256;
/// The most that a turn waits for sockets, in milliseconds.
const WAIT_MAX_MS: u64 = 50;
/// Members that hold more than a region's share are refused.
const MEMBERS_MAX: usize = 4_096;

struct Hollow {
    place: usize,
    member: Member,
    socket: UdpSocket,
    /// Bytes sent when the last second began.
    bytes: u64,
}

struct Process<'a> {
    plan: &'a HollowPlan,
    places: &'a [MemberPlacement],
    by_address: HashMap<SocketAddr, usize>,
    epoll: Epoll,
    members: BTreeMap<usize, Hollow>,
    own: Vec<usize>,
    due: BinaryHeap<Reverse<(Nanos, usize)>>,
    killed: Vec<bool>,
    cut: Option<usize>,
    living: BTreeMap<usize, usize>,
    report: MemberReport,
    /// Processor time of the look at the views.
    check_ns: u64,
    second: Nanos,
    next_report: Nanos,
    /// The place whose view was last found untrue.
    untrue: usize,
    begun: Instant,
    unix_ms: u64,
    gone: (u64, u64),
}

/// Processor time of this process so far.
fn busy_ns() -> u64 {
    let text = std::fs::read_to_string("/proc/self/schedstat").unwrap_or_default();
    text.split(' ')
        .next()
        .and_then(|n| n.parse().ok())
        .unwrap_or(0)
}

/// Runs these members until standard input ends.
pub(super) fn serve(
    plan: &HollowPlan,
    places: &[MemberPlacement],
    own: Vec<usize>,
) -> Result<(), HollowError> {
    let (sender, commands) = channel();
    std::thread::spawn(move || {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            let Ok(command) = serde_json::from_str::<MemberCommand>(&line) else {
                return;
            };
            if sender.send(command).is_err() {
                return;
            }
        }
    });
    let epoll = Epoll::new(EpollCreateFlags::empty()).map_err(|e| HollowError::io("epoll", e))?;
    let unix = SystemTime::now().duration_since(UNIX_EPOCH)?;
    let mut process = Process {
        plan,
        places,
        by_address: places
            .iter()
            .enumerate()
            .map(|(n, place)| (place.address, n))
            .collect(),
        epoll,
        members: BTreeMap::new(),
        own,
        due: BinaryHeap::new(),
        killed: vec![true; places.len()],
        cut: None,
        living: BTreeMap::new(),
        report: MemberReport::default(),
        check_ns: 0,
        second: 0,
        next_report: 0,
        untrue: 0,
        begun: Instant::now(),
        unix_ms: unix.as_millis() as u64,
        gone: (0, 0),
    };
    process.run(&commands)
}

impl Process<'_> {
    fn now(&self) -> Nanos {
        self.begun.elapsed().as_nanos() as Nanos
    }

    fn run(&mut self, commands: &Receiver<MemberCommand>) -> Result<(), HollowError> {
        let mut events = [EpollEvent::empty(); EVENTS_MAX];
        loop {
            loop {
                match commands.try_recv() {
                    Ok(command) => self.carry_out(command)?,
                    Err(TryRecvError::Empty) => break,
                    Err(TryRecvError::Disconnected) => return Ok(()),
                }
            }
            let now = self.now();
            let next = self
                .due
                .peek()
                .map_or(Nanos::MAX, |Reverse((at, _))| *at)
                .min(self.next_report);
            let wait_ms = next.saturating_sub(now).div_ceil(MS).min(WAIT_MAX_MS) as u16;
            let ready = match self.epoll.wait(&mut events, EpollTimeout::from(wait_ms)) {
                Ok(ready) => ready,
                Err(nix::errno::Errno::EINTR) => 0,
                Err(e) => return Err(HollowError::io("epoll", e)),
            };
            for event in &events[..ready] {
                self.read(event.data() as usize);
            }
            self.run_due_members();
            self.send_report()
                .map_err(|e| HollowError::io("reporting", e))?;
        }
    }

    fn carry_out(&mut self, command: MemberCommand) -> Result<(), HollowError> {
        match command {
            MemberCommand::Start(who) => {
                who.iter().for_each(|n| self.killed[*n] = false);
                let own: Vec<usize> = who
                    .into_iter()
                    .filter(|n| self.own.binary_search(n).is_ok())
                    .collect();
                own.into_iter().try_for_each(|n| self.start(n))?;
            }
            MemberCommand::Kill(who) => {
                for n in who {
                    self.killed[n] = true;
                    if let Some(hollow) = self.members.remove(&n) {
                        let traffic = hollow.member.statistics();
                        self.gone.0 += traffic.sent;
                        self.gone.1 += traffic.sent_bytes;
                        let _ = self.epoll.delete(&hollow.socket);
                    }
                }
            }
            MemberCommand::Cut(region) => self.cut = region,
            MemberCommand::Expect { epoch, living } => {
                (self.report.epoch, self.living) = (epoch, living);
                self.report.settled = false;
            }
        }
        Ok(())
    }

    fn start(&mut self, n: usize) -> Result<(), HollowError> {
        let place = self.places[n];
        let problem = |e: std::io::Error| HollowError::io(place.address.to_string(), e);
        let socket = UdpSocket::bind(place.address).map_err(problem)?;
        socket.set_nonblocking(true).map_err(problem)?;
        let event = EpollEvent::new(EpollFlags::EPOLLIN, n as u64);
        self.epoll
            .add(&socket, event)
            .map_err(|e| HollowError::io("epoll", e))?;
        let now = self.now();
        let settings = self.member_settings(n);
        let metadata = MemberMetadata {
            name: settings.name.clone(),
            listen_address: place.address,
            phase: ServingPhase::Serving,
            build: env!("CARGO_PKG_VERSION").into(),
            config_checksum: 7,
            request_rate_tenths: 0,
            places: 1,
            extension: Vec::new(),
        };
        let seed = self
            .plan
            .seed
            .wrapping_mul(1_000_003)
            .wrapping_add(n as u64);
        let member = Member::new(settings, metadata, self.unix_ms + now / MS, seed, now);
        self.due.push(Reverse((now, n)));
        self.members.insert(
            n,
            Hollow {
                place: n,
                member,
                socket,
                bytes: 0,
            },
        );
        Ok(())
    }

    fn member_settings(&self, n: usize) -> MembershipSettings {
        let place = self.places[n];
        let location = match self.plan.regions {
            1 => Location::default(),
            _ => Location {
                region: region_name(place.region),
                ..Location::default()
            },
        };
        let of_region = self
            .places
            .iter()
            .filter(|other| other.region == place.region);
        let mut join: Vec<SocketAddr> = of_region.take(2).map(|other| other.address).collect();
        join.push(self.places[0].address);
        MembershipSettings {
            fleet: "hollow".into(),
            name: format!("h{n}"),
            address: place.address,
            join,
            members_max: MEMBERS_MAX,
            configured_balancers: self.plan.members,
            timing: Timing::default(),
            location,
        }
    }

    fn read(&mut self, n: usize) {
        let now = self.now();
        let Some(hollow) = self.members.get_mut(&n) else {
            return;
        };
        let mut bytes = [0; DATAGRAM_MAX + 1];
        for _ in 0..READ_MAX {
            match hollow.socket.recv_from(&mut bytes) {
                Ok((length, from)) => hollow.member.receive(now, from, &bytes[..length]),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => break,
            }
        }
        self.collect_output(n);
    }

    fn run_due_members(&mut self) {
        let now = self.now();
        while let Some(Reverse((_, n))) = self
            .due
            .peek()
            .copied()
            .filter(|Reverse((at, _))| *at <= now)
        {
            self.due.pop();
            let Some(hollow) = self.members.get_mut(&n) else {
                continue;
            };
            if hollow.member.next_tick() <= now {
                hollow.member.tick(now);
            }
            let due = hollow.member.next_tick();
            self.due.push(Reverse((due, n)));
            self.collect_output(n);
        }
    }

    /// Sends what the member hands out, and counts whom it takes for dead wrongly.
    fn collect_output(&mut self, n: usize) {
        let Some(hollow) = self.members.get_mut(&n) else {
            return;
        };
        let region = self.places[hollow.place].region;
        for (to, datagram) in hollow.member.take_datagrams() {
            let to_region = self
                .by_address
                .get(&to)
                .map(|other| self.places[*other].region);
            let apart = self
                .cut
                .is_some_and(|cut| (cut == region) != (Some(cut) == to_region));
            if !apart {
                // What does not go is as good as lost on the way.
                let _ = hollow.socket.send_to(&datagram, to);
            }
        }
        for change in hollow.member.take_events() {
            if let MembershipEvent::StatusChanged {
                id,
                current: MemberStatus::Dead,
                ..
            } = change
                && let Some(other) = self.by_address.get(&id.address)
                && !self.killed[*other]
            {
                self.report.false_deaths += 1;
            }
        }
    }

    /// Whether a member sees those who run, and nobody else.
    fn is_true(&self, hollow: &Hollow) -> bool {
        let region = self.places[hollow.place].region;
        let living = |region: usize| self.living.get(&region).copied().unwrap_or(0);
        let (mut there, mut serving) = (0, 0);
        for seen in hollow.member.members() {
            there += usize::from(seen.status.is_present());
            serving += usize::from(seen.status == MemberStatus::Serving);
        }
        if there != serving || there + 1 != living(region) {
            return false;
        }
        if self.plan.regions == 1 {
            return true;
        }
        let rows: HashMap<&str, (u32, bool)> = hollow
            .member
            .other_regions()
            .map(|(row, silent_since)| (row.region.as_str(), (row.alive, silent_since.is_none())))
            .collect();
        let others = self.living.iter().filter(|(other, _)| **other != region);
        let mut all = others.map(|(other, living)| (region_name(*other), (*living as u32, true)));
        all.all(|(name, truth)| rows.get(name.as_str()) == Some(&truth))
    }

    /// Whether all members of this process see what is true; the look begins where the last one
    /// ended.
    fn is_settled(&mut self) -> bool {
        let order = self
            .members
            .range(self.untrue..)
            .chain(self.members.range(..self.untrue));
        let untrue = order
            .map(|(n, hollow)| (*n, self.is_true(hollow)))
            .find(|(_, is_true)| !is_true);
        self.untrue = untrue.map_or(self.untrue, |(n, _)| n);
        untrue.is_none()
    }

    fn send_report(&mut self) -> std::io::Result<()> {
        let now = self.now();
        if now < self.next_report {
            return Ok(());
        }
        self.next_report = now + REPORT;
        let before = busy_ns();
        self.report.settled = self.is_settled();
        let traffic = self
            .members
            .values()
            .map(|hollow| hollow.member.statistics());
        let (sent, bytes) =
            traffic.fold(self.gone, |sum, t| (sum.0 + t.sent, sum.1 + t.sent_bytes));
        (self.report.datagrams, self.report.bytes) = (sent, bytes);
        if now - self.second >= 1_000 * MS {
            self.second = now;
            self.report.worst = 0;
            for hollow in self.members.values_mut() {
                let sent = hollow.member.statistics().sent_bytes;
                self.report.worst = self.report.worst.max(sent - hollow.bytes);
                hollow.bytes = sent;
            }
        }
        self.report.resident_kb = process::own_resident_kb().unwrap_or(0) as usize;
        let after = busy_ns();
        self.check_ns += after.saturating_sub(before);
        self.report.busy_ns = after.saturating_sub(self.check_ns);
        let line = serde_json::to_string(&self.report)?;
        let mut output = std::io::stdout().lock();
        writeln!(output, "{line}")?;
        output.flush()
    }
}
