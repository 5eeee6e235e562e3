//! Slot files in `$TMPDIR`, by which the two processes of a hot restart find each other. Each
//! process holds a lock on its own slot file while it runs; the kernel releases the lock however
//! the process ends.

use crate::hot_restart::OtherProcess;
use crate::id_locks::IdLocks;
use crate::state_transfer::TransferFile;
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::Path;

/// Maximum length of a slot file, in bytes.
const MAX_SLOT_BYTES: u64 = 256;

/// The two slot files, one of which this process holds.
pub struct ProcessSlots {
    files: [File; 2],
    /// Index of the slot that this process holds; `None` while other processes hold both.
    own: Option<usize>,
    process: String,
    ready: bool,
    transfer: TransferFile,
}

impl ProcessSlots {
    /// Opens the slot files in `directory` and takes a free slot for the process named `process`.
    ///
    /// # Errors
    ///
    /// If a slot file can't be opened.
    pub fn take(directory: &Path, process: String) -> io::Result<Self> {
        let transfer = TransferFile::new(directory, process.clone());
        // An existing transfer was written for a process that died before reading it. It can't be
        // for this process, because none is written for a process that holds no slot.
        transfer.discard();
        let mut slots = ProcessSlots {
            files: [open_slot(directory, 0)?, open_slot(directory, 1)?],
            own: None,
            process,
            ready: false,
            transfer,
        };
        slots.take_free_slot();
        Ok(slots)
    }

    /// Takes a free slot if this process holds none. An earlier call can fail although a slot is
    /// free, because the other process locks the slot for a moment to check it.
    fn take_free_slot(&mut self) {
        if self.own.is_none() {
            self.own = (0..2).find(|slot| self.files[*slot].try_lock().is_ok());
            self.write_own();
        }
    }

    fn write_own(&mut self) {
        let Some(own) = self.own else { return };
        let content = OtherProcess {
            process: self.process.clone(),
            ready: self.ready,
        };
        let text = serde_json::to_vec(&content).unwrap_or_default();
        let file = &mut self.files[own];
        let written = file
            .seek(SeekFrom::Start(0))
            .and_then(|_| file.set_len(0))
            .and_then(|()| file.write_all(&text));
        if let Err(e) = written {
            log::warn!("writing the process slot in $TMPDIR failed: {e}; its content is outdated");
        }
    }

    /// Sets whether this process is ready and writes that to its slot.
    pub fn set_ready(&mut self, ready: bool) {
        if self.ready != ready {
            self.ready = ready;
            self.write_own();
        }
    }

    /// Returns the other process, if one is running. If its slot can't be read yet, the result is
    /// [`OtherProcess::unknown`].
    pub fn other_process(&mut self) -> Option<OtherProcess> {
        self.take_free_slot();
        let Some(own) = self.own else {
            return Some(OtherProcess::unknown());
        };
        let file = &mut self.files[1 - own];
        if file.try_lock().is_ok() {
            // No process holds this slot. Its content is cleared, because the next process locks
            // the slot before it writes its name, and would be mistaken for the dead process.
            let _ = file.set_len(0);
            let _ = file.unlock();
            return None;
        }
        let mut text = Vec::new();
        let read = file
            .seek(SeekFrom::Start(0))
            .and_then(|_| file.take(MAX_SLOT_BYTES).read_to_end(&mut text));
        let other = read.ok().and_then(|_| serde_json::from_slice(&text).ok());
        Some(other.unwrap_or_else(OtherProcess::unknown))
    }

    /// Returns the index of the slot that this process holds; `None` while other processes hold
    /// both.
    #[must_use]
    pub fn own_slot(&self) -> Option<usize> {
        self.own
    }

    /// Returns the locks on request ids that this process shares with the other processes.
    ///
    /// # Errors
    ///
    /// If no descriptor is left.
    pub fn id_locks(&self) -> io::Result<IdLocks> {
        // Locks of ranges and locks of the whole file, which the slots use, do not affect each other.
        self.files[0].try_clone().map(IdLocks::new)
    }

    /// Returns the file for the state transfer between the two processes.
    #[must_use]
    pub fn transfer(&self) -> &TransferFile {
        &self.transfer
    }
}

fn open_slot(directory: &Path, slot: usize) -> io::Result<File> {
    OpenOptions::new()
        .read(true)
        .write(true)
        .create(true)
        .truncate(false)
        .open(directory.join(format!("pipitrun.seat-{slot}")))
}

#[cfg(test)]
mod tests;
