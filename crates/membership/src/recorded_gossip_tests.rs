//! Compatibility of message types: datagrams sent by version cab609d are decoded with the current
//! types and encoded again to the same bytes.

use crate::anti_entropy::{BUCKETS, DigestMessage, ListDelta};
use crate::envelope::{EnvelopeScope, MessageKind, open, seal};
use crate::member::{RegionReferral, WatcherProbe};
use crate::regions::AnnouncementPayload;
use crate::regions::exchange::{AgedAnnouncement, RegionDelta, RegionDigest};
use crate::regions::overview::OverviewPart;
use crate::shedding::LevelReport;
use crate::{Identity, Location, MetadataRecord, ServingPhase};
use bytes::Buf;
use foca::Codec;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;

const WITHOUT_REGIONS: &str = include_str!("../tests/fixtures/cab609d/without-regions.txt");
const WITH_REGIONS: &str = include_str!("../tests/fixtures/cab609d/with-regions.txt");
/// Generation of the members that start at the beginning of the recorded runs.
const GENERATION: u64 = 1_700_000_000_000;

/// One recorded datagram.
struct Recorded {
    kind: u8,
    /// `shortest` or `longest` among the datagrams of this kind.
    extreme: String,
    from: SocketAddr,
    bytes: Vec<u8>,
}

fn recorded(file: &str) -> Vec<Recorded> {
    let parse = |line: &str| {
        let fields: Vec<&str> = line.split(' ').collect();
        let hex = fields[4];
        let byte = |index: usize| u8::from_str_radix(&hex[index..index + 2], 16).unwrap();
        Recorded {
            kind: fields[0].parse().unwrap(),
            extreme: fields[1].into(),
            from: fields[2].parse().unwrap(),
            bytes: (0..hex.len()).step_by(2).map(byte).collect(),
        }
    };
    file.lines().skip(1).map(parse).collect()
}

fn address(number: u16) -> SocketAddr {
    format!("10.1.2.{number}:{}", 7_000 + number)
        .parse()
        .unwrap()
}

/// Returns the envelope scope of a member of a recording. With regions, members 1 to 5 are in the
/// north and the others in the south.
fn scope_of(file: &str, sender: SocketAddr) -> EnvelopeScope {
    match (file == WITH_REGIONS, sender.port() <= 7_005) {
        (false, _) => EnvelopeScope::new("tiles", ""),
        (true, true) => EnvelopeScope::new("tiles", "north"),
        (true, false) => EnvelopeScope::new("tiles", "south"),
    }
}

/// Returns sender and payload of the recorded datagram of a kind, and checks that the envelope is
/// encoded as recorded.
fn payload(file: &str, kind: MessageKind, extreme: &str) -> (SocketAddr, Vec<u8>) {
    let recorded = recorded(file);
    let found = recorded
        .iter()
        .find(|recorded| recorded.kind == kind as u8 && recorded.extreme == extreme)
        .unwrap();
    let scope = scope_of(file, found.from);
    let (opened, payload) = open(scope, &found.bytes).unwrap();
    assert_eq!(opened, kind);
    assert_eq!(seal(scope, kind, payload), found.bytes);
    (found.from, payload.to_vec())
}

/// Decodes a message that is serialized as a whole, and checks that it is encoded as recorded.
fn message<T: Serialize + DeserializeOwned>(file: &str, kind: MessageKind, extreme: &str) -> T {
    let (_, payload) = payload(file, kind, extreme);
    let message: T = postcard::from_bytes(&payload).unwrap();
    assert_eq!(postcard::to_stdvec(&message).unwrap(), payload, "{kind:?}");
    message
}

fn identity(number: u16) -> Identity {
    Identity {
        address: address(number),
        generation: GENERATION,
    }
}

#[test]
fn every_kind_has_a_shortest_and_a_longest_recording() {
    let kinds = |file| -> Vec<u8> {
        recorded(file)
            .iter()
            .map(|recorded| recorded.kind)
            .collect()
    };
    let each_twice =
        |last_kind: u8| -> Vec<u8> { (1..=last_kind).flat_map(|kind| [kind, kind]).collect() };
    assert_eq!(kinds(WITHOUT_REGIONS), each_twice(8));
    assert_eq!(kinds(WITH_REGIONS), each_twice(14));
}

