//! Fleet of `membership` members in virtual time. A run depends only on its seed, not on the speed
//! of the machine.

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

/// Position of a member in the fleet, with a fixed address. It is empty while no member runs.
struct MemberSlot {
    member: Option<Member>,
    /// Virtual time at which the current stall ends; in the past if the member is not stalled.
    stalled_until: Nanos,
    /// Datagrams that arrived during a stall, at most [`MAX_INBOX_DATAGRAMS`]; later ones are
    /// dropped.
    inbox: Vec<(SocketAddr, Vec<u8>)>,
    /// Counters returned while no member runs: zeros.
    statistics: MemberStatistics,
    /// Maximum number of datagrams that the member sent at once.
    max_sent_per_turn: u64,
    /// Number of false deaths that the member declared.
    false_deaths: u64,
    /// Index of the member's region; 0 in a fleet without regions.
    region: usize,
    /// Wall-clock time spent in calls to the member, an estimate of its processor time.
    cpu_time: Duration,
}

/// Event of the simulation.
enum QueuedEvent {
    /// Runs the timers of the member in this slot.
    RunMember(usize),
    /// Delivers a datagram to this slot from this address.
    Deliver(usize, SocketAddr, Vec<u8>),
}

/// Fleet of members and the network between them, in virtual time.
pub struct SimulatedFleet {
    slots: Vec<MemberSlot>,
    /// Pending events by virtual time and insertion order.
    events: BTreeMap<(Nanos, u64), QueuedEvent>,
    /// Sequence number of the last inserted event.
    event_sequence: u64,
    rng: Xoshiro256PlusPlus,
    /// Conditions for datagrams within a region; for all datagrams if `between_regions` is
    /// `None`.
    pub network: NetworkConditions,
    /// Conditions for datagrams between regions; `None` applies `network` to them as well.
    pub between_regions: Option<NetworkConditions>,
    /// `link_cut[from][to]` is true while datagrams in that direction are dropped.
    link_cut: Vec<Vec<bool>>,
    /// Virtual time since the fleet was created.
    pub now: Nanos,
    timing: Timing,
    /// Number of slots, from the first of each region on, that are join addresses of its members.
    join_count: usize,
    /// Maximum number of members that each member tracks.
    members_max: usize,
    /// Number of tiers of the shared shedding level; `None` disables shared shedding.
    shedding_tiers: Option<usize>,
    slot_by_address: HashMap<SocketAddr, usize>,
    /// Whether members are configured with a region, so that they hold only summaries of the other
    /// regions.
    has_regions: bool,
    /// Slots that are join addresses of every member, whatever its region.
    extra_join_slots: Vec<usize>,
    /// Whether the request rates that members report differ from member to member and change over
    /// time.
    request_rates_vary: bool,
    /// Slot whose view the last failed convergence check found wrong; the next check starts there.
    last_wrong_member: Cell<usize>,
    /// Datagrams sent first, at most [`MAX_RECORDED_DATAGRAMS`], for replay tests.
    recorded_datagrams: Vec<(SocketAddr, Vec<u8>)>,
}

/// Maximum number of datagrams queued at a stalled member.
const MAX_INBOX_DATAGRAMS: usize = 1_000;
/// Maximum number of datagrams recorded for replay.
const MAX_RECORDED_DATAGRAMS: usize = 5_000;
/// Unix time of the members' clocks at virtual time 0, in milliseconds.
const START_UNIX_MS: u64 = 1_700_000_000_000;

/// Returns the address of the member in slot `n`.
#[must_use]
pub fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8 + 1], 7_946))
}

/// Returns the name of the region with this index.
#[must_use]
pub fn region_name(region: usize) -> String {
    format!("region-{region}")
}

