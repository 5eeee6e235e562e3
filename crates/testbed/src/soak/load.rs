//! Load beside the usual clients of a soak: floods at full speed, and crowds of clients that hold
//! connections. The load itself is not checked; the usual clients and the balancer are.

use super::connections::Clock;
use super::records::{MS, Nanos};
use crate::simulated_services::resp::encode_command;
use socket2::{Domain, SockRef, Socket, Type};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// What the clients of a load do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadKind {
    /// Unknown commands, at full speed.
    UnknownCommands,
    /// Requests of ever new classes, tenants and fields, at full speed.
    NewNames,
    /// Input that can't be parsed, again on each new connection.
    Malformed,
    /// Reads with nearly a thousand short fields, eight at a time.
    ManyFields,
    /// Reads of long values that are not read.
    UnreadLongValues,
    /// Writes of which the end is missing.
    HalfWritten,
    /// Nothing.
    Idle,
}

impl LoadKind {
    /// All kinds.
    pub const ALL: [LoadKind; 7] = [
        LoadKind::UnknownCommands,
        LoadKind::NewNames,
        LoadKind::Malformed,
        LoadKind::ManyFields,
        LoadKind::UnreadLongValues,
        LoadKind::HalfWritten,
        LoadKind::Idle,
    ];

    /// Returns whether the clients send as fast as the balancer reads.
    #[must_use]
    pub fn is_flood(self) -> bool {
        matches!(
            self,
            LoadKind::UnknownCommands | LoadKind::NewNames | LoadKind::Malformed
        )
    }

    /// Returns the next bytes of a client; `number` differs for each call.
    fn commands(self, number: u64) -> Vec<u8> {
        let id = format!("load{number:x}");
        let key = format!("{:016x}", number % HUGE_KEYS);
        let read = |fields: &str| {
            let words = [b"C.GET", key.as_bytes(), id.as_bytes(), fields.as_bytes()];
            encode_command(&words)
        };
        match self {
            LoadKind::UnknownCommands => encode_command(&[b"FOO", b"bar"]).repeat(FLOOD_BATCH),
            LoadKind::NewNames => (0..FLOOD_BATCH)
                .flat_map(|n| {
                    read(&format!(
                        "c=x{number}-{n},t=t{number}-{n},y{number}=1,d=900"
                    ))
                })
                .collect(),
            LoadKind::Malformed => b"*2\r\n$-7\r\n?\r\n".repeat(FLOOD_BATCH),
            LoadKind::ManyFields => {
                let fields = format!("c=read,{}d=900", "a=b,".repeat(950));
                let commands = (0..8).map(|n| {
                    let id = format!("{id}-{n}");
                    let words = [b"C.GET", &b"ffff"[..], id.as_bytes(), fields.as_bytes()];
                    encode_command(&words)
                });
                commands.flatten().collect()
            }
            LoadKind::UnreadLongValues => read("c=read,d=900"),
            LoadKind::HalfWritten => {
                let value = vec![b'v'; 60_000];
                let words = [
                    b"C.SET",
                    key.as_bytes(),
                    id.as_bytes(),
                    b"c=put,d=900,k=1",
                    &value,
                ];
                let mut command = encode_command(&words);
                command.truncate(command.len() - 100);
                command
            }
            LoadKind::Idle => Vec::new(),
        }
    }
}

/// Number of commands that a flood sends at a time.
const FLOOD_BATCH: usize = 100;
/// Number of keys with long values.
pub const LONG_KEYS: u64 = 40;
/// Number of keys with values that socket buffers do not hold, in plans with a crowd.
pub const HUGE_KEYS: u64 = 8;
/// Pause between two rounds of a flood over its connections.
const ROUND_PAUSE: Duration = Duration::from_micros(200);
/// Receive buffer of a client that does not read, in bytes.
const RECEIVE_BUFFER: usize = 4_096;

/// Clients of a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// What they do.
    pub kind: LoadKind,
    /// Number of connections.
    pub connections: usize,
    /// Time for which they stay.
    pub span: Nanos,
}

/// Connection of a load, with the bytes that are not written yet.
struct LoadClient {
    stream: TcpStream,
    unwritten: Vec<u8>,
}

impl LoadClient {
    fn connect(address: SocketAddr) -> Option<Self> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).ok()?;
        socket.set_recv_buffer_size(RECEIVE_BUFFER).ok()?;
        socket
            .connect_timeout(&address.into(), Duration::from_millis(20))
            .ok()?;
        socket.set_nonblocking(true).ok()?;
        Some(LoadClient {
            stream: socket.into(),
            unwritten: Vec::new(),
        })
    }

    /// Writes what the balancer accepts. Returns whether the connection is open.
    fn write(&mut self) -> bool {
        while !self.unwritten.is_empty() {
            match self.stream.write(&self.unwritten) {
                Ok(count) => drop(self.unwritten.drain(..count)),
                Err(e) => return e.kind() == ErrorKind::WouldBlock,
            }
        }
        true
    }

    /// Reads and discards what has arrived. Returns whether the connection is open.
    fn read(&mut self) -> bool {
        let mut bytes = [0; 64 * 1024];
        match self.stream.read(&mut bytes) {
            Ok(count) => count > 0,
            Err(e) => e.kind() == ErrorKind::WouldBlock,
        }
    }
}

/// Runs a load against the balancer at `address` until its end. The connections are then reset.
pub fn run(load: Load, address: SocketAddr, clock: Clock) {
    let end = clock.now() + load.span;
    let mut clients: Vec<LoadClient> = Vec::new();
    let mut sent = 0;
    while clock.now() < end {
        if clients.len() < load.connections
            && let Some(mut client) = LoadClient::connect(address)
        {
            client.unwritten = load.kind.commands(sent);
            sent += 1;
            clients.push(client);
        }
        for client in &mut clients {
            if load.kind.is_flood() && client.unwritten.is_empty() {
                client.unwritten = load.kind.commands(sent);
                sent += 1;
            }
        }
        let reads = load.kind != LoadKind::UnreadLongValues;
        clients.retain_mut(|client| client.write() && (!reads || client.read()));
        std::thread::sleep(ROUND_PAUSE);
    }
    for client in clients {
        let _ = SockRef::from(&client.stream).set_linger(Some(Duration::ZERO));
    }
}

/// Minimum and exclusive maximum of the time for which a load stays.
pub const SPAN_RANGE: std::ops::Range<Nanos> = 800 * MS..2_500 * MS;
