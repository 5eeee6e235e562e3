//! Tests of `life_cycle`.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Long enough to leave all other times as they are.
const LONGEST: Nanos = CLIENT_TIMEOUT_MAX;

#[derive(Clone, Copy, Debug)]
enum DecisionStep {
    Listed,
    Quiesce,
    Resume,
    Stop,
}

fn play(steps: &[DecisionStep], now: Nanos) -> Lifecycle {
    let mut life = Lifecycle::new(false, LONGEST);
    for step in steps {
        match step {
            DecisionStep::Listed => life.endpoints_listed(),
            DecisionStep::Quiesce => life.quiesce(now),
            DecisionStep::Resume => _ = life.resume(),
            DecisionStep::Stop => _ = life.stop(now),
        }
    }
    life
}

#[test]
fn each_order_of_calls_has_its_state() {
    use DecisionStep::*;
    let cases: [(&[DecisionStep], &str, bool); 12] = [
        (&[], "starting", false),
        (&[Listed], "serving", true),
        (&[Listed, Quiesce], "quiesced", false),
        (&[Listed, Quiesce, Quiesce], "quiesced", false),
        (&[Listed, Quiesce, Resume], "serving", true),
        (&[Listed, Resume], "serving", true),
        (&[Quiesce, Listed], "quiesced", false),
        (&[Quiesce, Listed, Resume], "serving", true),
        (&[Quiesce, Resume], "starting", false),
        (&[Quiesce, Resume, Listed], "serving", true),
        (&[Listed, Quiesce, Stop, Resume], "ending", false),
        (&[Stop, Listed, Quiesce], "ending", false),
    ];
    for (steps, name, ready) in cases {
        let life = play(steps, 5);
        assert_eq!((life.name(), life.is_ready()), (name, ready), "{steps:?}");
    }
    assert_eq!(play(&[Listed, Stop], 0).resume(), Err(ResumeConflict));
}

#[test]
fn in_a_drain_connections_stay_until_the_front_has_turned_away() {
    let mut life = play(&[DecisionStep::Listed], 0);
    life.quiesce(1000);
    life.quiesce(2000);
    assert_eq!(
        life.next_change(1000),
        Some(1000 + IDLE_CLOSE_DELAY),
        "said again it begins nothing anew"
    );
    assert!(
        !life.policy(999 + IDLE_CLOSE_DELAY).closes_idle
            && life.policy(1000 + IDLE_CLOSE_DELAY).closes_idle
    );
    assert!(
        life.policy(999 + COMMAND_INTAKE_TIME).accepts_commands
            && !life.policy(1000 + COMMAND_INTAKE_TIME).accepts_commands
    );
    assert!(
        life.policy(u64::MAX).listener_mode == ListenerMode::Open
            && !life.is_finished(u64::MAX, false)
    );
    assert_eq!(life.next_change(1000 + COMMAND_INTAKE_TIME), None);
    life.resume().unwrap();
    let serving = LifecyclePolicy {
        state: "serving",
        ready: true,
        listener_mode: ListenerMode::Open,
        closes_idle: false,
        accepts_commands: true,
    };
    assert_eq!(life.policy(u64::MAX), serving);
}

#[test]
fn an_end_takes_clients_for_a_while_and_waits_for_the_last() {
    let mut life = play(&[DecisionStep::Listed], 0);
    assert!(life.stop(1000) && !life.stop(2000));
    assert!(life.policy(1000).closes_idle);
    assert_eq!(
        life.policy(999 + ACCEPT_TIME_WHILE_ENDING).listener_mode,
        ListenerMode::Open
    );
    assert_eq!(
        life.policy(1000 + ACCEPT_TIME_WHILE_ENDING).listener_mode,
        ListenerMode::Closed
    );
    assert!(
        !life.is_finished(1000, false) && !life.is_finished(1000 + ACCEPT_TIME_WHILE_ENDING, true)
    );
    assert!(life.is_finished(1000 + ACCEPT_TIME_WHILE_ENDING, false));
}

