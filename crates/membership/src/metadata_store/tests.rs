//! Tests of the metadata store.

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
fn older_records_and_records_of_untracked_members_are_dropped() {
    let mut store = MetadataStore::new(record(1, 1, 1));
    let merge = |store: &mut MetadataStore, record: MetadataRecord| {
        let payload = postcard::to_stdvec(&vec![record]).unwrap();
        store.take_changes();
        let tracked_generation = |address: SocketAddr| (address.port() < 9).then_some(5);
        let unknown = store.merge(own(), &payload, tracked_generation, 3).ok()?;
        Some((store.take_changes().addresses.len(), unknown))
    };
    assert_eq!(merge(&mut store, record(2, 5, 3)), Some((1, 0)));
    for old in [record(2, 5, 3), record(2, 5, 2), record(2, 4, 99)] {
        assert_eq!(
            merge(&mut store, old),
            Some((0, 0)),
            "an older or equal record has no effect"
        );
    }
    assert_eq!(
        merge(&mut store, record(2, 6, 0)),
        Some((1, 1)),
        "a later generation than the tracked one"
    );
    assert_eq!(
        merge(&mut store, record(9, 1, 1)),
        Some((0, 1)),
        "an untracked member"
    );
    let mut leaving = record(9, 1, 2);
    leaving.metadata.phase = ServingPhase::Leaving;
    assert_eq!(
        merge(&mut store, leaving),
        Some((0, 0)),
        "an untracked member that leaves"
    );
    assert_eq!(
        merge(&mut store, record(1, 9, 9)),
        Some((0, 0)),
        "this member's own record"
    );
    let mut long = record(3, 1, 1);
    long.metadata.extension.push(0);
    assert_eq!(
        merge(&mut store, long),
        None,
        "the extension exceeds its limit"
    );
    let garbage = store.merge(own(), b"\xff\xff\xff\xff\x0f", |_| Some(1), 3);
    assert!(matches!(garbage, Err(PayloadError::Undecodable(_))));
    let id = |generation| Identity {
        address: record(2, 0, 0).member.address,
        generation,
    };
    assert!(store.get(&id(6)).is_some() && store.get(&id(7)).is_none());
}

#[test]
fn broadcasts_are_bounded_and_all_records_are_sent_in_rotation() {
    let mut store = MetadataStore::new(record(1, 1, 1));
    let all: Vec<MetadataRecord> = (2..=60).map(|n| record(n, 1, 1)).collect();
    for chunk in all.chunks(5) {
        let payload = postcard::to_stdvec(&chunk).unwrap();
        let unknown = store.merge(own(), &payload, |_| Some(1), 60);
        assert_eq!(unknown, Ok(0));
    }
    let mut datagrams = 0;
    store.insert(record(1, 1, 2), 60);
    assert!(store.has_broadcasts());
    while store.has_broadcasts() {
        assert!(store.next_payload(own(), RecordSelection::Broadcasts).len() <= PAYLOAD_MAX);
        datagrams += 1;
    }
    assert!(datagrams <= 59 * (BASE_TRANSMISSIONS + 5), "{datagrams}");
    assert_eq!(
        store.next_payload(own(), RecordSelection::Broadcasts),
        [0],
        "no broadcasts remain"
    );
    let mut changed_rate = record(1, 1, 3);
    changed_rate.metadata.request_rate_tenths += 1;
    store.insert(changed_rate, 60);
    assert!(
        !store.has_broadcasts(),
        "a changed request rate is sent in rotation only"
    );
    let mut received = std::collections::BTreeSet::new();
    for _ in 0..30 {
        let sent: Vec<MetadataRecord> = postcard::from_bytes(
            &store.next_payload(own(), RecordSelection::BroadcastsAndRotation),
        )
        .unwrap();
        assert_eq!(sent[0].member.address, own());
        received.extend(sent.into_iter().map(|record| record.member.address));
    }
    assert_eq!(received.len(), 60, "all records are sent in rotation");
}

#[test]
fn missing_records_are_requested_and_sent() {
    let mut requester = MetadataStore::new(record(1, 1, 1));
    let mut responder = MetadataStore::new(record(2, 1, 1));
    let alive: Vec<Identity> = (2..=80).map(|n| record(n, 1, 1).member).collect();
    let request = requester
        .missing_records_request(REQUEST_INTERVAL, 1, alive.iter())
        .unwrap();
    assert_eq!(
        requester.missing_records_request(REQUEST_INTERVAL + 1, 1, alive.iter()),
        None,
        "the request interval has not passed"
    );
    let responses = responder.respond(&request).unwrap();
    assert_eq!(requester.merge(own(), &responses[0], |_| Some(1), 2), Ok(0));
    assert!(requester.get(&alive[0]).is_some());
    responder.insert(record(2, 1, 2), 2);
    let many: Vec<SocketAddr> = (0..=REQUEST_MAX as u16)
        .map(|n| record(n, 1, 1).member.address)
        .collect();
    assert_eq!(
        responder.respond(&postcard::to_stdvec(&many).unwrap()),
        Err(PayloadError::OverLimit {
            what: "requested records",
            limit: REQUEST_MAX
        }),
        "the request names too many members"
    );
}

#[test]
fn a_long_name_is_truncated_at_a_character_boundary() {
    assert_eq!(truncate("ცხრა", 7), "ცხ");
    assert_eq!(truncate("n3", NAME_MAX), "n3");
}
