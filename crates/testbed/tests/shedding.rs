//! Tests of shared shedding (`fleet.shed_together`) between several balancer processes with
//! injected faults. They wait for conditions with generous timeouts; quality and times are measured
//! elsewhere.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use testbed::cluster::{Cluster, ClusterPlan};
use testbed::network_emulation::faults::LinkFaults;
use testbed::simulated_services::cache::CacheOptions;
use testbed::simulated_services::clients::{ClientRequest, RequestOutcome};

/// Runs one trial at a time, because each starts many processes and CI has few cores.
static TRIAL_LOCK: Mutex<()> = Mutex::new(());

const CONDITION_TIMEOUT: Duration = Duration::from_secs(60);
const MEMBERS: usize = 4;
/// Request rate below the capacity of the caches, per second.
const NORMAL_RATE: f64 = 12.0;
/// Request rate of about four times the capacity of the two caches, per second.
const OVERLOAD_RATE: f64 = 200.0;

fn lock_trials() -> MutexGuard<'static, ()> {
    TRIAL_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts a cluster with clients at the normal rate and waits until all members have joined.
fn start_cluster(shed_together: bool) -> Cluster {
    let mut keys = serde_json::Map::new();
    if shed_together {
        keys.insert("shed_together".into(), true.into());
    }
    let cache = CacheOptions {
        slots: 1,
        queue: 8,
        service_time: Duration::from_millis(40),
        fetch_time: Duration::ZERO,
        ..CacheOptions::default()
    };
    let plan = ClusterPlan {
        instances: MEMBERS,
        caches: 2,
        cache,
        request_rate: NORMAL_RATE,
        max_request_rate: OVERLOAD_RATE,
        fleet_keys: keys,
        ..ClusterPlan::default()
    };
    let mut cluster = Cluster::create(plan).unwrap();
    cluster.start_all().unwrap();
    let have_joined = |cluster: &Cluster| {
        cluster
            .views()
            .iter()
            .flatten()
            .filter(|v| v.living == MEMBERS)
            .count()
            == MEMBERS
    };
    cluster
        .wait_until(CONDITION_TIMEOUT, have_joined)
        .expect("all members join");
    cluster.start_clients();
    cluster
}

/// Returns the shedding levels of these members; `None` if one does not answer.
fn levels(cluster: &Cluster, members: &[usize]) -> Option<Vec<f64>> {
    let views = cluster.views();
    members
        .iter()
        .map(|i| views[*i].as_ref().map(|view| view.level))
        .collect()
}

/// Returns whether all these members shed at levels that differ by less than 0.2.
fn shed_alike(cluster: &Cluster, members: &[usize]) -> bool {
    levels(cluster, members).is_some_and(|levels| {
        let (min, max) = levels.iter().fold((f64::MAX, 0f64), |(min, max), level| {
            (min.min(*level), max.max(*level))
        });
        min > 0.0 && max - min < 0.2
    })
}

/// Returns whether no member sheds.
fn nothing_is_shed(cluster: &Cluster) -> bool {
    levels(cluster, &[0, 1, 2, 3]).is_some_and(|levels| levels.iter().all(|level| *level == 0.0))
}

/// Returns the numbers of requests rejected because of the shedding level, and for lack of
/// capacity. `member_counts` returns the counters requested by the previous call, so the first
/// result is discarded.
fn rejections(cluster: &Cluster) -> (u64, u64) {
    let _ = cluster.member_counts();
    std::thread::sleep(Duration::from_millis(300));
    let counts = cluster.member_counts();
    let count = |name: &str| counts.get(name).copied().unwrap_or(0);
    (
        count("rejected.fleet_shedding"),
        count("rejected.concurrency_limit") + count("rejected.pacing"),
    )
}

/// Checks that each request has exactly one valid reply. If a balancer was killed, requests may
/// also end with a broken or refused connection.
fn assert_answered_once(requests: &[ClientRequest], killed: bool) {
    let mut ids: HashMap<&str, u32> = HashMap::new();
    for request in requests {
        *ids.entry(&request.id).or_default() += 1;
        assert!(!request.extra_data, "more than one reply: {request:?}");
        assert!(
            !matches!(
                request.outcome,
                RequestOutcome::Wrong | RequestOutcome::Never
            ),
            "{request:?}"
        );
        assert!(
            killed
                || !matches!(
                    request.outcome,
                    RequestOutcome::Broken | RequestOutcome::NoConnection
                ),
            "{request:?}"
        );
    }
    assert!(ids.values().all(|times| *times == 1));
}

