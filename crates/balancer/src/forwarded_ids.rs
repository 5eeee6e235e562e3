//! Ids of forwarded requests that must not run twice.
//!
//! A client whose connection ends under a request may send the request once more, with the same id.
//! If the request has been forwarded, the repeat must not be: the first one may have run or may
//! still run. The ids are remembered beyond the end of a request, in a ring of fixed size. The two
//! processes of a hot restart share them through files.

mod id_file;

pub use id_file::IdFile;

use crate::request_ids::{IdHash, hash_id};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::path::Path;

/// Maximum number of ids that are remembered; older ones are forgotten.
pub const CAPACITY: usize = 8 * 1024;

/// Recently forwarded ids, of this process and of the other process of a hot restart.
#[derive(Default)]
pub struct ForwardedIds {
    /// Hashes in the order in which they were added.
    ring: VecDeque<IdHash>,
    /// Number of occurrences of each hash in the ring.
    occurrences: HashMap<IdHash, usize>,
    files: Option<SharedFiles>,
}

/// The files of both slots.
struct SharedFiles {
    files: [IdFile; 2],
    /// Slot of this process; `None` while other processes hold both.
    own: Option<usize>,
}

impl ForwardedIds {
    /// Shares the ids with the other process through files in `directory`, and reads those that
    /// earlier processes left there.
    ///
    /// # Errors
    ///
    /// If a file can't be opened; the ids are then not shared.
    pub fn share(&mut self, directory: &Path, own_slot: Option<usize>) -> io::Result<()> {
        let files = [IdFile::open(directory, 0)?, IdFile::open(directory, 1)?];
        self.files = Some(SharedFiles {
            files,
            own: own_slot,
        });
        self.read_files();
        Ok(())
    }

    /// Sets the slot of this process, which may take one later than at its start.
    pub fn set_own_slot(&mut self, own_slot: Option<usize>) {
        if let Some(shared) = &mut self.files {
            shared.own = own_slot;
        }
    }

    /// Returns whether a request with this id has been forwarded, by this process or the other one.
    pub fn contains(&mut self, id: &[u8]) -> bool {
        self.read_files();
        self.occurrences.contains_key(&hash_id(id))
    }

    /// Adds the id of a request that is about to be forwarded.
    pub fn add(&mut self, id: &[u8]) {
        let hash = hash_id(id);
        self.remember(hash);
        if let Some(shared) = &mut self.files
            && let Some(own) = shared.own
            && let Err(e) = shared.files[own].append(hash)
        {
            log::warn!(
                "sharing the id of a forwarded request through $TMPDIR failed: {e}; the other \
                 process of a hot restart may forward a repeat of it"
            );
        }
    }

    /// Removes an id that was just added, because its request is not forwarded after all. The other
    /// process may have read it already and then rejects a repeat.
    pub fn retract(&mut self, id: &[u8]) {
        let hash = hash_id(id);
        if self.ring.back() != Some(&hash) {
            return;
        }
        self.ring.pop_back();
        self.forget(hash);
        if let Some(shared) = &mut self.files
            && let Some(own) = shared.own
        {
            // If that fails, a repeat is rejected that could have been forwarded.
            let _ = shared.files[own].retract();
        }
    }

    /// Reads the ids that other processes have added to their files.
    fn read_files(&mut self) {
        let Some(shared) = &mut self.files else {
            return;
        };
        // A file that can't be read now is read by the next call.
        let files = shared.files.iter_mut();
        let added: Vec<IdHash> = files
            .filter_map(|file| file.read_added().ok())
            .flatten()
            .collect();
        added.into_iter().for_each(|hash| self.remember(hash));
    }

    fn remember(&mut self, hash: IdHash) {
        self.ring.push_back(hash);
        *self.occurrences.entry(hash).or_default() += 1;
        if self.ring.len() > CAPACITY
            && let Some(oldest) = self.ring.pop_front()
        {
            self.forget(oldest);
        }
    }

    fn forget(&mut self, hash: IdHash) {
        if let Some(count) = self.occurrences.get_mut(&hash) {
            *count -= 1;
            if *count == 0 {
                self.occurrences.remove(&hash);
            }
        }
    }
}

#[cfg(test)]
mod tests;
