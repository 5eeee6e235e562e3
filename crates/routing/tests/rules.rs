//! Tests of the rules of the service, one scenario each.

mod common;

use common::{
    IDEMPOTENT, KEYED, MS, NOT_IDEMPOTENT, TestBalancer, balancer, balancer_with_seed, settings,
};
use routing::{
    Action, AttemptNumber, AttemptOutcome, DeduplicationScope, EndpointId, EndpointState, Engine,
    Event, Idempotency, RequestId, Settings,
};

/// Function that makes settings inconsistent.
type Corruption = fn(&mut Settings);

fn is_reject(action: &Action) -> bool {
    matches!(action, Action::Reject { .. })
}

fn is_fail_of_first(action: &Action) -> bool {
    matches!(
        action,
        Action::Fail {
            request: RequestId(1),
            ..
        }
    )
}

/// Returns settings whose keyed class has this deduplication scope.
fn settings_with_scope(scope: DeduplicationScope) -> Settings {
    let mut settings = settings();
    settings.classes[KEYED.0].idempotency = Idempotency::Keyed {
        scope,
        window: 500 * MS,
    };
    settings
}

fn settings_of_fleet(balancers: usize) -> Settings {
    Settings {
        balancers,
        ..settings()
    }
}

#[test]
fn request_without_endpoints_is_rejected_once() {
    let mut balancer = balancer(settings());
    balancer.request(1, IDEMPOTENT, Some(7), 1_000 * MS);
    balancer.run_until(3_000 * MS);
    assert_eq!(balancer.final_answers(1), 1);
    assert!(
        balancer
            .issued
            .iter()
            .any(|issued| is_reject(&issued.action) && issued.at <= 1_000 * MS)
    );
}

#[test]
fn unresponsive_endpoint_leads_to_one_failure_at_the_deadline() {
    let mut balancer = balancer(settings());
    balancer.list_endpoints(&[1]);
    balancer.request(1, NOT_IDEMPOTENT, Some(7), 1_000 * MS);
    balancer.run_until(5_000 * MS);
    assert_eq!(balancer.final_answers(1), 1);
    let failure = balancer
        .issued
        .iter()
        .find(|issued| is_fail_of_first(&issued.action))
        .expect("the request is failed");
    let grace = settings().rules.final_answer_grace;
    assert!(failure.at >= 900 * MS && failure.at <= 1_000 * MS + grace);
    assert_eq!(balancer.sends(1).len(), 1);
}

#[test]
fn request_whose_deadline_has_passed_is_answered() {
    let mut balancer = balancer(settings());
    balancer.list_endpoints(&[1, 2, 3]);
    balancer.request(1, IDEMPOTENT, Some(7), 0);
    balancer.run_until(1_000 * MS);
    assert_eq!(balancer.final_answers(1), 1);
    assert!(balancer.sends(1).is_empty());
}

#[test]
fn not_idempotent_request_is_retried_only_after_proof_that_it_never_ran() {
    for (outcome, is_retried) in [
        (AttemptOutcome::Rejected, true),
        (AttemptOutcome::ConnectFailed, true),
        (AttemptOutcome::NotSent, true),
        (AttemptOutcome::Error, false),
        (AttemptOutcome::Timeout, false),
        (AttemptOutcome::Reset, false),
        (AttemptOutcome::Cancelled, false),
        (AttemptOutcome::Unreadable, false),
    ] {
        let mut balancer = balancer(settings());
        balancer.list_endpoints(&[1, 2, 3]);
        balancer.request(1, NOT_IDEMPOTENT, Some(7), 1_000 * MS);
        balancer.end(1, 0, outcome);
        let sends = if is_retried { 2 } else { 1 };
        assert_eq!(balancer.sends(1).len(), sends, "{outcome:?}");
        assert_eq!(
            balancer.final_answers(1),
            usize::from(!is_retried),
            "{outcome:?}"
        );
        if !is_retried {
            assert!(
                balancer.actions().any(is_fail_of_first),
                "the request is failed, because a rejection would promise that a retry is harmless"
            );
        }
    }
}

#[test]
fn only_idempotent_requests_are_hedged() {
    for class in [NOT_IDEMPOTENT, KEYED] {
        let mut balancer = balancer(settings());
        balancer.list_endpoints(&[1, 2, 3]);
        balancer.request(1, class, Some(7), 1_000 * MS);
        balancer.run_until(2_000 * MS);
        assert_eq!(balancer.sends(1).len(), 1);
    }
}

