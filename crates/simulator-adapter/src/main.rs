//! Hosts routing's decision module on the operators' wire: batches of events on standard input, one reply
//! each on standard output. No decision is taken here.
#![forbid(unsafe_code)]

mod host;

use std::io::{BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("simulator-adapter: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), String> {
    let mut host = host::Host::default();
    let mut input = std::io::stdin().lock();
    let mut output = std::io::stdout().lock();
    let mut line = Vec::new();
    loop {
        line.clear();
        if input
            .read_until(b'\n', &mut line)
            .map_err(|e| format!("reading: {e}"))?
            == 0
        {
            return Ok(());
        }
        let text = std::str::from_utf8(&line).map_err(|e| format!("batch: not UTF-8: {e}"))?;
        if text.trim().is_empty() {
            continue;
        }
        let reply = host.batch(text)?;
        writeln!(output, "{reply}")
            .and_then(|()| output.flush())
            .map_err(|e| format!("writing: {e}"))?;
    }
}
