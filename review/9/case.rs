//! A client that sends the id of another client's open request is served, although it is owed an
//! error, if the answer to the open request has come from its tile cache and has not reached its
//! client.

#[path = "../harness-2.rs"]
mod harness;

use harness::{
    Balancer, CacheCommand, Case, Client, Config, Discovery, Host, Reply, encode, run, served,
    sleep_ms, start_cache,
};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::time::Duration;

/// Key of a long value, which its tile cache gives in two pieces.
const LONG_KEY: &str = "7f3a9c21e0b4d651";
const LONG_VALUE_LENGTH: usize = 256 * 1024;
const FIRST_PIECE_LENGTH: usize = 64 * 1024;
const PIECE_PAUSE_MS: u64 = 400;
/// Key of a tile that has to be fetched from the slow map store.
const SLOW_KEY: &str = "7f3a9c21e0b4d652";
const FETCH_MS: u64 = 250;
/// Key of a tile that its cache has.
const CACHED_KEY: &str = "7f3a9c21e0b4d653";
const HIT_MS: u64 = 20;
/// Time between the open request and the request of the second client.
const SECOND_CLIENT_AFTER_MS: u64 = 120;
/// Number of rounds with a long value, and with two commands at once.
const ROUNDS: usize = 2;

fn main() -> ExitCode {
    run(check)
}

fn check(case: &Case) -> u8 {
    let hosts = (1..=3).map(|number| start_host(case, number)).collect();
    let discovery = Discovery::start(&case.record, hosts);
    let config = Config::new(discovery.address);
    let path = case.folder.join("config.json");
    let mut balancer = Balancer::start(case, &config, &path, &[]);
    balancer.wait_ready();
    let mut served_count = 0;
    for round in 0..ROUNDS {
        let long_id = format!("9b1f03aa5c7e2d1{round}");
        let keys = [LONG_KEY];
        served_count += usize::from(play(case, balancer.listen, &keys, &[&long_id]));
        let slow_id = format!("9b1f03aa5c7e2d2{round}");
        let cached_id = format!("9b1f03aa5c7e2d3{round}");
        let keys = [SLOW_KEY, CACHED_KEY];
        let ids = [slow_id.as_str(), cached_id.as_str()];
        served_count += usize::from(play(case, balancer.listen, &keys, &ids));
    }
    case.record.add(format!(
        "{served_count} of {} requests with the id of an open request were served",
        2 * ROUNDS
    ));
    if served_count > 0 {
        harness::BROKEN
    } else {
        harness::HELD
    }
}

fn start_host(case: &Case, number: usize) -> Host {
    let record = case.record.clone();
    let dial = start_cache(move |command, stream| {
        let key = command.word(1);
        record.add(format!(
            "tile cache {number} runs {} for {key}",
            command.id()
        ));
        answer(command, stream)
    });
    Host::new(&format!("s-{number}"), dial)
}

fn answer(command: &CacheCommand, stream: &mut TcpStream) -> Option<()> {
    match command.word(1).as_str() {
        LONG_KEY => {
            let bytes = served(&vec![b'x'; LONG_VALUE_LENGTH]);
            stream.write_all(&bytes[..FIRST_PIECE_LENGTH]).ok()?;
            sleep_ms(PIECE_PAUSE_MS);
            stream.write_all(&bytes[FIRST_PIECE_LENGTH..]).ok()
        }
        SLOW_KEY => {
            sleep_ms(FETCH_MS);
            stream.write_all(&served(b"fetched tile")).ok()
        }
        _ => {
            sleep_ms(HIT_MS);
            stream.write_all(&served(b"cached tile")).ok()
        }
    }
}

/// Has one client send reads at once, and another one the id of the last of them while that is open.
/// Without the disruption the second client sends an id of its own. Returns whether the id of the
/// open request was served to the second client.
fn play(case: &Case, listen: SocketAddr, keys: &[&str], ids: &[&str]) -> bool {
    let mut client = Client::connect(listen);
    let commands = keys.iter().zip(ids).map(|(key, id)| read(key, id));
    let commands: Vec<u8> = commands.flatten().collect();
    client
        .stream
        .write_all(&commands)
        .expect("the client can send");
    case.record
        .add(format!("client 1 sends {}", ids.join(" and ")));
    sleep_ms(SECOND_CLIENT_AFTER_MS);
    let open_id = ids.last().copied().unwrap_or_default();
    let second_id = if case.trouble {
        open_id.to_string()
    } else {
        format!("{open_id}0")
    };
    let mut second_client = Client::connect(listen);
    second_client
        .stream
        .write_all(&read(CACHED_KEY, &second_id))
        .expect("the client can send");
    case.record
        .add(format!("client 2 sends {second_id}; {open_id} is open"));
    let second_reply = second_client.reply(Duration::from_secs(3));
    case.record
        .add(format!("answer to client 2: {second_reply}"));
    for id in ids {
        let reply = client.reply(Duration::from_secs(2));
        case.record
            .add(format!("answer to client 1, {id}: {reply}"));
    }
    second_id == open_id && matches!(second_reply, Reply::Value(_))
}

fn read(key: &str, id: &str) -> Vec<u8> {
    let fields = b"c=tile-read,t=kvemo-tetri,d=600";
    encode(&[b"C.GET", key.as_bytes(), id.as_bytes(), fields])
}