#[test]
fn keyed_request_is_repeated_only_within_its_window() {
    for (wait, is_repeated) in [(300, true), (499, true), (500, false), (900, false)] {
        let mut balancer = balancer(settings());
        balancer.list_endpoints(&[1, 2, 3]);
        balancer.request(1, KEYED, Some(7), 4_000 * MS);
        balancer.run_until(wait * MS);
        balancer.end(1, 0, AttemptOutcome::Error);
        let sends = if is_repeated { 2 } else { 1 };
        assert_eq!(balancer.sends(1).len(), sends, "after {wait} ms");
    }
}

#[test]
fn keyed_request_stays_in_its_deduplication_scope() {
    for scope in [DeduplicationScope::Zone, DeduplicationScope::Cell] {
        let mut balancer = balancer(settings_with_scope(scope));
        // The zone and the cell of an endpoint are its identifier modulo 2.
        balancer.list_endpoints(&[1, 2, 3, 4, 5, 6]);
        for id in 1..200 {
            balancer.request(id, KEYED, Some(id as u64), 2_000 * MS);
            balancer.end(id, 0, AttemptOutcome::Reset);
            let sent_to = balancer.sends(id);
            let is_in_scope = |endpoint: &EndpointId| endpoint.0 % 2 == sent_to[0].0 % 2;
            assert!(sent_to.iter().all(is_in_scope), "{sent_to:?}");
            balancer.answer_all(id);
        }
    }
}

#[test]
fn keyed_request_that_may_have_run_is_rejected_only_where_all_endpoints_discard_repeats() {
    for (scope, is_rejected) in [
        (DeduplicationScope::All, true),
        (DeduplicationScope::Zone, false),
        (DeduplicationScope::Cell, false),
    ] {
        let mut balancer = balancer(settings_with_scope(scope));
        balancer.list_endpoints(&[1, 2, 3]);
        balancer.request(1, KEYED, Some(7), 2_000 * MS);
        balancer.run_until(600 * MS);
        balancer.end(1, 0, AttemptOutcome::Timeout);
        assert_eq!(balancer.final_answers(1), 1);
        assert_eq!(balancer.actions().any(is_reject), is_rejected);
    }
}

#[test]
fn draining_and_removed_endpoints_receive_no_new_attempts() {
    let mut balancer = balancer(settings());
    balancer.list_endpoints(&[1, 2, 3, 4]);
    balancer.change_endpoint(1, EndpointState::Draining, 0);
    balancer.change_endpoint(2, EndpointState::Removed, 0);
    for id in 1..300 {
        balancer.read(id);
        let sent_to = balancer.sends(id);
        assert!(sent_to.iter().all(|endpoint| endpoint.0 > 2), "{sent_to:?}");
        balancer.end(id, 0, AttemptOutcome::Ok);
    }
    balancer.change_endpoint(3, EndpointState::Draining, 0);
    balancer.change_endpoint(4, EndpointState::Draining, 0);
    balancer.request(999, IDEMPOTENT, Some(1), 1_000 * MS);
    balancer.run_for(2_000 * MS);
    assert!(balancer.sends(999).is_empty());
    assert_eq!(balancer.final_answers(999), 1);
}

/// Returns the number of attempts of a request that were sent to this endpoint.
fn count_sends_to(balancer: &TestBalancer, id: u128, endpoint: u64) -> usize {
    let sends = balancer.sends(id).into_iter();
    sends.filter(|id| *id == EndpointId(endpoint)).count()
}

/// Sends reads with these identifiers, 10 ms apart, and answers them. Returns how many were first
/// sent to endpoint 4.
fn count_first_reads_at_4(balancer: &mut TestBalancer, ids: impl Iterator<Item = u128>) -> usize {
    let mut count = 0;
    for id in ids {
        balancer.read(id);
        count += usize::from(balancer.sends(id).first() == Some(&EndpointId(4)));
        balancer.run_for(10 * MS);
        if !balancer.sends(id).is_empty() {
            balancer.end(id, 0, AttemptOutcome::Ok);
        }
    }
    count
}