/// Ends the overload and waits until no member sheds.
fn end_overload(cluster: &Cluster) {
    cluster.request_rate.set(NORMAL_RATE);
    cluster
        .wait_until(CONDITION_TIMEOUT, nothing_is_shed)
        .expect("shedding ends after the overload");
}

#[test]
fn members_shed_an_overload_alike_through_a_partition_until_it_ends() {
    let _lock = lock_trials();
    let mut cluster = start_cluster(true);
    cluster.request_rate.set(OVERLOAD_RATE);
    cluster
        .wait_until(CONDITION_TIMEOUT, |cluster| {
            shed_alike(cluster, &[0, 1, 2, 3])
        })
        .expect("all members shed at one level");
    // Each half continues to shed by its own counts.
    let cut = LinkFaults {
        cut: true,
        ..LinkFaults::default()
    };
    cluster.set_links(&[0, 1], &[2, 3], cut);
    cluster.set_links(&[2, 3], &[0, 1], cut);
    let is_partitioned = |cluster: &Cluster| {
        cluster
            .views()
            .iter()
            .flatten()
            .filter(|v| v.living == 2)
            .count()
            == MEMBERS
    };
    cluster
        .wait_until(CONDITION_TIMEOUT, is_partitioned)
        .expect("all members detect the partition");
    cluster
        .wait_until(CONDITION_TIMEOUT, |cluster| {
            shed_alike(cluster, &[0, 1]) && shed_alike(cluster, &[2, 3])
        })
        .expect("each half sheds at one level");
    cluster.set_links(&[0, 1], &[2, 3], LinkFaults::default());
    cluster.set_links(&[2, 3], &[0, 1], LinkFaults::default());
    let is_healed = |cluster: &Cluster| {
        cluster
            .views()
            .iter()
            .flatten()
            .filter(|v| v.living == MEMBERS)
            .count()
            == MEMBERS
    };
    cluster
        .wait_until(CONDITION_TIMEOUT, is_healed)
        .expect("the halves converge after the partition");
    cluster
        .wait_until(CONDITION_TIMEOUT, |cluster| {
            shed_alike(cluster, &[0, 1, 2, 3])
        })
        .expect("all members shed at one level again");
    assert!(rejections(&cluster).0 > 0);
    end_overload(&cluster);
    assert_answered_once(&cluster.stop_clients(), false);
}

#[test]
fn members_that_start_or_resume_in_an_overload_adopt_the_shedding_level() {
    let _lock = lock_trials();
    let mut cluster = start_cluster(true);
    cluster.request_rate.set(OVERLOAD_RATE);
    cluster
        .wait_until(CONDITION_TIMEOUT, |cluster| {
            shed_alike(cluster, &[0, 1, 2, 3])
        })
        .expect("all members shed at one level");
    cluster.members[3].kill();
    cluster.members[2].stop();
    cluster
        .wait_until(CONDITION_TIMEOUT, |cluster| shed_alike(cluster, &[0, 1]))
        .expect("the remaining members continue to shed");
    let both_detected =
        |cluster: &Cluster| cluster.members[0].view().is_some_and(|v| v.living == 2);
    cluster
        .wait_until(CONDITION_TIMEOUT, both_detected)
        .expect("both are declared dead");
    cluster.members[2].resume();
    cluster.members[3].start().unwrap();
    cluster
        .wait_until(CONDITION_TIMEOUT, |cluster| {
            shed_alike(cluster, &[0, 1, 2, 3])
        })
        .expect("the restarted and the resumed member shed at the same level");
    end_overload(&cluster);
    assert_answered_once(&cluster.stop_clients(), true);
}

#[test]
fn without_the_key_members_share_no_shedding_level() {
    let _lock = lock_trials();
    let mut cluster = start_cluster(false);
    cluster.request_rate.set(OVERLOAD_RATE);
    cluster
        .wait_until(CONDITION_TIMEOUT, |cluster| rejections(cluster).1 > 20)
        .expect("members reject requests for lack of capacity");
    assert!(nothing_is_shed(&cluster));
    assert_eq!(rejections(&cluster).0, 0);
    let level_reports = |i: usize| cluster.members[i].view().unwrap().datagrams["load"].as_u64();
    assert!(
        (0..MEMBERS).all(|i| level_reports(i) == Some(0)),
        "a member sends level reports"
    );
    assert_answered_once(&cluster.stop_clients(), false);
}
