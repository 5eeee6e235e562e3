//! Tests of `envelope`.

use super::*;

#[test]
fn a_frame_is_read_by_its_own_fleet_and_version_only_and_only_whole() {
    let (ours, theirs) = (Numbers::new("a", ""), Numbers::new("b", ""));
    let datagram = seal(ours, Kind::Want, b"payload");
    assert_eq!(
        open(ours, &datagram),
        Ok((Kind::Want, b"payload".as_slice()))
    );
    assert_eq!(open(theirs, &datagram), Err(Refusal::Foreign));
    for cut in 0..datagram.len() {
        assert_eq!(open(ours, &datagram[..cut]), Err(Refusal::Torn));
        let mut flipped = datagram.clone();
        flipped[cut] ^= 1;
        assert_eq!(open(ours, &flipped), Err(Refusal::Torn), "byte {cut}");
    }
    let mut next = datagram[..datagram.len() - SUM].to_vec();
    next[2] = VERSION + 1;
    let sum = sum(&next);
    next.extend(sum);
    assert_eq!(open(ours, &next), Err(Refusal::Version));
    assert_eq!(
        open(ours, &seal(ours, Kind::Swim, &[0; PAYLOAD_MAX]))
            .unwrap()
            .1
            .len(),
        PAYLOAD_MAX
    );
    assert_eq!(open(ours, &[b'p'; DATAGRAM_MAX + 1]), Err(Refusal::Torn));
}
