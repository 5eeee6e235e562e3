//! Tests of `stream_proxy`.

use super::*;
use crate::network_emulation::faults::LinkFaults;

#[test]
fn a_stream_is_forwarded_stalled_by_a_cut_resumed_and_reset() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let free = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let relay = StreamProxy::start(free, listener.local_addr().unwrap(), 1).unwrap();
    let mut near = TcpStream::connect(free).unwrap();
    near.set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    let (mut far, _) = listener.accept().unwrap();
    near.write_all(b"there").unwrap();
    let mut bytes = [0; 5];
    far.read_exact(&mut bytes).unwrap();
    relay.from_target.set(LinkFaults {
        cut: true,
        ..LinkFaults::default()
    });
    std::thread::sleep(3 * POLL_INTERVAL);
    far.write_all(b"later").unwrap();
    near.set_read_timeout(Some(3 * POLL_INTERVAL)).unwrap();
    assert!(near.read(&mut bytes).is_err(), "nothing passes");
    near.set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    relay.from_target.set(LinkFaults {
        drip_ms: 1,
        ..LinkFaults::default()
    });
    near.read_exact(&mut bytes).unwrap();
    assert_eq!(&bytes, b"later", "nothing is lost of a stream");
    relay.to_target.set(LinkFaults {
        reset: true,
        ..LinkFaults::default()
    });
    let ended = near.read(&mut bytes).map_err(|e| e.kind());
    assert_eq!(ended, Err(io::ErrorKind::ConnectionReset));
}
