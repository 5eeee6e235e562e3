//! A balancer is drained while a client still reads a long value and sends its next request on the
//! same connection. Does the client get the whole value?

#[path = "../common.rs"]
mod common;

use common::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::Duration;

const ROUNDS: u32 = 3;
/// Length of the long value.
const LONG_VALUE: usize = 1024 * 1024;
/// The client reads this many bytes, then pauses: it takes some 3 s for the whole value.
const STEP: usize = 32 * 1024;
const STEP_PAUSE: Duration = Duration::from_millis(90);
/// Time from the long request to the drain.
const UNTIL_DRAIN: Duration = Duration::from_millis(300);
/// Time from the drain to the client's next request.
const UNTIL_NEXT: Duration = Duration::from_millis(700);
/// Time without a byte after which a client counts the answer as never finished.
const SILENCE: Duration = Duration::from_secs(5);

fn behave(received: &Received, stream: &mut TcpStream) -> bool {
    let length = if received.key.starts_with('b') {
        LONG_VALUE
    } else {
        4
    };
    let whole = stream.write_all(&served(&vec![b'v'; length])).is_ok();
    record(format!(
        "tile cache: the answer to {} {}",
        received.id,
        if whole {
            "is written whole"
        } else {
            "can't be written"
        }
    ));
    true
}

fn request(key: &str, id: &str) -> Vec<u8> {
    command(&[
        b"C.GET",
        key.as_bytes(),
        id.as_bytes(),
        b"c=tile-read,t=kvemo-tetri,d=600",
    ])
}

/// One round: returns whether the long value was cut off.
fn is_cut_off(balancer: &Balancer, round: u32) -> bool {
    let mut client = balancer.client();
    let _ = client.set_read_timeout(Some(SILENCE));
    let long = format!("long-{round}");
    let next = format!("next-{round}");
    let key = format!("b{round:015x}");
    prepared(
        client.write_all(&request(&key, &long)),
        "the client can't send",
    );
    record(format!("client: {long} is sent"));
    let mut writer = prepared(
        client.try_clone(),
        "the client's connection can't be shared",
    );
    let sender = spawn(move || {
        sleep(UNTIL_DRAIN + UNTIL_NEXT);
        let sent = writer.write_all(&request("c000000000000001", &next));
        record(format!(
            "client: {next} is sent on the same connection ({sent:?})"
        ));
    });
    let reader = spawn(move || {
        let answer = read_answer(&mut client, STEP, STEP_PAUSE);
        (client, answer)
    });
    sleep(UNTIL_DRAIN);
    if with_trouble() {
        let status = balancer.admin("POST /admin/quiesce");
        record(format!("operator: POST /admin/quiesce: {status}"));
    }
    let _ = sender.join();
    let (mut client, answer) = reader.join().unwrap();
    record(format!("client: {long} got {answer:?}"));
    let cut_off = answer != Answer::Value(LONG_VALUE);
    if !cut_off {
        // Unread at the close of the connection, this request is sent again elsewhere.
        let answer = read_answer(&mut client, STEP, Duration::ZERO);
        record(format!("client: next-{round} got {answer:?}"));
    }
    close(&client);
    if with_trouble() {
        let status = balancer.admin("POST /admin/resume");
        record(format!("operator: POST /admin/resume: {status}"));
        sleep(Duration::from_millis(500));
    }
    cut_off
}

fn main() {
    begin("review/3");
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
    let cut_off = (0..ROUNDS)
        .filter(|round| is_cut_off(&balancer, *round))
        .count();
    balancer.end();
    if cut_off > 0 {
        finish(
            BROKEN,
            &format!("{cut_off} of {ROUNDS} long values were cut off"),
        );
    }
    finish(HELD, &format!("all {ROUNDS} long values arrived whole"));
}
