//! RESP2, as far as the simulated services need it.

use std::io::{self, BufRead};

/// The longest argument that is read, in bytes.
const WORD_MAX: usize = 65_536;
/// Arguments of a command and elements of a reply, at most.
const WORDS_MAX: usize = 16;

/// An answer of a balancer, or an element of one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RespReply {
    /// A bulk string, or null.
    Bulk(Option<Vec<u8>>),
    /// A simple string or an integer.
    Simple(String),
    /// An error.
    Error(String),
    /// An array.
    Array(Vec<RespReply>),
}

fn line(input: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    input.read_line(&mut line)?;
    if !line.ends_with('\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    line.truncate(line.trim_end().len());
    Ok(line)
}

fn number(text: &str, most: usize) -> io::Result<usize> {
    let number = text.parse().ok().filter(|n| *n <= most);
    number.ok_or_else(|| io::Error::other(format!("\"{text}\" is no length")))
}

fn word(input: &mut impl BufRead, length: usize) -> io::Result<Vec<u8>> {
    let mut word = vec![0; length + 2];
    input.read_exact(&mut word)?;
    word.truncate(length);
    Ok(word)
}

/// Reads the next command; returns its arguments.
///
/// # Errors
///
/// If the connection fails, or the input breaks the protocol.
pub fn read_command(input: &mut impl BufRead) -> io::Result<Vec<Vec<u8>>> {
    let head = line(input)?;
    let words = number(head.strip_prefix('*').unwrap_or_default(), WORDS_MAX)?;
    (0..words)
        .map(|_| {
            let head = line(input)?;
            let length = number(head.strip_prefix('$').unwrap_or_default(), WORD_MAX)?;
            word(input, length)
        })
        .collect()
}

/// A command on the wire.
#[must_use]
pub fn encode_command(words: &[&[u8]]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        bytes.extend(format!("${}\r\n", word.len()).as_bytes());
        bytes.extend(*word);
        bytes.extend(b"\r\n");
    }
    bytes
}

/// The next answer.
///
/// # Errors
///
/// If the connection fails, or the input breaks the protocol.
pub fn read_reply(input: &mut impl BufRead) -> io::Result<RespReply> {
    let head = line(input)?;
    let (kind, rest) = head.split_at_checked(1).unwrap_or(("", ""));
    match kind {
        "+" | ":" => Ok(RespReply::Simple(rest.into())),
        "-" => Ok(RespReply::Error(rest.into())),
        "$" if rest == "-1" => Ok(RespReply::Bulk(None)),
        "$" => Ok(RespReply::Bulk(Some(word(input, number(rest, WORD_MAX)?)?))),
        "*" => {
            let length = number(rest, WORDS_MAX)?;
            Ok(RespReply::Array(
                (0..length)
                    .map(|_| read_reply(input))
                    .collect::<io::Result<_>>()?,
            ))
        }
        _ => Err(io::Error::other(format!("\"{head}\" is no answer"))),
    }
}

#[cfg(test)]
mod tests;