impl SimulatedFleet {
    /// Creates a fleet of `n` empty slots. The first `join_count` slots are the join addresses of
    /// each member.
    #[must_use]
    pub fn new(n: usize, join_count: usize, seed: u64) -> Self {
        let empty = || MemberSlot {
            member: None,
            stalled_until: 0,
            inbox: Vec::new(),
            statistics: MemberStatistics::default(),
            max_sent_per_turn: 0,
            false_deaths: 0,
            region: 0,
            cpu_time: Duration::ZERO,
        };
        SimulatedFleet {
            slots: (0..n).map(|_| empty()).collect(),
            events: BTreeMap::new(),
            event_sequence: 0,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            network: NetworkConditions::default(),
            between_regions: None,
            link_cut: vec![vec![false; n]; n],
            now: 0,
            timing: Timing::default(),
            join_count,
            members_max: 2_048,
            shedding_tiers: None,
            has_regions: false,
            extra_join_slots: Vec::new(),
            request_rates_vary: false,
            last_wrong_member: Cell::new(0),
            recorded_datagrams: Vec::new(),
            slot_by_address: (0..n).map(|i| (address(i), i)).collect(),
        }
    }

    /// Creates a fleet of empty slots in regions of these sizes. The join addresses of each member
    /// are the first two slots of its region and the first slot of the fleet.
    #[must_use]
    pub fn with_regions(sizes: &[usize], seed: u64) -> Self {
        let mut fleet = SimulatedFleet::new(sizes.iter().sum(), 2, seed);
        fleet.has_regions = true;
        let regions = sizes
            .iter()
            .enumerate()
            .flat_map(|(region, size)| vec![region; *size]);
        fleet
            .slots
            .iter_mut()
            .zip(regions)
            .for_each(|(slot, region)| slot.region = region);
        fleet
    }

    /// Makes these slots the only join addresses of members that start from now on, whatever their
    /// region.
    pub fn set_join_slots(&mut self, slots: &[usize]) {
        (self.join_count, self.extra_join_slots) = (0, slots.to_vec());
    }

    /// Moves a slot to another region, which applies from the next start of its member.
    pub fn set_region(&mut self, n: usize, region: usize) {
        self.slots[n].region = region;
    }

    /// Returns the index of the region of slot `n`.
    pub fn region(&self, n: usize) -> usize {
        self.slots[n].region
    }

    /// Returns the slots of a region.
    pub fn slots_in_region(&self, region: usize) -> Vec<usize> {
        (0..self.slots.len())
            .filter(|n| self.slots[*n].region == region)
            .collect()
    }

    /// Makes the request rates that members report vary from now on.
    pub fn vary_request_rates(&mut self) {
        self.request_rates_vary = true;
    }

    /// Returns the wall-clock time spent in calls to the member in slot `n`, an estimate of its
    /// processor time.
    pub fn cpu_time(&self, n: usize) -> Duration {
        self.slots[n].cpu_time
    }

    /// Sets the maximum number of members that each member tracks, for members that start from now
    /// on.
    pub fn set_members_max(&mut self, members_max: usize) {
        self.members_max = members_max;
    }

    /// Enables shared shedding with this number of tiers, for members that start from now on.
    pub fn set_shedding_tiers(&mut self, tiers: usize) {
        self.shedding_tiers = Some(tiers);
    }

    /// Adds admitted requests and capacity rejections to the counts that a member derives its
    /// shedding level from.
    pub fn record_admissions(&mut self, n: usize, counts: membership::shedding::AdmissionCounts) {
        if let Some(member) = &mut self.slots[n].member {
            member.add_admission_counts(counts);
        }
    }

    /// Returns the shedding level of the member in slot `n`; 0 if none runs there.
    pub fn shedding_level(&self, n: usize) -> f64 {
        self.member(n).map_or(0.0, Member::shedding_level)
    }

