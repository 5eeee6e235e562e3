//! Tests of several balancer processes with injected faults. They check invariants and wait for
//! conditions with generous timeouts; the times themselves are measured elsewhere.

use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::time::Duration;
use testbed::cluster::{Cluster, ClusterPlan};
use testbed::scenario_catalog;
use testbed::scenario_runner::{ScenarioReport, run_scenario};

/// Runs one trial at a time, because each starts many processes and CI has few cores.
static TRIAL_LOCK: Mutex<()> = Mutex::new(());

const CONDITION_TIMEOUT: Duration = Duration::from_secs(30);

fn run_trial(name: &str) -> ScenarioReport {
    let _lock = TRIAL_LOCK
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    let scenario = scenario_catalog::find(name).unwrap();
    let plan = ClusterPlan {
        instances: 6,
        request_rate: 20.0,
        ..ClusterPlan::from_scenario(&scenario)
    };
    let report = run_scenario(&scenario, plan, &AtomicBool::new(false)).unwrap();
    assert_eq!(
        report.failed,
        0,
        "{}\n{:#?}",
        report.verdict(),
        report.failures
    );
    assert!(
        report
            .requests
            .get("served")
            .is_some_and(|served| *served > 0),
        "no request is served: {:?}",
        report.requests
    );
    report
}

#[test]
fn simultaneously_started_members_converge_to_one_view() {
    run_trial("join");
}

#[test]
fn deaths_are_detected_and_restarted_members_rejoin_under_their_names() {
    let report = run_trial("kill-quarter");
    assert!(
        report.converged_s.contains_key("death known") && report.converged_s.contains_key("back")
    );
}

#[test]
fn a_stalled_member_suspects_no_member_and_rejoins() {
    assert!(run_trial("stall").converged_s.contains_key("back"));
}

#[test]
fn a_partition_keeps_the_sum_of_shares_bounded_and_heals_without_help() {
    let report = run_trial("split");
    assert!(report.converged_s.contains_key("healed") && report.max_share_sum <= 1.5);
}

#[test]
fn one_way_link_failures_cause_no_false_deaths() {
    assert_eq!(run_trial("one-way").false_deaths, 0);
}

#[test]
fn a_rolling_restart_is_announced_rather_than_detected() {
    let report = run_trial("rolling");
    assert_eq!(report.false_deaths, 0);
}

/// Guards against fleet resources in a process without the `fleet` setting: it must not open the
/// gossip socket, not serve `/admin/fleet`, and not log about a fleet.
#[test]
fn without_the_fleet_key_there_is_no_socket_and_no_admin_path() {
    let _lock = TRIAL_LOCK
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    let open_descriptors = |fleet_enabled: bool| {
        let plan = ClusterPlan {
            instances: 1,
            caches: 1,
            fleet_enabled,
            ..ClusterPlan::default()
        };
        let mut cluster = Cluster::create(plan).unwrap();
        cluster.start_all().unwrap();
        let is_ready = |cluster: &Cluster| cluster.members[0].admin_get("/admin/health").is_some();
        cluster
            .wait_until(CONDITION_TIMEOUT, is_ready)
            .expect("the member becomes ready");
        let member = &cluster.members[0];
        assert_eq!(member.admin_get("/admin/fleet").is_some(), fleet_enabled);
        let log = member.log();
        assert_eq!(
            log.iter().any(|line| line.text.contains("fleet")),
            fleet_enabled,
            "{log:?}"
        );
        // The connections of the calls above may still be open: the minimum over 500 ms excludes
        // them.
        let mut min = usize::MAX;
        cluster.wait_until(Duration::from_millis(500), |cluster| {
            min = min.min(cluster.members[0].descriptors().unwrap_or(usize::MAX));
            false
        });
        min
    };
    let (without, with) = (open_descriptors(false), open_descriptors(true));
    assert_eq!(
        with,
        without + 1,
        "the gossip socket is the only additional descriptor"
    );
}

