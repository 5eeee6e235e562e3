//! Two processes that see each other by their slots.

use super::*;
use std::path::PathBuf;

/// A folder of its own that goes with the test.
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
fn two_processes_see_each_other_as_long_as_both_live() {
    let folder = Folder::new("two");
    let mut a = folder.slots("a");
    assert_eq!(a.other(), None);
    let mut b = folder.slots("b");
    assert_eq!(
        a.other(),
        Some(OtherProcess {
            process: "b".into(),
            ready: false
        })
    );
    b.set_ready(true);
    assert_eq!(
        a.other(),
        Some(OtherProcess {
            process: "b".into(),
            ready: true
        })
    );
    assert_eq!(
        b.other(),
        Some(OtherProcess {
            process: "a".into(),
            ready: false
        })
    );
    let mut c = folder.slots("c");
    assert_eq!(c.other().map(|o| o.ready), Some(false), "no slot is free");
    drop(a);
    assert_eq!(
        b.other(),
        None,
        "what a dead process left in its slot counts for nothing"
    );
    assert_eq!(c.other().map(|o| o.process), Some("b".into()), "now one is");
    assert_eq!(b.other().map(|o| o.process), Some("c".into()));
}

#[test]
fn a_process_that_has_not_written_its_name_is_not_taken_for_the_dead_one_before_it() {
    let folder = Folder::new("dead");
    let mut a = folder.slots("a");
    let mut b = folder.slots("b");
    b.set_ready(true);
    assert_eq!(a.other().map(|o| o.ready), Some(true));
    // Killed: nothing is written any more.
    drop(b);
    assert_eq!(a.other(), None);
    let next = File::options()
        .write(true)
        .open(folder.0.join("pipitrun.seat-1"))
        .unwrap();
    next.lock().unwrap();
    assert_eq!(a.other(), Some(OtherProcess::unknown()));
}
