//! Several processes of the program, with faults between them. What holds is judged by invariants
//! and by waiting for conditions up to wide ceilings; how fast they come to hold is measured
//! elsewhere.

use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::time::Duration;
use testbed::cluster::{Cluster, ClusterPlan};
use testbed::scenario_catalog;
use testbed::scenario_runner::{ScenarioReport, run_scenario};

/// One trial at a time: they are many processes each, and CI has few cores.
static ONE: Mutex<()> = Mutex::new(());

const CONDITION_TIMEOUT: Duration = Duration::from_secs(30);

fn trial(name: &str) -> ScenarioReport {
    let _one = ONE
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    let scenario = scenario_catalog::find(name).unwrap();
    let plan = ClusterPlan {
        instances: 6,
        rate: 20.0,
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
        "{:?}",
        report.requests
    );
    report
}

#[test]
fn simultaneous_starts_converge_to_one_view() {
    trial("join");
}

#[test]
fn deaths_are_detected_and_restarted_members_rejoin_under_their_names() {
    let report = trial("kill-quarter");
    assert!(
        report.converged_s.contains_key("death known") && report.converged_s.contains_key("back")
    );
}

#[test]
fn a_stalled_member_suspects_nobody_and_rejoins() {
    assert!(trial("stall").converged_s.contains_key("back"));
}

#[test]
fn a_partition_is_no_mass_death_and_heals_by_itself() {
    let report = trial("split");
    assert!(report.converged_s.contains_key("healed") && report.max_share_sum <= 1.5);
}

#[test]
fn one_way_link_failures_declare_nobody_dead() {
    assert_eq!(trial("one-way").false_deaths, 0);
}

#[test]
fn a_rolling_restart_is_announced_rather_than_detected() {
    let report = trial("rolling");
    assert_eq!(report.false_deaths, 0);
}

/// Without the key nothing differs: no socket, no descriptor more than that one, no path at the
/// operators' door.
#[test]
fn without_the_fleet_key_there_is_no_socket_and_no_admin_path() {
    let _one = ONE
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    let descriptors = |fleet: bool| {
        let plan = ClusterPlan {
            instances: 1,
            caches: 1,
            fleet_enabled: fleet,
            ..ClusterPlan::default()
        };
        let mut cluster = Cluster::lay_out(plan).unwrap();
        cluster.start_all().unwrap();
        let ready = |g: &Cluster| g.members[0].admin_get("/admin/health").is_some();
        cluster
            .wait(CONDITION_TIMEOUT, ready)
            .expect("it becomes ready");
        let member = &cluster.members[0];
        assert_eq!(member.admin_get("/admin/fleet").is_some(), fleet);
        let log = member.log();
        assert_eq!(
            log.iter().any(|line| line.text.contains("fleet")),
            fleet,
            "{log:?}"
        );
        // The calls above are over when the process has let go of them.
        let mut least = usize::MAX;
        cluster.wait(Duration::from_millis(500), |g| {
            least = least.min(g.members[0].descriptors().unwrap_or(usize::MAX));
            false
        });
        least
    };
    let (without, with) = (descriptors(false), descriptors(true));
    assert_eq!(with, without + 1, "the one socket of the talk");
}

/// All that a member is told to ask is dead: it serves alone, divides by the settings' figure, and
/// meets whoever comes.
#[test]
fn with_all_join_addresses_down_a_member_serves_alone_and_joins_later() {
    let _one = ONE
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    let mut cluster = Cluster::lay_out(ClusterPlan {
        instances: 4,
        joins: 1,
        ..ClusterPlan::default()
    })
    .unwrap();
    cluster.members[2].start().unwrap();
    cluster.members[3].start().unwrap();
    let alone = |g: &Cluster, i: usize| {
        g.members[i]
            .view()
            .is_some_and(|v| v.living == 1 && v.share_count == 4)
    };
    let served = |g: &Cluster, i: usize| g.members[i].admin_get("/admin/health").is_some();
    let both = |g: &Cluster| [2, 3].iter().all(|i| alone(g, *i) && served(g, *i));
    cluster
        .wait(CONDITION_TIMEOUT, both)
        .expect("each serves alone");
    cluster.members[0].start().unwrap();
    let met = |g: &Cluster| {
        [0, 2, 3]
            .iter()
            .all(|i| g.members[*i].view().is_some_and(|v| v.living == 3))
    };
    cluster
        .wait(CONDITION_TIMEOUT, met)
        .expect("the one that was asked in vain brings them together");
}

/// Two processes under one name at two addresses are two members; it is said once and both count.
#[test]
fn two_members_of_one_name_both_count_and_are_reported() {
    let _one = ONE
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    let mut cluster = Cluster::lay_out(ClusterPlan {
        instances: 3,
        ..ClusterPlan::default()
    })
    .unwrap();
    // Its configuration file bears its name: the later start must not write over it while it is
    // read.
    cluster.members[2].spec.name = "n1".into();
    cluster.members[0].start().unwrap();
    cluster.members[1].start().unwrap();
    let two = |g: &Cluster| g.members[0].view().is_some_and(|v| v.living == 2);
    cluster
        .wait(CONDITION_TIMEOUT, two)
        .expect("the first two meet");
    cluster.members[2].start().unwrap();
    let three = |g: &Cluster| g.members[0].view().is_some_and(|v| v.living == 3);
    cluster.wait(CONDITION_TIMEOUT, three).expect("both count");
    let named = |g: &Cluster| {
        g.members[0]
            .log()
            .iter()
            .any(|l| l.text.contains("are both called n1"))
    };
    cluster.wait(CONDITION_TIMEOUT, named).expect("it is said");
}

