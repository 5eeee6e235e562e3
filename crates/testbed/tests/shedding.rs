//! Several processes that shed load by one level (`fleet.shed_together`), with faults between them.
//! What holds is waited for, up to wide ceilings; how well and how fast is measured elsewhere.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use testbed::cluster::{Cluster, ClusterPlan};
use testbed::network_emulation::faults::LinkFaults;
use testbed::simulated_services::cache::CacheOptions;
use testbed::simulated_services::clients::{ClientRequest, RequestOutcome};

/// One trial at a time: they are many processes each, and CI has few cores.
static ONE: Mutex<()> = Mutex::new(());

const CONDITION_TIMEOUT: Duration = Duration::from_secs(60);
const MEMBERS: usize = 4;
const CALM: f64 = 12.0;
/// Some four times what two caches serve.
const STORM: f64 = 200.0;

fn lock_trials() -> MutexGuard<'static, ()> {
    ONE.lock().unwrap_or_else(PoisonError::into_inner)
}

fn cluster(shed_together: bool) -> Cluster {
    let mut keys = serde_json::Map::new();
    if shed_together {
        keys.insert("shed_together".into(), true.into());
    }
    let service = Duration::from_millis(40);
    let cache = CacheOptions {
        slots: 1,
        queue: 8,
        service_time: service,
        fetch_time: Duration::ZERO,
        ..CacheOptions::default()
    };
    let plan = ClusterPlan {
        instances: MEMBERS,
        caches: 2,
        cache,
        rate: CALM,
        rate_most: STORM,
        fleet_keys: keys,
        ..ClusterPlan::default()
    };
    let mut cluster = Cluster::lay_out(plan).unwrap();
    cluster.start_all().unwrap();
    let met = |g: &Cluster| {
        g.views()
            .iter()
            .flatten()
            .filter(|v| v.living == MEMBERS)
            .count()
            == MEMBERS
    };
    cluster.wait(CONDITION_TIMEOUT, met).expect("all meet");
    cluster.start_clients();
    cluster
}

fn levels(cluster: &Cluster, of: &[usize]) -> Option<Vec<f64>> {
    let views = cluster.views();
    of.iter()
        .map(|i| views[*i].as_ref().map(|view| view.level))
        .collect()
}

/// All of these shed something, and nearly the same.
fn shed_alike(cluster: &Cluster, of: &[usize]) -> bool {
    levels(cluster, of).is_some_and(|levels| {
        let (least, most) = levels
            .iter()
            .fold((f64::MAX, 0f64), |(a, b), l| (a.min(*l), b.max(*l)));
        least > 0.0 && most - least < 0.2
    })
}

fn calm(cluster: &Cluster) -> bool {
    levels(cluster, &[0, 1, 2, 3]).is_some_and(|levels| levels.iter().all(|level| *level == 0.0))
}

/// How often members refused for the sake of the level, and for want of room.
fn rejections(cluster: &Cluster) -> (u64, u64) {
    let _ = cluster.member_counts();
    std::thread::sleep(Duration::from_millis(300));
    let counts = cluster.member_counts();
    let of = |name: &str| counts.get(name).copied().unwrap_or(0);
    (
        of("rejected.fleet_shedding"),
        of("rejected.concurrency_limit") + of("rejected.pacing"),
    )
}

/// Each request has one answer, but for those whose balancer was killed.
fn assert_answered_once(asked: &[ClientRequest], killed: bool) {
    let mut ids: HashMap<&str, u32> = HashMap::new();
    for one in asked {
        *ids.entry(&one.id).or_default() += 1;
        assert!(!one.extra_data, "two answers: {one:?}");
        assert!(
            !matches!(one.outcome, RequestOutcome::Wrong | RequestOutcome::Never),
            "{one:?}"
        );
        assert!(
            killed
                || !matches!(
                    one.outcome,
                    RequestOutcome::Broken | RequestOutcome::NoConnection
                ),
            "{one:?}"
        );
    }
    assert!(ids.values().all(|times| *times == 1));
}

