//! Tests of fleet shedding: all balancers shed the same requests.

use super::{MS, engine_with, read_request, settings};
use crate::actions::{Action, DecisionReason};
use crate::admission::AdmissionCounts;
use crate::concurrency_limit::ConcurrencyLimit;
use crate::engine::Engine;
use crate::events::{Event, NewRequest, SheddingLevel};
use crate::identifiers::{ClassId, TenantId};
use crate::settings::{RequestClass, Settings, Tenant};

/// Returns settings with two classes, of which the first has the lower weight, and a tenant with a
/// small quota.
fn two_classes() -> Settings {
    let mut settings = settings();
    settings.classes.push(RequestClass {
        priority_weight: 10.0,
        ..settings.classes[0].clone()
    });
    settings.tenants.push(Tenant {
        quota_per_second: 0.001,
    });
    settings.over_quota_weight = 0.2;
    settings.capabilities.retry_after = true;
    settings.capabilities.max_retry_after = 5_000 * MS;
    settings
}

/// Creates an engine whose endpoints have very high concurrency limits.
fn unlimited_engine(seed: u64) -> Engine {
    let mut engine = engine_with(two_classes(), seed, 9);
    for record in engine.endpoints.records_mut() {
        record.limit = ConcurrencyLimit::from_stored(1e6);
    }
    engine
}

fn shedding(level: f64, rotation: u64) -> Event {
    Event::FleetShedding(SheddingLevel {
        level,
        rotation,
        rotation_ends: (rotation + 1) * 1_000 * MS,
    })
}

/// Returns which of the keys 0 to 999 are shed in a class.
fn shed_keys(engine: &mut Engine, class: usize, tenant: Option<TenantId>) -> Vec<u64> {
    let is_shed = |action: &Action| match action {
        Action::Reject { explanation, .. } => explanation.reason == DecisionReason::FleetShedding,
        _ => false,
    };
    let mut shed = Vec::new();
    for key in 0..1_000 {
        let id = u128::from(engine.timers.last_token()) << 32 | u128::from(key);
        let actions = engine.handle_now(Event::RequestArrived(NewRequest {
            class: ClassId(class),
            tenant,
            ..read_request(id, key, 1_000 * MS)
        }));
        shed.extend(actions.iter().any(is_shed).then_some(key));
    }
    shed
}

#[test]
fn all_balancers_shed_the_same_low_weight_requests_and_different_ones_in_the_next_rotation() {
    let (mut first, mut second) = (unlimited_engine(1), unlimited_engine(2));
    // Tiers of the first class, within and beyond its quota, then of the second class.
    assert_eq!(
        first.admission.shedding().tiers(),
        [1, 0, 3, 2],
        "tiers by ascending weight: 0.2, 1.0, 2.0, 10.0"
    );
    let mut actions = Vec::new();
    for engine in [&mut first, &mut second] {
        engine.handle(0, shedding(1.4, 6), &mut actions);
    }
    let before = shed_keys(&mut first, 0, None);
    assert_eq!(
        before,
        shed_keys(&mut second, 0, None),
        "both balancers shed the same keys"
    );
    assert!((350..450).contains(&before.len()), "{}", before.len());
    assert_eq!(
        shed_keys(&mut first, 1, None),
        [0; 0],
        "the class with ten times the weight is not shed"
    );
    let over_quota = shed_keys(&mut first, 0, Some(TenantId(0)));
    assert!(
        (930..970).contains(&over_quota.len()),
        "most requests beyond the quota are shed, but not all: {}",
        over_quota.len()
    );
    first.handle(1_000 * MS, shedding(1.4, 7), &mut actions);
    let after = shed_keys(&mut first, 0, None);
    assert!(
        !after.iter().any(|key| before.contains(key)),
        "a client that retries in the next rotation is admitted"
    );
    first.handle(1_000 * MS, shedding(0.0, 8), &mut actions);
    assert_eq!(shed_keys(&mut first, 0, None), [0; 0]);
}

#[test]
fn retry_after_of_a_shed_request_lies_beyond_the_rotation() {
    let mut engine = unlimited_engine(1);
    let mut actions = Vec::new();
    engine.handle(300 * MS, shedding(4.0, 0), &mut actions);
    for id in 0..200 {
        let details = read_request(id, id as u64, 500 * MS);
        engine.handle(300 * MS, Event::RequestArrived(details), &mut actions);
    }
    let waits: Vec<u64> = actions
        .iter()
        .filter_map(|action| match action {
            Action::Reject { retry_after, .. } => Some(*retry_after),
            _ => None,
        })
        .collect();
    assert!(waits.len() > 180);
    assert!(
        waits.iter().all(|wait| (700 * MS..900 * MS).contains(wait)),
        "0.7 s until the rotation plus a random part of the objective"
    );
    let counts = engine.take_admission_counts();
    assert_eq!(
        counts.admitted.iter().sum::<u32>() as usize + waits.len(),
        200
    );
    assert_eq!(
        (counts.capacity_rejections, engine.take_admission_counts()),
        (0, AdmissionCounts::default()),
        "shedding is not counted as lack of capacity"
    );
}

#[test]
fn shedding_level_of_zero_changes_no_decision() {
    let (mut engine_without_level, mut engine_with_level) =
        (unlimited_engine(7), unlimited_engine(7));
    let (mut actions_without_level, mut actions_with_level) = (Vec::new(), Vec::new());
    engine_with_level.handle(0, shedding(0.0, 3), &mut actions_with_level);
    for id in 0..300u64 {
        let now = id * 3 * MS;
        let details = NewRequest {
            class: ClassId(id as usize % 2),
            ..read_request(id.into(), id % 40, 300 * MS)
        };
        engine_without_level.handle(
            now,
            Event::RequestArrived(details),
            &mut actions_without_level,
        );
        engine_with_level.handle(now, Event::RequestArrived(details), &mut actions_with_level);
        if id % 100 == 99 {
            engine_with_level.handle(now, shedding(0.0, id), &mut actions_with_level);
        }
    }
    assert_eq!(actions_without_level, actions_with_level);
    assert!(actions_without_level.len() > 600);
}
