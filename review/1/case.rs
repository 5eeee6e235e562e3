//! A tile cache resets its connection under a long value. Is another request, whose commands came
//! before on the same client connection, still answered?

#[path = "../common.rs"]
mod common;

use common::*;
use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

const ROUNDS: u32 = 5;
/// Time that a tile cache works on a publication.
const PUBLICATION_TIME: Duration = Duration::from_millis(110);
/// Length of the long value: over 64 KiB, so that it is streamed.
const LONG_VALUE: usize = 256 * 1024;
/// Bytes of it that are sent before the reset.
const BEFORE_RESET: usize = 64 * 1024;
/// Time between these bytes and the reset, or the other bytes.
const PAUSE: Duration = Duration::from_millis(20);
/// Time that the client waits for its publication, as field `d` tells, and the slack of the rule.
const CLIENT_TIME: Duration = Duration::from_millis(2_500);
const SLACK: Duration = Duration::from_millis(500);

/// Returns whether the balancer has closed the connection. Work stops when its request is cancelled.
fn has_given_up(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let closed = !matches!(stream.peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock);
    let _ = stream.set_nonblocking(false);
    closed
}

/// A tile cache: it works on publications, and sends long values for reads.
fn behave(received: &Received, stream: &mut TcpStream) -> bool {
    if received.name == "C.SET" {
        sleep(PUBLICATION_TIME);
        if has_given_up(stream) {
            record(format!(
                "tile cache: the balancer gave up request {} while it ran",
                received.id
            ));
            return true;
        }
        let _ = stream.write_all(&served(b"receipt"));
        record(format!(
            "tile cache: the receipt of request {} is written",
            received.id
        ));
        return true;
    }
    let value = vec![b'v'; LONG_VALUE];
    let head = [&served_head(LONG_VALUE)[..], &value[..BEFORE_RESET]].concat();
    if stream.write_all(&head).is_err() {
        return true;
    }
    sleep(PAUSE);
    if with_trouble() {
        return false;
    }
    let _ = stream.write_all(&[&value[BEFORE_RESET..], SERVED_TAIL].concat());
    true
}

fn main() {
    begin("review/1");
    let behaviour: Arc<Behaviour> = Arc::new(behave);
    let caches: Vec<_> = ["s-1", "s-2", "s-3"]
        .into_iter()
        .map(|name| (name, start_cache(name, Arc::clone(&behaviour))))
        .collect();
    let discovery = start_discovery(&caches);
    let limits = Limits {
        memory_mb: 192,
        sockets: 1024,
    };
    let balancer = Balancer::start(&caches, discovery, limits);
    let mut unanswered = 0;
    for round in 0..ROUNDS {
        let mut client = balancer.client();
        let _ = client.set_read_timeout(Some(CLIENT_TIME + SLACK));
        let (publication, read) = (format!("publication-{round}"), format!("read-{round}"));
        let key = format!("{:016x}", 0xa100 + round);
        let long_key = format!("{:016x}", 0xb200 + round);
        let publish = command(&[
            b"C.SET",
            key.as_bytes(),
            publication.as_bytes(),
            b"c=map-publish,t=kvemo-tetri,d=2500",
            b"map",
        ]);
        let fetch = command(&[
            b"C.GET",
            long_key.as_bytes(),
            read.as_bytes(),
            b"c=tile-read,t=kvemo-tetri,d=600",
        ]);
        let sent = Instant::now();
        prepared(
            client.write_all(&[publish, fetch].concat()),
            "the client can't send",
        );
        record(format!(
            "client: {publication} and {read} are sent on one connection"
        ));
        let first = read_answer(&mut client, LONG_VALUE, Duration::ZERO);
        record(format!(
            "client: {publication} got {first:?} after {} ms",
            sent.elapsed().as_millis()
        ));
        if matches!(first, Answer::NotWhole { .. }) {
            unanswered += 1;
        } else {
            // The read may fail: its value may be cut off visibly. That breaks no rule.
            let second = read_answer(&mut client, LONG_VALUE, Duration::ZERO);
            record(format!("client: {read} got {second:?}"));
            if !with_trouble() && second != Answer::Value(LONG_VALUE) {
                finish(NOT_RUN, "the read failed without a disruption");
            }
        }
        close(&client);
        sleep(Duration::from_millis(300));
    }
    balancer.end();
    if unanswered > 0 {
        finish(
            BROKEN,
            &format!("{unanswered} of {ROUNDS} publications got no final answer"),
        );
    }
    finish(
        HELD,
        &format!("all {ROUNDS} publications got a final answer"),
    );
}
