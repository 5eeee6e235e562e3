//! Tests of the ring of ids and of its files.

use super::*;

fn id(number: usize) -> Vec<u8> {
    number.to_string().into_bytes()
}

#[test]
fn oldest_ids_are_forgotten_beyond_the_capacity() {
    let mut ids = ForwardedIds::default();
    (0..=CAPACITY).for_each(|number| ids.add(&id(number)));
    assert_eq!(
        [0, 1, CAPACITY, CAPACITY + 1].map(|number| ids.contains(&id(number))),
        [false, true, true, false]
    );
}

#[test]
fn processes_of_a_hot_restart_share_their_ids() {
    let directory = std::env::temp_dir().join(format!("pipitrun-ids-{}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    let start = |slot| {
        let mut ids = ForwardedIds::default();
        ids.share(&directory, Some(slot)).unwrap();
        ids
    };
    let mut old = start(0);
    (0..CAPACITY + 10).for_each(|number| old.add(&id(number)));
    let mut new = start(1);
    old.add(b"later");
    old.add(b"not forwarded");
    old.retract(b"not forwarded");
    new.add(b"new");
    assert_eq!(
        [
            &id(0)[..],
            &id(CAPACITY),
            b"later",
            b"not forwarded",
            b"new"
        ]
        .map(|id| new.contains(id)),
        [false, true, true, false, true]
    );
    assert!(old.contains(b"new"));
    // The next process takes the slot of the old one, and knows the ids of both.
    drop(old);
    let mut next = start(0);
    assert!(next.contains(b"later") && next.contains(b"new") && !next.contains(b"not forwarded"));
    std::fs::remove_dir_all(&directory).unwrap();
}
