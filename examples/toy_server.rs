//! Three toy tile caches and a toy discovery in one process, for trying pipitrun on one machine.
//!
//! Discovery is on 127.0.0.1:8500, the caches on 127.0.0.1:7001 to 7003; `examples/config.json` and `examples/fleet/` fit
//! them. A line on standard input changes the list: `drain 2` lets the second cache drain, `up 2` brings it back. The
//! caches keep values for as long as the process runs; a read of what none was given gets a made-up tile.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use testbed::simulated_services::cache::{Cache, CacheOptions};
use testbed::simulated_services::discovery::{Discovery, EndpointList, ListedHost};

const CACHES: usize = 3;

fn address(cache: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + cache as u16))
}

fn name(cache: usize) -> String {
    format!("toy-{cache}")
}

fn main() -> io::Result<()> {
    let list = EndpointList::default();
    let options = CacheOptions {
        service_time: Duration::from_millis(20),
        fetch_time: Duration::ZERO,
        ..CacheOptions::default()
    };
    let caches = (1..=CACHES).map(|n| Cache::start(&name(n), address(n), options, None));
    let _caches = caches.collect::<io::Result<Vec<_>>>()?;
    (1..=CACHES).for_each(|n| {
        list.insert(
            &name(n),
            ListedHost {
                health: "in_service",
                born_ms: 0,
            },
        );
    });
    let dial = |host: &str| (1..=CACHES).find(|n| name(*n) == host).map(address);
    let _discovery = Discovery::start(
        SocketAddr::from(([127, 0, 0, 1], 8_500)),
        list.clone(),
        dial,
    )?;
    println!("three tile caches and discovery are up; type 'drain 2' or 'up 2'");
    for line in io::stdin().lines() {
        let line = line?;
        let cache = line
            .split(' ')
            .nth(1)
            .and_then(|n| n.parse().ok())
            .filter(|n| (1..=CACHES).contains(n));
        match (line.split(' ').next(), cache) {
            (Some("drain"), Some(n)) => list.insert(
                &name(n),
                ListedHost {
                    health: "terminating",
                    born_ms: 0,
                },
            ),
            (Some("up"), Some(n)) => list.insert(
                &name(n),
                ListedHost {
                    health: "in_service",
                    born_ms: 0,
                },
            ),
            _ => println!("'drain N' or 'up N', with N from 1 to {CACHES}"),
        }
    }
    // Without standard input it goes on serving until it is stopped.
    loop {
        std::thread::park();
    }
}
