//! The state that one process of a balancer hands to its successor during a hot restart, and the
//! file in `$TMPDIR` by which it does.

use crate::discovery::EndpointList;
use routing::Snapshot;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::{self, Read};
use std::path::{Path, PathBuf};

const FILE_NAME: &str = "pipitrun.notes";
/// A transfer under this name is being written.
const PARTIAL_FILE_NAME: &str = "pipitrun.notes.new";
/// The longest transfer in bytes.
const MAX_BYTES: usize = 1 << 20;
/// The version of the format; others are not read.
const VERSION: u32 = 1;

/// What one process of a balancer leaves for the next. The keys are those of the file.
#[derive(Debug, Serialize, Deserialize)]
pub struct StateTransfer {
    /// The endpoints that the old process knows.
    #[serde(rename = "list")]
    pub endpoint_list: EndpointList,
    /// What its engine has learnt.
    #[serde(rename = "learnt")]
    pub snapshot: Snapshot,
}

/// Why state can't be written, or is not read.
#[derive(Debug, thiserror::Error)]
pub enum TransferError {
    /// The file system reports an error.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// The error.
        source: io::Error,
    },
    /// It can't be written as JSON.
    #[error("can't be written: {0}")]
    Serialize(#[source] serde_json::Error),
    /// It would be, or is, too long.
    #[error("longer than {limit} bytes")]
    TooLong {
        /// The longest transfer in bytes.
        limit: usize,
    },
    /// It has no readable head: it is incomplete, or no transfer.
    #[error("{0}")]
    Head(#[source] serde_json::Error),
    /// It is of another version.
    #[error("of version {found}, not {VERSION}")]
    Version {
        /// The version that it states.
        found: u32,
    },
    /// It is for another process.
    #[error("for process {found}, not for {own}")]
    Recipient {
        /// The process that it is for.
        found: String,
        /// This process.
        own: String,
    },
    /// A key can't be read.
    #[error("{0}")]
    Key(#[from] serde_path_to_error::Error<serde_json::Error>),
}

/// The file's content. The keys are those of the file.
#[derive(Serialize, Deserialize)]
struct Envelope<T> {
    version: u32,
    /// The process that it is written for.
    #[serde(rename = "to")]
    recipient: String,
    #[serde(rename = "notes")]
    state: T,
}

/// What is read of the file first.
#[derive(Deserialize)]
struct EnvelopeHead {
    version: u32,
    #[serde(rename = "to")]
    recipient: String,
}

/// The file by which state is handed over.
#[derive(Debug)]
pub struct TransferFile {
    path: PathBuf,
    partial_path: PathBuf,
    /// This process.
    process: String,
}

impl TransferFile {
    /// The file in this folder, as seen by this process.
    #[must_use]
    pub fn new(folder: &Path, process: String) -> Self {
        TransferFile {
            path: folder.join(FILE_NAME),
            partial_path: folder.join(PARTIAL_FILE_NAME),
            process,
        }
    }

    /// Whether a transfer is there that nobody has read yet. Its recipient is known once it is
    /// read.
    #[must_use]
    pub fn exists(&self) -> bool {
        self.path.exists()
    }

    /// Removes the file, if it is there.
    pub fn discard(&self) {
        let _ = std::fs::remove_file(&self.path);
    }

    /// Writes state for another process, which finds all of it or nothing. Returns its length in
    /// bytes.
    ///
    /// # Errors
    ///
    /// Says why it can't be written; then the recipient finds nothing.
    pub fn write<T: Serialize>(&self, recipient: &str, state: T) -> Result<usize, TransferError> {
        let envelope = Envelope {
            version: VERSION,
            recipient: recipient.into(),
            state,
        };
        let text = serde_json::to_vec(&envelope).map_err(TransferError::Serialize)?;
        if text.len() > MAX_BYTES {
            return Err(TransferError::TooLong { limit: MAX_BYTES });
        }
        std::fs::write(&self.partial_path, &text)
            .and_then(|()| std::fs::rename(&self.partial_path, &self.path))
            .map_err(|source| self.file_error(source))?;
        Ok(text.len())
    }

    /// Reads the state that was written for this process, and removes the file: nobody else needs
    /// it.
    ///
    /// # Errors
    ///
    /// Says why there is none for this process.
    pub fn read<T: DeserializeOwned>(&self) -> Result<T, TransferError> {
        let mut text = Vec::new();
        File::open(&self.path)
            .and_then(|file| file.take(MAX_BYTES as u64 + 1).read_to_end(&mut text))
            .map_err(|source| self.file_error(source))?;
        self.discard();
        if text.len() > MAX_BYTES {
            return Err(TransferError::TooLong { limit: MAX_BYTES });
        }
        self.check_head(&text)?;
        let mut json = serde_json::Deserializer::from_slice(&text);
        let envelope: Envelope<T> = serde_path_to_error::deserialize(&mut json)?;
        Ok(envelope.state)
    }

    fn check_head(&self, text: &[u8]) -> Result<(), TransferError> {
        let head: EnvelopeHead = serde_json::from_slice(text).map_err(TransferError::Head)?;
        if head.version != VERSION {
            return Err(TransferError::Version {
                found: head.version,
            });
        }
        if head.recipient != self.process {
            return Err(TransferError::Recipient {
                found: head.recipient,
                own: self.process.clone(),
            });
        }
        Ok(())
    }

    fn file_error(&self, source: io::Error) -> TransferError {
        TransferError::File {
            path: self.path.clone(),
            source,
        }
    }
}

#[cfg(test)]
mod tests;
