//! The files in `$TMPDIR` by which the two processes of an upgrade know of each other: a seat each, locked as long as the
//! process in it lives, and the notes that one leaves for the other. The kernel frees a lock however a process ends.

use crate::hot_restart::OtherProcess;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// What stands in a seat is no longer than this.
const SEAT_MAX: u64 = 256;
/// Notes are no longer than this.
const NOTES_MAX: usize = 1 << 20;
/// The form of the notes; another one is not read.
const VERSION: u32 = 1;

#[derive(Serialize, Deserialize)]
struct Notes<T> {
    version: u32,
    /// The process that they are written for.
    to: String,
    notes: T,
}

/// The two seats, of which this process has one.
pub struct ProcessSlots {
    files: [File; 2],
    /// Which one is taken; none while both are others'.
    own: Option<usize>,
    process: String,
    ready: bool,
    notes: PathBuf,
}

impl ProcessSlots {
    /// Takes a free seat in this folder under this process's name.
    pub fn take(folder: &Path, process: String) -> io::Result<Self> {
        let open = |place: usize| {
            let path = folder.join(format!("pipitrun.seat-{place}"));
            OpenOptions::new()
                .read(true)
                .write(true)
                .create(true)
                .truncate(false)
                .open(path)
        };
        let notes = folder.join("pipitrun.notes");
        // What was left for a process that died before it read it. Nothing is left for this one before it sits.
        let _ = std::fs::remove_file(&notes);
        let mut seats = ProcessSlots {
            files: [open(0)?, open(1)?],
            own: None,
            process,
            ready: false,
            notes,
        };
        seats.sit();
        Ok(seats)
    }

    /// Takes a free seat if this process has none: the other may only have been looking whether one is free.
    fn sit(&mut self) {
        if self.own.is_none() {
            self.own = (0..2).find(|place| self.files[*place].try_lock().is_ok());
            self.write();
        }
    }

    fn write(&mut self) {
        let Some(own) = self.own else { return };
        let seat = OtherProcess {
            process: self.process.clone(),
            ready: self.ready,
        };
        let text = serde_json::to_vec(&seat).unwrap_or_default();
        let file = &mut self.files[own];
        let written = file
            .seek(SeekFrom::Start(0))
            .and_then(|_| file.set_len(0))
            .and_then(|()| file.write_all(&text));
        if let Err(e) = written {
            log::warn!("seat in $TMPDIR: {e}");
        }
    }

    /// From now on the seat says that this process is ready, or no longer.
    pub fn set_ready(&mut self, ready: bool) {
        if self.ready != ready {
            self.ready = ready;
            self.write();
        }
    }

    /// The other process, if one lives. One whose seat can't be read yet is there, but not ready.
    pub fn other(&mut self) -> Option<OtherProcess> {
        self.sit();
        let unknown = OtherProcess {
            process: String::new(),
            ready: false,
        };
        let Some(own) = self.own else {
            return Some(unknown);
        };
        let file = &mut self.files[1 - own];
        if file.try_lock().is_ok() {
            // Nobody sits there. What the dead left goes: the next one to sit has the lock before it has written its name, and would
            // be taken for the dead, who may have served.
            let _ = file.set_len(0);
            let _ = file.unlock();
            return None;
        }
        let mut text = Vec::new();
        let read = file
            .seek(SeekFrom::Start(0))
            .and_then(|_| file.take(SEAT_MAX).read_to_end(&mut text));
        Some(
            read.ok()
                .and_then(|_| serde_json::from_slice(&text).ok())
                .unwrap_or(unknown),
        )
    }

    /// Whether notes lie there that nobody has looked at yet; whom they are for is only known once they are read.
    pub fn notes_there(&self) -> bool {
        self.notes.exists()
    }

    /// Leaves notes for this process; who reads them finds them whole or not at all.
    pub fn write_notes<T: Serialize>(&self, to: &str, notes: T) -> io::Result<usize> {
        let notes = Notes {
            version: VERSION,
            to: to.into(),
            notes,
        };
        let text = serde_json::to_vec(&notes)?;
        if text.len() > NOTES_MAX {
            return Err(io::Error::other(format!(
                "{} bytes are too long",
                text.len()
            )));
        }
        let new = self.notes.with_extension("notes.new");
        std::fs::write(&new, &text)?;
        std::fs::rename(new, &self.notes)?;
        Ok(text.len())
    }

    /// The notes that were left for this process, or why there are none. They are taken away: nobody else needs them.
    pub fn read_notes<T: DeserializeOwned>(&self) -> Result<T, String> {
        let mut text = Vec::new();
        File::open(&self.notes)
            .and_then(|file| file.take(NOTES_MAX as u64 + 1).read_to_end(&mut text))
            .map_err(|e| e.to_string())?;
        let _ = std::fs::remove_file(&self.notes);
        if text.len() > NOTES_MAX {
            return Err(format!("longer than {NOTES_MAX} bytes"));
        }
        #[derive(Deserialize)]
        struct Head {
            version: u32,
            to: String,
        }
        let head: Head = serde_json::from_slice(&text).map_err(|e| e.to_string())?;
        if head.version != VERSION {
            return Err(format!("of version {}, not {VERSION}", head.version));
        }
        if head.to != self.process {
            return Err(format!("for {}, not for {}", head.to, self.process));
        }
        let mut json = serde_json::Deserializer::from_slice(&text);
        let notes: Notes<T> = serde_path_to_error::deserialize(&mut json)
            .map_err(|e| format!("{}: {}", e.path(), e.inner()))?;
        Ok(notes.notes)
    }
}

#[cfg(test)]
mod tests;
