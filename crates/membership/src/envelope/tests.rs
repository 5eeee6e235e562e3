//! Tests of the envelope of datagrams.

use super::*;

#[test]
fn only_intact_datagrams_of_the_same_fleet_and_version_are_opened() {
    let (own_scope, other_scope) = (EnvelopeScope::new("a", ""), EnvelopeScope::new("b", ""));
    let datagram = seal(own_scope, MessageKind::MetadataRequest, b"payload");
    assert_eq!(
        open(own_scope, &datagram),
        Ok((MessageKind::MetadataRequest, b"payload".as_slice()))
    );
    assert_eq!(open(other_scope, &datagram), Err(EnvelopeError::Foreign));
    for index in 0..datagram.len() {
        assert_eq!(
            open(own_scope, &datagram[..index]),
            Err(EnvelopeError::Corrupt)
        );
        let mut flipped = datagram.clone();
        flipped[index] ^= 1;
        assert_eq!(
            open(own_scope, &flipped),
            Err(EnvelopeError::Corrupt),
            "bit flipped in byte {index}"
        );
    }
    let mut next_version = datagram[..datagram.len() - CHECKSUM_LENGTH].to_vec();
    next_version[2] = VERSION + 1;
    let checksum = checksum(&next_version);
    next_version.extend(checksum);
    assert_eq!(
        open(own_scope, &next_version),
        Err(EnvelopeError::UnsupportedVersion)
    );
    assert_eq!(
        open(
            own_scope,
            &seal(own_scope, MessageKind::Swim, &[0; PAYLOAD_MAX])
        )
        .unwrap()
        .1
        .len(),
        PAYLOAD_MAX
    );
    assert_eq!(
        open(own_scope, &[b'p'; DATAGRAM_MAX + 1]),
        Err(EnvelopeError::Corrupt)
    );
}
