//! Tests of `life_cycle`.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Long enough to leave all other times as they are.
const LONGEST: Nanos = DEADLINE_MOST;

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
            DecisionStep::Listed => life.listed(),
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
        life.due(1000),
        Some(1000 + TURN_AWAY),
        "said again it begins nothing anew"
    );
    assert!(!life.stance(999 + TURN_AWAY).closes_idle && life.stance(1000 + TURN_AWAY).closes_idle);
    assert!(life.stance(999 + TAKE_ON).takes && !life.stance(1000 + TAKE_ON).takes);
    assert!(life.stance(u64::MAX).door == ListenerMode::Open && !life.is_over(u64::MAX, false));
    assert_eq!(life.due(1000 + TAKE_ON), None);
    life.resume().unwrap();
    let serving = LifecyclePolicy {
        state: "serving",
        ready: true,
        door: ListenerMode::Open,
        closes_idle: false,
        takes: true,
    };
    assert_eq!(life.stance(u64::MAX), serving);
}

#[test]
fn an_end_takes_clients_for_a_while_and_waits_for_the_last() {
    let mut life = play(&[DecisionStep::Listed], 0);
    assert!(life.stop(1000) && !life.stop(2000));
    assert!(life.stance(1000).closes_idle);
    assert_eq!(life.stance(999 + ACCEPT_ON).door, ListenerMode::Open);
    assert_eq!(life.stance(1000 + ACCEPT_ON).door, ListenerMode::Closed);
    assert!(!life.is_over(1000, false) && !life.is_over(1000 + ACCEPT_ON, true));
    assert!(life.is_over(1000 + ACCEPT_ON, false));
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
        life.listed();
        assert_eq!(life.answer_by(), None);
        life.stop(1_000 * MS);
        assert_eq!(
            life.answer_by(),
            Some((1_000 + answered) * MS),
            "{deadline}"
        );
        let takes = (1_000 + takes) * MS;
        assert!(
            life.stance(takes - 1).takes && !life.stance(takes).takes,
            "{deadline}"
        );
        assert!(
            (0..takes)
                .step_by(50 * MS as usize)
                .all(|now| life.due(now).is_some_and(|due| due <= takes))
        );
        let mut drained = Lifecycle::new(false, deadline * MS);
        drained.listed();
        drained.quiesce(0);
        assert_eq!(
            (drained.answer_by(), drained.stance(TAKE_ON - 1).takes),
            (None, true),
            "nobody is killed"
        );
    }
}

#[test]
fn it_is_ready_once_there_is_a_list_and_nothing_is_waited_for() {
    let mut life = Lifecycle::new(true, LONGEST);
    life.set_waits(true);
    life.listed();
    assert!(!life.is_ready());
    life.set_waits(false);
    assert!(life.is_ready());
    life.set_waits(true);
    assert!(life.is_ready(), "too late to wait");
}

#[test]
fn on_a_shared_socket_the_door_is_left_to_the_one_that_serves() {
    let mut life = Lifecycle::new(true, LONGEST);
    assert_eq!(
        life.stance(0).door,
        ListenerMode::Waits,
        "not ready: the queue is the other's"
    );
    life.listed();
    assert_eq!(life.stance(0).door, ListenerMode::Open);
    life.set_other_serves(true);
    assert_eq!(
        life.stance(0).door,
        ListenerMode::Open,
        "both serve until one is asked to stop"
    );
    let serving = life;
    life.quiesce(0);
    assert_eq!(
        life.stance(0).door,
        ListenerMode::Waits,
        "the other answers"
    );
    life = serving;
    life.stop(0);
    assert!(
        life.stance(0).door == ListenerMode::Left
            && life.is_over(0, false)
            && !life.is_over(0, true)
    );
    // Killed before it could take over: whoever comes is better off here.
    life.set_other_serves(false);
    assert_eq!(life.stance(ACCEPT_ON - 1).door, ListenerMode::Open);
    assert_eq!(life.stance(ACCEPT_ON).door, ListenerMode::Closed);
    let mut alone = Lifecycle::new(false, LONGEST);
    alone.set_other_serves(true);
    alone.stop(0);
    assert_eq!(
        alone.stance(0).door,
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
        now in 0..10 * TURN_AWAY,
    ) {
        let mut life = play(&steps, 0);
        let stance = life.stance(now);
        prop_assert!(!stance.ready || !stance.closes_idle && stance.door == ListenerMode::Open && stance.takes);
        prop_assert!(stance.closes_idle || stance.door == ListenerMode::Open, "who isn't taken is not kept either");
        // From everywhere but an end a resume and a list lead back to work; from there nothing does.
        let ending = life.name() == "ending";
        life.listed();
        prop_assert_eq!(life.resume().is_err(), ending);
        prop_assert_eq!(life.is_ready(), !ending);
        life.stop(now);
        prop_assert!(life.is_over(u64::MAX, false), "an end always comes");
    }
}
