//! Tests of digests and deltas of member lists.

use super::*;
use std::collections::BTreeMap;

fn entry(n: u16, generation: u64, metadata_checksum: u32) -> MemberEntry {
    let address = SocketAddr::from(([10, 0, (n >> 8) as u8, n as u8], 7_946));
    MemberEntry {
        id: Identity {
            address,
            generation,
        },
        incarnation: 0,
        down: false,
        metadata_checksum,
    }
}

/// Performs one exchange between two members, which keep the greater generation and then the
/// greater metadata checksum. Returns the number of entries in the delta.
fn exchange(
    a: &mut BTreeMap<SocketAddr, MemberEntry>,
    b: &mut BTreeMap<SocketAddr, MemberEntry>,
    first_bucket: usize,
) -> usize {
    let sender = entry(0, 0, 0).id;
    let all = |list: &BTreeMap<SocketAddr, MemberEntry>| list.values().copied().collect::<Vec<_>>();
    let message = digest_payload(sender, &ListDigest::from_entries(all(a).into_iter()));
    let (delta, _) = compare_digest(
        &message,
        sender,
        &ListDigest::from_entries(all(b).into_iter()),
        all(b).into_iter(),
        first_bucket,
    )
    .unwrap();
    assert!(
        delta.encode().len() <= PAYLOAD_MAX,
        "{}",
        delta.encode().len()
    );
    let delta = ListDelta::decode(&delta.encode()).unwrap();
    let reply = delta.reply(sender, all(a).into_iter());
    let merge = |list: &mut BTreeMap<SocketAddr, MemberEntry>, received: &[MemberEntry]| {
        for entry in received {
            let stored = list.entry(entry.id.address).or_insert(*entry);
            if (stored.id.generation, stored.metadata_checksum)
                < (entry.id.generation, entry.metadata_checksum)
            {
                *stored = *entry;
            }
        }
    };
    merge(a, &delta.entries);
    if let Some(reply) = reply {
        assert!(reply.encode().len() <= PAYLOAD_MAX && reply.is_reply);
        merge(b, &reply.entries);
    }
    delta.entries.len()
}

fn list(entries: impl Iterator<Item = MemberEntry>) -> BTreeMap<SocketAddr, MemberEntry> {
    entries.map(|entry| (entry.id.address, entry)).collect()
}

#[test]
fn one_exchange_repairs_missed_broadcasts() {
    let mut a = list((1..=300).filter(|n| *n != 77).map(|n| entry(n, 5, 9)));
    let mut b = list((1..=300).filter(|n| *n != 201).map(|n| entry(n, 5, 9)));
    b.insert(entry(33, 6, 1).id.address, entry(33, 6, 1));
    let sent = exchange(&mut a, &mut b, 0);
    assert_eq!(a, b);
    assert_eq!(a.len(), 300);
    assert!(
        sent < 60,
        "{sent} entries sent; expected those of three buckets only"
    );
    assert_eq!(exchange(&mut a, &mut b, 0), 0, "the lists agree");
}

#[test]
fn an_empty_list_receives_a_thousand_members_in_a_bounded_number_of_datagrams() {
    let mut a = list(std::iter::once(entry(1, 5, 9)));
    let mut b = list((1..=1_000).map(|n| entry(n, 1_700_000_000_000, u32::MAX)));
    let mut exchanges = 0;
    while a != b {
        exchange(&mut a, &mut b, exchanges * 7);
        exchanges += 1;
        assert!(exchanges <= 100);
    }
    assert!(
        exchanges >= 15,
        "{exchanges} exchanges; expected about fifty entries in a datagram"
    );
}

#[test]
fn incarnations_and_dead_members_do_not_change_the_digest() {
    let a: Vec<MemberEntry> = (1..=9).map(|n| entry(n, 5, 9)).collect();
    let mut b = a.clone();
    b[3].incarnation = 7;
    b.push(MemberEntry {
        down: true,
        ..entry(10, 5, 9)
    });
    assert_eq!(
        ListDigest::from_entries(a.iter().copied()),
        ListDigest::from_entries(b.into_iter())
    );
    let mut c = a.clone();
    c[3].metadata_checksum += 1;
    assert_ne!(
        ListDigest::from_entries(a.iter().copied()),
        ListDigest::from_entries(c.into_iter())
    );
    let garbage = b"\xff\xff";
    let result = compare_digest(garbage, a[0].id, &ListDigest::default(), a.into_iter(), 0);
    assert!(matches!(result, Err(PayloadError::Undecodable(_))));
}

#[test]
fn digests_are_frequent_while_a_difference_is_new_and_infrequent_otherwise() {
    let sent = |schedule: &mut AntiEntropySchedule, from: u64, until: u64| {
        (from..until).filter(|ms| schedule.is_due(ms * MS)).count()
    };
    let mut schedule = AntiEntropySchedule::new(0);
    assert_eq!(sent(&mut schedule, 0, 1_000), 20);
    (0..AGREEMENTS_REQUIRED).for_each(|_| schedule.record_agreement());
    assert_eq!(sent(&mut schedule, 1_000, 21_000), 10, "the lists agree");
    schedule.mark_differing(21_000 * MS);
    assert_eq!(sent(&mut schedule, 21_000, 26_000), 100, "after a change");
    assert_eq!(
        sent(&mut schedule, 26_000, 36_000),
        10,
        "the lists still differ"
    );
}
