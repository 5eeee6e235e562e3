//! Tests of `compare`.

use super::*;
use std::collections::BTreeMap;

fn entry(n: u16, generation: u64, record: u32) -> Entry {
    let address = SocketAddr::from(([10, 0, (n >> 8) as u8, n as u8], 7_946));
    Entry {
        id: Identity {
            address,
            generation,
        },
        incarnation: 0,
        down: false,
        record,
    }
}

/// One exchange as two members hold it; the later life, then the later record is taken over.
fn exchange(
    a: &mut BTreeMap<SocketAddr, Entry>,
    b: &mut BTreeMap<SocketAddr, Entry>,
    from: usize,
) -> usize {
    let by = entry(0, 0, 0).id;
    let all = |list: &BTreeMap<SocketAddr, Entry>| list.values().copied().collect::<Vec<_>>();
    let asked = question(by, &Sums::of(all(a).into_iter()));
    let (answer, _) = answer(
        &asked,
        by,
        &Sums::of(all(b).into_iter()),
        all(b).into_iter(),
        from,
    )
    .unwrap();
    assert!(
        write(&answer).len() <= PAYLOAD_MAX,
        "{}",
        write(&answer).len()
    );
    let answer = read(&write(&answer)).unwrap();
    let back = answer.lacks(by, all(a).into_iter());
    let take = |list: &mut BTreeMap<SocketAddr, Entry>, told: &[Entry]| {
        for e in told {
            let held = list.entry(e.id.address).or_insert(*e);
            if (held.id.generation, held.record) < (e.id.generation, e.record) {
                *held = *e;
            }
        }
    };
    take(a, &answer.entries);
    if let Some(back) = back {
        assert!(write(&back).len() <= PAYLOAD_MAX && back.last);
        take(b, &back.entries);
    }
    answer.entries.len()
}

fn list(entries: impl Iterator<Item = Entry>) -> BTreeMap<SocketAddr, Entry> {
    entries.map(|e| (e.id.address, e)).collect()
}

#[test]
fn one_pair_that_rumours_have_missed_is_found_by_one_exchange() {
    let mut a = list((1..=300).filter(|n| *n != 77).map(|n| entry(n, 5, 9)));
    let mut b = list((1..=300).filter(|n| *n != 201).map(|n| entry(n, 5, 9)));
    b.insert(entry(33, 6, 1).id.address, entry(33, 6, 1));
    let told = exchange(&mut a, &mut b, 0);
    assert_eq!(a, b);
    assert_eq!(a.len(), 300);
    assert!(told < 60, "{told}: of three parts only");
    assert_eq!(exchange(&mut a, &mut b, 0), 0, "they agree");
}

#[test]
fn who_knows_nobody_learns_a_thousand_by_a_bounded_number_of_datagrams() {
    let mut a = list(std::iter::once(entry(1, 5, 9)));
    let mut b = list((1..=1_000).map(|n| entry(n, 1_700_000_000_000, u32::MAX)));
    let mut exchanges = 0;
    while a != b {
        exchange(&mut a, &mut b, exchanges * 7);
        exchanges += 1;
        assert!(exchanges <= 100);
    }
    assert!(exchanges >= 15, "{exchanges}: some fifty to a datagram");
}

#[test]
fn refutations_and_the_dead_make_no_difference() {
    let a: Vec<Entry> = (1..=9).map(|n| entry(n, 5, 9)).collect();
    let mut b = a.clone();
    b[3].incarnation = 7;
    b.push(Entry {
        down: true,
        ..entry(10, 5, 9)
    });
    assert_eq!(Sums::of(a.iter().copied()), Sums::of(b.into_iter()));
    let mut c = a.clone();
    c[3].record += 1;
    assert_ne!(Sums::of(a.iter().copied()), Sums::of(c.into_iter()));
    assert_eq!(
        answer(b"\xff\xff", a[0].id, &Sums::default(), a.into_iter(), 0),
        None
    );
}

#[test]
fn questions_go_out_often_while_it_is_new_that_lists_differ_and_seldom_else() {
    let asked = |pace: &mut Pace, from: u64, until: u64| {
        (from..until).filter(|ms| pace.due(ms * MS)).count()
    };
    let mut pace = Pace::new(0);
    assert_eq!(asked(&mut pace, 0, 1_000), 20);
    (0..AGREED).for_each(|_| pace.agreed());
    assert_eq!(asked(&mut pace, 1_000, 21_000), 10, "sure");
    pace.stir(21_000 * MS);
    assert_eq!(asked(&mut pace, 21_000, 26_000), 100, "a change");
    assert_eq!(asked(&mut pace, 26_000, 36_000), 10, "they go on differing");
}
