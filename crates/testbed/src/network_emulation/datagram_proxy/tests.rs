//! Tests of `datagram_proxy`.

use super::*;
use crate::network_emulation::faults::LinkFaults;

fn pair() -> (Vec<UdpSocket>, Vec<SocketAddr>, DatagramProxy) {
    let own: Vec<UdpSocket> = (0..2)
        .map(|_| UdpSocket::bind("127.0.0.1:0").unwrap())
        .collect();
    for socket in &own {
        socket
            .set_read_timeout(Some(Duration::from_secs(10)))
            .unwrap();
    }
    let free = || {
        UdpSocket::bind("127.0.0.1:0")
            .unwrap()
            .local_addr()
            .unwrap()
    };
    let advertised = vec![free(), free()];
    let addresses: Vec<SocketAddr> = own.iter().map(|s| s.local_addr().unwrap()).collect();
    let switch = DatagramProxy::start(&advertised, &addresses, 1).unwrap();
    (own, advertised, switch)
}

#[test]
fn datagrams_come_from_the_proxy_address_and_faults_are_directional() {
    let (own, advertised, switch) = pair();
    let mut bytes = [0; 64];
    own[0].send_to(b"one", advertised[1]).unwrap();
    let (length, from) = own[1].recv_from(&mut bytes).unwrap();
    assert_eq!((&bytes[..length], from), (b"one".as_slice(), advertised[0]));
    switch.link(0, 1).set(LinkFaults {
        cut: true,
        ..LinkFaults::default()
    });
    own[0].send_to(b"lost", advertised[1]).unwrap();
    own[1].send_to(b"back", advertised[0]).unwrap();
    assert_eq!(
        own[0].recv_from(&mut bytes).unwrap().0,
        4,
        "the other direction is open"
    );
    while switch.counts().1 == 0 {
        std::thread::yield_now();
    }
    switch.link(0, 1).set(LinkFaults {
        duplicate: 1.0,
        delay_ms: 5,
        ..LinkFaults::default()
    });
    own[0].send_to(b"two", advertised[1]).unwrap();
    for _ in 0..2 {
        let (length, _) = own[1].recv_from(&mut bytes).unwrap();
        assert_eq!(&bytes[..length], b"two");
    }
}

#[test]
fn reordered_datagrams_arrive_late() {
    let (own, advertised, switch) = pair();
    switch.link(0, 1).set(LinkFaults {
        reorder: 1.0,
        ..LinkFaults::default()
    });
    own[0].send_to(b"first", advertised[1]).unwrap();
    while switch.shared.queue.lock().unwrap().datagrams.is_empty() {
        std::thread::yield_now();
    }
    switch.link(0, 1).set(LinkFaults::default());
    own[0].send_to(b"second", advertised[1]).unwrap();
    let mut bytes = [0; 64];
    let mut order = Vec::new();
    for _ in 0..2 {
        let (length, _) = own[1].recv_from(&mut bytes).unwrap();
        order.push(bytes[..length].to_vec());
    }
    order.sort();
    assert_eq!(
        order,
        [b"first".to_vec(), b"second".to_vec()],
        "both come, in whatever order"
    );
}
