//! Tests of long values that arrive in pieces, both valid and invalid.

use super::*;

fn response(value: &[u8], tail: &[u8]) -> Vec<u8> {
    [
        format!("*3\r\n${}\r\n", value.len()).as_bytes(),
        value,
        tail,
    ]
    .concat()
}

/// Feeds the pieces to a stream. Returns the announced length, the forwarded value and the tail.
fn feed<'a>(
    pieces: impl Iterator<Item = &'a [u8]>,
) -> (
    Option<usize>,
    Vec<u8>,
    Result<Option<StreamTail>, RespError>,
) {
    let (mut input, mut stream, mut length, mut value) =
        (Vec::new(), None::<ResponseStream>, None, Vec::new());
    for piece in pieces {
        input.extend_from_slice(piece);
        if stream.is_none()
            && let Some((started, announced)) =
                ResponseStream::begin(&mut input, StreamStart::AtThreshold)
        {
            (stream, length) = (Some(started), Some(announced));
        }
        let Some(stream) = &mut stream else {
            continue;
        };
        value.extend(stream.take_chunk(&mut input));
        match stream.tail(&input) {
            Ok(None) => {}
            tail => return (length, value, tail),
        }
    }
    (length, value, Ok(None))
}

#[test]
fn value_is_complete_wherever_the_input_is_split() {
    let value: Vec<u8> = (0..VALUE_MAX + 9).map(|n| (n % 251) as u8).collect();
    let complete = response(&value, b"\r\n$3\r\nhit\r\n$-1\r\n");
    let cuts = (1..40)
        .chain(START_THRESHOLD..START_THRESHOLD + 20)
        .chain(complete.len() - 30..complete.len());
    for cut in cuts {
        let (length, forwarded, tail) = feed([&complete[..cut], &complete[cut..]].into_iter());
        assert_eq!(
            (length, forwarded == value),
            (Some(value.len()), true),
            "cut at {cut}"
        );
        let tail = tail.unwrap().unwrap();
        assert_eq!(
            tail.response,
            CacheResponse::Served {
                value: Vec::new(),
                cache_status: Some(b"hit".to_vec()),
                load_report: None
            }
        );
        // If the load report is incomplete, the value is valid and only the connection can't be
        // used again.
        assert!(tail.length.is_none() || tail.length == Some(b"\r\n$3\r\nhit\r\n$-1\r\n".len()));
    }
    let (_, forwarded, tail) = feed(complete.chunks(1));
    assert!(
        forwarded == value && tail.unwrap().is_some(),
        "one byte at a time"
    );
}

#[test]
fn only_long_values_of_which_enough_has_arrived_are_streamed() {
    let header = |length: usize| format!("*3\r\n${length}\r\n");
    let enough = vec![b'x'; START_THRESHOLD];
    let cases = [
        (VALUE_MAX, &enough[..], false),
        (VALUE_MAX + 1, &enough[..START_THRESHOLD - 1], false),
        (VALUE_MAX + 1, &enough[..], true),
        (RESPONSE_VALUE_MAX, &enough[..], true),
        (RESPONSE_VALUE_MAX + 1, &enough[..], false),
    ];
    for (length, arrived, is_streamed) in cases {
        let mut input = [header(length).as_bytes(), arrived].concat();
        assert_eq!(
            has_long_value(&input),
            (VALUE_MAX + 1..=RESPONSE_VALUE_MAX).contains(&length)
        );
        assert_eq!(
            ResponseStream::begin(&mut input, StreamStart::AtThreshold).is_some(),
            is_streamed,
            "{length}"
        );
    }
    for text in [
        "-ERR failed\r\n",
        "*3\r\n$-1\r\n",
        "*2\r\n$70000\r\n",
        "*3\r\n$7x",
        "",
        "*3\r\n$700",
    ] {
        assert!(!has_long_value(text.as_bytes()), "{text}");
    }
}

#[test]
fn value_longer_than_announced_is_unreadable() {
    let value = vec![b'x'; VALUE_MAX + 1];
    let complete = response(&value, b"more\r\n$3\r\nhit\r\n$-1\r\n");
    assert_eq!(
        feed([&complete[..]].into_iter()).2,
        Err(RespError::MissingLineEnd)
    );
    for tail in [b"\r\n+3".as_slice(), b"\n", b"\r\r", b"\r\n$-5\r\n"] {
        assert!(
            feed([&response(&value, tail)[..]].into_iter()).2.is_err(),
            "{}",
            tail.escape_ascii()
        );
    }
}
