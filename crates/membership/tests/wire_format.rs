//! Datagrams as version cab609d wrote them: members of this version send the same bytes in the same
//! seeded runs.

#[path = "wire_format/network.rs"]
mod network;

use network::{Network, with_regions, without_regions};

/// Checks a run against its recording; with `RECORD_GOSSIP` set to a directory, writes the
/// recording there instead.
fn assert_recorded(name: &str, network: &Network, recorded: &str) {
    let recording = network.recording();
    if let Ok(directory) = std::env::var("RECORD_GOSSIP") {
        let file = std::path::Path::new(&directory).join(name);
        std::fs::write(file, recording).expect("the recording is written");
        return;
    }
    for (line, expected) in recording.lines().zip(recorded.lines()) {
        assert_eq!(line, expected);
    }
    assert_eq!(recording, recorded);
}

#[test]
fn a_fleet_without_regions_sends_the_recorded_datagrams() {
    let recorded = include_str!("fixtures/cab609d/without-regions.txt");
    assert_recorded("without-regions.txt", &without_regions(), recorded);
}

#[test]
fn a_fleet_of_two_regions_sends_the_recorded_datagrams() {
    let recorded = include_str!("fixtures/cab609d/with-regions.txt");
    assert_recorded("with-regions.txt", &with_regions(), recorded);
}
