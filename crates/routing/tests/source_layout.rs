//! Test of the size limits of source files.

use std::path::PathBuf;

/// Maximum number of lines of a source file of this crate, without blank lines.
const MAX_FILE_LINES: usize = 500;
/// Maximum number of characters of a line.
const MAX_LINE_CHARACTERS: usize = 100;

#[test]
fn source_files_are_within_the_length_and_width_limits() {
    let mut directories = vec![PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/src"))];
    while let Some(directory) = directories.pop() {
        for entry in std::fs::read_dir(directory).expect("the source directory is readable") {
            let path = entry.expect("the directory entry is readable").path();
            if path.ends_with("tests.rs") {
                continue;
            }
            if path.is_dir() {
                directories.push(path);
                continue;
            }
            let text = std::fs::read_to_string(&path).expect("the source file is UTF-8 text");
            let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
            assert!(lines <= MAX_FILE_LINES, "{}: {lines} lines", path.display());
            let is_narrow = |line: &str| line.chars().count() <= MAX_LINE_CHARACTERS;
            assert!(
                text.lines().all(is_narrow),
                "{}: a line is too long",
                path.display()
            );
        }
    }
}