/// Ends the overload and waits until nothing is shed.
fn end_overload(cluster: &Cluster) {
    cluster.request_rate.set(CALM);
    cluster
        .wait(CONDITION_TIMEOUT, calm)
        .expect("nothing is shed when it is over");
}

#[test]
fn members_shed_an_overload_alike_through_a_partition_until_it_ends() {
    let _one = lock_trials();
    let mut cluster = cluster(true);
    cluster.request_rate.set(STORM);
    cluster
        .wait(CONDITION_TIMEOUT, |g| shed_alike(g, &[0, 1, 2, 3]))
        .expect("all shed by one level");
    // Each half goes by its own counts, and goes on shedding.
    let cut = LinkFaults {
        cut: true,
        ..LinkFaults::default()
    };
    cluster.set_links(&[0, 1], &[2, 3], cut);
    cluster.set_links(&[2, 3], &[0, 1], cut);
    let split =
        |g: &Cluster| g.views().iter().flatten().filter(|v| v.living == 2).count() == MEMBERS;
    cluster
        .wait(CONDITION_TIMEOUT, split)
        .expect("the split is known");
    cluster
        .wait(CONDITION_TIMEOUT, |g| {
            shed_alike(g, &[0, 1]) && shed_alike(g, &[2, 3])
        })
        .expect("each half by one level");
    cluster.set_links(&[0, 1], &[2, 3], LinkFaults::default());
    cluster.set_links(&[2, 3], &[0, 1], LinkFaults::default());
    let healed = |g: &Cluster| {
        g.views()
            .iter()
            .flatten()
            .filter(|v| v.living == MEMBERS)
            .count()
            == MEMBERS
    };
    cluster
        .wait(CONDITION_TIMEOUT, healed)
        .expect("they find each other");
    cluster
        .wait(CONDITION_TIMEOUT, |g| shed_alike(g, &[0, 1, 2, 3]))
        .expect("one level again");
    assert!(rejections(&cluster).0 > 0);
    end_overload(&cluster);
    assert_answered_once(&cluster.stop_clients(), false);
}

#[test]
fn members_that_start_or_resume_in_an_overload_adopt_the_shedding_level() {
    let _one = lock_trials();
    let mut cluster = cluster(true);
    cluster.request_rate.set(STORM);
    cluster
        .wait(CONDITION_TIMEOUT, |g| shed_alike(g, &[0, 1, 2, 3]))
        .expect("all shed by one level");
    cluster.members[3].kill();
    cluster.members[2].stop();
    cluster
        .wait(CONDITION_TIMEOUT, |g| shed_alike(g, &[0, 1]))
        .expect("the others go on");
    let known = |g: &Cluster| g.members[0].view().is_some_and(|v| v.living == 2);
    cluster
        .wait(CONDITION_TIMEOUT, known)
        .expect("both are given up");
    cluster.members[2].resume();
    cluster.members[3].start().unwrap();
    cluster
        .wait(CONDITION_TIMEOUT, |g| shed_alike(g, &[0, 1, 2, 3]))
        .expect("the newcomer and the one that stood still too");
    end_overload(&cluster);
    assert_answered_once(&cluster.stop_clients(), true);
}

#[test]
fn without_the_key_members_agree_on_no_shedding_level() {
    let _one = lock_trials();
    let mut cluster = cluster(false);
    cluster.request_rate.set(STORM);
    cluster
        .wait(CONDITION_TIMEOUT, |g| rejections(g).1 > 20)
        .expect("they reject for lack of capacity");
    assert!(calm(&cluster));
    assert_eq!(rejections(&cluster).0, 0);
    let words = |i: usize| cluster.members[i].view().unwrap().datagrams["load"].as_u64();
    assert!(
        (0..MEMBERS).all(|i| words(i) == Some(0)),
        "not one word of load"
    );
    assert_answered_once(&cluster.stop_clients(), false);
}
