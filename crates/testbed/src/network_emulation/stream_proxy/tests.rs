//! Tests of `stream_proxy`.

use super::*;
use crate::network_emulation::faults::LinkFaults;

#[test]
fn a_stream_is_forwarded_paused_by_a_cut_resumed_and_reset() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let free_address = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let proxy = StreamProxy::start(free_address, listener.local_addr().unwrap(), 1).unwrap();
    let mut client = TcpStream::connect(free_address).unwrap();
    client
        .set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    let (mut server, _) = listener.accept().unwrap();
    client.write_all(b"there").unwrap();
    let mut bytes = [0; 5];
    server.read_exact(&mut bytes).unwrap();
    proxy.from_target.set(LinkFaults {
        cut: true,
        ..LinkFaults::default()
    });
    std::thread::sleep(3 * POLL_INTERVAL);
    server.write_all(b"later").unwrap();
    client.set_read_timeout(Some(3 * POLL_INTERVAL)).unwrap();
    assert!(
        client.read(&mut bytes).is_err(),
        "a cut direction delivers nothing"
    );
    client
        .set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    proxy.from_target.set(LinkFaults {
        drip_ms: 1,
        ..LinkFaults::default()
    });
    client.read_exact(&mut bytes).unwrap();
    assert_eq!(
        &bytes, b"later",
        "bytes sent during the cut arrive after it"
    );
    proxy.to_target.set(LinkFaults {
        reset: true,
        ..LinkFaults::default()
    });
    let result = client.read(&mut bytes).map_err(|e| e.kind());
    assert_eq!(result, Err(io::ErrorKind::ConnectionReset));
}
