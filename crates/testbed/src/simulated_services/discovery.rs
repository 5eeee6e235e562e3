//! Simulated discovery service: serves an endpoint list over HTTP, once or as a watch. The caches'
//! addresses may differ between balancers, which reach the caches through proxies of their own.

use super::TcpService;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Interval at which a watch polls the list for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Number of polls without a change after which a watch sends an empty line as keep-alive.
const POLLS_UNTIL_KEEPALIVE: u32 = 40;
/// Maximum length of a request head, in bytes.
const HEAD_MAX: usize = 8 * 1024;

/// Entry of a cache in the endpoint list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedHost {
    /// Health state on the wire: `in_service` or `terminating`.
    pub health: &'static str,
    /// Time of the cache's last start, in Unix milliseconds; 0 for a cache that has long been warm.
    pub born_ms: u64,
}

/// Endpoint list with its version, shared by all discovery servers.
#[derive(Clone, Default)]
pub struct EndpointList(Arc<Mutex<(u64, BTreeMap<String, ListedHost>)>>);

impl EndpointList {
    fn lock(&self) -> MutexGuard<'_, (u64, BTreeMap<String, ListedHost>)> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds or replaces the entry of a cache.
    pub fn insert(&self, name: &str, host: ListedHost) {
        let mut list = self.lock();
        list.0 += 1;
        list.1.insert(name.into(), host);
    }

    /// Removes the entry of a cache.
    pub fn remove(&self, name: &str) {
        let mut list = self.lock();
        list.0 += 1;
        list.1.remove(name);
    }

    /// Returns the version and the full list as one line of JSON, or `None` if the version is not
    /// newer than `sent_version`. `dial` returns the address of a cache; caches without one are
    /// left out.
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

/// Discovery server of one balancer. Dropping it closes the listener and all connections.
pub struct Discovery {
    _service: TcpService,
}

impl Discovery {
    /// Serves the list at an address. `dial` returns the address at which the balancer reaches a
    /// cache.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
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

/// Answers one request with the list, and with each newer version if the request asks for a watch.
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
    let (mut sent_version, mut unchanged_polls) = (0, 0);
    loop {
        match list.encode_if_newer(sent_version, dial) {
            Some((version, line)) => {
                (sent_version, unchanged_polls) = (version, 0);
                write!(stream, "{:x}\r\n{line}\n\r\n", line.len() + 1)?;
            }
            None if unchanged_polls >= POLLS_UNTIL_KEEPALIVE => {
                unchanged_polls = 0;
                stream.write_all(b"1\r\n\n\r\n")?;
            }
            None => unchanged_polls += 1,
        }
        if !watch {
            return stream.write_all(b"0\r\n\r\n");
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}