#[test]
fn swim_messages_are_decoded_and_encoded_as_recorded() {
    for file in [WITHOUT_REGIONS, WITH_REGIONS] {
        for extreme in ["shortest", "longest"] {
            let (from, payload) = payload(file, MessageKind::Swim, extreme);
            let mut codec = foca::PostcardCodec;
            let mut remaining = payload.as_slice();
            let header: foca::Header<Identity> = codec.decode_header(&mut remaining).unwrap();
            assert_eq!(header.src.address, from);
            let mut encoded = Vec::new();
            codec.encode_header(&header, &mut encoded).unwrap();
            if remaining.has_remaining() {
                let count = remaining.get_u16();
                encoded.extend(count.to_be_bytes());
                for _ in 0..count {
                    let member: foca::Member<Identity> =
                        codec.decode_member(&mut remaining).unwrap();
                    assert!(member.id().generation >= GENERATION);
                    codec.encode_member(&member, &mut encoded).unwrap();
                }
            }
            assert!(!remaining.has_remaining());
            assert_eq!(encoded, payload);
        }
    }
}

#[test]
fn metadata_records_are_decoded_and_encoded_as_recorded() {
    let plain: Vec<MetadataRecord> =
        message(WITHOUT_REGIONS, MessageKind::MetadataRecords, "longest");
    assert_eq!(plain.len(), 7);
    let own = plain
        .iter()
        .find(|record| record.member == identity(1))
        .unwrap();
    assert_eq!(own.metadata.name, "balancer-1");
    assert_eq!(
        own.metadata.listen_address,
        "10.1.2.1:6379".parse().unwrap()
    );
    assert_eq!(own.metadata.phase, ServingPhase::Serving);
    assert_eq!(own.metadata.build, "cab609d");
    assert_eq!(own.metadata.config_checksum, 0x1234_5678_9abc_def0);
    assert_eq!(own.metadata.request_rate_tenths, 70_010);
    assert_eq!(own.metadata.places, 7);
    assert!(own.metadata.extension.is_empty());
    let located: Vec<MetadataRecord> =
        message(WITH_REGIONS, MessageKind::MetadataRecords, "longest");
    for record in &located {
        let location = Location::decode(&record.metadata.extension).unwrap();
        assert_eq!(location.region, "north");
        assert_eq!(location.zone, "zone-1");
        assert_eq!(location.site, "");
        assert_eq!(location.encode(), record.metadata.extension);
    }
    message::<Vec<MetadataRecord>>(WITHOUT_REGIONS, MessageKind::MetadataRecords, "shortest");
    message::<Vec<MetadataRecord>>(WITH_REGIONS, MessageKind::MetadataRecords, "shortest");
}

#[test]
fn metadata_requests_are_decoded_and_encoded_as_recorded() {
    let requested: Vec<SocketAddr> =
        message(WITHOUT_REGIONS, MessageKind::MetadataRequest, "shortest");
    assert_eq!(requested, [address(3)]);
    let requested: Vec<SocketAddr> = message(WITH_REGIONS, MessageKind::MetadataRequest, "longest");
    assert_eq!(requested, [1, 4, 3, 2].map(address));
}

#[test]
fn watcher_probes_are_decoded_and_encoded_as_recorded() {
    for file in [WITHOUT_REGIONS, WITH_REGIONS] {
        let probe: WatcherProbe = message(file, MessageKind::WatcherProbe, "shortest");
        assert_eq!(probe.sender.generation, GENERATION);
        assert_eq!(probe.suspect, None);
        let probe: WatcherProbe = message(file, MessageKind::WatcherProbe, "longest");
        let suspect = probe.suspect.unwrap();
        assert_eq!((suspect.id, suspect.incarnation), (identity(2), 0));
    }
}

#[test]
fn heartbeats_are_decoded_and_encoded_as_recorded() {
    for file in [WITHOUT_REGIONS, WITH_REGIONS] {
        let sender: Identity = message(file, MessageKind::Heartbeat, "shortest");
        assert_eq!(sender, identity(1));
    }
}