#[test]
fn endpoint_in_slow_start_receives_at_most_its_budget() {
    let mut balancer = balancer(settings());
    balancer.now = 100_000 * MS;
    balancer.list_endpoints(&[1, 2, 3]);
    let mut sent_to_new = count_first_reads_at_4(&mut balancer, 1..=1_000);
    let started = balancer.now;
    balancer.change_endpoint(4, EndpointState::Active, started);
    sent_to_new += count_first_reads_at_4(&mut balancer, 1_001..=1_300);
    // 100 requests per second over 3.2 to 3.44 ready endpoints for 3 s, at a capacity from 0.2 to
    // 0.44 and with the factor 1.2, amount to a budget of 35 attempts.
    assert!((5..=37).contains(&sent_to_new), "{sent_to_new}");
}

/// Sends thirteen reads, a second apart, every other of which is rejected; endpoint 10 starts after
/// ten of them. Returns the number of attempts sent to endpoint 10.
fn count_sends_to_new_endpoint(balancer: &mut TestBalancer, first_key: u64) -> usize {
    let mut sent_to_new = 0;
    for second in 0..13u64 {
        if second == 10 {
            let started = balancer.now;
            balancer.change_endpoint(10, EndpointState::Active, started);
        }
        let id = u128::from(second + 1);
        balancer.request(id, IDEMPOTENT, Some(first_key + second), 1_000 * MS);
        sent_to_new += count_sends_to(balancer, id, 10);
        balancer.run_for(100 * MS);
        if !balancer.sends(id).is_empty() {
            let outcome = if second % 2 == 0 {
                AttemptOutcome::Ok
            } else {
                AttemptOutcome::Rejected
            };
            balancer.end(id, 0, outcome);
            let retries = balancer.sends(id).into_iter().skip(1);
            sent_to_new += retries.filter(|id| *id == EndpointId(10)).count();
        }
        balancer.run_for(900 * MS);
    }
    sent_to_new
}

#[test]
fn hundreds_of_balancers_together_keep_an_endpoint_in_slow_start_within_its_budget() {
    // 300 balancers with one request per second each, and four equal endpoints of which one has
    // just started; half of the requests are served. For 3 s at a capacity from 0.2 to 0.44 the
    // budget is about 36 attempts, of over 200 requested.
    let mut sent_to_new = 0;
    for seed in 0..300u64 {
        let mut balancer = balancer_with_seed(settings_of_fleet(300), seed);
        balancer.now = 100_000 * MS;
        balancer.list_endpoints(&[1, 2, 3]);
        sent_to_new += count_sends_to_new_endpoint(&mut balancer, seed * 100);
    }
    assert!((4..=40).contains(&sent_to_new), "{sent_to_new}");
}

const REQUESTS_PER_SECOND: u64 = 10;

/// Returns the times at which one of many balancers sends to endpoint 10, which starts after two of
/// eight seconds.
fn send_times_to_new_endpoint(balancers: usize, seed: u64) -> Vec<u64> {
    let mut sent_at = Vec::new();
    let mut balancer = balancer_with_seed(settings_of_fleet(balancers), seed);
    balancer.now = 100_000 * MS;
    balancer.list_endpoints(&[1, 2, 3]);
    for number in 0..8 * REQUESTS_PER_SECOND {
        if number == 2 * REQUESTS_PER_SECOND {
            let started = balancer.now;
            balancer.change_endpoint(10, EndpointState::Active, started);
        }
        let id = u128::from(number + 1);
        balancer.request(id, IDEMPOTENT, Some(seed * 1_000 + number), 1_000 * MS);
        let sent_to_new = count_sends_to(&balancer, id, 10);
        sent_at.extend(std::iter::repeat_n(balancer.now, sent_to_new));
        balancer.run_for(5 * MS);
        balancer.answer_all(id);
        balancer.run_for(1_000 * MS / REQUESTS_PER_SECOND - 5 * MS);
    }
    sent_at
}

