//! The tables of one router, and how they stand at its start. Nothing is decided here.

use super::slots::SlotTable;
use super::*;

/// The decisions of one router.
pub struct Engine {
    pub(super) settings: Settings,
    pub(super) now: Nanos,
    /// Root of the number of routers: each may at times use more than its even part.
    pub(super) routers_root: f64,
    /// The shortest aim of a class.
    pub(super) aim: f64,
    /// What the event at hand has led to so far.
    pub(super) actions: Vec<Action>,
    pub(super) rng: Xoshiro256PlusPlus,
    pub(super) servers: BTreeMap<EndpointId, Server>,
    pub(super) slots: SlotTable,
    pub(super) total_weight: f64,
    /// The same with cold servers at their present share.
    pub(super) ready_weight: f64,
    pub(super) mean_weight: f64,
    pub(super) requests: BTreeMap<RequestId, Request>,
    pub(super) held: BTreeSet<RequestId>,
    pub(super) timers: BTreeMap<u64, Timer>,
    pub(super) next_token: u64,
    pub(super) record: Record,
    /// Most of the fleet is suspected: the fault is elsewhere, suspicion says nothing.
    pub(super) suspicion_void: bool,
    /// Share of attempts, anywhere, that lately came to nothing.
    pub(super) bad: f64,
    /// The middle one of the servers' mean latencies.
    pub(super) usual: f64,
    pub(super) copy_budget: f64,
    pub(super) retry_budget: f64,
    pub(super) fetch: Mean,
    pub(super) hits: [f64; CANDIDATES],
    pub(super) origin_room: f64,
    pub(super) known: Known,
    /// Requests that came, those that took a server's time or were spared it, and those served usefully.
    pub(super) asked: Rate,
    pub(super) taken: Rate,
    pub(super) served: Rate,
    pub(super) tenants: Vec<Rate>,
    pub(super) call_backoff: Nanos,
    /// What all routers let in together.
    pub(super) allowance: SheddingLevel,
    pub(super) tally: AdmissionCounts,
    /// The tier of each class, within and beyond its tenant's share: how many are worth less.
    pub(super) tiers: Vec<usize>,
}

/// Two for each class; of two of equal worth the earlier class goes first, and what is within a share last.
fn tiers(settings: &Settings) -> Vec<usize> {
    let worth = |class: &RequestClass| {
        [
            class.priority_weight,
            class.priority_weight * settings.over_quota_weight.clamp(0.0, 1.0),
        ]
    };
    let worths: Vec<f64> = settings.classes.iter().flat_map(worth).collect();
    let place = |i: usize| (worths[i], i.is_multiple_of(2), i / 2);
    let less = |a: usize, b: usize| {
        let (a, b) = (place(a), place(b));
        a.0.total_cmp(&b.0)
            .then((a.1, a.2).cmp(&(b.1, b.2)))
            .is_lt()
    };
    (0..worths.len())
        .map(|i| (0..worths.len()).filter(|other| less(*other, i)).count())
        .collect()
}

impl Engine {
    /// A router's decisions from its start at `now`; the error names the setting that makes no sense.
    pub fn new(settings: Settings, seed: u64, now: Nanos) -> Result<Self, SettingsError> {
        settings.check()?;
        let tenants = settings
            .tenants
            .iter()
            .map(|_| Rate::new(RATE_TAU, now))
            .collect();
        let routers_root = (settings.balancers as f64).sqrt();
        let aim = settings
            .classes
            .iter()
            .map(|c| c.latency_objective)
            .min()
            .unwrap_or(0) as f64;
        Ok(Engine {
            now,
            routers_root,
            aim,
            actions: Vec::new(),
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            servers: BTreeMap::new(),
            slots: SlotTable::new(),
            total_weight: 0.0,
            ready_weight: 0.0,
            mean_weight: 1.0,
            requests: BTreeMap::new(),
            held: BTreeSet::new(),
            timers: BTreeMap::new(),
            next_token: 0,
            record: Record::new(MEMORY, QUANTILE),
            suspicion_void: false,
            bad: 0.0,
            usual: f64::MAX / SLOW,
            copy_budget: COPY_BURST / routers_root,
            retry_budget: RETRY_BURST / routers_root,
            fetch: Mean::default(),
            hits: RANK_HITS,
            origin_room: 1.0,
            known: Known::new(KNOWN_FOR, now),
            asked: Rate::new(RATE_TAU, now),
            taken: Rate::new(RATE_TAU, now),
            served: Rate::new(RATE_TAU, now),
            tenants,
            call_backoff: CALL_BACKOFF,
            allowance: SheddingLevel::default(),
            tally: AdmissionCounts::default(),
            tiers: tiers(&settings),
            settings,
        })
    }
}