/// Two regions of two: each member sees its own region's members and the other's summary, and
/// divides by all; a death is told to the other region by its summary.
#[test]
fn balancers_in_two_regions_see_each_other_as_summaries() {
    let _one = ONE
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    let mut cluster = Cluster::lay_out(ClusterPlan {
        instances: 4,
        joins: 4,
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
            .expect("the key is set");
        fleet.insert("region".into(), format!("region-{}", i / 2).into());
        fleet.insert("zone".into(), format!("z{i}").into());
    }
    cluster.start_all().unwrap();
    let shown = |g: &Cluster, i: usize| -> Option<serde_json::Value> {
        serde_json::from_str(&g.members[i].admin_get("/admin/fleet")?).ok()
    };
    let sees = |g: &Cluster, i: usize, members: usize, elsewhere: u64, all: u64| {
        shown(g, i).is_some_and(|shown| {
            shown["members"]
                .as_array()
                .is_some_and(|m| m.iter().filter(|m| m["state"] == "serving").count() == members)
                && shown["regions"][0]["living"] == elsewhere
                && shown["regions"][0]["region"] == format!("region-{}", 1 - i / 2)
                && shown["shared_by"] == all
                && shown["region"] == format!("region-{}", i / 2)
        })
    };
    let all = |g: &Cluster| (0..4).all(|i| sees(g, i, 1, 2, 4));
    cluster
        .wait(CONDITION_TIMEOUT, all)
        .expect("each sees its own region and the other's summary");
    assert_eq!(
        shown(&cluster, 0).expect("it answers")["members"][0]["zone"],
        "z1"
    );
    cluster.members[3].kill();
    // Its place is kept: one of two that hears nobody may be half of a split.
    let told = |g: &Cluster| (0..2).all(|i| sees(g, i, 1, 1, 4)) && sees(g, 2, 0, 2, 4);
    cluster
        .wait(CONDITION_TIMEOUT, told)
        .expect("a death in one region is told to the other");
}

/// Hollow members over real sockets meet, and nothing of them is left behind, also where a run is
/// interrupted.
#[test]
fn hollow_members_converge_and_clean_up() {
    let _one = ONE
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
    let begun = std::time::Instant::now();
    while children().split_whitespace().count() < 2 {
        assert!(begun.elapsed() < CONDITION_TIMEOUT, "two processes start");
        std::thread::sleep(Duration::from_millis(10));
    }
    let members: Vec<String> = children().split_whitespace().map(str::to_string).collect();
    nix::sys::signal::kill(
        nix::unistd::Pid::from_raw(id as i32),
        nix::sys::signal::Signal::SIGINT,
    )
    .unwrap();
    assert_eq!(interrupted.wait().unwrap().code(), Some(1));
    let runs = |pid: &String| {
        let command = std::fs::read_to_string(format!("/proc/{pid}/cmdline")).unwrap_or_default();
        command.contains("hollow-members")
    };
    assert!(!members.iter().any(runs));
}

#[test]
fn a_hollow_run_that_exceeds_the_machine_is_rejected() {
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

/// Ctrl-C in the middle of a trial: no process and no file of it is left.
#[test]
fn an_interrupted_trial_cleans_up() {
    let _one = ONE
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    let mut trial = std::process::Command::new(env!("CARGO_BIN_EXE_testbed"))
        .args(["run", "stall", "--instances", "3"])
        .stdout(std::process::Stdio::null())
        .spawn()
        .unwrap();
    let id = trial.id();
    let folder = || {
        let mine = format!("pipitrun-trial-{id}-");
        let entries = std::fs::read_dir(std::env::temp_dir()).unwrap().flatten();
        entries
            .map(|entry| entry.path())
            .find(|path| path.to_string_lossy().contains(&mine))
    };
    let children = || {
        let path = format!("/proc/{id}/task/{id}/children");
        std::fs::read_to_string(path)
            .unwrap_or_default()
            .split_whitespace()
            .map(str::to_string)
            .collect::<Vec<_>>()
    };
    let begun = std::time::Instant::now();
    while children().len() < 3 {
        assert!(begun.elapsed() < CONDITION_TIMEOUT, "three processes start");
        std::thread::sleep(Duration::from_millis(10));
    }
    let (members, files) = (children(), folder().expect("it has a folder"));
    nix::sys::signal::kill(
        nix::unistd::Pid::from_raw(id as i32),
        nix::sys::signal::Signal::SIGINT,
    )
    .unwrap();
    let status = trial.wait().unwrap();
    assert_eq!(status.code(), Some(1));
    let runs = |pid: &String| {
        let command = std::fs::read_to_string(format!("/proc/{pid}/cmdline")).unwrap_or_default();
        command.contains("pipitrun")
    };
    assert!(!members.iter().any(runs) && !files.exists());
}
