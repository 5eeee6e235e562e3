//! Members of the `membership` crate side by side in virtual time: the same seed gives the same run
//! on every machine.

mod network;
mod views;

pub use network::NetworkConditions;

use membership::{
    Location, MS, Member, MemberMetadata, MemberStatistics, MemberStatus, MembershipEvent,
    MembershipSettings, Nanos, ServingPhase, Timing, View,
};
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::cell::Cell;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

struct MemberSlot {
    member: Option<Member>,
    /// Stalled until then.
    stalled_until: Nanos,
    /// Datagrams that are queued during a stall; the oldest ones beyond the bound are lost.
    inbox: Vec<(SocketAddr, Vec<u8>)>,
    statistics: MemberStatistics,
    sent_max: u64,
    false_deaths: u64,
    /// Its region, by number; 0 where there is one only.
    region: usize,
    /// Processor time of its own calls.
    cpu_time: Duration,
}

enum QueuedEvent {
    Turn(usize),
    Datagram(usize, SocketAddr, Vec<u8>),
}

/// A fleet in virtual time.
pub struct SimulatedFleet {
    slots: Vec<MemberSlot>,
    queue: BTreeMap<(Nanos, u64), QueuedEvent>,
    set: u64,
    rng: Xoshiro256PlusPlus,
    /// What happens to datagrams.
    pub network: NetworkConditions,
    /// What happens to those that go from one region to another; as all others if `None`.
    pub between_regions: Option<NetworkConditions>,
    /// Whether the way from one to another is cut.
    cut: Vec<Vec<bool>>,
    /// The time.
    pub now: Nanos,
    timing: Timing,
    joins: usize,
    members_max: usize,
    /// Members agree on a level of so many tiers.
    tiers: Option<usize>,
    numbers: HashMap<SocketAddr, usize>,
    /// Members announce a region, and know only summaries of the others.
    in_regions: bool,
    /// Members ask these places besides at first, whatever their region.
    joins_at: Vec<usize>,
    /// What members say that they take a second, in tenths; differs from member to member and moves
    /// on.
    request_rates_vary: bool,
    /// Where the last look for views that are not true stopped.
    last_wrong_view: Cell<usize>,
    /// Datagrams that were sent, for replays; the first of them.
    tape: Vec<(SocketAddr, Vec<u8>)>,
}

/// Datagrams that are queued at a stalled member, at most.
const INBOX: usize = 1_000;
/// Datagrams that are kept for replays, at most.
const TAPE: usize = 5_000;
/// What the members' clock shows at the beginning.
const EPOCH_MS: u64 = 1_700_000_000_000;

/// The address of the n-th member.
#[must_use]
pub fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8 + 1], 7_946))
}

/// The name of a region, by number.
#[must_use]
pub fn region_name(region: usize) -> String {
    format!("region-{region}")
}

impl SimulatedFleet {
    /// `n` places, all empty, by this seed; each member asks the first `joins` places.
    #[must_use]
    pub fn new(n: usize, joins: usize, seed: u64) -> Self {
        let empty = || MemberSlot {
            member: None,
            stalled_until: 0,
            inbox: Vec::new(),
            statistics: MemberStatistics::default(),
            sent_max: 0,
            false_deaths: 0,
            region: 0,
            cpu_time: Duration::ZERO,
        };
        SimulatedFleet {
            slots: (0..n).map(|_| empty()).collect(),
            queue: BTreeMap::new(),
            set: 0,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            network: NetworkConditions::default(),
            between_regions: None,
            cut: vec![vec![false; n]; n],
            now: 0,
            timing: Timing::default(),
            joins,
            members_max: 2_048,
            tiers: None,
            in_regions: false,
            joins_at: Vec::new(),
            request_rates_vary: false,
            last_wrong_view: Cell::new(0),
            tape: Vec::new(),
            numbers: (0..n).map(|i| (address(i), i)).collect(),
        }
    }

    /// A fleet in regions of these sizes, all places empty. Each member asks the first two places
    /// of its region at first, and the first of all.
    #[must_use]
    pub fn in_regions(sizes: &[usize], seed: u64) -> Self {
        let mut fleet = SimulatedFleet::new(sizes.iter().sum(), 2, seed);
        fleet.in_regions = true;
        let regions = sizes
            .iter()
            .enumerate()
            .flat_map(|(region, size)| vec![region; *size]);
        fleet
            .slots
            .iter_mut()
            .zip(regions)
            .for_each(|(place, region)| place.region = region);
        fleet
    }

