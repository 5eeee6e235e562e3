//! State transfer of a hot restart: the state that the old process of a balancer passes to the new
//! one, and the file in `$TMPDIR` that contains it.

use crate::discovery::EndpointList;
use routing::Snapshot;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::{self, Read};
use std::path::{Path, PathBuf};

const FILE_NAME: &str = "pipitrun.notes";
/// Name of a transfer file while it is being written.
const PARTIAL_FILE_NAME: &str = "pipitrun.notes.new";
/// Maximum length of a transfer file, in bytes.
const MAX_BYTES: usize = 1 << 20;
/// Version of the file format; files of other versions are rejected.
const VERSION: u32 = 1;

/// State that the old process passes to the new one.
#[derive(Debug, Serialize, Deserialize)]
pub struct StateTransfer {
    /// Endpoint list of the old process.
    #[serde(rename = "list")]
    pub endpoint_list: EndpointList,
    /// Snapshot of the old process's engine.
    #[serde(rename = "learnt")]
    pub snapshot: Snapshot,
}

/// Error in writing or reading a state transfer.
#[derive(Debug, thiserror::Error)]
pub enum TransferError {
    /// The file can't be read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// Path of the transfer file.
        path: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// The state can't be serialized.
    #[error("the state can't be serialized as JSON: {0}")]
    Serialize(#[source] serde_json::Error),
    /// The state to be written, or the file, is too long.
    #[error("the state transfer is longer than the maximum of {limit} bytes")]
    TooLong {
        /// Maximum length in bytes.
        limit: usize,
    },
    /// The header can't be parsed: the file is incomplete, or not a state transfer.
    #[error("invalid header of the state transfer: {0}")]
    Header(#[source] serde_json::Error),
    /// The file has another format version.
    #[error("the state transfer has version {found}; expected version {VERSION}")]
    Version {
        /// Version in the file.
        found: u32,
    },
    /// The file is for another process.
    #[error("the state transfer is for process {found}; expected this process, {own}")]
    Recipient {
        /// Recipient in the file.
        found: String,
        /// Name of this process.
        own: String,
    },
    /// The state in the file can't be parsed; the error contains the path of the invalid key.
    #[error("{0}")]
    Key(#[from] serde_path_to_error::Error<serde_json::Error>),
}

/// Content of a transfer file.
#[derive(Serialize, Deserialize)]
struct Envelope<T> {
    version: u32,
    /// Name of the process that the state is for.
    #[serde(rename = "to")]
    recipient: String,
    #[serde(rename = "notes")]
    state: T,
}

/// Header of a transfer file, which is checked before the state is parsed.
#[derive(Deserialize)]
struct EnvelopeHeader {
    version: u32,
    #[serde(rename = "to")]
    recipient: String,
}

/// The file through which state is passed to another process.
#[derive(Debug)]
pub struct TransferFile {
    path: PathBuf,
    partial_path: PathBuf,
    /// Name of this process.
    process: String,
}

impl TransferFile {
    /// Returns the transfer file in `folder`, for use by the process named `process`.
    #[must_use]
    pub fn new(folder: &Path, process: String) -> Self {
        TransferFile {
            path: folder.join(FILE_NAME),
            partial_path: folder.join(PARTIAL_FILE_NAME),
            process,
        }
    }

    /// Returns whether a transfer exists that has not been read yet. Its recipient is known only
    /// once it is read.
    #[must_use]
    pub fn exists(&self) -> bool {
        self.path.exists()
    }

    /// Removes the file, if it exists.
    pub fn discard(&self) {
        let _ = std::fs::remove_file(&self.path);
    }

    /// Writes state for the process named `recipient` and returns the file's length in bytes. The
    /// file is renamed into place, so that the recipient never finds a partial transfer.
    ///
    /// # Errors
    ///
    /// If the state is too long or can't be written; then no transfer exists for the recipient.
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

    /// Reads the state that was written for this process, and removes the file. The file is removed
    /// even if it is invalid or for another process, as no process can use it later.
    ///
    /// # Errors
    ///
    /// If there is no readable state for this process.
    pub fn read<T: DeserializeOwned>(&self) -> Result<T, TransferError> {
        let mut text = Vec::new();
        File::open(&self.path)
            .and_then(|file| file.take(MAX_BYTES as u64 + 1).read_to_end(&mut text))
            .map_err(|source| self.file_error(source))?;
        self.discard();
        if text.len() > MAX_BYTES {
            return Err(TransferError::TooLong { limit: MAX_BYTES });
        }
        self.check_header(&text)?;
        let mut json = serde_json::Deserializer::from_slice(&text);
        let envelope: Envelope<T> = serde_path_to_error::deserialize(&mut json)?;
        Ok(envelope.state)
    }

    fn check_header(&self, text: &[u8]) -> Result<(), TransferError> {
        let header: EnvelopeHeader = serde_json::from_slice(text).map_err(TransferError::Header)?;
        if header.version != VERSION {
            return Err(TransferError::Version {
                found: header.version,
            });
        }
        if header.recipient != self.process {
            return Err(TransferError::Recipient {
                found: header.recipient,
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
