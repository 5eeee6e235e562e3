//! Half-written commands arrive on hundreds of client connections. Does the balancer stay within its
//! memory limit, and are the requests of other clients answered?

#[path = "../common.rs"]
mod common;

use common::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

/// The smallest memory and the most descriptors that a balancer gets.
const LIMITS: Limits = Limits {
    memory_mb: 32,
    sockets: 1024,
};
/// Number of connections with a half-written command.
const HALF_WRITTEN: usize = 600;
/// Value of that command: the longest that a command may have.
const VALUE: usize = 64 * 1024;
/// Bytes of the value that are not written.
const MISSING: usize = 64;
/// Time for which these clients stay.
const STAY: Duration = Duration::from_secs(2);
const USUAL_CLIENTS: usize = 3;
/// Time between two requests of a usual client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// Time that a usual client waits, as field `d` tells, and the slack of the rule.
const CLIENT_TIME: Duration = Duration::from_millis(600);
const SLACK: Duration = Duration::from_millis(500);
/// Time that a tile cache works on a read.
const READ_TIME: Duration = Duration::from_millis(25);

fn behave(_: &Received, stream: &mut TcpStream) -> bool {
    sleep(READ_TIME);
    let _ = stream.write_all(&served(b"tile"));
    true
}

/// A usual client: it reads tiles one after the other on one connection. Returns how many requests
/// were answered and how many were not.
fn usual_client(number: usize, mut stream: TcpStream, end: Arc<AtomicBool>) -> (u32, u32) {
    let (mut answered, mut lost) = (0, 0);
    let _ = stream.set_read_timeout(Some(CLIENT_TIME + SLACK));
    for request in 0.. {
        if end.load(Ordering::Relaxed) {
            break;
        }
        let (id, key) = (
            format!("read-{number}-{request}"),
            format!("{:016x}", 0xc300 + request % 40),
        );
        let read = command(&[
            b"C.GET",
            key.as_bytes(),
            id.as_bytes(),
            b"c=tile-read,t=kvemo-tetri,d=600",
        ]);
        if stream.write_all(&read).is_err() {
            break;
        }
        let answer = read_answer(&mut stream, 1024, Duration::ZERO);
        if matches!(answer, Answer::NotWhole { .. }) {
            record(format!("usual client {number}: {id} got {answer:?}"));
            lost += 1;
            break;
        }
        answered += 1;
        sleep(REQUEST_INTERVAL);
    }
    (answered, lost)
}

/// Writes all but the last bytes of a command, in pieces, and stays.
fn half_written(mut stream: TcpStream, number: usize) {
    let id = format!("half-{number}");
    let full = command(&[
        b"C.SET",
        b"00000000000000d4",
        id.as_bytes(),
        b"c=status-set,t=mta-khevi,d=1000,k=5c0f6e1a2b3d4c59",
        &vec![b'v'; VALUE],
    ]);
    for piece in full[..full.len() - MISSING].chunks(16 * 1024) {
        if stream.write_all(piece).is_err() {
            return;
        }
    }
    sleep(STAY);
}

fn main() {
    begin("review/2");
    let behaviour: Arc<Behaviour> = Arc::new(behave);
    let caches: Vec<_> = ["s-1", "s-2", "s-3"]
        .into_iter()
        .map(|name| (name, start_cache(name, Arc::clone(&behaviour))))
        .collect();
    let discovery = start_discovery(&caches);
    let mut balancer = Balancer::start(&caches, discovery, LIMITS);
    let end = Arc::new(AtomicBool::new(false));
    let usual: Vec<JoinHandle<(u32, u32)>> = (0..USUAL_CLIENTS)
        .map(|number| {
            let (stream, end) = (balancer.client(), Arc::clone(&end));
            spawn(move || usual_client(number, stream, end))
        })
        .collect();
    sleep(Duration::from_millis(500));
    if with_trouble() {
        let address = balancer.address;
        record(format!(
            "{HALF_WRITTEN} clients begin to write a command of {VALUE} bytes each"
        ));
        spawn(move || {
            for number in 0..HALF_WRITTEN {
                if let Ok(stream) = TcpStream::connect(address) {
                    spawn(move || half_written(stream, number));
                }
                sleep(Duration::from_millis(1));
            }
            record("the last of them has connected");
        });
    }
    // The platform: over `memory_mb` the balancer is killed.
    let limit = LIMITS.memory_mb * 1024;
    let started = Instant::now();
    let (mut greatest, mut killed) = (0, false);
    while started.elapsed() < Duration::from_secs(4) && !balancer.has_ended() {
        let memory = balancer.memory_kib().unwrap_or(0);
        if memory >= greatest + 4096 {
            record(format!("platform: the balancer holds {memory} KiB"));
            greatest = memory;
        }
        if memory > limit {
            record(format!(
                "platform: {memory} KiB are over the limit of {limit} KiB; SIGKILL"
            ));
            signal(balancer.id(), "KILL");
            killed = true;
            break;
        }
        sleep(Duration::from_millis(5));
    }
    let crashed = !killed && balancer.has_ended();
    sleep(Duration::from_millis(100));
    end.store(true, Ordering::Relaxed);
    let results: Vec<(u32, u32)> = usual
        .into_iter()
        .map(|client| client.join().unwrap())
        .collect();
    let answered: u32 = results.iter().map(|result| result.0).sum();
    let lost: u32 = results.iter().map(|result| result.1).sum();
    record(format!(
        "usual clients: {answered} requests were answered, {lost} were not"
    ));
    balancer.end();
    if killed || crashed {
        let how = if killed {
            "was killed for memory"
        } else {
            "ended by itself"
        };
        finish(
            BROKEN,
            &format!("the balancer {how}; {lost} requests of usual clients got no answer"),
        );
    }
    if lost > 0 {
        finish(
            BROKEN,
            &format!("{lost} requests of usual clients got no answer"),
        );
    }
    finish(
        HELD,
        &format!("the balancer stayed within {limit} KiB; all {answered} requests were answered"),
    );
}
