//! The states that each order of calls leads to, and what follows from them.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Long enough to leave all other times as they are.
const LONGEST: Nanos = CLIENT_TIMEOUT_MAX;

#[derive(Clone, Copy, Debug)]
enum Call {
    Listed,
    Quiesce,
    Resume,
    Stop,
}

fn play(steps: &[Call], now: Nanos) -> Lifecycle {
    let mut lifecycle = Lifecycle::new(SocketOwnership::Exclusive, LONGEST);
    for step in steps {
        match step {
            Call::Listed => lifecycle.endpoints_listed(),
            Call::Quiesce => lifecycle.quiesce(now),
            Call::Resume => _ = lifecycle.resume(),
            Call::Stop => _ = lifecycle.stop(now),
        }
    }
    lifecycle
}

#[test]
fn each_order_of_calls_leads_to_its_state() {
    use Call::*;
    let cases: [(&[Call], &str, bool); 12] = [
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
        let lifecycle = play(steps, 5);
        assert_eq!(
            (lifecycle.name(), lifecycle.is_ready()),
            (name, ready),
            "{steps:?}"
        );
    }
    assert_eq!(play(&[Listed, Stop], 0).resume(), Err(ResumeConflict));
}

#[test]
fn idle_connections_stay_open_at_the_start_of_a_drain() {
    let mut lifecycle = play(&[Call::Listed], 0);
    lifecycle.quiesce(1000);
    lifecycle.quiesce(2000);
    assert_eq!(
        lifecycle.next_change(1000),
        Some(1000 + IDLE_CLOSE_DELAY),
        "said again it begins nothing anew"
    );
    assert!(
        !lifecycle.policy(999 + IDLE_CLOSE_DELAY).closes_idle
            && lifecycle.policy(1000 + IDLE_CLOSE_DELAY).closes_idle
    );
    assert!(
        lifecycle.policy(999 + COMMAND_INTAKE_TIME).accepts_commands
            && !lifecycle
                .policy(1000 + COMMAND_INTAKE_TIME)
                .accepts_commands
    );
    assert!(
        lifecycle.policy(u64::MAX).listener_mode == ListenerMode::Open
            && !lifecycle.is_finished(u64::MAX, 0)
    );
    assert_eq!(lifecycle.next_change(1000 + COMMAND_INTAKE_TIME), None);
    lifecycle.resume().unwrap();
    let serving = LifecyclePolicy {
        state: "serving",
        ready: true,
        listener_mode: ListenerMode::Open,
        closes_idle: false,
        accepts_commands: true,
    };
    assert_eq!(lifecycle.policy(u64::MAX), serving);
}

#[test]
fn shutdown_accepts_clients_for_a_while_and_waits_for_the_last() {
    let mut lifecycle = play(&[Call::Listed], 0);
    assert!(lifecycle.stop(1000) && !lifecycle.stop(2000));
    assert!(lifecycle.policy(1000).closes_idle);
    assert_eq!(
        lifecycle
            .policy(999 + ACCEPT_TIME_WHILE_ENDING)
            .listener_mode,
        ListenerMode::Open
    );
    assert_eq!(
        lifecycle
            .policy(1000 + ACCEPT_TIME_WHILE_ENDING)
            .listener_mode,
        ListenerMode::Closed
    );
    assert!(
        !lifecycle.is_finished(1000, 0)
            && !lifecycle.is_finished(1000 + ACCEPT_TIME_WHILE_ENDING, 1)
    );
    assert!(lifecycle.is_finished(1000 + ACCEPT_TIME_WHILE_ENDING, 0));
}