/// With twenty to thirty balancers and one recently started endpoint of four, the attempts sent to
/// it within the overload window stay within N + 2 sqrt(N) + 2. N is the number of attempts that
/// the endpoint tolerates in that time according to the settings: `overload_factor` times the
/// number that corresponds to its present capacity. The margin above N allows for random variation.
#[test]
fn twenty_to_thirty_balancers_together_keep_an_endpoint_in_slow_start_within_its_budget() {
    for balancers in [20u64, 25, 30] {
        let sent_at: Vec<u64> = (0..balancers)
            .flat_map(|seed| send_times_to_new_endpoint(balancers as usize, seed))
            .collect();
        let rules = settings().rules;
        let window_seconds = rules.overload_window as f64 / 1e9;
        let started = 102_000 * MS;
        for from in (0..4_000).step_by(100).map(|ms| started + ms * MS) {
            let sent = sent_at
                .iter()
                .filter(|at| (from..from + rules.overload_window).contains(*at))
                .count() as f64;
            let age = (from - started) as f64 / rules.slow_start_duration as f64;
            // The lowest capacity in the window is the one at its beginning.
            let capacity = rules.slow_start_fraction + (1.0 - rules.slow_start_fraction) * age;
            let ready_per_second = (balancers * REQUESTS_PER_SECOND) as f64 / (3.0 + capacity);
            let tolerated = rules.overload_factor * ready_per_second * capacity * window_seconds;
            let maximum = tolerated + 2.0 * tolerated.sqrt() + 2.0;
            assert!(
                sent <= maximum,
                "{balancers} balancers: {sent} attempts from {from} ns, at most {maximum} allowed"
            );
        }
        assert!(!sent_at.is_empty(), "the endpoint receives attempts");
    }
}

#[test]
fn requests_are_served_while_all_endpoints_are_in_slow_start() {
    let mut balancer = balancer(settings());
    balancer.now = 100_000 * MS;
    for endpoint in 1..=4 {
        balancer.change_endpoint(endpoint, EndpointState::Active, 100_000 * MS);
    }
    let mut served = [0; 2];
    for id in 1..=1_000u128 {
        balancer.read(id);
        balancer.run_for(10 * MS);
        // Also answers the requests that were queued before they were sent.
        (id.saturating_sub(30)..=id).for_each(|id| balancer.answer_all(id));
        served[id as usize / 501] += balancer.sends(id.saturating_sub(30)).len();
    }
    assert!(served[0] >= 20 && served[1] >= 100, "{served:?}");
}

#[test]
fn request_gets_at_most_the_maximum_number_of_attempts() {
    let mut balancer = balancer(settings());
    balancer.list_endpoints(&[1, 2, 3, 4, 5, 6]);
    balancer.request(1, IDEMPOTENT, Some(7), 1_000 * MS);
    for attempt in 0..6 {
        if balancer.final_answers(1) == 0 {
            balancer.end(1, attempt, AttemptOutcome::ConnectFailed);
        }
    }
    assert_eq!(balancer.sends(1).len(), 4);
    assert_eq!(balancer.final_answers(1), 1);
}

#[test]
fn streaming_response_is_neither_retried_nor_answered_by_the_engine() {
    let mut balancer = balancer(settings());
    balancer.list_endpoints(&[1, 2, 3]);
    balancer.request(1, IDEMPOTENT, Some(7), 400 * MS);
    balancer.run_until(250 * MS);
    assert_eq!(balancer.sends(1).len(), 2);
    balancer.handle(Event::ResponseStarted {
        request: RequestId(1),
        attempt: AttemptNumber(1),
    });
    let cancel = Action::Cancel {
        request: RequestId(1),
        attempt: AttemptNumber(0),
    };
    assert!(balancer.has_issued_since(0, &cancel));
    balancer.end(1, 0, AttemptOutcome::Cancelled);
    balancer.run_until(5_000 * MS);
    assert_eq!(balancer.final_answers(1), 0);
    balancer.end_finished(1, 1, AttemptOutcome::Reset);
    assert_eq!((balancer.sends(1).len(), balancer.final_answers(1)), (2, 0));
}

#[test]
fn request_of_a_disconnected_client_gets_no_final_answer() {
    let mut balancer = balancer(settings());
    balancer.list_endpoints(&[1, 2, 3]);
    balancer.request(1, IDEMPOTENT, Some(7), 400 * MS);
    balancer.handle(Event::ClientDisconnected(RequestId(1)));
    balancer.run_until(5_000 * MS);
    assert_eq!((balancer.sends(1).len(), balancer.final_answers(1)), (1, 0));
}

#[test]
fn inconsistent_setting_is_named_in_the_error() {
    let cases: [(&str, Corruption); 4] = [
        ("classes", |settings| settings.classes.clear()),
        ("classes[1].deadline", |settings| {
            settings.classes[1].deadline = 0;
        }),
        ("capabilities.max_attempts", |settings| {
            settings.capabilities.max_attempts = 0;
        }),
        ("balancers", |settings| settings.balancers = 0),
    ];
    for (field, corrupt) in cases {
        let mut settings = settings();
        corrupt(&mut settings);
        let error = Engine::new(settings, 1, 0)
            .err()
            .expect("the settings are rejected");
        assert_eq!(error.field, field);
    }
}
