//! Runs the routing engine on the simulator's wire protocol: reads batches of events from standard
//! input and writes one reply per batch to standard output. All decisions are made by the engine.
#![forbid(unsafe_code)]

mod host;
mod wire;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;
use std::str::Utf8Error;
use thiserror::Error;

/// Error that ends the adapter before the end of its input.
#[derive(Debug, Error)]
enum AdapterError {
    #[error("failed to read standard input: {0}")]
    Read(#[source] io::Error),
    #[error("batch is not valid UTF-8: {0}")]
    NotUtf8(#[from] Utf8Error),
    #[error(transparent)]
    Batch(#[from] host::BatchError),
    #[error("failed to write to standard output: {0}")]
    Write(#[source] io::Error),
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("simulator-adapter: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Handles batches until the end of the input.
fn run() -> Result<(), AdapterError> {
    let mut host = host::Host::default();
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut line = Vec::new();
    loop {
        line.clear();
        let length = input
            .read_until(b'\n', &mut line)
            .map_err(AdapterError::Read)?;
        if length == 0 {
            return Ok(());
        }
        let text = std::str::from_utf8(&line)?;
        if text.trim().is_empty() {
            continue;
        }
        let reply = host.handle_batch(text)?;
        writeln!(output, "{reply}")
            .and_then(|()| output.flush())
            .map_err(AdapterError::Write)?;
    }
}
