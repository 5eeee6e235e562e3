//! Tests many long values for clients that do not read: the process buffers only a small part of
//! them, and each value arrives complete once it is read.

mod common;

use common::{ConfigFile, Program, resp_command};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpListener;

/// Length of each value, in bytes.
const LENGTH: usize = 4 << 20;
const CLIENTS: usize = 16;
/// Number of pipelined commands per client. The values behind the first one wait in the process,
/// not in the socket buffers.
const COMMANDS: usize = 4;
/// Memory limit of the process in MB, far less than the total of the values (256 MB).
const MEMORY: usize = 16;

/// Starts a cache that responds to each command with a long value. Returns its address.
fn start_cache() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || {
                let mut lines = BufReader::new(stream.try_clone().unwrap())
                    .lines()
                    .map_while(Result::ok);
                // A command of four words has nine lines.
                while lines.nth(8).is_some() {
                    let mut response = format!("*3\r\n${LENGTH}\r\n").into_bytes();
                    response.extend(vec![b'v'; LENGTH]);
                    response.extend(b"\r\n$3\r\nhit\r\n$-1\r\n");
                    if stream.write_all(&response).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

#[test]
fn long_values_for_clients_that_do_not_read_hold_little_memory_and_arrive_whole() {
    let hosts = (0..4).map(|n| format!(r#"{{"host":"s-{n}","dial":"{}"}}"#, start_cache()));
    let text = format!(
        r#"{{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","limits":{{"memory_mb":{MEMORY},"sockets":512}},
        "known":{{"seq":1,"whole":true,"hosts":[{}]}},"settings":{{"group_size":1,"membership_mode":"subscribe",
        "profiles":[{{"name":"read","repeat":"safe","goal_time_ns":9000000000,"give_up_ns":30000000000}}]}}}}"#,
        hosts.collect::<Vec<_>>().join(",")
    );
    let config = ConfigFile::write("long-values", &text);
    let program = Program::start(config.path(), &[]);
    let value_header = format!("${LENGTH}\r\n");
    // All values have begun to arrive before any is read further.
    let clients = (0..CLIENTS).map(|n| {
        let mut client = program.client();
        for command in 0..COMMANDS {
            let id = format!("{n:02}{command:02}");
            let command = resp_command(&["C.GET", &id, &id, "c=read,d=30000"]);
            client.write_all(command.as_bytes()).unwrap();
        }
        let mut received = vec![0; value_header.len()];
        client.read_exact(&mut received).unwrap();
        assert_eq!(String::from_utf8(received).unwrap(), value_header);
        client
    });
    for mut client in clients.collect::<Vec<_>>() {
        for command in 0..COMMANDS {
            let mut received = vec![0; if command > 0 { value_header.len() } else { 0 }];
            client.read_exact(&mut received).unwrap();
            assert!(
                command == 0 || received == value_header.as_bytes(),
                "{}",
                received.escape_ascii()
            );
            let mut value = vec![0; LENGTH + 2];
            client.read_exact(&mut value).unwrap();
            assert!(value[..LENGTH].iter().all(|b| *b == b'v') && value.ends_with(b"\r\n"));
        }
    }
    let status = std::fs::read_to_string(format!("/proc/{}/status", program.process.id())).unwrap();
    let peak = status
        .lines()
        .find_map(|l| l.strip_prefix("VmHWM:")?.trim().strip_suffix(" kB"));
    let peak: usize = peak
        .expect("the status has the peak memory")
        .parse()
        .unwrap();
    assert!(peak < MEMORY << 10, "the peak memory is {peak} kB");
}
