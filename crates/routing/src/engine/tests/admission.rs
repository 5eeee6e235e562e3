//! Admission by the capacity of the fleet.

use super::{MS, arrive, end_first_attempt, new_engine, settings_of_fleet};
use crate::engine::Engine;
use crate::events::{AttemptOutcome, Endpoint, UpdateKind};

fn fleet_has_capacity(engine: &mut Engine) -> bool {
    engine
        .admission
        .fleet_has_capacity(engine.fleet, engine.now, &mut engine.random)
}

#[test]
fn fraction_is_rejected_at_once_while_too_little_is_served_in_time() {
    let mut engine = new_engine(settings_of_fleet(300), 1);
    engine.on_endpoint_update(UpdateKind::Full, vec![Endpoint::default()]);
    let count_admitted =
        |engine: &mut Engine| (0..1_000).filter(|_| fleet_has_capacity(engine)).count();
    assert_eq!(count_admitted(&mut engine), 1_000, "nothing is known yet");
    for (useful, least, most) in [(48, 1_000, 1_000), (10, 240, 400), (0, 240, 360)] {
        engine.now += 100_000 * MS;
        let (now, traffic) = (engine.now, &mut engine.admission.traffic);
        (0..60).for_each(|_| traffic.record_consumed(now));
        (0..useful).for_each(|_| traffic.record_useful(now));
        let admitted = count_admitted(&mut engine);
        assert!(
            (least..=most).contains(&admitted),
            "{useful} of 60 in time: {admitted}"
        );
    }
    // Rejections cost an endpoint nothing: they do not count.
    engine.now += 100_000 * MS;
    arrive(&mut engine, 1);
    engine.retry_budget.set_tokens(0.0);
    end_first_attempt(&mut engine, 1, AttemptOutcome::Rejected);
    let [_, consumed_per_second, _] = engine.admission.traffic.to_stored(engine.now);
    assert!(engine.requests.is_empty() && consumed_per_second < 1e-6);
}

#[test]
fn admitted_fraction_recovers_within_seconds_once_requests_are_served_again() {
    // Twenty of a hundred balancers side by side, 20 requests a second each, of which nine in ten
    // are useful again.
    let mut admitted = 0;
    for seed in 0..20 {
        let mut engine = new_engine(settings_of_fleet(100), seed);
        (0..60).for_each(|_| engine.admission.traffic.record_consumed(0));
        for n in 1..=160u64 {
            engine.now = n * 50 * MS;
            if fleet_has_capacity(&mut engine) {
                engine.admission.traffic.record_consumed(engine.now);
                admitted += u32::from(n > 120);
                if n % 10 > 0 {
                    engine.admission.traffic.record_useful(engine.now);
                }
            }
        }
    }
    assert!(admitted >= 720, "after 6 s, of 800: {admitted}");
}
