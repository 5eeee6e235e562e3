//! Subset of RESP2 that the simulated services need.

use std::io::{self, BufRead};

/// Maximum length of an argument of a command, in bytes.
const ARGUMENT_LENGTH_MAX: usize = 65_536;
/// Maximum length of a bulk string in a reply, in bytes.
const BULK_LENGTH_MAX: usize = 4 << 20;
/// Maximum number of arguments of a command and of elements of an array.
const ARRAY_LENGTH_MAX: usize = 16;

/// Reply of a balancer, or an element of an array reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RespReply {
    /// Bulk string, or null.
    Bulk(Option<Vec<u8>>),
    /// Simple string or integer.
    Simple(String),
    /// Error, without the leading `-`.
    Error(String),
    /// Array.
    Array(Vec<RespReply>),
}

fn read_line(input: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    input.read_line(&mut line)?;
    if !line.ends_with('\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    line.truncate(line.trim_end().len());
    Ok(line)
}

fn parse_length(text: &str, max: usize) -> io::Result<usize> {
    let length = text.parse().ok().filter(|n| *n <= max);
    length
        .ok_or_else(|| io::Error::other(format!("\"{text}\" is not a length, expected 0 to {max}")))
}

fn read_bulk(input: &mut impl BufRead, length: usize) -> io::Result<Vec<u8>> {
    let mut bulk = vec![0; length + 2];
    input.read_exact(&mut bulk)?;
    bulk.truncate(length);
    Ok(bulk)
}

/// Reads the next command and returns its arguments.
///
/// # Errors
///
/// Fails if the connection fails or the input violates the protocol.
pub fn read_command(input: &mut impl BufRead) -> io::Result<Vec<Vec<u8>>> {
    let header = read_line(input)?;
    let count = parse_length(
        header.strip_prefix('*').unwrap_or_default(),
        ARRAY_LENGTH_MAX,
    )?;
    (0..count)
        .map(|_| {
            let header = read_line(input)?;
            let length = parse_length(
                header.strip_prefix('$').unwrap_or_default(),
                ARGUMENT_LENGTH_MAX,
            )?;
            read_bulk(input, length)
        })
        .collect()
}

/// Encodes a command with these arguments.
#[must_use]
pub fn encode_command(arguments: &[&[u8]]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", arguments.len()).into_bytes();
    for argument in arguments {
        bytes.extend(format!("${}\r\n", argument.len()).as_bytes());
        bytes.extend(*argument);
        bytes.extend(b"\r\n");
    }
    bytes
}

/// Reads the next reply.
///
/// # Errors
///
/// Fails if the connection fails or the input violates the protocol.
pub fn read_reply(input: &mut impl BufRead) -> io::Result<RespReply> {
    let header = read_line(input)?;
    let (kind, rest) = header.split_at_checked(1).unwrap_or(("", ""));
    match kind {
        "+" | ":" => Ok(RespReply::Simple(rest.into())),
        "-" => Ok(RespReply::Error(rest.into())),
        "$" if rest == "-1" => Ok(RespReply::Bulk(None)),
        "$" => Ok(RespReply::Bulk(Some(read_bulk(
            input,
            parse_length(rest, BULK_LENGTH_MAX)?,
        )?))),
        "*" => {
            let length = parse_length(rest, ARRAY_LENGTH_MAX)?;
            Ok(RespReply::Array(
                (0..length)
                    .map(|_| read_reply(input))
                    .collect::<io::Result<_>>()?,
            ))
        }
        _ => Err(io::Error::other(format!(
            "\"{header}\" is not the first line of a RESP2 reply"
        ))),
    }
}

#[cfg(test)]
mod tests;
