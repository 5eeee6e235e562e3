//! pipitrun: one balancer of tile caches on real sockets. The modules follow the stages of a request: a front
//! takes it from a client connection, `request` is its context, `decide` asks the module, `tries` and `peers`
//! carry out what it says, and the front answers. No decision is taken here; they are all routing's.
#![deny(unsafe_code)]

mod attempt_tracker;
mod config;
mod counters;
mod discovery;
mod engine_adapter;
mod event_loop;
mod gossip;
mod hot_restart;
mod lifecycle;
mod listener;
mod poll;
mod poll_timestamps;
mod process_slots;
mod request;
mod resp;
mod response_stream;
mod state_transfer;
mod timers;
mod upstream_pool;
mod watch_backoff;

use std::process::ExitCode;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let result = config::Config::load(|name| std::env::var(name).ok())
        .map_err(|e| e.to_string())
        .and_then(|config| {
            log::info!("{}: discovery is at {}", config.name, config.discovery);
            config
                .remarks
                .iter()
                .for_each(|remark| log::warn!("configuration: settings.{remark}"));
            log::debug!("{:?}", config.settings);
            event_loop::EventLoop::new(config)?.run()
        });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("pipitrun: {e}");
            ExitCode::FAILURE
        }
    }
}
