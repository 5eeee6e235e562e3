//! The slot files in `$TMPDIR` by which the two processes of a hot restart know of each other: a
//! slot each, locked as long as its process lives. The kernel frees a lock however a process ends.

use crate::hot_restart::OtherProcess;
use crate::state_transfer::TransferFile;
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::Path;

/// The longest content of a slot file in bytes.
const MAX_SLOT_BYTES: u64 = 256;

/// The two slots, of which this process holds one.
pub struct ProcessSlots {
    files: [File; 2],
    /// The one that is held; none while others hold both.
    own: Option<usize>,
    process: String,
    ready: bool,
    transfer: TransferFile,
}

impl ProcessSlots {
    /// Takes a free slot in this folder under this process's name.
    ///
    /// # Errors
    ///
    /// Passes on the system's error if a slot file can't be opened.
    pub fn take(folder: &Path, process: String) -> io::Result<Self> {
        let transfer = TransferFile::new(folder, process.clone());
        // Left for a process that died before it read it. Nothing is written for this process
        // before it has a slot.
        transfer.discard();
        let mut slots = ProcessSlots {
            files: [open_slot(folder, 0)?, open_slot(folder, 1)?],
            own: None,
            process,
            ready: false,
            transfer,
        };
        slots.take_free_slot();
        Ok(slots)
    }

    /// Takes a free slot if this process has none: the other one may only have been checking
    /// whether a slot is free.
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
            log::warn!("process slot in $TMPDIR: {e}");
        }
    }

    /// From now on the slot says that this process is ready, or no longer.
    pub fn set_ready(&mut self, ready: bool) {
        if self.ready != ready {
            self.ready = ready;
            self.write_own();
        }
    }

    /// The other process, if one lives. One whose slot can't be read yet is unknown.
    pub fn other(&mut self) -> Option<OtherProcess> {
        self.take_free_slot();
        let Some(own) = self.own else {
            return Some(OtherProcess::unknown());
        };
        let file = &mut self.files[1 - own];
        if file.try_lock().is_ok() {
            // Nobody holds it. What a dead process left is cleared: the next one has the lock
            // before it has written its name, and would be taken for the dead one.
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

    /// The file by which state is handed over.
    #[must_use]
    pub fn transfer(&self) -> &TransferFile {
        &self.transfer
    }
}

fn open_slot(folder: &Path, slot: usize) -> io::Result<File> {
    OpenOptions::new()
        .read(true)
        .write(true)
        .create(true)
        .truncate(false)
        .open(folder.join(format!("pipitrun.seat-{slot}")))
}

#[cfg(test)]
mod tests;
