//! Tests of `datagram_proxy`.

use super::*;
use crate::network_emulation::faults::LinkFaults;

fn start_pair() -> (Vec<UdpSocket>, Vec<SocketAddr>, DatagramProxy) {
    let members: Vec<UdpSocket> = (0..2)
        .map(|_| UdpSocket::bind("127.0.0.1:0").unwrap())
        .collect();
    for socket in &members {
        socket
            .set_read_timeout(Some(Duration::from_secs(10)))
            .unwrap();
    }
    let free_address = || {
        UdpSocket::bind("127.0.0.1:0")
            .unwrap()
            .local_addr()
            .unwrap()
    };
    let advertised = vec![free_address(), free_address()];
    let addresses: Vec<SocketAddr> = members.iter().map(|m| m.local_addr().unwrap()).collect();
    let proxy = DatagramProxy::start(&advertised, &addresses, 1).unwrap();
    (members, advertised, proxy)
}

#[test]
fn datagrams_come_from_the_proxy_address_and_faults_are_directional() {
    let (members, advertised, proxy) = start_pair();
    let mut bytes = [0; 64];
    members[0].send_to(b"one", advertised[1]).unwrap();
    let (length, from) = members[1].recv_from(&mut bytes).unwrap();
    assert_eq!((&bytes[..length], from), (b"one".as_slice(), advertised[0]));
    proxy.link(0, 1).set(LinkFaults {
        cut: true,
        ..LinkFaults::default()
    });
    members[0].send_to(b"lost", advertised[1]).unwrap();
    members[1].send_to(b"back", advertised[0]).unwrap();
    assert_eq!(
        members[0].recv_from(&mut bytes).unwrap().0,
        4,
        "the opposite direction still delivers"
    );
    while proxy.counts().1 == 0 {
        std::thread::yield_now();
    }
    proxy.link(0, 1).set(LinkFaults {
        duplicate: 1.0,
        delay_ms: 5,
        ..LinkFaults::default()
    });
    members[0].send_to(b"two", advertised[1]).unwrap();
    for _ in 0..2 {
        let (length, _) = members[1].recv_from(&mut bytes).unwrap();
        assert_eq!(&bytes[..length], b"two");
    }
}

#[test]
fn a_reordered_datagram_is_delayed_and_not_lost() {
    let (members, advertised, proxy) = start_pair();
    proxy.link(0, 1).set(LinkFaults {
        reorder: 1.0,
        ..LinkFaults::default()
    });
    members[0].send_to(b"first", advertised[1]).unwrap();
    while proxy.shared.queue.lock().unwrap().datagrams.is_empty() {
        std::thread::yield_now();
    }
    proxy.link(0, 1).set(LinkFaults::default());
    members[0].send_to(b"second", advertised[1]).unwrap();
    let mut bytes = [0; 64];
    let mut order = Vec::new();
    for _ in 0..2 {
        let (length, _) = members[1].recv_from(&mut bytes).unwrap();
        order.push(bytes[..length].to_vec());
    }
    order.sort();
    assert_eq!(
        order,
        [b"first".to_vec(), b"second".to_vec()],
        "both datagrams arrive, in either order"
    );
}
