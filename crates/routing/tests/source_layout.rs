//! Source files stay short enough to be read at a time.

use std::path::PathBuf;

/// Lines that a source file of this crate may have, blank ones not counted.
const MAX_FILE_LINES: usize = 500;
/// Characters that a line of this crate may have.
const MAX_LINE_CHARACTERS: usize = 100;

#[test]
fn every_source_file_stays_short_and_narrow() {
    let mut directories = vec![PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/src"))];
    while let Some(directory) = directories.pop() {
        for entry in std::fs::read_dir(directory).expect("the sources are there") {
            let path = entry.expect("an entry").path();
            if path.ends_with("tests.rs") {
                continue;
            }
            if path.is_dir() {
                directories.push(path);
                continue;
            }
            let text = std::fs::read_to_string(&path).expect("a source file");
            let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
            assert!(lines <= MAX_FILE_LINES, "{}: {lines} lines", path.display());
            let is_narrow = |line: &str| line.chars().count() <= MAX_LINE_CHARACTERS;
            assert!(
                text.lines().all(is_narrow),
                "{}: a wide line",
                path.display()
            );
        }
    }
}
