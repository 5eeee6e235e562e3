//! Locks by which the processes of a hot restart share the ids of their open requests.
//!
//! Each id is a byte of a file that all processes have open, and a process locks the bytes of its open
//! ids. Nothing is written to the file, and the kernel releases the locks of a process however that
//! ends.

use crate::request_ids::IdHash;
use nix::errno::Errno;
use nix::fcntl::{FcntlArg, fcntl};
use nix::libc;
use std::fs::File;

/// Number of bits of a hash that are left out, so that the rest is a position in a file.
const POSITION_SHIFT: u32 = IdHash::BITS - 62;

/// Result of an attempt to lock an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LockOutcome {
    /// This process holds the lock.
    Locked,
    /// Another process holds the lock.
    HeldByOther,
    /// The kernel has no memory for the lock, or the file system has no locks.
    Unavailable,
}

/// The locks of one process. They belong to this value's open file: another value needs a file that
/// was opened separately.
pub struct IdLocks {
    file: File,
}

impl IdLocks {
    /// Creates the locks of a process that has opened the shared file for writing.
    #[must_use]
    pub fn new(file: File) -> Self {
        IdLocks { file }
    }

    /// Locks an id unless another process holds its lock.
    #[must_use]
    pub fn lock(&self, id: IdHash) -> LockOutcome {
        match self.set(libc::F_WRLCK, byte_of(id)) {
            Ok(()) => LockOutcome::Locked,
            Err(Errno::EAGAIN | Errno::EACCES) => LockOutcome::HeldByOther,
            Err(e) => {
                log::warn!(
                    "locking a request id in $TMPDIR failed: {e}; another process of a hot restart \
                     may serve a request with the same id"
                );
                LockOutcome::Unavailable
            }
        }
    }

    /// Releases the lock of an id.
    pub fn unlock(&self, id: IdHash) {
        self.release(byte_of(id));
    }

    /// Releases all locks of this process.
    pub fn unlock_all(&self) {
        let whole_file = Range {
            start: 0,
            length: 0,
        };
        self.release(whole_file);
    }

    fn release(&self, range: Range) {
        if let Err(e) = self.set(libc::F_UNLCK, range) {
            log::warn!("releasing the lock of a request id failed: {e}; the id stays blocked");
        }
    }

    fn set(&self, kind: libc::c_int, range: Range) -> Result<(), Errno> {
        let lock = libc::flock {
            l_type: kind as libc::c_short,
            l_whence: libc::SEEK_SET as libc::c_short,
            l_start: range.start,
            l_len: range.length,
            l_pid: 0,
        };
        fcntl(&self.file, FcntlArg::F_OFD_SETLK(&lock)).map(drop)
    }
}

/// Range of bytes; a length of 0 extends to the end of the file.
#[derive(Clone, Copy)]
struct Range {
    start: libc::off_t,
    length: libc::off_t,
}

fn byte_of(id: IdHash) -> Range {
    Range {
        start: (id >> POSITION_SHIFT) as libc::off_t,
        length: 1,
    }
}
