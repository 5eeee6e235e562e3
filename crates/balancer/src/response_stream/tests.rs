//! Long values in pieces, complete and broken.

use super::*;

fn answer(value: &[u8], tail: &[u8]) -> Vec<u8> {
    [
        format!("*3\r\n${}\r\n", value.len()).as_bytes(),
        value,
        tail,
    ]
    .concat()
}

/// Feeds these pieces and returns the length, the value and the end.
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
            && let Some((begun, long)) = ResponseStream::begin(&mut input)
        {
            (stream, length) = (Some(begun), Some(long));
        }
        let Some(stream) = &mut stream else {
            continue;
        };
        value.extend(stream.take_chunk(&mut input));
        match stream.tail(&input) {
            Ok(None) => {}
            end => return (length, value, end),
        }
    }
    (length, value, Ok(None))
}

#[test]
fn a_value_arrives_complete_wherever_it_is_split() {
    let value: Vec<u8> = (0..VALUE_MAX + 9).map(|n| (n % 251) as u8).collect();
    let whole = answer(&value, b"\r\n$3\r\nhit\r\n$-1\r\n");
    let cuts = (1..40)
        .chain(START_THRESHOLD..START_THRESHOLD + 20)
        .chain(whole.len() - 30..whole.len());
    for cut in cuts {
        let (length, got, end) = feed([&whole[..cut], &whole[cut..]].into_iter());
        assert_eq!(
            (length, got == value),
            (Some(value.len()), true),
            "cut at {cut}"
        );
        let StreamTail {
            answer: made,
            length: next,
        } = end.unwrap().unwrap();
        assert_eq!(
            made,
            Answer::Served {
                value: Vec::new(),
                note: Some(b"hit".to_vec()),
                load: None
            }
        );
        // What of the report hasn't come with the rest makes the connection useless, not the value.
        assert!(next.is_none() || next == Some(b"\r\n$3\r\nhit\r\n$-1\r\n".len()));
    }
    let (_, got, end) = feed(whole.chunks(1));
    assert!(got == value && end.unwrap().is_some(), "a byte at a time");
}

#[test]
fn short_oversized_and_barely_started_values_are_not_streamed() {
    let head = |length: usize| format!("*3\r\n${length}\r\n");
    let much = vec![b'x'; START_THRESHOLD];
    let cases = [
        (VALUE_MAX, &much[..], false),
        (VALUE_MAX + 1, &much[..START_THRESHOLD - 1], false),
        (VALUE_MAX + 1, &much[..], true),
        (RESPONSE_VALUE_MAX, &much[..], true),
        (RESPONSE_VALUE_MAX + 1, &much[..], false),
    ];
    for (length, come, begins) in cases {
        let mut input = [head(length).as_bytes(), come].concat();
        assert_eq!(
            is_long(&input),
            (VALUE_MAX + 1..=RESPONSE_VALUE_MAX).contains(&length)
        );
        assert_eq!(
            ResponseStream::begin(&mut input).is_some(),
            begins,
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
        assert!(!is_long(text.as_bytes()), "{text}");
    }
}

#[test]
fn a_value_longer_than_announced_is_unreadable() {
    let value = vec![b'x'; VALUE_MAX + 1];
    let whole = answer(&value, b"more\r\n$3\r\nhit\r\n$-1\r\n");
    assert_eq!(
        feed([&whole[..]].into_iter()).2,
        Err(RespError::MissingLineEnd)
    );
    for tail in [b"\r\n+3".as_slice(), b"\n", b"\r\r", b"\r\n$-5\r\n"] {
        assert!(
            feed([&answer(&value, tail)[..]].into_iter()).2.is_err(),
            "{}",
            tail.escape_ascii()
        );
    }
}
