//! Descriptors that can, and that can't, be inherited as a listener.

use super::*;
use std::os::fd::{AsRawFd, IntoRawFd};

#[test]
fn only_a_listening_tcp_socket_is_inherited() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let client = TcpStream::connect(address).unwrap();
    let udp = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let file = std::fs::File::open("/dev/null").unwrap();
    let invalid = [
        (2, "is a standard stream"),
        (client.as_raw_fd(), "is not a listening TCP socket"),
        (udp.as_raw_fd(), "is not a listening TCP socket"),
        (
            file.as_raw_fd(),
            "is not an open socket: Socket operation on non-socket (os error 88)",
        ),
        (
            1_000_000,
            "is not an open socket: Bad file descriptor (os error 9)",
        ),
    ];
    for (descriptor, problem) in invalid {
        let error = inherit_listener(descriptor).err().map(|e| e.to_string());
        assert_eq!(error.as_deref(), Some(problem));
    }
    let inherited = inherit_listener(listener.into_raw_fd()).unwrap();
    assert_eq!(inherited.local_addr().unwrap(), address);
}