#[test]
fn anti_entropy_messages_are_decoded_and_encoded_as_recorded() {
    for file in [WITHOUT_REGIONS, WITH_REGIONS] {
        let digest: DigestMessage = message(file, MessageKind::MemberListDigest, "longest");
        assert_eq!(digest.sender, identity(1));
        assert_eq!(digest.digest.len(), 4 * BUCKETS);
        let equal: ListDelta = message(file, MessageKind::MemberListDelta, "shortest");
        assert!(equal.agrees() && !equal.is_reply);
        let differing: ListDelta = message(file, MessageKind::MemberListDelta, "longest");
        assert!(!differing.agrees());
        assert!(
            differing
                .entries
                .iter()
                .any(|entry| entry.metadata_checksum != 0)
        );
        assert_ne!(differing.whole_buckets, 0);
    }
}

#[test]
fn level_reports_are_decoded_and_encoded_as_recorded() {
    let single: Vec<LevelReport> = message(WITHOUT_REGIONS, MessageKind::LevelReports, "shortest");
    assert_eq!(single.len(), 1);
    assert_eq!(
        (single[0].member, single[0].generation),
        (address(1), GENERATION)
    );
    assert_eq!(single[0].counts.admitted[..5], [40, 30, 20, 10, 0]);
    assert_eq!(single[0].counts.capacity_rejections, 35);
    let many: Vec<LevelReport> = message(WITHOUT_REGIONS, MessageKind::LevelReports, "longest");
    assert_eq!(many.len(), 6);
    assert!(many.iter().any(|report| report.level > 0.0));
    assert!(many.iter().any(|report| report.age_ms > 0));
    message::<Vec<LevelReport>>(WITH_REGIONS, MessageKind::LevelReports, "shortest");
    message::<Vec<LevelReport>>(WITH_REGIONS, MessageKind::LevelReports, "longest");
}

#[test]
fn region_digests_and_deltas_are_decoded_and_encoded_as_recorded() {
    let empty: RegionDigest = message(WITH_REGIONS, MessageKind::RegionDigest, "shortest");
    assert_eq!(empty.region, "north");
    assert!(empty.from_delegate);
    let full: RegionDigest = message(WITH_REGIONS, MessageKind::RegionDigest, "longest");
    assert_eq!(full.region, "north");
    let equal: RegionDelta = message(WITH_REGIONS, MessageKind::RegionDelta, "shortest");
    assert_eq!(equal.region, "south");
    assert!(equal.announcements.is_empty());
    let differing: RegionDelta = message(WITH_REGIONS, MessageKind::RegionDelta, "longest");
    assert_eq!(differing.region, "north");
    assert!(!differing.announcements.is_empty());
}

#[test]
fn region_announcements_are_decoded_and_encoded_as_recorded() {
    let announcements: Vec<AgedAnnouncement> =
        message(WITH_REGIONS, MessageKind::RegionAnnouncements, "shortest");
    assert_eq!(announcements.len(), 1);
    let announcement = &announcements[0].announcement;
    assert_eq!(announcement.region, "south");
    assert_eq!(announcement.author, address(7));
    let AnnouncementPayload::Summary(summary) = &announcement.payload;
    assert_eq!((summary.alive, summary.places), (4, 4));
    assert_eq!(summary.config_checksum, 0x1234_5678_9abc_def0);
    assert_eq!(summary.delegates.len(), 3);
    message::<Vec<AgedAnnouncement>>(WITH_REGIONS, MessageKind::RegionAnnouncements, "longest");
}

#[test]
fn referrals_are_decoded_and_encoded_as_recorded() {
    let south: RegionReferral = message(WITH_REGIONS, MessageKind::RegionReferral, "shortest");
    assert_eq!(south.region, "south");
    assert_eq!(south.delegates, [7, 8, 9].map(address));
    let north: RegionReferral = message(WITH_REGIONS, MessageKind::RegionReferral, "longest");
    assert_eq!(north.region, "north");
    assert!(!north.your_delegates.is_empty());
}

#[test]
fn overviews_are_decoded_and_encoded_as_recorded() {
    let single: Vec<OverviewPart> = message(WITH_REGIONS, MessageKind::Overview, "shortest");
    assert_eq!(single.len(), 1);
    assert_eq!(single[0].author, Some(address(4)));
    message::<Vec<OverviewPart>>(WITH_REGIONS, MessageKind::Overview, "longest");
    let (_, digest) = payload(WITH_REGIONS, MessageKind::OverviewDigest, "longest");
    assert_eq!(digest.len(), 4 * crate::regions::overview::PARTS);
}
