//! Tests of which connections are closed because they are idle, silent or have an incomplete
//! command.

use super::{open_connections, readable, start_listener};
use crate::counters::Counters;
use crate::listener::CLOSE_TIMEOUT;
use crate::listener::resp::idle_reaper::{COMMAND_TIMEOUT, IDLE_TIMEOUT, TRIM_IDLE_MIN};
use std::io::{Read, Write};
use std::net::TcpStream;

#[test]
fn silent_incomplete_and_idle_clients_are_closed_in_time() {
    let (mut listener, connect) = start_listener(20);
    let (mut counters, mut events) = (Counters::default(), Vec::new());
    let mut clients: Vec<TcpStream> = (0..3).map(|_| connect()).collect();
    listener.accept(0, &mut counters);
    clients[1].write_all(b"*2\r\n$5").unwrap();
    let mut unread = connect();
    listener.accept(0, &mut counters);
    unread.write_all(b"*1\r\n$4\r\nPING\r\n").unwrap();
    clients[2].write_all(b"*1\r\n$4\r\nPING\r\n").unwrap();
    for number in 0..3 {
        let ready = readable(number);
        listener.handle_ready(1, ready, &mut events, &mut counters);
    }
    listener.reap(COMMAND_TIMEOUT - 1, &mut events, &mut counters);
    assert_eq!(listener.connections.len(), 4);
    listener.reap(COMMAND_TIMEOUT, &mut events, &mut counters);
    assert_eq!(
        (open_connections(&listener), counters.clients_incomplete),
        (vec![2, 3], 2),
        "the command on connection 3 has arrived and is only unread"
    );
    drop(listener.connections.remove(&3));
    let mut text = String::new();
    clients[1].read_to_string(&mut text).unwrap();
    assert_eq!(text, "-ERR the command did not end in time\r\n");
    listener.reap(IDLE_TIMEOUT, &mut events, &mut counters);
    assert_eq!(
        (open_connections(&listener), counters.clients_idle),
        (vec![2], 0),
        "the connection has been idle for 1 ns less than the timeout"
    );
    listener.set_connections_max(1);
    listener.reap(IDLE_TIMEOUT, &mut events, &mut counters);
    assert_eq!(
        (open_connections(&listener), counters.clients_idle),
        (vec![], 1),
        "more than half of the connections are in use"
    );
    // The clients do not close their connections: the close timeout does.
    listener.reap(IDLE_TIMEOUT + CLOSE_TIMEOUT - 1, &mut events, &mut counters);
    assert_eq!(
        listener.connections.keys().copied().collect::<Vec<_>>(),
        [2]
    );
    listener.reap(IDLE_TIMEOUT + CLOSE_TIMEOUT, &mut events, &mut counters);
    assert!(listener.connections.is_empty());
}

#[test]
fn command_timeout_starts_with_the_first_byte() {
    let (mut listener, connect) = start_listener(9);
    let (mut counters, mut events) = (Counters::default(), Vec::new());
    let mut client = connect();
    listener.accept(0, &mut counters);
    let ready = readable(0);
    client.write_all(b"*1\r\n$4\r\nPING\r\n").unwrap();
    listener.handle_ready(0, ready, &mut events, &mut counters);
    client.write_all(b"*1\r\n$4").unwrap();
    listener.handle_ready(COMMAND_TIMEOUT - 1, ready, &mut events, &mut counters);
    for (now, open) in [
        (2 * COMMAND_TIMEOUT - 2, true),
        (2 * COMMAND_TIMEOUT - 1, false),
    ] {
        listener.reap(now, &mut events, &mut counters);
        assert_eq!(
            open_connections(&listener).len(),
            usize::from(open),
            "{now}"
        );
    }
}

#[test]
fn longest_idle_connections_are_closed_above_the_trim_percentage() {
    let (mut listener, connect) = start_listener(10);
    let (mut counters, mut events) = (Counters::default(), Vec::new());
    let mut clients = Vec::new();
    for number in 0..6 {
        let mut client = connect();
        listener.accept(number, &mut counters);
        client.write_all(b"*1\r\n$4\r\nPING\r\n").unwrap();
        clients.push(client);
        let ready = readable(number);
        listener.handle_ready(number, ready, &mut events, &mut counters);
    }
    listener.reap(TRIM_IDLE_MIN - 1, &mut events, &mut counters);
    assert_eq!(
        listener.connections.len(),
        6,
        "the connections are not idle long enough"
    );
    listener.reap(TRIM_IDLE_MIN + 9, &mut events, &mut counters);
    assert_eq!(open_connections(&listener), [2, 3, 4, 5]);
}
