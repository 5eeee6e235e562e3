//! Wire compatibility with version cab609d: in the same seeded runs, members of this version send
//! the same bytes.
//!
//! A recording contains the number, total bytes and checksum of all datagrams of a run, and the
//! shortest and the longest datagram of each message kind.

mod network;

use network::{Network, with_regions, without_regions};

fn assert_recorded(network: &Network, recorded: &str) {
    let recording = network.recording();
    for (line, expected) in recording.lines().zip(recorded.lines()) {
        assert_eq!(line, expected);
    }
    assert_eq!(recording, recorded);
}

#[test]
fn a_fleet_without_regions_sends_the_recorded_datagrams() {
    let recorded = include_str!("../fixtures/cab609d/without-regions.txt");
    assert_recorded(&without_regions(), recorded);
}

#[test]
fn a_fleet_of_two_regions_sends_the_recorded_datagrams() {
    let recorded = include_str!("../fixtures/cab609d/with-regions.txt");
    assert_recorded(&with_regions(), recorded);
}
