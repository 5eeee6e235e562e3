//! State transfers: complete, partial and invalid ones, and the files that commit cab609d wrote,
//! which must be read, and be written again byte for byte.

use super::*;
use crate::config::Config;
use crate::engine_adapter::{EngineAdapter, ListSource};
use crate::hot_restart::OtherProcess;
use crate::process_slots::ProcessSlots;
use routing::{Engine, Nanos};
use serde_json::Value;

const OLD_SLOT: &[u8] = include_bytes!("../../tests/fixtures/cab609d/pipitrun.seat-0");
const NEW_SLOT: &[u8] = include_bytes!("../../tests/fixtures/cab609d/pipitrun.seat-1");
const TRANSFER: &[u8] = include_bytes!("../../tests/fixtures/cab609d/pipitrun.notes");
/// Transfer that commit cab609d writes after it has read `TRANSFER`. Two numbers differ in their
/// last digits.
const REWRITTEN: &[u8] = include_bytes!("../../tests/fixtures/cab609d/pipitrun.notes.rewritten");
const OLD_PROCESS: &str = "517-1796285826037045501";
const NEW_PROCESS: &str = "1226-1796285832640383780";
/// Unix time in nanoseconds shortly after the fixture files were written.
const NOW: Nanos = 1_796_285_833_000_000_000;

/// Temporary folder of one test, removed at the test's end.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let name = format!("pipitrun-transfer-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }

    fn slots(&self, process: &str) -> ProcessSlots {
        ProcessSlots::take(&self.0, process.into()).unwrap()
    }

    fn write(&self, file: &str, bytes: &[u8]) -> PathBuf {
        let path = self.0.join(file);
        std::fs::write(&path, bytes).unwrap();
        path
    }

    fn read(&self, file: &str) -> Vec<u8> {
        std::fs::read(self.0.join(file)).unwrap()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn slot_files_of_the_former_version_are_read() {
    let cases = [
        ("pipitrun.seat-0", OLD_SLOT, OLD_PROCESS, true),
        ("pipitrun.seat-1", NEW_SLOT, NEW_PROCESS, false),
    ];
    for (file, bytes, process, ready) in cases {
        let folder = Folder::new(file);
        let path = folder.write(file, bytes);
        let holder = File::open(path).unwrap();
        holder.lock().unwrap();
        let mut slots = folder.slots("own");
        let expected = OtherProcess {
            process: process.into(),
            ready,
        };
        assert_eq!(slots.other_process(), Some(expected));
        assert_eq!(
            folder.read(file),
            bytes,
            "the slot of another process is not written"
        );
    }
}

#[test]
fn slot_files_are_written_byte_for_byte_as_by_the_former_version() {
    let folder = Folder::new("write-slots");
    let mut old = folder.slots(OLD_PROCESS);
    old.set_ready(true);
    let _new = folder.slots(NEW_PROCESS);
    assert_eq!(folder.read("pipitrun.seat-0"), OLD_SLOT);
    assert_eq!(folder.read("pipitrun.seat-1"), NEW_SLOT);
}

#[test]
fn state_transfer_of_the_former_version_is_read() {
    let folder = Folder::new("transfer");
    let slots = folder.slots(NEW_PROCESS);
    folder.write("pipitrun.notes", TRANSFER);
    assert!(slots.transfer().exists());
    let transfer: StateTransfer = slots.transfer().read().unwrap();
    assert!(!slots.transfer().exists());
    let list = &transfer.endpoint_list;
    assert_eq!((list.version, list.is_full), (8, true));
    let endpoints = list.endpoints.iter();
    let endpoints = endpoints.map(|endpoint| {
        let (name, state) = (endpoint.name.as_str(), endpoint.state.as_str());
        (name, state, endpoint.weight, endpoint.started_ms)
    });
    assert_eq!(
        endpoints.collect::<Vec<_>>(),
        [
            ("toy-1", "in_service", 1.0, 0.0),
            ("toy-2", "terminating", 0.5, 1_796_285_822_997.0),
            ("toy-3", "in_service", 1.25, 1_700_000_000_123.5),
            ("toy-4", "in_service", 1.0, 0.0),
        ]
    );
}

#[test]
fn state_transfer_is_written_byte_for_byte_as_by_the_former_version() {
    let folder = Folder::new("write-transfer");
    let slots = folder.slots(NEW_PROCESS);
    for stored in [TRANSFER, REWRITTEN] {
        folder.write("pipitrun.notes", stored);
        let transfer: StateTransfer = slots.transfer().read().unwrap();
        let length = slots.transfer().write(NEW_PROCESS, transfer).unwrap();
        assert_eq!(length, REWRITTEN.len());
        let written = String::from_utf8(folder.read("pipitrun.notes")).unwrap();
        assert_eq!(written, String::from_utf8_lossy(REWRITTEN));
    }
}

#[test]
fn engine_restores_the_snapshot_of_the_former_version() {
    let folder = Folder::new("snapshot");
    let slots = folder.slots(NEW_PROCESS);
    folder.write("pipitrun.notes", TRANSFER);
    let transfer: StateTransfer = slots.transfer().read().unwrap();
    let config = Config::read(include_str!("../../../../examples/config.json")).unwrap();
    let engine = Engine::new(config.settings, config.seed, NOW).unwrap();
    let mut adapter = EngineAdapter::new(engine, config.names);
    let update = adapter.update_event(&transfer.endpoint_list, ListSource::Discovery);
    adapter.decide(NOW, [update]);
    adapter.restore(&transfer.snapshot).unwrap();
    let stored = serde_json::to_value(&transfer.snapshot).unwrap();
    let taken = serde_json::to_value(adapter.take_snapshot()).unwrap();
    for key in ["record", "fetch", "hits", "origin_room", "bad", "usual"] {
        assert_eq!(taken[key], stored[key], "{key}");
    }
    // A snapshot contains half of the budgets, as both processes use them during a hot restart.
    let half = |value: &Value| value.as_f64().unwrap() / 2.0;
    for (taken, stored) in pairs(&taken["budgets"], &stored["budgets"]) {
        assert_eq!(taken.as_f64(), Some(half(stored)));
    }
    assert_eq!(taken["servers"].as_array().map(Vec::len), Some(4));
    for (taken, stored) in pairs(&taken["servers"], &stored["servers"]) {
        let mut expected = stored.clone();
        expected["cold_budget"] = half(&stored["cold_budget"]).into();
        assert_eq!(*taken, expected);
    }
}

fn pairs<'a>(a: &'a Value, b: &'a Value) -> impl Iterator<Item = (&'a Value, &'a Value)> {
    let (a, b) = (a.as_array().unwrap(), b.as_array().unwrap());
    assert_eq!(a.len(), b.len());
    a.iter().zip(b)
}

