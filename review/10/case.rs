//! During an upgrade a client that sends the id of another client's open request is served by the
//! new process, although it is owed an error.

#[path = "../harness-2.rs"]
mod harness;

use harness::{
    Balancer, Case, Client, Config, Discovery, Host, Reply, SIGTERM, encode, free_address,
    make_inheritable, run, served, sleep_ms, start_cache, wait_healthy,
};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::fd::AsRawFd;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

/// Time that a tile cache needs for the read of the usual client: it fetches the tile from the slow
/// map store. The client waits 600 ms.
const FETCH_MS: u64 = 400;
/// Key of the tile that has to be fetched.
const SLOW_KEY: &str = "7f3a9c21e0b4d651";
/// Key that the bad client names.
const OTHER_KEY: &str = "7f3a9c21e0b4d652";
/// Number of rounds, each with an open request and a bad client.
const ROUNDS: usize = 3;

fn main() -> ExitCode {
    run(check)
}

fn check(case: &Case) -> u8 {
    let hosts = (1..=3).map(|number| start_host(case, number)).collect();
    let discovery = Discovery::start(&case.record, hosts);
    let served_count: usize = (0..ROUNDS)
        .map(|round| usize::from(play_round(case, discovery.address, round)))
        .sum();
    case.record.add(format!(
        "{served_count} of {ROUNDS} requests with the id of an open request were served"
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
        sleep_ms(if key == SLOW_KEY { FETCH_MS } else { 20 });
        stream.write_all(&served(key.as_bytes())).ok()
    });
    Host::new(&format!("s-{number}"), dial)
}

/// Starts a balancer, opens a request, upgrades the balancer, and has another client send the id of
/// the open request. Returns whether that client was served.
fn play_round(case: &Case, discovery: SocketAddr, round: usize) -> bool {
    let socket = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port is free");
    make_inheritable(socket.as_raw_fd());
    let mut config = Config::new(discovery);
    config.listen = socket.local_addr().expect("the port is known");
    let folder = case.folder.join(format!("tmp-{round}"));
    std::fs::create_dir_all(&folder).expect("a folder can be created");
    let start = || start_process(case, &config, &folder, socket.as_raw_fd());
    let old = start();
    let mut client = Client::connect(config.listen);
    client.send(&[b"PING"]);
    let _ = client.reply(Duration::from_secs(1));
    let new = case.trouble.then(start);
    let id = format!("9b1f03aa5c7e2d4{round}");
    send_read(&mut client, SLOW_KEY, &id);
    case.record
        .add(format!("client 1 sends {id} on its open connection"));
    sleep_ms(20);
    if new.is_some() {
        old.signal(SIGTERM);
        case.record.add(format!("SIGTERM to {}", old.id()));
        sleep_ms(50);
    }
    let mut bad_client = Client::connect(config.listen);
    send_read(&mut bad_client, OTHER_KEY, &id);
    case.record.add(format!(
        "client 2 sends {id} too, the id of the open request of client 1"
    ));
    let bad_reply = bad_client.reply(Duration::from_secs(3));
    case.record.add(format!("answer to client 2: {bad_reply}"));
    let reply = client.reply(Duration::from_secs(2));
    case.record.add(format!("answer to client 1: {reply}"));
    matches!(bad_reply, Reply::Value(_))
}

fn start_process(case: &Case, config: &Config, folder: &Path, descriptor: i32) -> Balancer {
    let admin = free_address();
    let variables = [
        ("GW_SOCKET_FD", descriptor.to_string()),
        ("GW_MANAGEMENT", admin.to_string()),
        ("TMPDIR", folder.display().to_string()),
    ];
    let path = case.folder.join("config.json");
    let process = Balancer::start(case, config, &path, &variables);
    wait_healthy(admin);
    case.record
        .add(format!("balancer {} is ready", process.id()));
    process
}

fn send_read(client: &mut Client, key: &str, id: &str) {
    let fields = b"c=tile-read,t=kvemo-tetri,d=600";
    let command = encode(&[b"C.GET", key.as_bytes(), id.as_bytes(), fields]);
    client
        .stream
        .write_all(&command)
        .expect("the client can send");
}
