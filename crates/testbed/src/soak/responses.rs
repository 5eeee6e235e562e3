//! Responses of the simulated caches: their values, and the pace at which they are written.

use super::records::{MS, Nanos};
use rand::{Rng, RngExt};

/// Length of a long value, which balancers stream.
pub const LONG_LENGTH: usize = 164_511;
/// Length of a value that socket buffers do not hold.
const HUGE_LENGTH: usize = 1 << 20;
/// Minimum length of a value of which the first bytes are timed instead of the last.
pub const STREAMED_LENGTH: usize = 65_537;
/// Length of a value that is written in parts and not streamed.
const PADDED_LENGTH: usize = 40_000;
/// Byte that pads a value to its length.
const PADDING: u8 = b'.';
/// Time between the head of a late response and the rest, in milliseconds.
const LATE_BODY_MS: std::ops::Range<u64> = 100..1_500;
/// Time between two parts of a slow response.
const PART_INTERVAL: Nanos = 60 * MS;
/// Number of parts of a slow long response, of which the last is long.
const LONG_PARTS: usize = 10;
/// Length of the first parts of a slow long response.
const LONG_PART_LENGTH: usize = 300;
/// Length of the parts of a slow response that is not streamed.
const PART_LENGTH: usize = 6_000;

/// Ratios of unusual responses.
#[derive(Clone, Debug, Default)]
pub struct ResponseMix {
    /// Number of keys with a value that socket buffers do not hold, from key 0.
    pub huge_keys: u64,
    /// Number of keys with a long value, from key 0.
    pub long_keys: u64,
    /// Ratio of long responses whose value comes some time after their head.
    pub late_body: f64,
    /// Ratio of responses that are written in parts; those that are not long are padded.
    pub in_parts: f64,
}

/// Part of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponsePart {
    /// Time after the previous part.
    pub after: Nanos,
    /// Bytes of the part.
    pub bytes: Vec<u8>,
}

/// Returns whether `value` is `text`, padded or not.
#[must_use]
pub fn is_value_of(value: &[u8], text: &str) -> bool {
    let padding = value.strip_prefix(text.as_bytes());
    padding.is_some_and(|padding| padding.iter().all(|byte| *byte == PADDING))
}

/// Returns the parts of the response with this value to a request for `key`.
pub fn generate(
    rng: &mut impl Rng,
    mix: &ResponseMix,
    key: Option<u64>,
    text: &str,
) -> Vec<ResponsePart> {
    let random = rng.random::<f64>();
    let in_parts = random < mix.in_parts;
    let has_late_body = !in_parts && random < mix.in_parts + mix.late_body;
    if let Some(key) = key.filter(|key| *key < mix.long_keys) {
        let is_huge = key < mix.huge_keys;
        let (head, body) = encode(text, if is_huge { HUGE_LENGTH } else { LONG_LENGTH });
        let late = rng.random_range(LATE_BODY_MS) * MS;
        return match (in_parts, has_late_body) {
            (true, _) => split([head, body].concat(), LONG_PARTS, LONG_PART_LENGTH),
            (_, true) => vec![part(0, head), part(late, body)],
            _ => vec![part(0, head), part(0, body)],
        };
    }
    let length = if in_parts { PADDED_LENGTH } else { text.len() };
    let (head, body) = encode(text, length);
    let bytes = [head, body].concat();
    if in_parts {
        let count = bytes.len().div_ceil(PART_LENGTH);
        split(bytes, count, PART_LENGTH)
    } else {
        vec![part(0, bytes)]
    }
}

fn part(after: Nanos, bytes: Vec<u8>) -> ResponsePart {
    ResponsePart { after, bytes }
}

/// Splits a response into `count` parts; all but the last have this length.
fn split(mut bytes: Vec<u8>, count: usize, length: usize) -> Vec<ResponsePart> {
    let mut parts = Vec::new();
    while parts.len() + 1 < count && bytes.len() > length {
        let rest = bytes.split_off(length);
        parts.push(part(PART_INTERVAL, std::mem::replace(&mut bytes, rest)));
    }
    parts.push(part(PART_INTERVAL, bytes));
    parts[0].after = 0;
    parts
}

/// Returns the head of a response, up to the header of its value, and the rest.
fn encode(text: &str, length: usize) -> (Vec<u8>, Vec<u8>) {
    let head = format!("*3\r\n${length}\r\n").into_bytes();
    let mut body = text.as_bytes().to_vec();
    body.resize(length, PADDING);
    body.extend(b"\r\n$3\r\nhit\r\n$-1\r\n");
    (head, body)
}
