//! Three toy tile caches and a toy discovery in one process, for trying pipitrun on one machine.
//!
//! Discovery listens on 127.0.0.1:8500, the caches on 127.0.0.1:7001 to 7003. The configurations
//! `examples/config.json` and `examples/fleet/` use these addresses. Lines on standard input change the
//! endpoint list: `drain 2` drains the second cache, `up 2` puts it back into service. The caches keep
//! written values until the process ends; a read of any other key returns a generated tile.

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
    println!("three tile caches and discovery are running; type 'drain N' or 'up N'");
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
            _ => println!("expected 'drain N' or 'up N', with N from 1 to {CACHES}"),
        }
    }
    // At the end of standard input the process continues to serve until it is stopped.
    loop {
        std::thread::park();
    }
}
