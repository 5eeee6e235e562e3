//! A simulated discovery service: one endpoint list over HTTP, in full or as a watch. Each balancer
//! may get addresses of its own.

use super::TcpService;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// How often a watch looks for changes; an empty line comes after forty looks without one.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const POLLS_UNTIL_KEEPALIVE: u32 = 40;
/// The longest head of a call.
const HEAD_MAX: usize = 8 * 1024;

/// A cache on the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedHost {
    /// `in_service` or `terminating`.
    pub health: &'static str,
    /// When it last started, in Unix milliseconds; 0 for long ago.
    pub born_ms: u64,
}

/// The list, shared by all doors.
#[derive(Clone, Default)]
pub struct EndpointList(Arc<Mutex<(u64, BTreeMap<String, ListedHost>)>>);

impl EndpointList {
    fn lock(&self) -> MutexGuard<'_, (u64, BTreeMap<String, ListedHost>)> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts a cache on the list, or changes what is said of it.
    pub fn insert(&self, name: &str, host: ListedHost) {
        let mut list = self.lock();
        list.0 += 1;
        list.1.insert(name.into(), host);
    }

    /// Takes a cache from the list.
    pub fn remove(&self, name: &str) {
        let mut list = self.lock();
        list.0 += 1;
        list.1.remove(name);
    }

    /// The whole list as it goes over the wire, and its version; `None` if it is not newer than
    /// what was sent before.
    pub fn encode_if_newer(
        &self,
        sent_version: u64,
        dial: &impl Fn(&str) -> Option<SocketAddr>,
    ) -> Option<(u64, String)> {
        let list = self.lock();
        if list.0 <= sent_version {
            return None;
        }
        let hosts: Vec<serde_json::Value> = list
            .1
            .iter()
            .filter_map(|(name, host)| {
                Some(serde_json::json!({
                    "host": name, "dial": dial(name)?.to_string(), "site": "dc-vake", "class": "small-1c",
                    "block": 1, "health": host.health, "share": 1.0, "born_ms": host.born_ms,
                }))
            })
            .collect();
        Some((
            list.0,
            serde_json::json!({"seq": list.0, "whole": true, "hosts": hosts}).to_string(),
        ))
    }
}

/// Discovery as one balancer reaches it; it ends with this.
pub struct Discovery {
    _service: TcpService,
}

impl Discovery {
    /// Tells the list at an address; `dial` is where a cache is reached from there.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    pub fn start(
        address: SocketAddr,
        list: EndpointList,
        dial: impl Fn(&str) -> Option<SocketAddr> + Clone + Send + 'static,
    ) -> io::Result<Self> {
        Ok(Discovery {
            _service: TcpService::start(address, move |stream| serve(stream, &list, &dial))?,
        })
    }
}

fn serve(
    mut stream: TcpStream,
    list: &EndpointList,
    dial: &impl Fn(&str) -> Option<SocketAddr>,
) -> io::Result<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") && head.len() < HEAD_MAX {
        let mut byte = [0];
        stream.read_exact(&mut byte)?;
        head.push(byte[0]);
    }
    let watch = head.windows(8).any(|w| w == b"follow=1");
    stream.write_all(
        b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n",
    )?;
    let (mut sent_version, mut silent) = (0, 0);
    loop {
        match list.encode_if_newer(sent_version, dial) {
            Some((version, line)) => {
                (sent_version, silent) = (version, 0);
                write!(stream, "{:x}\r\n{line}\n\r\n", line.len() + 1)?;
            }
            None if silent >= POLLS_UNTIL_KEEPALIVE => {
                silent = 0;
                stream.write_all(b"1\r\n\n\r\n")?;
            }
            None => silent += 1,
        }
        if !watch {
            return stream.write_all(b"0\r\n\r\n");
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}
