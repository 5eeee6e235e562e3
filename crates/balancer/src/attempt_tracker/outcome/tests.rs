//! Answers of endpoints and the outcomes that they stand for.

use super::*;

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
            AttemptReply::from(Answer::Error(text.into())).outcome,
            outcome,
            "{text}"
        );
    }
    let text = |text: &str| Some(text.as_bytes().to_vec());
    let (note, load) = (text("pending"), text("depth=3,new=1,x0=oops"));
    let answer = Answer::Served {
        value: b"v".to_vec(),
        note,
        load,
    };
    let served = AttemptReply::from(answer).served.expect("it is served");
    assert_eq!(
        (served.value.as_slice(), served.cache_status),
        (&b"v"[..], Some(CacheStatus::MissPending))
    );
    assert_eq!(
        served.load_report,
        Some(LoadReport {
            queue_depth: Some(3.0),
            ..LoadReport::default()
        })
    );
    let (note, load) = (None, text("\u{fffd}!"));
    let served = AttemptReply::from(Answer::Served {
        value: b"v".to_vec(),
        note,
        load,
    })
    .served;
    assert_eq!(
        served
            .expect("served without a readable report too")
            .load_report,
        Some(LoadReport::default())
    );
}
