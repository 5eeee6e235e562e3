//! Tests of `learnt`.

use crate::brain::BACKOFF_MAX;
use crate::brain::tests::{brain, settings};
use crate::*;

#[test]
fn what_is_learnt_passes_on_and_what_is_saved_up_is_shared() {
    let mut old = brain(3);
    for sample in 1..=50 {
        old.record.add(sample * 1_000_000);
    }
    let first = *old.servers.keys().next().unwrap();
    let server = old.servers.get_mut(&first).unwrap();
    (server.limit, server.strikes, server.suspect_until) = (7.0, 3.0, Some(5));
    let (t, copies) = (old.record.t, old.copy_budget);
    let learnt = old.take_snapshot();
    let mut new = brain(3);
    assert!(new.record.t < t);
    new.restore(&learnt).unwrap();
    assert_eq!((new.record.t, new.record.samples), (t, 50));
    let server = &new.servers[&first];
    assert_eq!(
        (server.limit, server.strikes, server.suspect_until),
        (7.0, 3.0, Some(5))
    );
    assert_eq!(
        new.copy_budget + old.copy_budget,
        copies,
        "together no more than one"
    );
}

#[test]
fn times_of_a_process_whose_clock_was_ahead_go_no_further_than_our_own_could() {
    let mut old = brain(3);
    let first = *old.servers.keys().next().unwrap();
    let server = old.servers.get_mut(&first).unwrap();
    let ahead = 3_600_000_000_000;
    (server.suspect_until, server.cold_budget_at, server.backoff) = (Some(ahead), ahead, ahead);
    let learnt = old.take_snapshot();
    let mut new = brain(3);
    new.restore(&learnt).unwrap();
    let server = &new.servers[&first];
    assert_eq!(
        (server.suspect_until, server.backoff),
        (Some(new.now + BACKOFF_MAX), BACKOFF_MAX)
    );
    assert_eq!(server.cold_budget_at, new.now);
}

#[test]
fn of_a_server_that_started_anew_or_is_not_listed_nothing_is_taken_over() {
    let mut old = brain(3);
    old.servers.values_mut().for_each(|s| s.limit = 7.0);
    let learnt = old.take_snapshot();
    let mut new = Engine::new(settings(), 1, 0).unwrap();
    let entries = vec![Endpoint {
        id: EndpointId(1),
        weight: 1.0,
        started: 9,
        ..Endpoint::default()
    }];
    new.on_list(UpdateKind::Full, entries);
    new.restore(&learnt).unwrap();
    assert_ne!(new.servers[&EndpointId(1)].limit, 7.0);
    assert_eq!(new.servers.len(), 1);
}

#[test]
fn what_makes_no_sense_is_not_taken_over_at_all() {
    let good = brain(3).take_snapshot();
    type Spoil = fn(&mut super::Snapshot);
    let cases: [(Spoil, &str); 5] = [
        (
            |l| l.servers[1].limit = f64::NAN,
            "servers: a figure makes no sense",
        ),
        (|l| l.rates[0] = -1.0, "a figure makes no sense"),
        (|l| l.hits = vec![0.5], "hits: not one for each rank"),
        (|l| l.record.0 = vec![0.0; 3], "record: makes no sense"),
        (|l| l.record.0[7] = -1.0, "record: makes no sense"),
    ];
    for (spoil, problem) in cases {
        let (mut spoilt, mut new) = (good.clone(), brain(3));
        spoilt.origin_room = 0.1;
        spoil(&mut spoilt);
        assert_eq!(new.restore(&spoilt), Err(problem));
        assert_eq!(new.origin_room, 1.0);
    }
}
