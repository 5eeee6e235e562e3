//! A process of hollow members: an event loop over their sockets and timers.

use super::messages::{MemberCommand, MemberReport};
use super::{HollowError, HollowPlan, MemberPlacement, REPORT_INTERVAL};
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

/// Maximum number of datagrams read from one socket per loop iteration.
const READ_MAX: usize = 64;
/// Maximum number of ready sockets handled per loop iteration.
const EVENTS_MAX: usize = 256;
/// Maximum time to wait for sockets per loop iteration, in milliseconds.
const WAIT_MAX_MS: u64 = 50;
/// Maximum number of members that a member tracks (setting `members_max`).
const MEMBERS_MAX: usize = 4_096;

struct HollowMember {
    index: usize,
    member: Member,
    socket: UdpSocket,
    /// Number of bytes sent up to the beginning of the current second.
    bytes_at_second: u64,
}

/// State of the process. Members are identified by their index in `placements`.
struct Process<'a> {
    plan: &'a HollowPlan,
    placements: &'a [MemberPlacement],
    by_address: HashMap<SocketAddr, usize>,
    epoll: Epoll,
    /// Running members of this process.
    members: BTreeMap<usize, HollowMember>,
    /// Members that this process may run, sorted.
    own_members: Vec<usize>,
    /// Times at which members are due for a tick.
    due: BinaryHeap<Reverse<(Nanos, usize)>>,
    /// Whether each member of the fleet is down, either killed or not started yet.
    down: Vec<bool>,
    /// Region that is cut off from the others.
    cut: Option<usize>,
    /// Number of running members by region, as expected by the parent.
    running: BTreeMap<usize, usize>,
    report: MemberReport,
    /// CPU time spent on creating reports, in nanoseconds.
    report_cpu_ns: u64,
    /// Beginning of the current second.
    second: Nanos,
    next_report: Nanos,
    /// Member whose view was last found incorrect; the next check begins with it.
    first_checked: usize,
    begin: Instant,
    /// Unix time at `begin`, in milliseconds.
    unix_ms: u64,
    /// Number of datagrams and bytes that killed members had sent.
    sent_by_killed: (u64, u64),
}

/// Returns the CPU time of this process so far, in nanoseconds.
fn process_cpu_ns() -> u64 {
    let text = std::fs::read_to_string("/proc/self/schedstat").unwrap_or_default();
    text.split(' ')
        .next()
        .and_then(|n| n.parse().ok())
        .unwrap_or(0)
}

/// Runs a process that may run `own_members` until standard input is closed.
pub(super) fn serve(
    plan: &HollowPlan,
    placements: &[MemberPlacement],
    own_members: Vec<usize>,
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
        placements,
        by_address: placements
            .iter()
            .enumerate()
            .map(|(n, placement)| (placement.address, n))
            .collect(),
        epoll,
        members: BTreeMap::new(),
        own_members,
        due: BinaryHeap::new(),
        down: vec![true; placements.len()],
        cut: None,
        running: BTreeMap::new(),
        report: MemberReport::default(),
        report_cpu_ns: 0,
        second: 0,
        next_report: 0,
        first_checked: 0,
        begin: Instant::now(),
        unix_ms: unix.as_millis() as u64,
        sent_by_killed: (0, 0),
    };
    process.run(&commands)
}

