//! Tests of `metadata_store`.

use super::*;
use crate::metadata::{BUILD_MAX, EXTENSION_MAX, MemberMetadata, NAME_MAX, truncate};

fn record(n: u16, generation: u64, version: u32) -> MetadataRecord {
    let member = Identity {
        address: SocketAddr::from(([127, 0, 0, 1], n)),
        generation,
    };
    let metadata = MemberMetadata {
        name: format!("n{n}"),
        listen_address: member.address,
        phase: ServingPhase::Serving,
        build: "x".repeat(BUILD_MAX),
        config_checksum: u64::MAX,
        request_rate_tenths: 9,
        places: 1_000,
        extension: vec![7; EXTENSION_MAX],
    };
    MetadataRecord {
        member,
        version,
        metadata,
    }
}

fn own() -> SocketAddr {
    record(1, 1, 1).member.address
}

#[test]
fn older_records_and_records_of_unknown_members_are_dropped() {
    let mut records = MetadataStore::new(record(1, 1, 1));
    let take = |records: &mut MetadataStore, r: MetadataRecord| {
        let payload = postcard::to_stdvec(&vec![r]).unwrap();
        records.take_changes();
        let known = |a: SocketAddr| (a.port() < 9).then_some(5);
        let unknown = records.merge(own(), &payload, known, 3).ok()?;
        Some((records.take_changes().addresses.len(), unknown))
    };
    assert_eq!(take(&mut records, record(2, 5, 3)), Some((1, 0)));
    for old in [record(2, 5, 3), record(2, 5, 2), record(2, 4, 99)] {
        assert_eq!(take(&mut records, old), Some((0, 0)), "replayed");
    }
    assert_eq!(
        take(&mut records, record(2, 6, 0)),
        Some((1, 1)),
        "another generation, to be looked up"
    );
    assert_eq!(
        take(&mut records, record(9, 1, 1)),
        Some((0, 1)),
        "unknown, to be looked up"
    );
    let mut gone = record(9, 1, 2);
    gone.metadata.phase = ServingPhase::Leaving;
    assert_eq!(take(&mut records, gone), Some((0, 0)), "it left");
    assert_eq!(
        take(&mut records, record(1, 9, 9)),
        Some((0, 0)),
        "the own record"
    );
    let mut long = record(3, 1, 1);
    long.metadata.extension.push(0);
    assert_eq!(take(&mut records, long), None, "beyond the limit");
    let garbage = records.merge(own(), b"\xff\xff\xff\xff\x0f", |_| Some(1), 3);
    assert!(matches!(garbage, Err(PayloadError::Undecodable(_))));
    let id = |generation| Identity {
        address: record(2, 0, 0).member.address,
        generation,
    };
    assert!(records.get(&id(6)).is_some() && records.get(&id(7)).is_none());
}

#[test]
fn broadcasts_are_bounded_and_all_records_are_sent_in_rotation() {
    let mut records = MetadataStore::new(record(1, 1, 1));
    let all: Vec<MetadataRecord> = (2..=60).map(|n| record(n, 1, 1)).collect();
    for chunk in all.chunks(5) {
        let payload = postcard::to_stdvec(&chunk).unwrap();
        let unknown = records.merge(own(), &payload, |_| Some(1), 60);
        assert_eq!(unknown, Ok(0));
    }
    let mut datagrams = 0;
    records.insert(record(1, 1, 2), 60);
    assert!(records.has_broadcasts());
    while records.has_broadcasts() {
        assert!(
            records
                .next_payload(own(), RecordSelection::Broadcasts)
                .len()
                <= PAYLOAD_MAX
        );
        datagrams += 1;
    }
    assert!(datagrams <= 59 * (BASE_TRANSMISSIONS + 5), "{datagrams}");
    assert_eq!(
        records.next_payload(own(), RecordSelection::Broadcasts),
        [0],
        "no broadcasts"
    );
    let mut busier = record(1, 1, 3);
    busier.metadata.request_rate_tenths += 1;
    records.insert(busier, 60);
    assert!(!records.has_broadcasts(), "in rotation only");
    let mut received = std::collections::BTreeSet::new();
    for _ in 0..30 {
        let sent: Vec<MetadataRecord> = postcard::from_bytes(
            &records.next_payload(own(), RecordSelection::BroadcastsAndRotation),
        )
        .unwrap();
        assert_eq!(sent[0].member.address, own());
        received.extend(sent.into_iter().map(|r| r.member.address));
    }
    assert_eq!(received.len(), 60, "all in rotation");
}

#[test]
fn missing_records_are_requested_and_sent() {
    let mut mine = MetadataStore::new(record(1, 1, 1));
    let mut theirs = MetadataStore::new(record(2, 1, 1));
    let alive: Vec<Identity> = (2..=80).map(|n| record(n, 1, 1).member).collect();
    let request = mine
        .missing_records_request(REQUEST_INTERVAL, 1, alive.iter())
        .unwrap();
    assert_eq!(
        mine.missing_records_request(REQUEST_INTERVAL + 1, 1, alive.iter()),
        None,
        "not so often"
    );
    let answer = theirs.respond(&request).unwrap();
    assert_eq!(mine.merge(own(), &answer[0], |_| Some(1), 2), Ok(0));
    assert!(mine.get(&alive[0]).is_some());
    theirs.insert(record(2, 1, 2), 2);
    let many: Vec<SocketAddr> = (0..=REQUEST_MAX as u16)
        .map(|n| record(n, 1, 1).member.address)
        .collect();
    assert_eq!(
        theirs.respond(&postcard::to_stdvec(&many).unwrap()),
        Err(PayloadError::OverLimit {
            what: "requested records",
            limit: REQUEST_MAX
        }),
        "beyond the limit"
    );
}

#[test]
fn a_long_name_is_truncated_at_a_character() {
    assert_eq!(truncate("ცხრა", 7), "ცხ");
    assert_eq!(truncate("n3", NAME_MAX), "n3");
}