#[test]
fn partial_transfer_is_not_found() {
    let folder = Folder::new("half");
    let a = folder.slots("a");
    let b = folder.slots("b");
    std::fs::write(
        &b.transfer().partial_path,
        "{\"version\":1,\"to\":\"b\",\"no",
    )
    .unwrap();
    assert!(!b.transfer().exists());
    a.transfer().write("b", [5]).unwrap();
    assert_eq!(b.transfer().read::<Vec<u64>>().unwrap(), [5]);
}

#[test]
fn invalid_transfers_are_reported_and_removed() {
    let folder = Folder::new("invalid");
    let slots = folder.slots("b");
    let long = format!("\"{}\"", "x".repeat(MAX_BYTES));
    let cases = [
        (
            "",
            "invalid header of the state transfer: EOF while parsing a value at line 1 column 0",
        ),
        (
            "{\"version\":1,\"to\":\"b\",\"no",
            "invalid header of the state transfer: EOF while parsing a string at line 1 column 25",
        ),
        (
            "{\"version\":2,\"to\":\"b\"}",
            "the state transfer has version 2; expected version 1",
        ),
        (
            "{\"version\":1,\"to\":\"a\",\"notes\":[1]}",
            "the state transfer is for process a; expected this process, b",
        ),
        (
            "{\"version\":1,\"to\":\"b\",\"notes\":[1,\"x\"]}",
            "notes[1]: invalid type: string \"x\", expected u64 at line 1 column 36",
        ),
        (
            &long,
            "the state transfer is longer than the maximum of 1048576 bytes",
        ),
    ];
    for (text, problem) in cases {
        std::fs::write(&slots.transfer().path, text).unwrap();
        let error = slots.transfer().read::<Vec<u64>>().unwrap_err();
        assert_eq!(error.to_string(), problem);
        assert!(!slots.transfer().exists());
    }
    let a = folder.slots("a");
    a.transfer().write("b", [5, 7]).unwrap();
    assert_eq!(slots.transfer().read::<Vec<u64>>().unwrap(), [5, 7]);
    assert!(a.transfer().write("b", "x".repeat(MAX_BYTES)).is_err());
    assert!(
        !slots.transfer().exists(),
        "no part of an oversized transfer is written"
    );
}
