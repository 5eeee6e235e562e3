//! Detection of the other process by the slot files.

use super::*;
use std::path::PathBuf;

/// Temporary folder of one test, removed at the test's end.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path =
            std::env::temp_dir().join(format!("pipitrun-slots-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }

    fn slots(&self, process: &str) -> ProcessSlots {
        ProcessSlots::take(&self.0, process.into()).unwrap()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn two_processes_find_each_other_as_long_as_both_run() {
    let folder = Folder::new("two");
    let mut a = folder.slots("a");
    assert_eq!(a.other_process(), None);
    let mut b = folder.slots("b");
    assert_eq!(
        a.other_process(),
        Some(OtherProcess {
            process: "b".into(),
            ready: false
        })
    );
    b.set_ready(true);
    assert_eq!(
        a.other_process(),
        Some(OtherProcess {
            process: "b".into(),
            ready: true
        })
    );
    assert_eq!(
        b.other_process(),
        Some(OtherProcess {
            process: "a".into(),
            ready: false
        })
    );
    let mut c = folder.slots("c");
    assert_eq!(
        c.other_process().map(|other| other.ready),
        Some(false),
        "no slot is free"
    );
    drop(a);
    assert_eq!(
        b.other_process(),
        None,
        "the slot content of a dead process is ignored"
    );
    assert_eq!(
        c.other_process().map(|other| other.process),
        Some("b".into()),
        "the freed slot is taken"
    );
    assert_eq!(
        b.other_process().map(|other| other.process),
        Some("c".into())
    );
}

#[test]
fn process_that_has_not_written_its_slot_is_not_mistaken_for_its_dead_predecessor() {
    let folder = Folder::new("dead");
    let mut a = folder.slots("a");
    let mut b = folder.slots("b");
    b.set_ready(true);
    assert_eq!(a.other_process().map(|other| other.ready), Some(true));
    // As if the process was killed: its slot content stays.
    drop(b);
    assert_eq!(a.other_process(), None);
    let next = File::options()
        .write(true)
        .open(folder.0.join("pipitrun.seat-1"))
        .unwrap();
    next.lock().unwrap();
    assert_eq!(a.other_process(), Some(OtherProcess::unknown()));
}