/// Guards against a member that does not serve, or never joins, because its join addresses are down
/// at its start. Until they are up, its share count is the configured number of balancers.
#[test]
fn with_all_join_addresses_down_a_member_serves_alone_and_joins_later() {
    let _lock = TRIAL_LOCK
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    let mut cluster = Cluster::create(ClusterPlan {
        instances: 4,
        join_count: 1,
        ..ClusterPlan::default()
    })
    .unwrap();
    cluster.members[2].start().unwrap();
    cluster.members[3].start().unwrap();
    let is_alone = |cluster: &Cluster, i: usize| {
        cluster.members[i]
            .view()
            .is_some_and(|v| v.living == 1 && v.share_count == 4)
    };
    let is_serving =
        |cluster: &Cluster, i: usize| cluster.members[i].admin_get("/admin/health").is_some();
    let both_alone = |cluster: &Cluster| {
        [2, 3]
            .iter()
            .all(|i| is_alone(cluster, *i) && is_serving(cluster, *i))
    };
    cluster
        .wait_until(CONDITION_TIMEOUT, both_alone)
        .expect("each member serves alone");
    cluster.members[0].start().unwrap();
    let have_joined = |cluster: &Cluster| {
        [0, 2, 3]
            .iter()
            .all(|i| cluster.members[*i].view().is_some_and(|v| v.living == 3))
    };
    cluster
        .wait_until(CONDITION_TIMEOUT, have_joined)
        .expect("all members join once the join address is up");
}

/// Guards against a member that replaces another one of the same name at a different address: both
/// must count, and the log must report the duplicate name.
#[test]
fn two_members_of_one_name_both_count_and_are_reported() {
    let _lock = TRIAL_LOCK
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    let mut cluster = Cluster::create(ClusterPlan {
        instances: 3,
        ..ClusterPlan::default()
    })
    .unwrap();
    // The configuration file is named after the member, so the third member starts only after the
    // first two have read theirs.
    cluster.members[2].spec.name = "n1".into();
    cluster.members[0].start().unwrap();
    cluster.members[1].start().unwrap();
    let two_alive = |cluster: &Cluster| cluster.members[0].view().is_some_and(|v| v.living == 2);
    cluster
        .wait_until(CONDITION_TIMEOUT, two_alive)
        .expect("the first two members join");
    cluster.members[2].start().unwrap();
    let three_alive = |cluster: &Cluster| cluster.members[0].view().is_some_and(|v| v.living == 3);
    cluster
        .wait_until(CONDITION_TIMEOUT, three_alive)
        .expect("both members of the same name count");
    let is_reported = |cluster: &Cluster| {
        cluster.members[0]
            .log()
            .iter()
            .any(|l| l.text.contains("are both called n1"))
    };
    cluster
        .wait_until(CONDITION_TIMEOUT, is_reported)
        .expect("the log reports the duplicate name");
}

/// Checks two regions of two members: each member sees the members of its region and the summary of
/// the other one, its share count includes both, and the summary shows a death.
#[test]
fn balancers_in_two_regions_see_each_other_as_summaries() {
    let _lock = TRIAL_LOCK
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    let mut cluster = Cluster::create(ClusterPlan {
        instances: 4,
        join_count: 4,
        caches: 1,
        ..ClusterPlan::default()
    })
    .unwrap();
    for (i, member) in cluster.members.iter_mut().enumerate() {
        let fleet = member
            .spec
            .fleet
            .as_mut()
            .and_then(serde_json::Value::as_object_mut)
            .expect("the `fleet` setting is an object");
        fleet.insert("region".into(), format!("region-{}", i / 2).into());
        fleet.insert("zone".into(), format!("z{i}").into());
    }
    cluster.start_all().unwrap();
    let overview = |cluster: &Cluster, i: usize| -> Option<serde_json::Value> {
        serde_json::from_str(&cluster.members[i].admin_get("/admin/fleet")?).ok()
    };
    let sees = |cluster: &Cluster, i: usize, members: usize, remote: u64, share_count: u64| {
        overview(cluster, i).is_some_and(|shown| {
            shown["members"]
                .as_array()
                .is_some_and(|m| m.iter().filter(|m| m["state"] == "serving").count() == members)
                && shown["regions"][0]["living"] == remote
                && shown["regions"][0]["region"] == format!("region-{}", 1 - i / 2)
                && shown["shared_by"] == share_count
                && shown["region"] == format!("region-{}", i / 2)
        })
    };
    let all_converged = |cluster: &Cluster| (0..4).all(|i| sees(cluster, i, 1, 2, 4));
    cluster
        .wait_until(CONDITION_TIMEOUT, all_converged)
        .expect("each member sees its own region and the summary of the other one");
    assert_eq!(
        overview(&cluster, 0).expect("the member answers")["members"][0]["zone"],
        "z1"
    );
    cluster.members[3].kill();
    // The place of the dead member still counts, because the survivor of a region of two may be one
    // side of a partition.
    let death_reported =
        |cluster: &Cluster| (0..2).all(|i| sees(cluster, i, 1, 1, 4)) && sees(cluster, 2, 0, 2, 4);
    cluster
        .wait_until(CONDITION_TIMEOUT, death_reported)
        .expect("the summary reports the death to the other region");
}

