//! Tests of admission by the capacity of the caches.

use super::{MS, arrive, end_first_attempt, new_engine, settings_of_fleet};
use crate::engine::Engine;
use crate::events::{AttemptOutcome, Endpoint, UpdateKind};

fn caches_have_capacity(engine: &mut Engine) -> bool {
    engine
        .admission
        .caches_have_capacity(engine.fleet, engine.now, &mut engine.random)
}

#[test]
fn fraction_of_requests_is_rejected_on_arrival_while_few_are_answered_in_time() {
    let mut engine = new_engine(settings_of_fleet(300), 1);
    engine.on_endpoint_update(UpdateKind::Full, vec![Endpoint::default()]);
    let count_admitted =
        |engine: &mut Engine| (0..1_000).filter(|_| caches_have_capacity(engine)).count();
    assert_eq!(
        count_admitted(&mut engine),
        1_000,
        "everything is admitted without observations"
    );
    for (useful, minimum, maximum) in [(48, 1_000, 1_000), (10, 240, 400), (0, 240, 360)] {
        engine.now += 100_000 * MS;
        let (now, traffic) = (engine.now, &mut engine.admission.traffic);
        (0..60).for_each(|_| traffic.record_consumed(now));
        (0..useful).for_each(|_| traffic.record_useful(now));
        let admitted = count_admitted(&mut engine);
        assert!(
            (minimum..=maximum).contains(&admitted),
            "{useful} of 60 answered in time: {admitted} admitted"
        );
    }
    // Rejections take up no endpoint time and are not counted.
    engine.now += 100_000 * MS;
    arrive(&mut engine, 1);
    engine.retry_budget.set_tokens(0.0);
    end_first_attempt(&mut engine, 1, AttemptOutcome::Rejected);
    let [_, consumed_per_second, _] = engine.admission.traffic.to_stored(engine.now);
    assert!(engine.requests.is_empty() && consumed_per_second < 1e-6);
}

#[test]
fn admitted_fraction_recovers_within_seconds_once_requests_are_served_again() {
    // Twenty of a hundred balancers with 20 requests per second each; nine in ten of the admitted
    // requests are usefully answered again.
    let mut admitted = 0;
    for seed in 0..20 {
        let mut engine = new_engine(settings_of_fleet(100), seed);
        (0..60).for_each(|_| engine.admission.traffic.record_consumed(0));
        for step in 1..=160u64 {
            engine.now = step * 50 * MS;
            if caches_have_capacity(&mut engine) {
                engine.admission.traffic.record_consumed(engine.now);
                admitted += u32::from(step > 120);
                if step % 10 > 0 {
                    engine.admission.traffic.record_useful(engine.now);
                }
            }
        }
    }
    assert!(
        admitted >= 720,
        "{admitted} of 800 requests admitted after the first 6 s"
    );
}
