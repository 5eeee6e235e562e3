//! Tests of the mapping from responses of endpoints to outcomes.

use super::*;

#[test]
fn responses_map_to_outcomes() {
    let cases = [
        ("BUSY", AttemptOutcome::Rejected),
        ("BUSY 20", AttemptOutcome::Rejected),
        ("BUSYBODY", AttemptOutcome::InvalidRequest),
        ("ERR failed", AttemptOutcome::Error),
        ("ERR bad request", AttemptOutcome::InvalidRequest),
    ];
    for (text, outcome) in cases {
        assert_eq!(
            AttemptReply::from(CacheResponse::Error(text.into())).outcome,
            outcome,
            "{text}"
        );
    }
    let text = |text: &str| Some(text.as_bytes().to_vec());
    let response = CacheResponse::Served {
        value: b"v".to_vec(),
        cache_status: text("pending"),
        load_report: text("depth=3,new=1,x0=oops"),
    };
    let served = AttemptReply::from(response)
        .served
        .expect("the value is served");
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
    let served = AttemptReply::from(CacheResponse::Served {
        value: b"v".to_vec(),
        cache_status: None,
        load_report: text("\u{fffd}!"),
    })
    .served;
    assert_eq!(
        served
            .expect("the value is served without a readable load report")
            .load_report,
        Some(LoadReport::default())
    );
}
