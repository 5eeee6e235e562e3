//! File with the forwarded ids of one process: a ring of hashes that one process writes and both
//! read. Its length is fixed, so it takes a bounded part of `$TMPDIR`.

use super::CAPACITY;
use crate::request_ids::IdHash;
use std::fs::{File, OpenOptions};
use std::io::{self, ErrorKind};
use std::os::unix::fs::FileExt;
use std::path::Path;

/// Length of the header: the number of hashes that were ever added.
const HEADER_LENGTH: u64 = 8;
const HASH_LENGTH: usize = 16;

/// Ring file of one process slot.
pub struct IdFile {
    file: File,
    /// Number of added hashes that this process has read or written.
    known: u64,
}

impl IdFile {
    /// Opens the file of a process slot, or creates an empty one.
    ///
    /// # Errors
    ///
    /// If the file can't be opened.
    pub fn open(directory: &Path, slot: usize) -> io::Result<Self> {
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(directory.join(format!("pipitrun.ids-{slot}")))?;
        Ok(IdFile { file, known: 0 })
    }

    /// Adds a hash. It is in the file before the count that includes it.
    ///
    /// # Errors
    ///
    /// If the file can't be written.
    pub fn append(&mut self, hash: IdHash) -> io::Result<()> {
        self.file
            .write_all_at(&hash.to_le_bytes(), offset(self.known))?;
        self.write_count(self.known + 1)
    }

    /// Removes the hash that was added last.
    ///
    /// # Errors
    ///
    /// If the file can't be written.
    pub fn retract(&mut self) -> io::Result<()> {
        self.write_count(self.known.saturating_sub(1))
    }

    fn write_count(&mut self, count: u64) -> io::Result<()> {
        self.file.write_all_at(&count.to_le_bytes(), 0)?;
        self.known = count;
        Ok(())
    }

    /// Returns the hashes that were added since the last call, or those that the ring still holds.
    ///
    /// # Errors
    ///
    /// If the file can't be read.
    pub fn read_added(&mut self) -> io::Result<Vec<IdHash>> {
        let mut count = [0; HEADER_LENGTH as usize];
        match self.file.read_exact_at(&mut count, 0) {
            Err(e) if e.kind() == ErrorKind::UnexpectedEof => return Ok(Vec::new()),
            read => read?,
        }
        let count = u64::from_le_bytes(count);
        let first = self.known.max(count.saturating_sub(CAPACITY as u64));
        let hashes = (first..count).map(|number| {
            let mut hash = [0; HASH_LENGTH];
            self.file.read_exact_at(&mut hash, offset(number))?;
            Ok(IdHash::from_le_bytes(hash))
        });
        let hashes = hashes.collect::<io::Result<Vec<IdHash>>>()?;
        self.known = count;
        Ok(hashes)
    }
}

/// Returns the position of a hash in the file.
fn offset(number: u64) -> u64 {
    HEADER_LENGTH + number % CAPACITY as u64 * HASH_LENGTH as u64
}
