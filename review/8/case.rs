//! A tile cache breaks off a long value. The requests that the client has sent behind it on the same
//! connection, which other caches have run, never get an answer.

#[path = "../harness-2.rs"]
mod harness;

use harness::{
    Balancer, Case, Client, Config, Discovery, Host, Reply, encode, lock, run, served, sleep_ms,
    start_cache,
};
use std::collections::BTreeSet;
use std::io::Write;
use std::net::TcpStream;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Length of the long value in bytes; the pages allow up to 4 MiB.
const VALUE_LENGTH: usize = 200 * 1024;
/// Bytes of the value that the cache sends before it breaks off.
const SENT_LENGTH: usize = 100 * 1024;
/// Time after which the cache goes on with the value, or breaks off. The client waits 600 ms.
const PAUSE_MS: u64 = 400;
/// Number of pipelines that are sent, one after the other.
const PIPELINES: usize = 3;

fn main() -> ExitCode {
    run(check)
}

fn check(case: &Case) -> u8 {
    let ran = Arc::new(Mutex::new(BTreeSet::<String>::new()));
    let hosts = (1..=3)
        .map(|number| start_host(case, &ran, number))
        .collect();
    let discovery = Discovery::start(&case.record, hosts);
    let config = Config::new(discovery.address);
    let path = case.folder.join("config.json");
    let mut balancer = Balancer::start(case, &config, &path, &[]);
    balancer.wait_ready();
    let lost: usize = (0..PIPELINES)
        .map(|number| send_pipeline(case, &balancer, &ran, number))
        .sum();
    case.record.add(format!(
        "{lost} of {PIPELINES} publications ran and were never answered"
    ));
    if lost > 0 {
        harness::BROKEN
    } else {
        harness::HELD
    }
}

fn start_host(case: &Case, ran: &Arc<Mutex<BTreeSet<String>>>, number: usize) -> Host {
    let (record, ran, trouble) = (case.record.clone(), ran.clone(), case.trouble);
    let dial = start_cache(move |command, stream| {
        record.add(format!("tile cache {number} runs {}", command.id()));
        lock(&ran).insert(command.id());
        if command.name() == "C.SET" {
            sleep_ms(80);
            return stream.write_all(&served(b"receipt")).ok();
        }
        send_long_value(stream, trouble)
    });
    Host::new(&format!("s-{number}"), dial)
}

/// Sends a part of a long value, pauses, and sends the rest or closes the connection.
fn send_long_value(stream: &mut TcpStream, trouble: bool) -> Option<()> {
    let answer = served(&vec![b'x'; VALUE_LENGTH]);
    stream.write_all(&answer[..SENT_LENGTH]).ok()?;
    sleep_ms(PAUSE_MS);
    if trouble {
        return None;
    }
    stream.write_all(&answer[SENT_LENGTH..]).ok()
}

/// Sends a read of a long value and a publication behind it. Returns 1 if the publication ran and
/// was not answered.
fn send_pipeline(
    case: &Case,
    balancer: &Balancer,
    ran: &Arc<Mutex<BTreeSet<String>>>,
    number: usize,
) -> usize {
    let read_id = format!("9b1f03aa5c7e2d1{number}");
    let write_id = format!("9b1f03aa5c7e2d2{number}");
    let key = format!("7f3a9c21e0b4d65{number}");
    let read_fields = b"c=tile-read,t=kvemo-tetri,d=600";
    let write_fields = b"c=map-publish,t=kvemo-tetri,d=2500";
    let mut pipeline = encode(&[b"C.GET", key.as_bytes(), read_id.as_bytes(), read_fields]);
    pipeline.extend(encode(&[
        b"C.SET",
        key.as_bytes(),
        write_id.as_bytes(),
        write_fields,
        b"map",
    ]));
    let mut client = Client::connect(balancer.listen);
    client
        .stream
        .write_all(&pipeline)
        .expect("the client can send");
    case.record
        .add(format!("client sends {read_id} and behind it {write_id}"));
    let read_reply = client.reply(Duration::from_secs(2));
    case.record
        .add(format!("answer to {read_id}: {read_reply}"));
    let write_reply = match read_reply {
        Reply::Truncated(_) | Reply::Closed | Reply::Missing => Reply::Closed,
        _ => client.reply(Duration::from_secs(4)),
    };
    case.record
        .add(format!("answer to {write_id}: {write_reply}"));
    let is_unanswered = matches!(
        write_reply,
        Reply::Truncated(_) | Reply::Closed | Reply::Missing
    );
    usize::from(is_unanswered && lock(ran).contains(&write_id))
}
