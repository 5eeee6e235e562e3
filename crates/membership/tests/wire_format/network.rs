//! Seeded network of members in virtual time, which records every datagram.

use membership::shedding::AdmissionCounts;
use membership::{
    Location, MS, Member, MemberMetadata, MembershipSettings, Nanos, ServingPhase, Timing,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// Unix time in milliseconds at virtual time 0.
pub const EPOCH_MS: u64 = 1_700_000_000_000;
const STEP: Nanos = 5 * MS;
const SECOND: Nanos = 1_000 * MS;
/// One datagram in this many is lost.
const LOSS_ONE_IN: u64 = 23;
/// Length of an envelope without its payload, in bytes.
const ENVELOPE_BYTES: usize = 16;

/// A sent datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sent {
    pub from: SocketAddr,
    pub to: SocketAddr,
    pub bytes: Vec<u8>,
}

impl Sent {
    pub fn kind(&self) -> u8 {
        self.bytes[3]
    }
}

/// Members of a scenario, and the datagrams they sent.
pub struct Network {
    region_of: fn(u16) -> &'static str,
    members: BTreeMap<SocketAddr, Member>,
    in_flight: BTreeMap<(Nanos, u64), Sent>,
    down: BTreeSet<SocketAddr>,
    is_partitioned: bool,
    now: Nanos,
    pub sent: Vec<Sent>,
}

pub fn address(number: u16) -> SocketAddr {
    format!("10.1.2.{number}:{}", 7_000 + number)
        .parse()
        .unwrap()
}

impl Network {
    pub fn new(region_of: fn(u16) -> &'static str) -> Self {
        Network {
            region_of,
            members: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            down: BTreeSet::new(),
            is_partitioned: false,
            now: 0,
            sent: Vec::new(),
        }
    }

    pub fn start(&mut self, number: u16, join: &[u16]) {
        let region = (self.region_of)(number);
        let settings = MembershipSettings {
            fleet: "tiles".into(),
            name: format!("balancer-{number}"),
            address: address(number),
            join: join.iter().copied().map(address).collect(),
            members_max: 64,
            configured_balancers: 4,
            timing: Timing::default(),
            location: Location {
                region: region.into(),
                zone: if region.is_empty() { "" } else { "zone-1" }.into(),
                site: String::new(),
            },
        };
        let metadata = MemberMetadata {
            name: format!("balancer-{number}"),
            listen_address: format!("10.1.2.{number}:6379").parse().unwrap(),
            phase: ServingPhase::Joining,
            build: "cab609d".into(),
            config_checksum: 0x1234_5678_9abc_def0,
            request_rate_tenths: 0,
            places: 0,
            extension: Vec::new(),
        };
        let unix_ms = EPOCH_MS + self.now / MS;
        let seed = 1_000 + u64::from(number);
        let mut member = Member::new(settings, metadata, unix_ms, seed, self.now);
        member.enable_shared_shedding(6);
        self.members.insert(address(number), member);
    }

    pub fn crash(&mut self, number: u16) {
        self.down.insert(address(number));
    }

    pub fn leave(&mut self, number: u16) {
        self.with_member(number, Member::leave);
        self.collect(address(number));
    }

    /// Partitions the regions from each other, or heals the partition.
    pub fn set_partitioned(&mut self, is_partitioned: bool) {
        self.is_partitioned = is_partitioned;
    }

    /// Sets all members to the serving phase, each with its own request rate.
    pub fn serve(&mut self) {
        for (address, member) in &mut self.members {
            member.update_metadata(|metadata| {
                metadata.phase = ServingPhase::Serving;
                metadata.request_rate_tenths = u32::from(address.port()) * 10;
            });
        }
    }

    /// Adds counts at each member in which many admitted requests are rejected for capacity.
    pub fn overload(&mut self) {
        let mut counts = AdmissionCounts::default();
        counts.admitted[..4].copy_from_slice(&[40, 30, 20, 10]);
        counts.capacity_rejections = 35;
        for member in self.members.values_mut() {
            member.add_admission_counts(counts);
        }
    }

    pub fn with_member(&mut self, number: u16, action: impl FnOnce(&mut Member, Nanos)) {
        let now = self.now;
        action(self.members.get_mut(&address(number)).unwrap(), now);
    }

