//! Tests that clients that read nothing of their long values leave connections to the caches for
//! other clients.

mod common;

use common::scripted_cache::{config, request, response, start_caches, start_program};
use common::{connect, read_until};
use socket2::SockRef;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// Length of a value that the socket buffers do not hold.
const LENGTH: usize = 4 << 20;
/// More readers than the program has connections to caches.
const READERS: usize = 170;
const DESCRIPTORS: u64 = 512;
const TIMEOUT: Duration = Duration::from_secs(20);

fn send_read(client: &mut TcpStream, id: &str) {
    let command = request("read", id, TIMEOUT, None);
    client.write_all(command.as_bytes()).unwrap();
}

#[test]
fn clients_that_read_nothing_do_not_starve_one_that_reads() {
    let (caches, _log) = start_caches(4, |exchange| {
        let is_long = exchange.words[2].starts_with("long");
        let length = if is_long { LENGTH } else { 1 };
        exchange.write(&response(&"v".repeat(length)));
    });
    let (program, _config) = start_program("slow-readers", &config(&caches, 64, DESCRIPTORS));
    let mut usual = program.client();
    let mut first_bytes = Vec::new();
    let mut readers = Vec::new();
    for number in 0..READERS {
        send_read(&mut usual, &format!("usual-{number}"));
        assert_eq!(read_until(&mut usual, "\r\n"), "$1\r\n", "{number} readers");
        read_until(&mut usual, "v\r\n");
        let mut reader = connect(&program.address);
        SockRef::from(&reader).set_recv_buffer_size(4_096).unwrap();
        send_read(&mut reader, &format!("long-{number}"));
        let mut byte = [0];
        reader.read_exact(&mut byte).unwrap();
        first_bytes.push(byte[0]);
        readers.push(reader);
    }
    // Most values have begun, and the last readers were rejected.
    assert!(first_bytes.contains(&b'$') && first_bytes.ends_with(b"-"));
}
