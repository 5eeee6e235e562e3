//! Tests of snapshots: what is restored and what is not.

use super::{endpoint, engine, new_engine, settings};
use crate::concurrency_limit::ConcurrencyLimit;
use crate::engine::Engine;
use crate::events::{Endpoint, UpdateKind};
use crate::identifiers::{EndpointId, Nanos};
use crate::outlier_detection::{EndpointHealth, MAX_BACKOFF, StoredHealth};
use crate::snapshot::{Snapshot, SnapshotError};

const FIRST: EndpointId = EndpointId(1);

/// Function that makes a snapshot invalid.
type Corruption = fn(&mut Snapshot);

fn health(engine: &Engine) -> StoredHealth {
    engine.record(FIRST).health.to_stored()
}

#[test]
fn snapshot_is_restored_and_budgets_are_split() {
    let mut old = engine(3);
    for sample in 1..=50 {
        old.hedging.record_latency(sample * 1_000_000);
    }
    let record = old.record_mut(FIRST);
    record.limit = ConcurrencyLimit::from_stored(7.0);
    let stored = StoredHealth {
        consecutive_failures: 3.0,
        ejected_until: Some(5),
        ..record.health.to_stored()
    };
    record.health = EndpointHealth::from_stored(stored, 0);
    let quantile = old.hedging.latencies().value();
    let hedge_tokens = old.hedging.budget.tokens();
    let snapshot = old.take_snapshot();
    let mut new = engine(3);
    assert!(new.hedging.latencies().value() < quantile);
    new.restore(&snapshot).unwrap();
    assert_eq!(
        (
            new.hedging.latencies().value(),
            new.hedging.latencies().samples()
        ),
        (quantile, 50)
    );
    assert_eq!(
        (
            new.record(FIRST).limit.value(),
            health(&new).consecutive_failures,
            health(&new).ejected_until
        ),
        (7.0, 3.0, Some(5))
    );
    assert_eq!(
        new.hedging.budget.tokens() + old.hedging.budget.tokens(),
        hedge_tokens,
        "both engines together have the tokens of one"
    );
}

#[test]
fn times_of_a_process_whose_clock_was_ahead_are_bounded() {
    let mut snapshot = engine(3).take_snapshot();
    let ahead: Nanos = 3_600_000_000_000;
    let stored = &mut snapshot.endpoints[0];
    stored.ejected_until = Some(ahead);
    stored.slow_start_refilled_at = ahead;
    stored.backoff = ahead;
    let mut new = engine(3);
    new.restore(&snapshot).unwrap();
    assert_eq!(
        (health(&new).ejected_until, health(&new).backoff),
        (Some(new.now + MAX_BACKOFF), MAX_BACKOFF)
    );
    let budget = new.record(FIRST).slow_start.to_stored();
    assert_eq!(budget.refilled_at, new.now);
}

#[test]
fn nothing_is_restored_of_an_endpoint_that_restarted_or_is_not_listed() {
    let mut old = engine(3);
    for record in old.endpoints.records_mut() {
        record.limit = ConcurrencyLimit::from_stored(7.0);
    }
    let snapshot = old.take_snapshot();
    let mut new = new_engine(settings(), 1);
    let restarted = Endpoint {
        started: 9,
        ..endpoint(1)
    };
    new.on_endpoint_update(UpdateKind::Full, vec![restarted]);
    new.restore(&snapshot).unwrap();
    assert_ne!(new.record(FIRST).limit.value(), 7.0);
    assert_eq!(new.endpoints.len(), 1);
}

#[test]
fn invalid_snapshot_is_not_restored_at_all() {
    let valid = engine(3).take_snapshot();
    let cases: [(Corruption, SnapshotError); 5] = [
        (
            |snapshot| snapshot.endpoints[1].limit = f64::NAN,
            SnapshotError::InvalidEndpointValue,
        ),
        (
            |snapshot| snapshot.rates[0] = -1.0,
            SnapshotError::InvalidValue,
        ),
        (
            |snapshot| snapshot.rank_hit_ratios = vec![0.5],
            SnapshotError::RankCount,
        ),
        (
            |snapshot| snapshot.latency_histogram.0 = vec![0.0; 3],
            SnapshotError::InvalidHistogram,
        ),
        (
            |snapshot| snapshot.latency_histogram.0[7] = -1.0,
            SnapshotError::InvalidHistogram,
        ),
    ];
    for (corrupt, error) in cases {
        let (mut snapshot, mut new) = (valid.clone(), engine(3));
        snapshot.origin_admitted_fraction = 0.1;
        corrupt(&mut snapshot);
        assert_eq!(new.restore(&snapshot), Err(error));
        assert_eq!(new.origin.admitted_fraction(), 1.0);
    }
}