/// Checks that hollow members over real sockets converge, and that an interrupted run leaves no
/// process behind.
#[test]
fn hollow_members_converge_and_clean_up() {
    let _lock = TRIAL_LOCK
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    let command = |more: &[&str]| {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_testbed"));
        command
            .args([
                "hollow",
                "--members",
                "24",
                "--regions",
                "3",
                "--processes",
                "2",
            ])
            .args(more);
        command
            .stdout(std::process::Stdio::piped())
            .stderr(std::process::Stdio::piped());
        command
    };
    let output = command(&["--seconds", "1", "--event", "cut"])
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let last = text.lines().last().unwrap_or_default();
    let measured: serde_json::Value =
        serde_json::from_str(last).unwrap_or_else(|e| panic!("{last}: {e}"));
    assert!(
        measured["settled_s"].is_number() && measured["members"] == 24,
        "{last}"
    );
    let mut interrupted = command(&["--seconds", "600"]).spawn().unwrap();
    let id = interrupted.id();
    let children =
        || std::fs::read_to_string(format!("/proc/{id}/task/{id}/children")).unwrap_or_default();
    let start = std::time::Instant::now();
    while children().split_whitespace().count() < 2 {
        assert!(
            start.elapsed() < CONDITION_TIMEOUT,
            "the two member processes do not start"
        );
        std::thread::sleep(Duration::from_millis(10));
    }
    let members: Vec<String> = children().split_whitespace().map(str::to_string).collect();
    nix::sys::signal::kill(
        nix::unistd::Pid::from_raw(id as i32),
        nix::sys::signal::Signal::SIGINT,
    )
    .unwrap();
    assert_eq!(interrupted.wait().unwrap().code(), Some(1));
    let is_running = |pid: &String| {
        let command = std::fs::read_to_string(format!("/proc/{pid}/cmdline")).unwrap_or_default();
        command.contains("hollow-members")
    };
    assert!(!members.iter().any(is_running));
}

#[test]
fn a_hollow_run_that_exceeds_the_memory_of_the_machine_is_rejected() {
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_testbed"));
    command.args(["hollow", "--members", "200000", "--processes", "300"]);
    let output = command.output().unwrap();
    let problem = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        problem.contains("half of the machine's memory is"),
        "{problem}"
    );
    assert_eq!(output.status.code(), Some(1));
}

/// Checks that a trial interrupted by SIGINT leaves no process and no file behind.
#[test]
fn an_interrupted_trial_cleans_up() {
    let _lock = TRIAL_LOCK
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    let mut trial = std::process::Command::new(env!("CARGO_BIN_EXE_testbed"))
        .args(["run", "stall", "--instances", "3"])
        .stdout(std::process::Stdio::null())
        .spawn()
        .unwrap();
    let id = trial.id();
    let folder = || {
        let prefix = format!("pipitrun-trial-{id}-");
        let entries = std::fs::read_dir(std::env::temp_dir()).unwrap().flatten();
        entries
            .map(|entry| entry.path())
            .find(|path| path.to_string_lossy().contains(&prefix))
    };
    let children = || {
        let path = format!("/proc/{id}/task/{id}/children");
        std::fs::read_to_string(path)
            .unwrap_or_default()
            .split_whitespace()
            .map(str::to_string)
            .collect::<Vec<_>>()
    };
    let start = std::time::Instant::now();
    while children().len() < 3 {
        assert!(
            start.elapsed() < CONDITION_TIMEOUT,
            "the three balancer processes do not start"
        );
        std::thread::sleep(Duration::from_millis(10));
    }
    let (members, files) = (children(), folder().expect("the trial has a folder"));
    nix::sys::signal::kill(
        nix::unistd::Pid::from_raw(id as i32),
        nix::sys::signal::Signal::SIGINT,
    )
    .unwrap();
    let status = trial.wait().unwrap();
    assert_eq!(status.code(), Some(1));
    let is_running = |pid: &String| {
        let command = std::fs::read_to_string(format!("/proc/{pid}/cmdline")).unwrap_or_default();
        command.contains("pipitrun")
    };
    assert!(!members.iter().any(is_running) && !files.exists());
}
