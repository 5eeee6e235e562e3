//! Tests of `resp`.

use super::*;

#[test]
fn commands_and_replies_are_parsed_and_malformed_ones_rejected() {
    let bytes = encode_command(&[b"C.GET", b"a b", b""]);
    assert_eq!(
        read_command(&mut bytes.as_slice()).unwrap(),
        [b"C.GET".to_vec(), b"a b".to_vec(), Vec::new()]
    );
    for cut in 0..bytes.len() {
        assert!(
            read_command(&mut &bytes[..cut]).is_err(),
            "a command cut off after {cut} bytes is accepted"
        );
    }
    let text = b"*3\r\n$1\r\nv\r\n$-1\r\n+x\r\n-BUSY 7\r\n";
    let mut input = text.as_slice();
    let array = [
        RespReply::Bulk(Some(b"v".to_vec())),
        RespReply::Bulk(None),
        RespReply::Simple("x".into()),
    ];
    assert_eq!(
        read_reply(&mut input).unwrap(),
        RespReply::Array(array.into())
    );
    assert_eq!(
        read_reply(&mut input).unwrap(),
        RespReply::Error("BUSY 7".into())
    );
    assert!(
        read_reply(&mut b"$99999999\r\n".as_slice()).is_err()
            && read_reply(&mut b"?\r\n".as_slice()).is_err()
    );
}
