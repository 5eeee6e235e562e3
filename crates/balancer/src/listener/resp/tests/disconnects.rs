//! Tests of clients that disconnect while their connection is not read.

use super::{read_request, readable, start_listener};
use crate::counters::Counters;
use crate::listener::resp::ListenerEvent;
use crate::listener::resp::connection::{PENDING_RESPONSES_MAX, UNSENT_MAX};
use crate::listener::resp::input::INPUT_MAX;
use rstest::rstest;
use socket2::SockRef;
use std::io::Write;
use std::time::Duration;

/// Reason why a connection with a pending response is not read.
#[derive(Clone, Copy, Debug)]
enum NotRead {
    FramingLost,
    InputFull,
    OutputUnsent,
}

#[rstest]
fn disconnect_is_noticed_while_the_connection_is_not_read(
    #[values(NotRead::FramingLost, NotRead::InputFull, NotRead::OutputUnsent)] not_read: NotRead,
    #[values(false, true)] reset: bool,
) {
    let (mut listener, connect) = start_listener(9);
    let (mut counters, mut events) = (Counters::default(), Vec::new());
    let mut client = connect();
    listener.accept(0, &mut counters);
    let command = read_request(9);
    let requests = match not_read {
        NotRead::FramingLost => {
            client
                .write_all(&[&command[..], b"*x\r\n"].concat())
                .unwrap();
            1
        }
        // More input arrives than may be pending and unparsed; the remaining bytes stay in the
        // socket.
        NotRead::InputFull => {
            client
                .write_all(&command.repeat(PENDING_RESPONSES_MAX + INPUT_MAX / command.len() + 100))
                .unwrap();
            PENDING_RESPONSES_MAX
        }
        NotRead::OutputUnsent => {
            client.write_all(&command).unwrap();
            1
        }
    };
    let ready = readable(0);
    while listener.connections[&0].reads_input() {
        listener.handle_ready(0, ready, &mut events, &mut counters);
        if matches!(not_read, NotRead::OutputUnsent) {
            // Reading stops when this many bytes are unsent.
            listener.connections.get_mut(&0).unwrap().output = vec![0; UNSENT_MAX];
        }
    }
    assert_eq!(events.drain(..).count(), requests);
    listener.reap(1, &mut events, &mut counters);
    assert_eq!(
        (events.len(), counters.disconnects_while_unread),
        (0, 0),
        "the client is still connected"
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
        (requests, 1, true)
    );
}
