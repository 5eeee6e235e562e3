//! Tests of `envelope`.

use super::*;

#[test]
fn only_intact_datagrams_of_the_own_fleet_and_version_are_opened() {
    let (ours, theirs) = (EnvelopeScope::new("a", ""), EnvelopeScope::new("b", ""));
    let datagram = seal(ours, MessageKind::MetadataRequest, b"payload");
    assert_eq!(
        open(ours, &datagram),
        Ok((MessageKind::MetadataRequest, b"payload".as_slice()))
    );
    assert_eq!(open(theirs, &datagram), Err(EnvelopeError::Foreign));
    for cut in 0..datagram.len() {
        assert_eq!(open(ours, &datagram[..cut]), Err(EnvelopeError::Corrupt));
        let mut flipped = datagram.clone();
        flipped[cut] ^= 1;
        assert_eq!(
            open(ours, &flipped),
            Err(EnvelopeError::Corrupt),
            "byte {cut}"
        );
    }
    let mut next = datagram[..datagram.len() - CHECKSUM_LENGTH].to_vec();
    next[2] = VERSION + 1;
    let checksum = checksum(&next);
    next.extend(checksum);
    assert_eq!(open(ours, &next), Err(EnvelopeError::UnsupportedVersion));
    assert_eq!(
        open(ours, &seal(ours, MessageKind::Swim, &[0; PAYLOAD_MAX]))
            .unwrap()
            .1
            .len(),
        PAYLOAD_MAX
    );
    assert_eq!(
        open(ours, &[b'p'; DATAGRAM_MAX + 1]),
        Err(EnvelopeError::Corrupt)
    );
}