    pub fn run_for(&mut self, seconds: u64) {
        let end = self.now + seconds * SECOND;
        while self.now < end {
            self.now += STEP;
            self.deliver();
            let members: Vec<SocketAddr> = self.members.keys().copied().collect();
            for address in members {
                let member = self.members.get_mut(&address).unwrap();
                if !self.down.contains(&address) && member.next_tick() <= self.now {
                    member.tick(self.now);
                }
                self.collect(address);
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let sent = entry.remove();
            if !self.down.contains(&sent.to)
                && let Some(member) = self.members.get_mut(&sent.to)
            {
                member.receive(self.now, sent.from, &sent.bytes);
                member.take_events();
                self.collect(sent.to);
            }
        }
    }

    fn collect(&mut self, from: SocketAddr) {
        let outputs = self.members.get_mut(&from).unwrap().take_datagrams();
        for (to, bytes) in outputs {
            let number = self.sent.len() as u64;
            let random = xxh3_64(&number.to_le_bytes());
            let sent = Sent { from, to, bytes };
            self.sent.push(sent.clone());
            let region = |address: SocketAddr| (self.region_of)(address.port() - 7_000);
            if self.is_partitioned && region(from) != region(to)
                || random.is_multiple_of(LOSS_ONE_IN)
            {
                continue;
            }
            let due = self.now + 2 * MS + random % (20 * MS);
            self.in_flight.insert((due, number), sent);
        }
    }

    /// Returns the first line of a recording: the number, total bytes and checksum of all sent
    /// datagrams.
    pub fn summary(&self) -> String {
        let mut hashed = Vec::new();
        for sent in &self.sent {
            hashed.extend(format!("{} {} ", sent.from, sent.to).into_bytes());
            hashed.extend(&sent.bytes);
        }
        let bytes: usize = self.sent.iter().map(|sent| sent.bytes.len()).sum();
        format!(
            "all {} {bytes} {:016x}\n",
            self.sent.len(),
            xxh3_64(&hashed)
        )
    }

    /// Returns the summary, and the shortest and the longest datagram of each kind, one per line:
    /// kind, `shortest` or `longest`, sender, recipient, and the bytes in hexadecimal.
    pub fn recording(&self) -> String {
        let mut lines = self.summary();
        for kind in 1..=14 {
            let of_kind = || {
                let of_kind = self.sent.iter().filter(|sent| sent.kind() == kind);
                of_kind.filter(|sent| sent.bytes.len() > ENVELOPE_BYTES)
            };
            let shortest = of_kind().min_by_key(|sent| sent.bytes.len());
            let longest = of_kind().rev().max_by_key(|sent| sent.bytes.len());
            for (extreme, sent) in [("shortest", shortest), ("longest", longest)] {
                if let Some(sent) = sent {
                    let hex: String = sent
                        .bytes
                        .iter()
                        .map(|byte| format!("{byte:02x}"))
                        .collect();
                    lines += &format!("{kind} {extreme} {} {} {hex}\n", sent.from, sent.to);
                }
            }
        }
        lines
    }
}

/// Runs a fleet without regions with a crash, a leave, a restart, an overload and losses.
pub fn without_regions() -> Network {
    let mut network = Network::new(|_| "");
    for number in 1..=7 {
        network.start(number, &[1, 2]);
    }
    run_scenario(&mut network);
    network
}

/// Runs two regions of five and four members, which are partitioned for a while. Then a new member
/// of the south joins. Its only join address is a member of the north that is not a delegate.
pub fn with_regions() -> Network {
    let mut network = Network::new(|number| if number <= 5 { "north" } else { "south" });
    for number in 1..=9 {
        network.start(number, &[1, 6]);
    }
    run_scenario(&mut network);
    network.set_partitioned(true);
    network.run_for(8);
    network.set_partitioned(false);
    let delegates = network.members[&address(1)].delegates().to_vec();
    let non_delegate =
        (1..=5).find(|number| !delegates.contains(&address(*number)) && *number != 2);
    network.start(10, &[non_delegate.unwrap()]);
    network.run_for(10);
    network
}

fn run_scenario(network: &mut Network) {
    network.run_for(4);
    network.serve();
    network.run_for(3);
    network.crash(2);
    network.run_for(6);
    for _ in 0..4 {
        network.overload();
        network.run_for(1);
    }
    network.leave(4);
    network.run_for(3);
    network.down.clear();
    network.start(2, &[1]);
    network.run_for(4);
}
