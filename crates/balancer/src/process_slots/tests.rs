//! Tests of `seats`.

use super::*;

/// A folder of its own that goes with the test.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path =
            std::env::temp_dir().join(format!("pipitrun-seats-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }

    fn seat(&self, process: &str) -> ProcessSlots {
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
    let mut a = folder.seat("a");
    assert_eq!(a.other(), None);
    let mut b = folder.seat("b");
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
    let mut c = folder.seat("c");
    assert_eq!(c.other().map(|o| o.ready), Some(false), "no seat is free");
    drop(a);
    assert_eq!(
        b.other(),
        None,
        "what stands in the seat of the dead is nothing"
    );
    assert_eq!(c.other().map(|o| o.process), Some("b".into()), "now one is");
    assert_eq!(b.other().map(|o| o.process), Some("c".into()));
}

#[test]
fn who_has_its_seat_and_has_not_written_its_name_is_not_taken_for_the_dead_who_had_it() {
    let folder = Folder::new("dead");
    let mut a = folder.seat("a");
    let mut b = folder.seat("b");
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
    assert_eq!(
        a.other(),
        Some(OtherProcess {
            process: String::new(),
            ready: false
        })
    );
}

#[test]
fn what_who_died_while_it_wrote_notes_has_left_is_no_notes() {
    let folder = Folder::new("half");
    let a = folder.seat("a");
    let b = folder.seat("b");
    std::fs::write(
        b.notes.with_extension("notes.new"),
        "{\"version\":1,\"to\":\"b\",\"no",
    )
    .unwrap();
    assert!(!b.notes_there());
    a.write_notes("b", [5]).unwrap();
    assert_eq!(b.read_notes::<Vec<u64>>(), Ok(vec![5]));
}

#[test]
fn notes_that_are_torn_foreign_old_or_too_long_are_named_and_taken_away() {
    let folder = Folder::new("notes");
    let seats = folder.seat("b");
    let long = format!("\"{}\"", "x".repeat(NOTES_MAX));
    let cases = [
        ("", "EOF while parsing a value at line 1 column 0"),
        (
            "{\"version\":1,\"to\":\"b\",\"no",
            "EOF while parsing a string at line 1 column 25",
        ),
        ("{\"version\":2,\"to\":\"b\"}", "of version 2, not 1"),
        (
            "{\"version\":1,\"to\":\"a\",\"notes\":[1]}",
            "for a, not for b",
        ),
        (
            "{\"version\":1,\"to\":\"b\",\"notes\":[1,\"x\"]}",
            "notes[1]: invalid type: string \"x\", expected u64 at line 1 column 36",
        ),
        (&long, "longer than 1048576 bytes"),
    ];
    for (text, problem) in cases {
        std::fs::write(&seats.notes, text).unwrap();
        assert_eq!(seats.read_notes::<Vec<u64>>(), Err(problem.to_string()));
        assert!(!seats.notes_there());
    }
    let a = folder.seat("a");
    a.write_notes("b", [5, 7]).unwrap();
    assert_eq!(seats.read_notes::<Vec<u64>>(), Ok(vec![5, 7]));
    assert!(a.write_notes("b", "x".repeat(NOTES_MAX)).is_err());
    assert!(!seats.notes_there(), "none are better than half of them");
}
