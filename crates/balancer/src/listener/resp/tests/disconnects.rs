//! Clients that disconnect unread.

use super::{read_request, readable, start_listener};
use crate::counters::Counters;
use crate::listener::resp::ListenerEvent;
use crate::listener::resp::connection::{PENDING_RESPONSES_MAX, UNSENT_MAX};
use crate::listener::resp::input::INPUT_MAX;
use rstest::rstest;
use socket2::SockRef;
use std::io::Write;
use std::time::Duration;

/// How a connection comes to be read no more while an answer is owed on it.
#[derive(Clone, Copy, Debug)]
enum Unread {
    Garbled,
    Full,
    Owed,
}

#[rstest]
fn disconnect_is_noticed_while_the_connection_is_not_read(
    #[values(Unread::Garbled, Unread::Full, Unread::Owed)] unread: Unread,
    #[values(false, true)] reset: bool,
) {
    let (mut listener, connect) = start_listener(9);
    let (mut counters, mut events) = (Counters::default(), Vec::new());
    let mut client = connect();
    listener.accept(0, &mut counters);
    let command = read_request(9);
    let taken = match unread {
        Unread::Garbled => {
            client
                .write_all(&[&command[..], b"*x\r\n"].concat())
                .unwrap();
            1
        }
        // Behind the most that may be owed more has come than is kept, and the rest is in the
        // socket.
        Unread::Full => {
            client
                .write_all(&command.repeat(PENDING_RESPONSES_MAX + INPUT_MAX / command.len() + 100))
                .unwrap();
            PENDING_RESPONSES_MAX
        }
        Unread::Owed => {
            client.write_all(&command).unwrap();
            1
        }
    };
    let ready = readable(0);
    while listener.connections[&0].reads_input() {
        listener.handle_ready(0, ready, &mut events, &mut counters);
        if matches!(unread, Unread::Owed) {
            // More is unsent than a client may leave untaken.
            listener.connections.get_mut(&0).unwrap().output = vec![0; UNSENT_MAX];
        }
    }
    assert_eq!(events.drain(..).count(), taken);
    listener.reap(1, &mut events, &mut counters);
    assert_eq!(
        (events.len(), counters.disconnects_while_unread),
        (0, 0),
        "it is still there"
    );
    if reset {
        SockRef::from(&client)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
    }
    drop(client);
    listener.reap(2, &mut events, &mut counters);
    assert!(
        events
            .iter()
            .all(|event| matches!(event, ListenerEvent::ClientDisconnected(_)))
    );
    assert_eq!(
        (
            events.len(),
            counters.disconnects_while_unread,
            listener.connections.is_empty()
        ),
        (taken, 1, true)
    );
}
