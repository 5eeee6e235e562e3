//! Tests of `records`.

use super::*;

fn record(n: u16, generation: u64, version: u32) -> MetadataRecord {
    let of = Identity {
        address: SocketAddr::from(([127, 0, 0, 1], n)),
        generation,
    };
    let soft = MemberMetadata {
        name: format!("n{n}"),
        listen_address: of.address,
        phase: ServingPhase::Serving,
        build: "x".repeat(BUILD_MAX),
        config_checksum: u64::MAX,
        request_rate_tenths: 9,
        places: 1_000,
        extension: vec![7; EXTRA_MAX],
    };
    MetadataRecord {
        member: of,
        version,
        metadata: soft,
    }
}

fn own() -> SocketAddr {
    record(1, 1, 1).member.address
}

#[test]
fn an_older_word_never_goes_before_a_newer_one_and_unknown_members_leave_none() {
    let mut records = MetadataStore::new(record(1, 1, 1));
    let take = |records: &mut MetadataStore, r: MetadataRecord| {
        let payload = postcard::to_stdvec(&vec![r]).unwrap();
        records.take_touched();
        let known = |a: SocketAddr| (a.port() < 9).then_some(5);
        let unknown = records.take(own(), &payload, known, 3)?;
        Some((records.take_touched().0.len(), unknown))
    };
    assert_eq!(take(&mut records, record(2, 5, 3)), Some((1, 0)));
    for old in [record(2, 5, 3), record(2, 5, 2), record(2, 4, 99)] {
        assert_eq!(take(&mut records, old), Some((0, 0)), "replayed");
    }
    assert_eq!(
        take(&mut records, record(2, 6, 0)),
        Some((1, 1)),
        "another life, to be asked"
    );
    assert_eq!(
        take(&mut records, record(9, 1, 1)),
        Some((0, 1)),
        "unknown, to be asked"
    );
    let mut gone = record(9, 1, 2);
    gone.metadata.phase = ServingPhase::Leaving;
    assert_eq!(take(&mut records, gone), Some((0, 0)), "it went");
    assert_eq!(
        take(&mut records, record(1, 9, 9)),
        Some((0, 0)),
        "of itself it knows best"
    );
    let mut long = record(3, 1, 1);
    long.metadata.extension.push(0);
    assert_eq!(take(&mut records, long), None, "beyond the bound");
    assert_eq!(
        records.take(own(), b"\xff\xff\xff\xff\x0f", |_| Some(1), 3),
        None
    );
    let id = |generation| Identity {
        address: record(2, 0, 0).member.address,
        generation,
    };
    assert!(records.of(&id(6)).is_some() && records.of(&id(7)).is_none());
}

#[test]
fn news_is_told_a_bounded_number_of_times_and_all_else_in_turn() {
    let mut records = MetadataStore::new(record(1, 1, 1));
    let all: Vec<MetadataRecord> = (2..=60).map(|n| record(n, 1, 1)).collect();
    for chunk in all.chunks(5) {
        records.take(
            own(),
            &postcard::to_stdvec(&chunk).unwrap(),
            |_| Some(1),
            60,
        );
    }
    let mut datagrams = 0;
    records.put(record(1, 1, 2), 60);
    assert!(records.has_news());
    while records.has_news() {
        assert!(records.tell(own(), false).len() <= PAYLOAD_MAX);
        datagrams += 1;
    }
    assert!(datagrams <= 59 * (RUMOURS + 5), "{datagrams}");
    assert_eq!(records.tell(own(), false), [0], "no news");
    let mut busier = record(1, 1, 3);
    busier.metadata.request_rate_tenths += 1;
    records.put(busier, 60);
    assert!(!records.has_news(), "told in its turn only");
    let mut heard = std::collections::BTreeSet::new();
    for _ in 0..30 {
        let told: Vec<MetadataRecord> = postcard::from_bytes(&records.tell(own(), true)).unwrap();
        assert_eq!(told[0].member.address, own());
        heard.extend(told.into_iter().map(|r| r.member.address));
    }
    assert_eq!(heard.len(), 60, "each in its turn");
}

#[test]
fn who_is_missing_is_asked_for_and_answered() {
    let mut mine = MetadataStore::new(record(1, 1, 1));
    let mut theirs = MetadataStore::new(record(2, 1, 1));
    let living: Vec<Identity> = (2..=80).map(|n| record(n, 1, 1).member).collect();
    let want = mine.want(WANT_EVERY, 1, living.iter()).unwrap();
    assert_eq!(
        mine.want(WANT_EVERY + 1, 1, living.iter()),
        None,
        "not so often"
    );
    let answer = theirs.answer(&want).unwrap();
    assert_eq!(mine.take(own(), &answer[0], |_| Some(1), 2), Some(0));
    assert!(mine.of(&living[0]).is_some());
    theirs.put(record(2, 1, 2), 2);
    let many: Vec<SocketAddr> = (0..=WANT_MAX as u16)
        .map(|n| record(n, 1, 1).member.address)
        .collect();
    assert_eq!(
        theirs.answer(&postcard::to_stdvec(&many).unwrap()),
        None,
        "beyond the bound"
    );
}

#[test]
fn a_long_name_is_cut_at_a_letter() {
    assert_eq!(cut("ცხრა", 7), "ცხ");
    assert_eq!(cut("n3", NAME_MAX), "n3");
}