#[test]
fn requests_during_shutdown_are_answered_before_the_kill_whatever_the_client_timeouts() {
    for (deadline, answered, takes) in [
        (100, 700, 700),
        (800, 1_400, 1_400),
        (2_500, 3_100, 1_500),
        (30_000, 3_600, 1_500),
    ] {
        let mut lifecycle = Lifecycle::new(SocketOwnership::Exclusive, deadline * MS);
        lifecycle.endpoints_listed();
        assert_eq!(lifecycle.answer_deadline(), None);
        lifecycle.stop(1_000 * MS);
        assert_eq!(
            lifecycle.answer_deadline(),
            Some((1_000 + answered) * MS),
            "{deadline}"
        );
        let takes = (1_000 + takes) * MS;
        assert!(
            lifecycle.policy(takes - 1).accepts_commands
                && !lifecycle.policy(takes).accepts_commands,
            "{deadline}"
        );
        assert!(
            (0..takes)
                .step_by(50 * MS as usize)
                .all(|now| lifecycle.next_change(now).is_some_and(|due| due <= takes))
        );
        let mut drained = Lifecycle::new(SocketOwnership::Exclusive, deadline * MS);
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
fn ready_once_endpoints_are_listed_and_no_snapshot_is_awaited() {
    let mut lifecycle = Lifecycle::new(SocketOwnership::Shared, LONGEST);
    lifecycle.set_awaiting_snapshot(true);
    lifecycle.endpoints_listed();
    assert!(!lifecycle.is_ready());
    lifecycle.set_awaiting_snapshot(false);
    assert!(lifecycle.is_ready());
    lifecycle.set_awaiting_snapshot(true);
    assert!(lifecycle.is_ready(), "too late to wait");
}

#[test]
fn shared_listener_is_left_to_the_process_that_serves() {
    let mut lifecycle = Lifecycle::new(SocketOwnership::Shared, LONGEST);
    assert_eq!(
        lifecycle.policy(0).listener_mode,
        ListenerMode::Paused,
        "not ready: the queue is the other's"
    );
    lifecycle.endpoints_listed();
    assert_eq!(lifecycle.policy(0).listener_mode, ListenerMode::Open);
    lifecycle.set_other_serves(true);
    assert_eq!(
        lifecycle.policy(0).listener_mode,
        ListenerMode::Open,
        "both serve until one is asked to stop"
    );
    let serving = lifecycle;
    lifecycle.quiesce(0);
    assert_eq!(
        lifecycle.policy(0).listener_mode,
        ListenerMode::Paused,
        "the other answers"
    );
    lifecycle = serving;
    lifecycle.stop(0);
    assert!(
        lifecycle.policy(0).listener_mode == ListenerMode::HandedOver
            && lifecycle.is_finished(0, 0)
            && !lifecycle.is_finished(0, 1)
    );
    // Killed before it could take over: whoever comes is better off here.
    lifecycle.set_other_serves(false);
    assert_eq!(
        lifecycle.policy(ACCEPT_TIME_WHILE_ENDING - 1).listener_mode,
        ListenerMode::Open
    );
    assert_eq!(
        lifecycle.policy(ACCEPT_TIME_WHILE_ENDING).listener_mode,
        ListenerMode::Closed
    );
    let mut alone = Lifecycle::new(SocketOwnership::Exclusive, LONGEST);
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
            prop::sample::select(vec![Call::Listed, Call::Quiesce, Call::Resume, Call::Stop]), 0..20),
        now in 0..10 * IDLE_CLOSE_DELAY,
    ) {
        let mut lifecycle = play(&steps, 0);
        let stance = lifecycle.policy(now);
        prop_assert!(!stance.ready || !stance.closes_idle && stance.listener_mode == ListenerMode::Open && stance.accepts_commands);
        prop_assert!(stance.closes_idle || stance.listener_mode == ListenerMode::Open, "who isn't taken is not kept either");
        // From everywhere but an end a resume and a list lead back to work; from there nothing
        // does.
        let ending = lifecycle.name() == "ending";
        lifecycle.endpoints_listed();
        prop_assert_eq!(lifecycle.resume().is_err(), ending);
        prop_assert_eq!(lifecycle.is_ready(), !ending);
        lifecycle.stop(now);
        prop_assert!(lifecycle.is_finished(u64::MAX, 0), "an end always comes");
    }
}
