//! Hosts routing's decision module on the simulator's wire: batches of events on standard input,
//! one reply each on standard output. It takes no decisions.
#![forbid(unsafe_code)]

mod host;
mod wire;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;
use std::str::Utf8Error;
use thiserror::Error;

/// Why the adapter ends before its input does.
#[derive(Debug, Error)]
enum AdapterError {
    #[error("reading: {0}")]
    Read(#[source] io::Error),
    #[error("batch: not UTF-8: {0}")]
    NotUtf8(#[from] Utf8Error),
    #[error(transparent)]
    Batch(#[from] host::BatchError),
    #[error("writing: {0}")]
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

/// Answers batches until the input ends.
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
