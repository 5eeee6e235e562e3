//! What a seed draws: settings, sizes, manners of clients, and a timeline of faults.

use super::clients::ClientBehavior;
use super::discovery::ListFormat;
use super::records::{MS, Nanos, RequestKind};
use rand::{Rng, RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use serde_json::{Value, json};

/// Listeners that many caches share.
pub const SHARED_LISTENERS: usize = 16;
/// The most caches that have a listener of their own.
const OWN_MOST: usize = 60;
/// How long a soak of one seed takes.
pub const LENGTH: Nanos = 9_000 * MS;
/// How long a day of [`growth`] takes, and how many balancers its settings tell of.
const GROWTH_LENGTH: Nanos = 20_000 * MS;
const GROWTH_BALANCERS: usize = 300;
/// Work that a cache of mean size does, over its part of all requests.
const SPARE: f64 = 2.0;

/// The settings that the rules depend on.
#[derive(Clone, Debug)]
pub struct CheckedRules {
    /// The grace of a drain.
    pub grace: Nanos,
    /// The window of keyed writes.
    pub window: Nanos,
    /// The share of its capacity at which a cache starts.
    pub slow_start_fraction: f64,
    /// It is warm after this.
    pub slow_start_duration: Nanos,
    /// It falls by more than this multiple ...
    pub overload_factor: f64,
    /// ... for this long.
    pub overload_window: Nanos,
    /// What a cache can do, requests a second.
    pub capacity: f64,
    /// Caches with smaller numbers have a listener of their own: they alone are checked one by one.
    pub own_listeners: usize,
    /// A process has to be ready within this.
    pub ready_within: Nanos,
    /// When the soak ends.
    pub length: Nanos,
}

impl CheckedRules {
    /// The most requests that a cache may get in a window, at this age as a part of its warm-up.
    #[must_use]
    pub fn allowed(&self, age: f64) -> f64 {
        let ramp =
            self.slow_start_fraction + (1.0 - self.slow_start_fraction) * age.clamp(0.0, 1.0);
        let mean = self.overload_factor * self.capacity * ramp * self.overload_window as f64 / 1e9;
        let (times, plus) = if mean < 30.0 { (3.0, 3.0) } else { (2.0, 2.0) };
        mean + times * mean.sqrt() + plus
    }
}

/// Something that happens.
#[derive(Clone, Debug, PartialEq)]
pub enum SoakEvent {
    /// So many caches are new, long at work.
    Joins(usize),
    /// So many of the oldest caches drain, are gone soon, and as many new ones come.
    Replaced(usize),
    /// The first of the caches that have listeners of their own drain, and are gone after the
    /// second time.
    Drains(usize, Nanos),
    /// So many of the same come, or come back, cold.
    Cold(usize),
    /// They hang for so long.
    Hangs(usize, Nanos),
    /// They are down for so long, and discovery does not say so.
    CachesDown(usize, Nanos),
    /// Answers go wrong for so long.
    Spoilt(Nanos),
    /// All open watches fall silent.
    Silence,
    /// All watches are reset.
    WatchesReset,
    /// Discovery is down for so long.
    DiscoveryDown(Nanos),
    /// Calls of discovery wait in turn.
    DiscoveryCrowded(Nanos),
    /// A balancer is asked to end, killed as early as may be, and started anew.
    Restart(usize),
    /// A balancer is killed and started anew.
    Kill(usize),
    /// A balancer reads a new configuration, by which discovery is elsewhere.
    Reload(usize),
    /// A balancer stalls for this long.
    HoldUp(usize, Nanos),
    /// A balancer has only this part of its time, in hundredths, for so long.
    Share(usize, u64, Nanos),
}

/// The run that a seed draws.
#[derive(Clone, Debug)]
pub struct SoakPlan {
    /// The seed.
    pub seed: u64,
    /// Balancers.
    pub balancers: usize,
    /// Caches at the beginning.
    pub caches: usize,
    /// The settings of all balancers.
    pub settings: Value,
    /// What the rules depend on.
    pub rules: CheckedRules,
    /// How clients behave.
    pub client_behavior: ClientBehavior,
    /// Lists come indented or torn.
    pub list_format: ListFormat,
    /// What happens, by time.
    pub events: Vec<(Nanos, SoakEvent)>,
}

fn pick<T: Copy>(rng: &mut impl Rng, of: &[T]) -> T {
    of[rng.random_range(0..of.len())]
}

/// Draws the run of this seed, a small one if `short`.
#[must_use]
pub fn draw(seed: u64, short: bool) -> SoakPlan {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let balancers = if short {
        rng.random_range(2..5)
    } else {
        pick(&mut rng, &[2, 3, 5, 8, 16, 40])
    };
    let caches = pick(
        &mut rng,
        if short {
            &[10, 10, 60, 400, 3_200]
        } else {
            &[10, 40, 200, 800, 1_300, 3_200]
        },
    );
    let per_s = if balancers > 8 {
        8.0
    } else {
        pick(&mut rng, &[15.0, 30.0, 60.0])
    };
    let timeouts = |rng: &mut Xoshiro256PlusPlus, of: &[u64]| pick(rng, of) * MS;
    let timeouts = [
        timeouts(&mut rng, &[150, 284, 600, 1_200]),
        timeouts(&mut rng, &[300, 1_000, 2_000]),
        timeouts(&mut rng, &[400, 1_000, 2_500]),
    ];
    let rules = draw_rules(
        &mut rng,
        SPARE * per_s * balancers as f64 / caches as f64,
        caches,
    );
    let settings = settings(&mut rng, balancers, &timeouts, &rules);
    let client_behavior = draw_client_behavior(&mut rng, per_s, timeouts);
    let list_format = pick(
        &mut rng,
        &[
            ListFormat::Line,
            ListFormat::Line,
            ListFormat::Indented,
            ListFormat::Torn,
        ],
    );
    let events = draw_events(&mut rng, balancers, caches);
    SoakPlan {
        seed,
        balancers,
        caches,
        settings,
        rules,
        client_behavior,
        list_format,
        events,
    }
}

/// Shares of requests that are made in an unusual way.
const SHARES: [f64; 3] = [0.0, 0.03, 0.1];

fn draw_rules(rng: &mut impl Rng, capacity: f64, caches: usize) -> CheckedRules {
    CheckedRules {
        grace: pick(rng, &[400, 500, 1_000, 2_500]) * MS,
        window: pick(rng, &[200, 250, 600, 2_000]) * MS,
        slow_start_fraction: pick(rng, &[0.05, 0.12, 0.3]),
        slow_start_duration: pick(rng, &[4_000, 10_000, 23_000]) * MS,
        overload_factor: pick(rng, &[1.5, 2.5]),
        overload_window: pick(rng, &[1_000, 2_000]) * MS,
        capacity,
        own_listeners: OWN_MOST.min(caches / 2),
        ready_within: 6_000 * MS,
        length: LENGTH,
    }
}

fn draw_client_behavior(rng: &mut impl Rng, per_s: f64, timeouts: [Nanos; 3]) -> ClientBehavior {
    ClientBehavior {
        per_s,
        timeouts,
        leave: pick(rng, &[0.05, 0.15, 0.3]),
        pipeline: pick(rng, &SHARES) / 3.0,
        slow: pick(rng, &SHARES),
        half: pick(rng, &SHARES) / 5.0,
    }
}

fn draw_time(rng: &mut impl Rng) -> Nanos {
    rng.random_range(1_000..LENGTH / MS - 2_500) * MS
}

fn draw_events(rng: &mut impl Rng, balancers: usize, caches: usize) -> Vec<(Nanos, SoakEvent)> {
    let count = rng.random_range(4..9);
    let mut events: Vec<(Nanos, SoakEvent)> = (0..count)
        .map(|_| (draw_time(rng), event(rng, balancers, caches)))
        .collect();
    // Each seed has a shutdown, a stall, caches that hang and caches that come back cold,
    // whatever else.
    let own = OWN_MOST.min(caches / 2);
    events.push((draw_time(rng), SoakEvent::Cold(own.div_ceil(2))));
    events.push((
        draw_time(rng),
        SoakEvent::Hangs(own, rng.random_range(300..1_500) * MS),
    ));
    let held_up = SoakEvent::HoldUp(
        rng.random_range(0..balancers),
        rng.random_range(150..1_500) * MS,
    );
    events.push((draw_time(rng), held_up));
    events.push((
        draw_time(rng),
        SoakEvent::Restart(rng.random_range(0..balancers)),
    ));
    events.sort_by_key(|(at, _)| *at);
    events
}

/// The same day for one balancer at any number of caches: the same traffic and the same capacity of
/// all caches together; a tenth of the caches is replaced twice, and a batch of a quarter comes.
#[must_use]
pub fn growth(seed: u64, caches: usize, per_s: f64) -> SoakPlan {
    let mut plan = draw(seed, true);
    plan.balancers = 1;
    plan.caches = caches;
    plan.list_format = ListFormat::Line;
    plan.client_behavior = ClientBehavior {
        per_s,
        leave: 0.0,
        pipeline: 0.0,
        slow: 0.0,
        half: 0.0,
        ..plan.client_behavior
    };
    plan.client_behavior.timeouts = [600 * MS, 1_000 * MS, 2_500 * MS];
    plan.rules.own_listeners = 0;
    plan.rules.length = GROWTH_LENGTH;
    plan.settings["group_size"] = json!(GROWTH_BALANCERS);
    let tenth = caches / 10;
    let at = |s: u64| s * 1_000 * MS;
    plan.events = vec![
        (at(3), SoakEvent::Replaced(tenth)),
        (at(6), SoakEvent::Replaced(tenth)),
        (at(9), SoakEvent::Joins(caches / 4)),
    ];
    plan
}

fn event(rng: &mut impl Rng, balancers: usize, caches: usize) -> SoakEvent {
    let one = rng.random_range(0..balancers);
    let own = OWN_MOST.min(caches / 2);
    let some = rng.random_range(1..own.max(2));
    let span =
        |rng: &mut dyn FnMut(std::ops::Range<u64>) -> u64, of: std::ops::Range<u64>| rng(of) * MS;
    let mut draw = |of: std::ops::Range<u64>| rng.random_range(of);
    match draw(0..18) {
        0 | 1 => SoakEvent::Joins(1 + draw(0..(caches as u64 / 3).max(1)) as usize),
        2 | 3 => SoakEvent::Drains(some, span(&mut draw, 100..2_000)),
        4 => SoakEvent::Cold(some),
        5 => SoakEvent::Hangs(some, span(&mut draw, 300..3_000)),
        6 => SoakEvent::CachesDown(some, span(&mut draw, 300..3_000)),
        7 => SoakEvent::Spoilt(span(&mut draw, 500..3_000)),
        8 => SoakEvent::Silence,
        9 => SoakEvent::WatchesReset,
        10 => SoakEvent::DiscoveryDown(span(&mut draw, 300..3_000)),
        11 => SoakEvent::DiscoveryCrowded(span(&mut draw, 300..3_000)),
        12 => SoakEvent::Restart(one),
        13 => SoakEvent::Kill(one),
        14 => SoakEvent::Reload(one),
        15 | 16 => SoakEvent::HoldUp(one, span(&mut draw, 50..2_000)),
        _ => SoakEvent::Share(one, 8 + draw(0..80), span(&mut draw, 500..3_000)),
    }
}

fn settings(
    rng: &mut impl Rng,
    balancers: usize,
    timeouts: &[Nanos; 3],
    rules: &CheckedRules,
) -> Value {
    let profiles: Vec<Value> = RequestKind::CLASSES
        .iter()
        .zip(timeouts)
        .map(|((_, name, repeat), timeouts)| {
            json!({"name": name, "repeat": repeat, "group": "all", "memory_span_ns": rules.window,
                "goal_time_ns": timeouts / 2, "give_up_ns": timeouts, "worth": 1.0 + rng.random::<f64>() * 9.0})
        })
        .collect();
    json!({
        "areas": ["a"], "machine_types": ["m"], "accounts": [], "over_share_worth": 0.2, "group_size": balancers,
        "membership_mode": pick(rng, &["subscribe", "automatic"]), "step_ns": pick(rng, &[1, 4, 5]) * MS,
        "caps": {"max_attempts": pick(rng, &[2, 3, 6]), "second_copies": rng.random::<f64>() < 0.8,
            "may_cancel": rng.random::<f64>() < 0.8, "may_probe": rng.random::<f64>() < 0.5, "retry_after": true,
            "max_retry_after_ns": 1_200 * MS, "conn_idle_ns": pick(rng, &[3_000, 30_000]) * MS,
            "connect_timeout_ns": pick(rng, &[150, 500]) * MS, "max_open": 10_000},
        "obligations": {"grace_to_answer_ns": 16 * MS, "drain_grace_ns": rules.grace, "must_ask_in_ns": 10_000 * MS,
            "cold_from": rules.slow_start_fraction, "warm_after_ns": rules.slow_start_duration, "overload_factor": rules.overload_factor,
            "tip_after_ns": rules.overload_window},
        "profiles": profiles,
    })
}
