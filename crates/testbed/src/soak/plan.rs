//! The plan of a soak, generated from a seed: settings, sizes, client behavior, and a timeline of
//! faults.

use super::clients::ClientBehavior;
use super::discovery::ListFormat;
use super::load::{HUGE_KEYS, LONG_KEYS, Load, LoadKind, SPAN_RANGE};
use super::records::{MS, Nanos, RequestKind};
use super::responses::ResponseMix;
use super::theme::Theme;
use rand::{Rng, RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use serde_json::{Value, json};
use std::ops::Range;

/// Number of listeners that are shared by the caches without a listener of their own.
pub const SHARED_LISTENERS: usize = 16;
/// Maximum number of caches that have a listener of their own.
const MAX_OWN_LISTENERS: usize = 60;
/// Duration of the timeline of one seed.
pub const DURATION: Nanos = 9_000 * MS;
/// Duration of the timeline of [`growth_plan`].
const GROWTH_DURATION: Nanos = 20_000 * MS;
/// Number of balancers in the settings of [`growth_plan`].
const GROWTH_BALANCERS: usize = 300;
/// Ratio of the capacity of a cache to its share of all requests.
const CAPACITY_FACTOR: f64 = 2.0;

/// Settings that the rules depend on.
#[derive(Clone, Debug)]
pub struct CheckedRules {
    /// Grace period after which a draining cache must receive no requests.
    pub drain_grace: Nanos,
    /// Window within which a keyed write may be repeated.
    pub deduplication_window: Nanos,
    /// Fraction of its capacity that a cache has when it starts.
    pub slow_start_fraction: f64,
    /// Time after its start until a cache is warm.
    pub slow_start_duration: Nanos,
    /// Ratio of load to capacity above which a cache is overloaded.
    pub overload_factor: f64,
    /// Window over which the load of a cache is measured.
    pub overload_window: Nanos,
    /// Capacity of a warm cache, in requests per second.
    pub capacity: f64,
    /// Whether two attempts of a request may be in flight at the same time.
    pub second_copies: bool,
    /// Memory limit of each process, in MB.
    pub memory_mb: u64,
    /// Whether there is nothing but loads, so that most requests have to be served.
    pub is_crowd: bool,
    /// Number of caches with a listener of their own. Caches with smaller numbers than this are
    /// checked individually, the others are not.
    pub own_listeners: usize,
    /// Maximum time from the start of a process until it is ready.
    pub ready_timeout: Nanos,
    /// Duration of the timeline.
    pub duration: Nanos,
}

impl CheckedRules {
    /// Returns the maximum number of requests that a cache may receive in an overload window. `age`
    /// is the time since its start divided by `slow_start_duration`. The maximum allows for random
    /// deviations of 2 to 3 standard deviations from the mean.
    #[must_use]
    pub fn max_requests(&self, age: f64) -> f64 {
        let capacity_ratio =
            self.slow_start_fraction + (1.0 - self.slow_start_fraction) * age.clamp(0.0, 1.0);
        let mean =
            self.overload_factor * self.capacity * capacity_ratio * self.overload_window as f64
                / 1e9;
        let (deviations, margin) = if mean < 30.0 { (3.0, 3.0) } else { (2.0, 2.0) };
        mean + deviations * mean.sqrt() + margin
    }
}

/// Event of a timeline. An event for a number of caches affects the first caches that have a
/// listener of their own, unless stated otherwise. Spans are in nanoseconds.
#[derive(Clone, Debug, PartialEq)]
pub enum SoakEvent {
    /// This number of new, warm caches is added to the list.
    Joins(usize),
    /// This number of the oldest caches, with any listener, drains and is removed 1 s later; the
    /// same number of new, warm caches is added.
    Replaced(usize),
    /// This number of caches drains and is removed after the span.
    Drains(usize, Nanos),
    /// This number of caches is listed as started just now, so they are cold.
    Cold(usize),
    /// This number of caches does not answer for the span; then their connections are reset.
    Hangs(usize, Nanos),
    /// This number of caches is down for the span; discovery still lists them as active.
    CachesDown(usize, Nanos),
    /// This number of caches restarts: discovery lists them with a new start time at the same
    /// addresses, and their open connections stay open and silent.
    Restarted(usize),
    /// This number of caches reads slowly for the span.
    SlowReading(usize, Nanos),
    /// All caches give faulty answers for the span.
    Spoilt(Nanos),
    /// All open watches stay open but send nothing.
    Silence,
    /// All watches are closed, and discovery is down for 30 ms.
    WatchesReset,
    /// Discovery is down for the span.
    DiscoveryDown(Nanos),
    /// Discovery delays each call by 300 ms for the span.
    DiscoveryCrowded(Nanos),
    /// A balancer's shutdown is requested, its process is killed as early as the protocol permits,
    /// and a new process is started.
    Restart(usize),
    /// A balancer's process is killed and a new one is started.
    Kill(usize),
    /// A balancer gets a load beside its usual clients.
    Load(usize, Load),
    /// A balancer reloads its configuration, in which the discovery address has changed.
    Reload(usize),
    /// A balancer is stalled for the span.
    HoldUp(usize, Nanos),
    /// A balancer is limited to this share of its CPU time, in percent, for the span.
    Share(usize, u64, Nanos),
}

/// Plan of a soak.
#[derive(Clone, Debug)]
pub struct SoakPlan {
    /// Seed from which the plan was generated.
    pub seed: u64,
    /// Number of balancers.
    pub balancers: usize,
    /// Number of caches at the start.
    pub caches: usize,
    /// Settings of all balancers.
    pub settings: Value,
    /// Settings that the rules depend on.
    pub rules: CheckedRules,
    /// Behavior of all clients.
    pub client_behavior: ClientBehavior,
    /// Unusual responses of caches.
    pub response_mix: ResponseMix,
    /// Maximum number of descriptors of each process.
    pub descriptors_max: u64,
    /// Format of discovery messages.
    pub list_format: ListFormat,
    /// Events, in order of their times since the start of the timeline.
    pub events: Vec<(Nanos, SoakEvent)>,
}

fn choose<T: Copy>(rng: &mut impl Rng, values: &[T]) -> T {
    values[rng.random_range(0..values.len())]
}

/// Generates the plan of a seed; with `short` a small one.
#[must_use]
pub fn generate(seed: u64, short: bool) -> SoakPlan {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let balancers = if short {
        rng.random_range(2..5)
    } else {
        choose(&mut rng, &[2, 3, 5, 8, 16, 40])
    };
    let theme = Theme::of_seed(seed);
    let caches = choose(&mut rng, theme.cache_counts(short));
    let requests_per_s = if balancers > 8 {
        8.0
    } else {
        choose(&mut rng, &[15.0, 30.0, 60.0])
    };
    let timeout = |rng: &mut Xoshiro256PlusPlus, values_ms: &[u64]| choose(rng, values_ms) * MS;
    let timeouts = [
        timeout(&mut rng, &[150, 284, 600, 1_200]),
        timeout(&mut rng, &[300, 1_000, 2_000]),
        timeout(&mut rng, &[400, 1_000, 2_500]),
    ];
    let mut rules = generate_rules(
        &mut rng,
        CAPACITY_FACTOR * requests_per_s * balancers as f64 / caches as f64,
        caches,
    );
    rules.second_copies = rng.random::<f64>() < 0.8;
    if theme.has_loads() {
        rules.memory_mb = 32;
    }
    rules.is_crowd = theme == Theme::Crowd;
    let settings = generate_settings(&mut rng, balancers, &timeouts, &rules);
    let client_behavior = ClientBehavior {
        large_writes: choose(&mut rng, theme.large_writes()),
        ..generate_client_behavior(&mut rng, requests_per_s, timeouts)
    };
    SoakPlan {
        seed,
        balancers,
        caches,
        settings,
        rules,
        client_behavior,
        list_format: choose(&mut rng, &LIST_FORMATS),
        events: generate_all_events(&mut rng, theme, balancers, caches),
        response_mix: generate_response_mix(&mut rng, theme),
        descriptors_max: 512,
    }
}

/// List formats, from which that of a plan is chosen.
const LIST_FORMATS: [ListFormat; 4] = [
    ListFormat::Line,
    ListFormat::Line,
    ListFormat::Indented,
    ListFormat::Torn,
];

/// Ratio of plans with loads at random times, of those of a theme with loads.
const RANDOM_LOADS_RATIO: f64 = 0.5;

/// Generates the events of a plan: those of its theme, and random faults and loads.
fn generate_all_events(
    rng: &mut impl Rng,
    theme: Theme,
    balancers: usize,
    caches: usize,
) -> Vec<(Nanos, SoakEvent)> {
    let mut events = theme.events(rng, balancers);
    if theme != Theme::Crowd {
        events.extend(generate_events(rng, balancers, caches));
    }
    let may_have_others = theme.has_loads() && theme != Theme::Crowd;
    if may_have_others && rng.random::<f64>() < RANDOM_LOADS_RATIO {
        events.extend(generate_loads(rng, balancers));
    }
    events.sort_by_key(|(at, _)| *at);
    events
}

/// Generates two loads.
fn generate_loads(rng: &mut impl Rng, balancers: usize) -> Vec<(Nanos, SoakEvent)> {
    let mut loads = Vec::new();
    for _ in 0..2 {
        let kind = choose(rng, &LoadKind::ALL);
        let connections = if kind.is_flood() {
            choose(rng, &[1, 1, 5, 20])
        } else {
            rng.random_range(100..500)
        };
        let load = Load {
            kind,
            connections,
            span: rng.random_range(SPAN_RANGE),
        };
        let balancer = rng.random_range(0..balancers);
        loads.push((random_time(rng), SoakEvent::Load(balancer, load)));
    }
    loads
}

fn generate_response_mix(rng: &mut impl Rng, theme: Theme) -> ResponseMix {
    let is_unusual = rng.random::<f64>() < 0.7;
    let ratio = if is_unusual { 0.25 } else { 0.0 };
    ResponseMix {
        huge_keys: if theme == Theme::Crowd { HUGE_KEYS } else { 0 },
        long_keys: LONG_KEYS,
        late_body: ratio,
        in_parts: ratio / 2.0,
    }
}

/// Ratios from which that of each unusual client behavior is chosen.
const UNUSUAL_RATIOS: [f64; 3] = [0.0, 0.03, 0.1];

fn generate_rules(rng: &mut impl Rng, capacity: f64, caches: usize) -> CheckedRules {
    CheckedRules {
        drain_grace: choose(rng, &[400, 500, 1_000, 2_500]) * MS,
        deduplication_window: choose(rng, &[200, 250, 600, 2_000]) * MS,
        slow_start_fraction: choose(rng, &[0.05, 0.12, 0.3]),
        slow_start_duration: choose(rng, &[4_000, 10_000, 23_000]) * MS,
        overload_factor: choose(rng, &[1.5, 2.5]),
        overload_window: choose(rng, &[1_000, 2_000]) * MS,
        capacity,
        second_copies: true,
        memory_mb: 64,
        is_crowd: false,
        own_listeners: MAX_OWN_LISTENERS.min(caches / 2),
        ready_timeout: 6_000 * MS,
        duration: DURATION,
    }
}

fn generate_client_behavior(
    rng: &mut impl Rng,
    requests_per_s: f64,
    timeouts: [Nanos; 3],
) -> ClientBehavior {
    ClientBehavior {
        requests_per_s,
        timeouts,
        disconnect: choose(rng, &[0.05, 0.15, 0.3]),
        pipeline: choose(rng, &UNUSUAL_RATIOS) / 3.0,
        slow: choose(rng, &UNUSUAL_RATIOS),
        incomplete: choose(rng, &UNUSUAL_RATIOS) / 5.0,
        large_writes: 0.0,
        repeat: 0.7,
    }
}

fn random_time(rng: &mut impl Rng) -> Nanos {
    rng.random_range(1_000..DURATION / MS - 2_500) * MS
}

fn generate_events(rng: &mut impl Rng, balancers: usize, caches: usize) -> Vec<(Nanos, SoakEvent)> {
    let count = rng.random_range(4..9);
    let mut events: Vec<(Nanos, SoakEvent)> = (0..count)
        .map(|_| (random_time(rng), generate_event(rng, balancers, caches)))
        .collect();
    // Each plan contains at least one shutdown, one stall, caches that hang and caches that restart
    // cold.
    let own_listeners = MAX_OWN_LISTENERS.min(caches / 2);
    events.push((random_time(rng), SoakEvent::Cold(own_listeners.div_ceil(2))));
    events.push((
        random_time(rng),
        SoakEvent::Hangs(own_listeners, rng.random_range(300..1_500) * MS),
    ));
    let stall = SoakEvent::HoldUp(
        rng.random_range(0..balancers),
        rng.random_range(150..1_500) * MS,
    );
    events.push((random_time(rng), stall));
    events.push((
        random_time(rng),
        SoakEvent::Restart(rng.random_range(0..balancers)),
    ));
    events.sort_by_key(|(at, _)| *at);
    events
}

/// Generates a plan for one balancer whose traffic does not depend on the number of caches. A
/// tenth of the caches is replaced, then another tenth, and finally a quarter of their number is
/// added at once.
#[must_use]
pub fn growth_plan(seed: u64, caches: usize, requests_per_s: f64) -> SoakPlan {
    let mut plan = generate(seed, true);
    plan.balancers = 1;
    plan.caches = caches;
    plan.list_format = ListFormat::Line;
    plan.client_behavior = ClientBehavior {
        requests_per_s,
        disconnect: 0.0,
        pipeline: 0.0,
        slow: 0.0,
        incomplete: 0.0,
        large_writes: 0.0,
        repeat: 0.0,
        ..plan.client_behavior
    };
    plan.response_mix = ResponseMix::default();
    plan.descriptors_max = 512;
    plan.rules.memory_mb = 64;
    plan.rules.is_crowd = false;
    plan.client_behavior.timeouts = [600 * MS, 1_000 * MS, 2_500 * MS];
    plan.rules.own_listeners = 0;
    plan.rules.duration = GROWTH_DURATION;
    plan.settings["group_size"] = json!(GROWTH_BALANCERS);
    let tenth = caches / 10;
    let at = |seconds: u64| seconds * 1_000 * MS;
    plan.events = vec![
        (at(3), SoakEvent::Replaced(tenth)),
        (at(6), SoakEvent::Replaced(tenth)),
        (at(9), SoakEvent::Joins(caches / 4)),
    ];
    plan
}

fn generate_event(rng: &mut impl Rng, balancers: usize, caches: usize) -> SoakEvent {
    let balancer = rng.random_range(0..balancers);
    let own_listeners = MAX_OWN_LISTENERS.min(caches / 2);
    let count = rng.random_range(1..own_listeners.max(2));
    let span =
        |random: &mut dyn FnMut(Range<u64>) -> u64, range_ms: Range<u64>| random(range_ms) * MS;
    let mut random = |range: Range<u64>| rng.random_range(range);
    match random(0..22) {
        0 | 1 => SoakEvent::Joins(1 + random(0..(caches as u64 / 3).max(1)) as usize),
        2 | 3 => SoakEvent::Drains(count, span(&mut random, 100..2_000)),
        4 => SoakEvent::Cold(count),
        5 => SoakEvent::Hangs(count, span(&mut random, 300..3_000)),
        6 => SoakEvent::CachesDown(count, span(&mut random, 300..3_000)),
        7 => SoakEvent::Spoilt(span(&mut random, 500..3_000)),
        8 => SoakEvent::Silence,
        9 => SoakEvent::WatchesReset,
        10 => SoakEvent::DiscoveryDown(span(&mut random, 300..3_000)),
        11 => SoakEvent::DiscoveryCrowded(span(&mut random, 300..3_000)),
        12 => SoakEvent::Restart(balancer),
        13 => SoakEvent::Kill(balancer),
        14 => SoakEvent::Reload(balancer),
        15 | 16 => SoakEvent::HoldUp(balancer, span(&mut random, 50..2_000)),
        17 | 18 => SoakEvent::Restarted(count),
        19 | 20 => SoakEvent::SlowReading(own_listeners, span(&mut random, 500..3_000)),
        _ => SoakEvent::Share(balancer, 8 + random(0..80), span(&mut random, 500..3_000)),
    }
}

fn generate_settings(
    rng: &mut impl Rng,
    balancers: usize,
    timeouts: &[Nanos; 3],
    rules: &CheckedRules,
) -> Value {
    let profiles: Vec<Value> = RequestKind::CLASSES
        .iter()
        .zip(timeouts)
        .map(|((_, name, repeat), timeout)| {
            json!({"name": name, "repeat": repeat, "group": "all", "memory_span_ns": rules.deduplication_window,
                "goal_time_ns": timeout / 2, "give_up_ns": timeout, "worth": 1.0 + rng.random::<f64>() * 9.0})
        })
        .collect();
    json!({
        "areas": ["a"], "machine_types": ["m"], "accounts": [], "over_share_worth": 0.2, "group_size": balancers,
        "membership_mode": choose(rng, &["subscribe", "automatic"]), "step_ns": choose(rng, &[1, 4, 5]) * MS,
        "caps": {"max_attempts": choose(rng, &[2, 3, 6]), "second_copies": rules.second_copies,
            "may_cancel": rng.random::<f64>() < 0.8, "may_probe": rng.random::<f64>() < 0.5, "retry_after": true,
            "max_retry_after_ns": 1_200 * MS, "conn_idle_ns": choose(rng, &[3_000, 30_000]) * MS,
            "connect_timeout_ns": choose(rng, &[150, 500]) * MS, "max_open": 10_000},
        "obligations": {"grace_to_answer_ns": 16 * MS, "drain_grace_ns": rules.drain_grace, "must_ask_in_ns": 10_000 * MS,
            "cold_from": rules.slow_start_fraction, "warm_after_ns": rules.slow_start_duration, "overload_factor": rules.overload_factor,
            "tip_after_ns": rules.overload_window},
        "profiles": profiles,
    })
}