    /// Members that start from now on ask these places at first, and none of their region unless it
    /// is among these.
    pub fn join_at(&mut self, places: &[usize]) {
        (self.joins, self.joins_at) = (0, places.to_vec());
    }

    /// Members that start from now on are of this region.
    pub fn set_region(&mut self, n: usize, region: usize) {
        self.slots[n].region = region;
    }

    /// The region of a place, by number.
    pub fn region(&self, n: usize) -> usize {
        self.slots[n].region
    }

    /// The places of a region.
    pub fn of_region(&self, region: usize) -> Vec<usize> {
        (0..self.slots.len())
            .filter(|n| self.slots[*n].region == region)
            .collect()
    }

    /// From now on the request rates of members change all the time.
    pub fn vary_request_rates(&mut self) {
        self.request_rates_vary = true;
    }

    /// Processor time of one member's own calls.
    pub fn cpu_time(&self, n: usize) -> Duration {
        self.slots[n].cpu_time
    }

    /// Bounds the members that each holds; for those that start from now on.
    pub fn set_members_max(&mut self, members_max: usize) {
        self.members_max = members_max;
    }

    /// Those that start from now on agree on a level of so many tiers.
    pub fn set_tiers(&mut self, tiers: usize) {
        self.tiers = Some(tiers);
    }

    /// Records what a member's engine admitted and what of it found no capacity.
    pub fn record_admissions(&mut self, n: usize, tally: membership::shedding::AdmissionCounts) {
        if let Some(member) = &mut self.slots[n].member {
            member.add_admission_counts(tally);
        }
    }

    /// The level that a member sheds by; 0 if none runs at this place.
    pub fn shedding_level(&self, n: usize) -> f64 {
        self.member(n).map_or(0.0, Member::shedding_level)
    }

    /// How many places there are.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Starts a member at a place, on a clock that shows this much more or less than the others'.
    pub fn start(&mut self, n: usize, clock_ms: i64) {
        let region = self.slots[n].region;
        let location = match self.in_regions {
            true => Location {
                region: region_name(region),
                ..Location::default()
            },
            false => Location::default(),
        };
        let first = self
            .slots
            .iter()
            .position(|place| place.region == region)
            .unwrap_or(0);
        let of_region = (first..self.slots.len()).filter(|n| self.slots[*n].region == region);
        let mut join: Vec<SocketAddr> = of_region.take(self.joins).map(address).collect();
        join.extend(self.joins_at.iter().map(|n| address(*n)));
        if self.in_regions && self.joins > 0 {
            join.push(address(0));
        }
        let settings = MembershipSettings {
            fleet: "trial".into(),
            name: format!("n{n}"),
            address: address(n),
            join,
            members_max: self.members_max,
            configured_balancers: 10,
            timing: self.timing,
            location,
        };
        let soft = MemberMetadata {
            name: format!("n{n}"),
            listen_address: address(n),
            phase: ServingPhase::Serving,
            build: "0.1.0".into(),
            config_checksum: 7,
            request_rate_tenths: 0,
            places: 1,
            extension: Vec::new(),
        };
        let unix = (EPOCH_MS + self.now / MS).saturating_add_signed(clock_ms);
        let mut member = Member::new(settings, soft, unix, self.rng.random(), self.now);
        if let Some(tiers) = self.tiers {
            member.enable_shared_shedding(tiers);
        }
        let place = &mut self.slots[n];
        (place.member, place.stalled_until) = (Some(member), 0);
        place.inbox.clear();
        self.push(self.now, QueuedEvent::Turn(n));
    }

    /// Starts all at once.
    pub fn start_all(&mut self) {
        (0..self.slots.len()).for_each(|n| self.start(n, 0));
    }

    /// Kills a member.
    pub fn kill(&mut self, n: usize) {
        self.slots[n].member = None;
    }

    /// A member goes and says so.
    pub fn leave(&mut self, n: usize) {
        if let Some(mut member) = self.slots[n].member.take() {
            member.leave(self.now);
            self.send(n, member.take_datagrams());
        }
    }

    /// A member stalls for this long.
    pub fn stall(&mut self, n: usize, span: Nanos) {
        self.slots[n].stalled_until = self.now + span;
    }

    /// A member, if one runs at this place.
    pub fn member(&self, n: usize) -> Option<&Member> {
        self.slots[n].member.as_ref()
    }

    /// Those that run.
    pub fn running(&self) -> Vec<usize> {
        (0..self.slots.len())
            .filter(|n| self.slots[*n].member.is_some())
            .collect()
    }