#[test]
fn what_an_end_still_takes_is_answered_before_the_kill_whatever_the_deadlines() {
    for (deadline, answered, takes) in [
        (100, 700, 700),
        (800, 1_400, 1_400),
        (2_500, 3_100, 1_500),
        (30_000, 3_600, 1_500),
    ] {
        let mut life = Lifecycle::new(false, deadline * MS);
        life.endpoints_listed();
        assert_eq!(life.answer_deadline(), None);
        life.stop(1_000 * MS);
        assert_eq!(
            life.answer_deadline(),
            Some((1_000 + answered) * MS),
            "{deadline}"
        );
        let takes = (1_000 + takes) * MS;
        assert!(
            life.policy(takes - 1).accepts_commands && !life.policy(takes).accepts_commands,
            "{deadline}"
        );
        assert!(
            (0..takes)
                .step_by(50 * MS as usize)
                .all(|now| life.next_change(now).is_some_and(|due| due <= takes))
        );
        let mut drained = Lifecycle::new(false, deadline * MS);
        drained.endpoints_listed();
        drained.quiesce(0);
        assert_eq!(
            (
                drained.answer_deadline(),
                drained.policy(COMMAND_INTAKE_TIME - 1).accepts_commands
            ),
            (None, true),
            "nobody is killed"
        );
    }
}

#[test]
fn it_is_ready_once_there_is_a_list_and_nothing_is_waited_for() {
    let mut life = Lifecycle::new(true, LONGEST);
    life.set_awaiting_snapshot(true);
    life.endpoints_listed();
    assert!(!life.is_ready());
    life.set_awaiting_snapshot(false);
    assert!(life.is_ready());
    life.set_awaiting_snapshot(true);
    assert!(life.is_ready(), "too late to wait");
}

#[test]
fn on_a_shared_socket_the_door_is_left_to_the_one_that_serves() {
    let mut life = Lifecycle::new(true, LONGEST);
    assert_eq!(
        life.policy(0).listener_mode,
        ListenerMode::Paused,
        "not ready: the queue is the other's"
    );
    life.endpoints_listed();
    assert_eq!(life.policy(0).listener_mode, ListenerMode::Open);
    life.set_other_serves(true);
    assert_eq!(
        life.policy(0).listener_mode,
        ListenerMode::Open,
        "both serve until one is asked to stop"
    );
    let serving = life;
    life.quiesce(0);
    assert_eq!(
        life.policy(0).listener_mode,
        ListenerMode::Paused,
        "the other answers"
    );
    life = serving;
    life.stop(0);
    assert!(
        life.policy(0).listener_mode == ListenerMode::HandedOver
            && life.is_finished(0, false)
            && !life.is_finished(0, true)
    );
    // Killed before it could take over: whoever comes is better off here.
    life.set_other_serves(false);
    assert_eq!(
        life.policy(ACCEPT_TIME_WHILE_ENDING - 1).listener_mode,
        ListenerMode::Open
    );
    assert_eq!(
        life.policy(ACCEPT_TIME_WHILE_ENDING).listener_mode,
        ListenerMode::Closed
    );
    let mut alone = Lifecycle::new(false, LONGEST);
    alone.set_other_serves(true);
    alone.stop(0);
    assert_eq!(
        alone.policy(0).listener_mode,
        ListenerMode::Open,
        "nobody shares the socket"
    );
}

proptest! {
    // The same cases every time.
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default()
    })]
    #[test]
    fn no_order_of_events_says_yes_while_sending_clients_away(
        steps in prop::collection::vec(
            prop::sample::select(vec![DecisionStep::Listed, DecisionStep::Quiesce, DecisionStep::Resume, DecisionStep::Stop]), 0..20),
        now in 0..10 * IDLE_CLOSE_DELAY,
    ) {
        let mut life = play(&steps, 0);
        let stance = life.policy(now);
        prop_assert!(!stance.ready || !stance.closes_idle && stance.listener_mode == ListenerMode::Open && stance.accepts_commands);
        prop_assert!(stance.closes_idle || stance.listener_mode == ListenerMode::Open, "who isn't taken is not kept either");
        // From everywhere but an end a resume and a list lead back to work; from there nothing does.
        let ending = life.name() == "ending";
        life.endpoints_listed();
        prop_assert_eq!(life.resume().is_err(), ending);
        prop_assert_eq!(life.is_ready(), !ending);
        life.stop(now);
        prop_assert!(life.is_finished(u64::MAX, false), "an end always comes");
    }
}