impl Process<'_> {
    fn now(&self) -> Nanos {
        self.begin.elapsed().as_nanos() as Nanos
    }

    fn run(&mut self, commands: &Receiver<MemberCommand>) -> Result<(), HollowError> {
        let mut events = [EpollEvent::empty(); EVENTS_MAX];
        loop {
            loop {
                match commands.try_recv() {
                    Ok(command) => self.apply(command)?,
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
                .map_err(|e| HollowError::io("standard output of a member process", e))?;
        }
    }

    fn apply(&mut self, command: MemberCommand) -> Result<(), HollowError> {
        match command {
            MemberCommand::Start(members) => {
                members.iter().for_each(|n| self.down[*n] = false);
                let own: Vec<usize> = members
                    .into_iter()
                    .filter(|n| self.own_members.binary_search(n).is_ok())
                    .collect();
                own.into_iter().try_for_each(|n| self.start(n))?;
            }
            MemberCommand::Kill(members) => {
                for n in members {
                    self.down[n] = true;
                    if let Some(hollow) = self.members.remove(&n) {
                        let traffic = hollow.member.statistics();
                        self.sent_by_killed.0 += traffic.sent;
                        self.sent_by_killed.1 += traffic.sent_bytes;
                        let _ = self.epoll.delete(&hollow.socket);
                    }
                }
            }
            MemberCommand::Cut(region) => self.cut = region,
            MemberCommand::Expect { epoch, running } => {
                (self.report.epoch, self.running) = (epoch, running);
                self.report.converged = false;
            }
        }
        Ok(())
    }

    fn start(&mut self, n: usize) -> Result<(), HollowError> {
        let placement = self.placements[n];
        let problem = |e: std::io::Error| HollowError::io(placement.address.to_string(), e);
        let socket = UdpSocket::bind(placement.address).map_err(problem)?;
        socket.set_nonblocking(true).map_err(problem)?;
        let event = EpollEvent::new(EpollFlags::EPOLLIN, n as u64);
        self.epoll
            .add(&socket, event)
            .map_err(|e| HollowError::io("epoll", e))?;
        let now = self.now();
        let settings = self.member_settings(n);
        let metadata = MemberMetadata {
            name: settings.name.clone(),
            listen_address: placement.address,
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
            HollowMember {
                index: n,
                member,
                socket,
                bytes_at_second: 0,
            },
        );
        Ok(())
    }

    fn member_settings(&self, n: usize) -> MembershipSettings {
        let placement = self.placements[n];
        let location = match self.plan.regions {
            1 => Location::default(),
            _ => Location {
                region: region_name(placement.region),
                ..Location::default()
            },
        };
        let in_region = self
            .placements
            .iter()
            .filter(|other| other.region == placement.region);
        let mut join: Vec<SocketAddr> = in_region.take(2).map(|other| other.address).collect();
        join.push(self.placements[0].address);
        MembershipSettings {
            fleet: "hollow".into(),
            name: format!("h{n}"),
            address: placement.address,
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

    /// Sends the datagrams of a member and counts running members that it reports dead.
    fn collect_output(&mut self, n: usize) {
        let Some(hollow) = self.members.get_mut(&n) else {
            return;
        };
        let region = self.placements[hollow.index].region;
        for (to, datagram) in hollow.member.take_datagrams() {
            let to_region = self
                .by_address
                .get(&to)
                .map(|other| self.placements[*other].region);
            let is_cut = self
                .cut
                .is_some_and(|cut| (cut == region) != (Some(cut) == to_region));
            if !is_cut {
                // A datagram that cannot be sent counts as lost in the network.
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
                && !self.down[*other]
            {
                self.report.false_deaths += 1;
            }
        }
    }

    /// Returns whether the view of a member equals the expected state.
    fn is_view_correct(&self, hollow: &HollowMember) -> bool {
        let region = self.placements[hollow.index].region;
        let expected = |region: usize| self.running.get(&region).copied().unwrap_or(0);
        let (mut present, mut serving) = (0, 0);
        for seen in hollow.member.members() {
            present += usize::from(seen.status.is_present());
            serving += usize::from(seen.status == MemberStatus::Serving);
        }
        if present != serving || present + 1 != expected(region) {
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
        let others = self.running.iter().filter(|(other, _)| **other != region);
        let mut expected_rows =
            others.map(|(other, running)| (region_name(*other), (*running as u32, true)));
        expected_rows.all(|(name, expected)| rows.get(name.as_str()) == Some(&expected))
    }

    /// Returns whether the views of all members of this process are correct. The check begins with
    /// the member whose view was last found incorrect.
    fn is_converged(&mut self) -> bool {
        let order = self
            .members
            .range(self.first_checked..)
            .chain(self.members.range(..self.first_checked));
        let incorrect = order
            .map(|(n, hollow)| (*n, self.is_view_correct(hollow)))
            .find(|(_, is_correct)| !is_correct);
        self.first_checked = incorrect.map_or(self.first_checked, |(n, _)| n);
        incorrect.is_none()
    }

    fn send_report(&mut self) -> std::io::Result<()> {
        let now = self.now();
        if now < self.next_report {
            return Ok(());
        }
        self.next_report = now + REPORT_INTERVAL;
        let before = process_cpu_ns();
        self.report.converged = self.is_converged();
        let traffic = self
            .members
            .values()
            .map(|hollow| hollow.member.statistics());
        let (sent, bytes) = traffic.fold(self.sent_by_killed, |sum, t| {
            (sum.0 + t.sent, sum.1 + t.sent_bytes)
        });
        (self.report.datagrams, self.report.bytes) = (sent, bytes);
        if now - self.second >= 1_000 * MS {
            self.second = now;
            self.report.max_bytes_per_s = 0;
            for hollow in self.members.values_mut() {
                let sent = hollow.member.statistics().sent_bytes;
                self.report.max_bytes_per_s = self
                    .report
                    .max_bytes_per_s
                    .max(sent - hollow.bytes_at_second);
                hollow.bytes_at_second = sent;
            }
        }
        self.report.resident_kb = process::own_resident_kb().unwrap_or(0) as usize;
        let after = process_cpu_ns();
        self.report_cpu_ns += after.saturating_sub(before);
        self.report.cpu_ns = after.saturating_sub(self.report_cpu_ns);
        let line = serde_json::to_string(&self.report)?;
        let mut output = std::io::stdout().lock();
        writeln!(output, "{line}")?;
        output.flush()
    }
}