    /// What a member sees; it must run.
    pub fn view(&self, n: usize) -> View {
        self.slots[n]
            .member
            .as_ref()
            .map(Member::view)
            .unwrap_or_default()
    }

    /// How often anybody took a member for dead that ran and could be reached by it.
    pub fn false_deaths(&self) -> u64 {
        self.slots.iter().map(|p| p.false_deaths).sum()
    }

    /// The sum of all counts of datagrams, of those that run.
    pub fn statistics(&self, n: usize) -> MemberStatistics {
        self.slots[n]
            .member
            .as_ref()
            .map(Member::statistics)
            .unwrap_or(self.slots[n].statistics)
    }

    fn push(&mut self, at: Nanos, what: QueuedEvent) {
        self.set += 1;
        self.queue.insert((at, self.set), what);
    }

    /// The first datagrams that were sent, and by whom.
    pub fn tape(&self) -> Vec<(SocketAddr, Vec<u8>)> {
        self.tape.clone()
    }

    /// A datagram from nowhere, as it is.
    pub fn inject(&mut self, to: usize, from: SocketAddr, datagram: &[u8]) {
        if let Some(member) = &mut self.slots[to].member {
            member.receive(self.now, from, datagram);
        }
    }

    /// Plays on until then.
    pub fn advance_to(&mut self, until: Nanos) {
        while let Some(entry) = self
            .queue
            .first_entry()
            .filter(|entry| entry.key().0 <= until)
        {
            let ((at, _), what) = entry.remove_entry();
            self.now = self.now.max(at);
            match what {
                QueuedEvent::Turn(n) => self.run_member(n),
                QueuedEvent::Datagram(n, from, datagram) => self.deliver(n, from, datagram),
            }
        }
        self.now = until;
    }

    fn run_member(&mut self, n: usize) {
        let now = self.now;
        let place = &mut self.slots[n];
        let Some(member) = &mut place.member else {
            return;
        };
        if place.stalled_until > now {
            let at = place.stalled_until;
            return self.push(at, QueuedEvent::Turn(n));
        }
        let begun = Instant::now();
        for (from, datagram) in std::mem::take(&mut place.inbox) {
            member.receive(now, from, &datagram);
        }
        if self.request_rates_vary && (now / MS / 50 + n as u64).is_multiple_of(40) {
            let requests = (now / (2_000 * MS) * 7_919 + n as u64 * 104_729) % 400;
            member.update_metadata(|soft| soft.request_rate_tenths = 9_000 + 10 * requests as u32);
        }
        let due = (member.next_tick() <= now).then(|| {
            member.tick(now);
            member.next_tick()
        });
        place.cpu_time += begun.elapsed();
        if let Some(due) = due {
            self.push(due, QueuedEvent::Turn(n));
        }
        self.collect_output(n);
    }

    fn deliver(&mut self, n: usize, from: SocketAddr, datagram: Vec<u8>) {
        let now = self.now;
        let place = &mut self.slots[n];
        let Some(member) = &mut place.member else {
            return;
        };
        if place.stalled_until > now {
            if place.inbox.len() < INBOX {
                place.inbox.push((from, datagram));
            }
            return;
        }
        let begun = Instant::now();
        member.receive(now, from, &datagram);
        place.cpu_time += begun.elapsed();
        self.collect_output(n);
    }

    fn collect_output(&mut self, n: usize) {
        let Some(member) = &mut self.slots[n].member else {
            return;
        };
        let outputs = member.take_datagrams();
        let changes = member.take_events();
        let sent = outputs.len() as u64;
        self.slots[n].sent_max = self.slots[n].sent_max.max(sent);
        for change in changes {
            if let MembershipEvent::StatusChanged {
                id,
                current: MemberStatus::Dead,
                ..
            } = change
                && let Some(&other) = self.numbers.get(&id.address)
                && self.slots[other]
                    .member
                    .as_ref()
                    .is_some_and(|m| m.id() == id)
                && self.slots[other].stalled_until <= self.now
                && !self.cut[other][n]
                && !self.cut[n][other]
            {
                self.slots[n].false_deaths += 1;
            }
        }
        self.send(n, outputs);
    }

    /// Plays until this holds, at most for so long; how long it took.
    pub fn advance_until(
        &mut self,
        most: Nanos,
        holds: impl Fn(&SimulatedFleet) -> bool,
    ) -> Option<Nanos> {
        let begun = self.now;
        while self.now - begun <= most {
            if holds(self) {
                return Some(self.now - begun);
            }
            let next = self.now + 20 * MS;
            self.advance_to(next);
        }
        None
    }
}
