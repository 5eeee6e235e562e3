//! `pipitrun`, a load balancer for tile caches: the daemon that runs the decision engine of the
//! `routing` crate on real sockets.
//!
//! A request passes through these modules: `listener` parses the client's command,
//! `event_loop::admission` admits the request, `event_loop::decisions` passes it to the engine,
//! `event_loop::dispatch` and `upstream_pool` send attempts, `attempt_tracker` matches their
//! outcomes to the request, and `event_loop::responses` returns the answer through the listener.
//! The engine makes all routing decisions; this crate executes them.
#![deny(unsafe_code)]

mod attempt_tracker;
mod config;
mod counters;
mod discovery;
mod engine_adapter;
mod event_loop;
mod forwarded_ids;
mod gossip;
mod hot_restart;
mod id_locks;
mod lifecycle;
mod listener;
mod poll;
mod poll_timestamps;
mod process_slots;
mod request;
mod request_ids;
mod resp;
mod response_stream;
mod state_transfer;
mod timers;
mod upstream_pool;
mod watch_backoff;

use config::Config;
use event_loop::EventLoop;
use std::error::Error;
use std::process::ExitCode;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("pipitrun: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), Box<dyn Error>> {
    let config = Config::load(|name| std::env::var(name).ok())?;
    log::info!(
        "balancer {} uses the discovery service at {}",
        config.name,
        config.discovery
    );
    for warning in &config.warnings {
        log::warn!("configuration: settings.{warning}");
    }
    log::debug!("settings: {:?}", config.settings);
    EventLoop::new(config)?.run()?;
    Ok(())
}