    /// Returns the number of slots, empty ones included.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Returns whether the fleet has no slots.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Starts a member in slot `n`. Its clock differs from the other members' clocks by
    /// `clock_offset_ms` milliseconds.
    pub fn start(&mut self, n: usize, clock_offset_ms: i64) {
        let region = self.slots[n].region;
        let location = match self.has_regions {
            true => Location {
                region: region_name(region),
                ..Location::default()
            },
            false => Location::default(),
        };
        let first_in_region = self
            .slots
            .iter()
            .position(|slot| slot.region == region)
            .unwrap_or(0);
        let regional =
            (first_in_region..self.slots.len()).filter(|n| self.slots[*n].region == region);
        let mut join: Vec<SocketAddr> = regional.take(self.join_count).map(address).collect();
        join.extend(self.extra_join_slots.iter().map(|n| address(*n)));
        if self.has_regions && self.join_count > 0 {
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
        let metadata = MemberMetadata {
            name: format!("n{n}"),
            listen_address: address(n),
            phase: ServingPhase::Serving,
            build: "0.1.0".into(),
            config_checksum: 7,
            request_rate_tenths: 0,
            places: 1,
            extension: Vec::new(),
        };
        let unix_ms = (START_UNIX_MS + self.now / MS).saturating_add_signed(clock_offset_ms);
        let mut member = Member::new(settings, metadata, unix_ms, self.rng.random(), self.now);
        if let Some(tiers) = self.shedding_tiers {
            member.enable_shared_shedding(tiers);
        }
        let slot = &mut self.slots[n];
        (slot.member, slot.stalled_until) = (Some(member), 0);
        slot.inbox.clear();
        self.push(self.now, QueuedEvent::RunMember(n));
    }

    /// Starts all members at the current virtual time.
    pub fn start_all(&mut self) {
        (0..self.slots.len()).for_each(|n| self.start(n, 0));
    }

    /// Stops a member without an announcement.
    pub fn kill(&mut self, n: usize) {
        self.slots[n].member = None;
    }

    /// Stops a member after it announced its departure.
    pub fn leave(&mut self, n: usize) {
        if let Some(mut member) = self.slots[n].member.take() {
            member.leave(self.now);
            self.send(n, member.take_datagrams());
        }
    }

    /// Stalls a member for `duration`: it neither runs nor receives datagrams until then.
    pub fn stall(&mut self, n: usize, duration: Nanos) {
        self.slots[n].stalled_until = self.now + duration;
    }

    /// Returns the member in slot `n`, if one runs there.
    pub fn member(&self, n: usize) -> Option<&Member> {
        self.slots[n].member.as_ref()
    }

    /// Returns the slots whose member runs.
    pub fn running(&self) -> Vec<usize> {
        (0..self.slots.len())
            .filter(|n| self.slots[*n].member.is_some())
            .collect()
    }

    /// Returns the view of the member in slot `n`; an empty view if none runs there.
    pub fn view(&self, n: usize) -> View {
        self.slots[n]
            .member
            .as_ref()
            .map(Member::view)
            .unwrap_or_default()
    }

    /// Returns the number of times a member declared another member dead that was running, not
    /// stalled and connected to it in both directions.
    pub fn false_deaths(&self) -> u64 {
        self.slots.iter().map(|slot| slot.false_deaths).sum()
    }

    /// Returns the counters of the member in slot `n`; zeros if none runs there.
    pub fn statistics(&self, n: usize) -> MemberStatistics {
        self.slots[n]
            .member
            .as_ref()
            .map(Member::statistics)
            .unwrap_or(self.slots[n].statistics)
    }

    /// Inserts an event at a virtual time.
    fn push(&mut self, at: Nanos, event: QueuedEvent) {
        self.event_sequence += 1;
        self.events.insert((at, self.event_sequence), event);
    }

    /// Returns the first datagrams that were sent, at most 5,000, each with its sender's address.
    pub fn recorded_datagrams(&self) -> Vec<(SocketAddr, Vec<u8>)> {
        self.recorded_datagrams.clone()
    }

    /// Delivers a datagram to a member at once, bypassing the simulated network. `from` is the
    /// sender's address that the member sees.
    pub fn inject(&mut self, to: usize, from: SocketAddr, datagram: &[u8]) {
        if let Some(member) = &mut self.slots[to].member {
            member.receive(self.now, from, datagram);
        }
    }

    /// Runs all events up to the virtual time `until`.
    pub fn advance_to(&mut self, until: Nanos) {
        while let Some(entry) = self
            .events
            .first_entry()
            .filter(|entry| entry.key().0 <= until)
        {
            let ((at, _), event) = entry.remove_entry();
            self.now = self.now.max(at);
            match event {
                QueuedEvent::RunMember(n) => self.run_member(n),
                QueuedEvent::Deliver(n, from, datagram) => self.deliver(n, from, datagram),
            }
        }
        self.now = until;
    }

    /// Delivers the datagrams that arrived during a stall, and runs the timers that are due.
    fn run_member(&mut self, n: usize) {
        let now = self.now;
        let slot = &mut self.slots[n];
        let Some(member) = &mut slot.member else {
            return;
        };
        if slot.stalled_until > now {
            let at = slot.stalled_until;
            return self.push(at, QueuedEvent::RunMember(n));
        }
        let call_start = Instant::now();
        for (from, datagram) in std::mem::take(&mut slot.inbox) {
            member.receive(now, from, &datagram);
        }
        // Updates the rate of each member in one 50 ms window of every 2 s.
        if self.request_rates_vary && (now / MS / 50 + n as u64).is_multiple_of(40) {
            let requests = (now / (2_000 * MS) * 7_919 + n as u64 * 104_729) % 400;
            member.update_metadata(|metadata| {
                metadata.request_rate_tenths = 9_000 + 10 * requests as u32;
            });
        }
        let due = (member.next_tick() <= now).then(|| {
            member.tick(now);
            member.next_tick()
        });
        slot.cpu_time += call_start.elapsed();
        if let Some(due) = due {
            self.push(due, QueuedEvent::RunMember(n));
        }
        self.collect_output(n);
    }

    /// Passes a datagram to a member, or queues it while the member is stalled.
    fn deliver(&mut self, n: usize, from: SocketAddr, datagram: Vec<u8>) {
        let now = self.now;
        let slot = &mut self.slots[n];
        let Some(member) = &mut slot.member else {
            return;
        };
        if slot.stalled_until > now {
            if slot.inbox.len() < MAX_INBOX_DATAGRAMS {
                slot.inbox.push((from, datagram));
            }
            return;
        }
        let call_start = Instant::now();
        member.receive(now, from, &datagram);
        slot.cpu_time += call_start.elapsed();
        self.collect_output(n);
    }

    /// Sends the datagrams that a member produced, and counts false deaths among its events.
    fn collect_output(&mut self, n: usize) {
        let Some(member) = &mut self.slots[n].member else {
            return;
        };
        let datagrams = member.take_datagrams();
        let events = member.take_events();
        let sent = datagrams.len() as u64;
        self.slots[n].max_sent_per_turn = self.slots[n].max_sent_per_turn.max(sent);
        for event in events {
            if let MembershipEvent::StatusChanged {
                id,
                current: MemberStatus::Dead,
                ..
            } = event
                && let Some(&other) = self.slot_by_address.get(&id.address)
                && self.slots[other]
                    .member
                    .as_ref()
                    .is_some_and(|m| m.id() == id)
                && self.slots[other].stalled_until <= self.now
                && !self.link_cut[other][n]
                && !self.link_cut[n][other]
            {
                self.slots[n].false_deaths += 1;
            }
        }
        self.send(n, datagrams);
    }

    /// Runs until `condition` holds or `timeout` has passed; returns the virtual time it took, or
    /// `None` on timeout.
    pub fn advance_until(
        &mut self,
        timeout: Nanos,
        condition: impl Fn(&SimulatedFleet) -> bool,
    ) -> Option<Nanos> {
        let start = self.now;
        while self.now - start <= timeout {
            if condition(self) {
                return Some(self.now - start);
            }
            let next = self.now + 20 * MS;
            self.advance_to(next);
        }
        None
    }
}
