//! A long value on its way through: told from the first bytes of a peer's answer, passed on as it comes, and checked for its end.
//! No I/O.

use crate::resp::{
    Answer, RESPONSE_VALUE_MAX, RespError, VALUE_MAX, parse_long_value_header, parse_response_tail,
};

/// A value is passed on once this much of it has come: what is spoilt mostly shows before.
const BEGIN_AFTER: usize = 4 * 1024;

/// A value that is being passed on.
#[derive(Debug)]
pub struct ResponseStream {
    /// Bytes of the value that are still to come.
    left: usize,
}

/// How the end of a long value turns out: nothing made of it but the note and report, and where the next answer would begin.
pub type Tail = (Answer, Option<usize>);

/// Where a long value begins and how long it is, if the answer that has begun is that of one.
fn long_start(input: &[u8]) -> Option<(usize, usize)> {
    parse_long_value_header(input)
        .filter(|(_, length)| (VALUE_MAX + 1..=RESPONSE_VALUE_MAX).contains(length))
}

/// Whether an answer that has begun is that of a long value.
pub fn is_long(input: &[u8]) -> bool {
    long_start(input).is_some()
}

impl ResponseStream {
    /// Begins to pass a value on if it is a long one and enough of it is there. Returns its whole length too; the input is left with
    /// what has come of the value.
    pub fn begin(input: &mut Vec<u8>) -> Option<(Self, usize)> {
        let (start, length) = long_start(input)?;
        if input.len() - start < BEGIN_AFTER {
            return None;
        }
        input.drain(..start);
        Some((ResponseStream { left: length }, length))
    }

    /// Takes from the input what belongs to the value.
    pub fn part(&mut self, input: &mut Vec<u8>) -> Vec<u8> {
        let rest = input.split_off(self.left.min(input.len()));
        let part = std::mem::replace(input, rest);
        self.left -= part.len();
        part
    }

    /// Reads what stands behind the value, once all of it has been taken.
    pub fn tail(&self, input: &[u8]) -> Result<Option<Tail>, RespError> {
        if self.left > 0 {
            Ok(None)
        } else {
            parse_response_tail(input)
        }
    }
}

#[cfg(test)]
mod tests {
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
    ) -> (Option<usize>, Vec<u8>, Result<Option<Tail>, RespError>) {
        let (mut input, mut passing, mut length, mut value) =
            (Vec::new(), None::<ResponseStream>, None, Vec::new());
        for piece in pieces {
            input.extend_from_slice(piece);
            if passing.is_none()
                && let Some((begun, long)) = ResponseStream::begin(&mut input)
            {
                (passing, length) = (Some(begun), Some(long));
            }
            let Some(passing) = &mut passing else {
                continue;
            };
            value.extend(passing.part(&mut input));
            match passing.tail(&input) {
                Ok(None) => {}
                end => return (length, value, end),
            }
        }
        (length, value, Ok(None))
    }

    #[test]
    fn a_value_comes_through_whole_wherever_it_is_split() {
        let value: Vec<u8> = (0..VALUE_MAX + 9).map(|n| (n % 251) as u8).collect();
        let whole = answer(&value, b"\r\n$3\r\nhit\r\n$-1\r\n");
        let cuts = (1..40)
            .chain(BEGIN_AFTER..BEGIN_AFTER + 20)
            .chain(whole.len() - 30..whole.len());
        for cut in cuts {
            let (length, got, end) = feed([&whole[..cut], &whole[cut..]].into_iter());
            assert_eq!(
                (length, got == value),
                (Some(value.len()), true),
                "cut at {cut}"
            );
            let (made, next) = end.unwrap().unwrap();
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
    fn what_is_short_too_long_or_hardly_begun_is_not_passed_on() {
        let head = |length: usize| format!("*3\r\n${length}\r\n");
        let much = vec![b'x'; BEGIN_AFTER];
        let cases = [
            (VALUE_MAX, &much[..], false),
            (VALUE_MAX + 1, &much[..BEGIN_AFTER - 1], false),
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
    fn a_value_that_is_longer_than_told_is_spoilt() {
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
}
