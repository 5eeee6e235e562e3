//! Tests of `tries`.

use super::*;
use crate::request::CacheCommand;

#[test]
fn answers_map_to_outcomes() {
    let cases = [
        ("BUSY", AttemptOutcome::Rejected),
        ("BUSY 20", AttemptOutcome::Rejected),
        ("BUSYBODY", AttemptOutcome::InvalidRequest),
        ("ERR failed", AttemptOutcome::Error),
        ("ERR bad request", AttemptOutcome::InvalidRequest),
    ];
    for (text, outcome) in cases {
        assert_eq!(
            read_outcome(PeerAnswer::Error(text.into())).0,
            outcome,
            "{text}"
        );
    }
    let text = |text: &str| Some(text.as_bytes().to_vec());
    let (note, load) = (text("pending"), text("depth=3,new=1,x0=oops"));
    let answer = PeerAnswer::Served {
        value: b"v".to_vec(),
        note,
        load,
    };
    let served = read_outcome(answer).1.expect("it is served");
    assert_eq!(
        (served.value.as_slice(), served.note),
        (&b"v"[..], Some(CacheStatus::MissPending))
    );
    assert_eq!(
        served.load,
        Some(LoadReport {
            queue_depth: Some(3.0),
            ..LoadReport::default()
        })
    );
    let (note, load) = (None, text("\u{fffd}!"));
    let served = read_outcome(PeerAnswer::Served {
        value: b"v".to_vec(),
        note,
        load,
    })
    .1;
    assert_eq!(
        served.expect("without a report that can be read too").load,
        Some(LoadReport::default())
    );
}

fn incoming(ticket: Ticket, patience: Nanos, order: CacheCommand) -> IncomingRequest {
    IncomingRequest {
        ticket,
        class: String::new(),
        tenant: None,
        arrived_at: 0,
        client_timeout: patience,
        estimated_work: None,
        command: order,
    }
}

#[test]
fn no_cache_is_blamed_for_what_the_process_was_held_up() {
    let (mut tries, mut counters) = (AttemptTracker::default(), Counters::default());
    let order = CacheCommand {
        value: None,
        key: b"k".to_vec(),
        request_id: b"i".to_vec(),
        fields: Vec::new(),
    };
    tries.take(incoming(
        Ticket {
            request: RequestId(1),
            connection: 0,
        },
        9_000 * MS,
        order,
    ));
    tries.set_lost(40 * MS);
    let first = (RequestId(1), AttemptNumber(0));
    assert!(
        tries
            .start(0, first, EndpointId(1), (None, None), &mut counters)
            .is_ok()
    );
    tries.set_lost(690 * MS);
    let end = tries.give_up(
        660 * MS,
        first.0,
        first.1,
        AttemptOutcome::Timeout,
        &mut counters,
    );
    assert!(
        matches!(end, Some(Event::AttemptEnded(AttemptResult { latency, .. })) if latency == 10 * MS),
        "{end:?}"
    );
}

#[test]
fn a_try_that_comes_too_late_ends_under_its_own_number() {
    let (mut tries, mut counters) = (AttemptTracker::default(), Counters::default());
    let order = CacheCommand {
        value: None,
        key: b"k".to_vec(),
        request_id: b"i".to_vec(),
        fields: Vec::new(),
    };
    let ticket = Ticket {
        request: RequestId(1),
        connection: 0,
    };
    tries.take(incoming(ticket, 100 * MS, order));
    assert!(tries.is_open(b"i") && !tries.is_open(b"j"));
    let first = (RequestId(1), AttemptNumber(0));
    assert!(
        tries
            .start(0, first, EndpointId(1), (None, None), &mut counters)
            .is_ok()
    );
    let outcome = AttemptOutcome::Reset;
    assert!(
        tries
            .give_up(1, first.0, first.1, outcome, &mut counters)
            .is_some()
    );
    tries.gone(1, RequestId(1));
    assert!(!tries.is_open(b"i"), "nothing is left of it");
    let second = (RequestId(1), AttemptNumber(1));
    let Err(end) = tries.start(1, second, EndpointId(2), (None, None), &mut counters) else {
        panic!("sent")
    };
    assert!(
        matches!(
            *end,
            Event::AttemptEnded(AttemptResult {
                attempt: AttemptNumber(1),
                request_finished: true,
                ..
            })
        ),
        "{end:?}"
    );
}

#[test]
fn a_try_has_a_millisecond_at_least_unless_its_request_has_less() {
    for (patience, sent) in [(100 * MS, true), (MS, true), (MS - 1, false)] {
        let (mut tries, mut counters) = (AttemptTracker::default(), Counters::default());
        let order = CacheCommand {
            value: None,
            key: b"k".to_vec(),
            request_id: b"i".to_vec(),
            fields: Vec::new(),
        };
        let ticket = Ticket {
            request: RequestId(1),
            connection: 0,
        };
        tries.take(incoming(ticket, patience, order));
        // Caches that answer within 0.1 ms have the module give a try up after a fraction of one.
        let first = (RequestId(1), AttemptNumber(0));
        let started = tries.start(0, first, EndpointId(1), (Some(MS / 4), None), &mut counters);
        assert_eq!(
            started.ok().map(|o| o.until),
            sent.then_some(MS),
            "{patience}"
        );
    }
}
