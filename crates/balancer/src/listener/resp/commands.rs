//! Parsing of client commands: converts the words and field letters of the protocol to typed
//! requests.

use super::responses::encode_error;
use crate::lifecycle::LifecyclePolicy;
use crate::request::{AnswerToken, CacheCommand, ClientHistory, IncomingRequest};
use crate::timers::MS;
use routing::Nanos;
use std::ops::{Range, RangeInclusive};

/// Valid range of the estimated work, in microseconds. The maximum is one hour.
const ESTIMATED_WORK_US: RangeInclusive<f64> = 1.0..=3.6e9;
/// Maximum client timeout, in milliseconds.
const CLIENT_TIMEOUT_MAX_MS: f64 = 3_600_000.0;
/// Maximum number of bytes of an unknown command's name that are repeated in the error.
const REPEATED_NAME_MAX: usize = 32;

/// Names of request fields on the wire.
mod field {
    pub(super) const CLASS: &str = "c";
    pub(super) const TENANT: &str = "t";
    /// In milliseconds. Each attempt carries its own value.
    pub(super) const CLIENT_TIMEOUT: &str = "d";
    /// In microseconds.
    pub(super) const ESTIMATED_WORK: &str = "h";
}

/// Reason why a request is malformed. The texts are sent to clients.
#[derive(Debug, PartialEq, thiserror::Error)]
pub(super) enum RequestError {
    #[error("key or id is empty")]
    EmptyKeyOrId,
    #[error("fields are not UTF-8")]
    FieldsNotUtf8,
    #[error("field '{0}' has no value")]
    FieldWithoutValue(String),
    #[error("field '{0}' is missing")]
    MissingField(&'static str),
    #[error("field 'd': '{0}' is no time")]
    InvalidTimeout(String),
    #[error("field 'd': '{0}' is no number")]
    InvalidNumber(String),
    #[error("field 'd': '{0}' is too long a time")]
    TimeoutTooLong(String),
}

/// Reason why a command is malformed. The texts are sent to clients.
#[derive(Debug, PartialEq, thiserror::Error)]
pub(super) enum CommandError {
    #[error("wrong number of arguments")]
    ArgumentCount,
    #[error("unknown command '{0}'")]
    Unknown(String),
    #[error(transparent)]
    Request(#[from] RequestError),
}

/// Interpretation of a command.
pub(super) enum ParsedCommand {
    Request(IncomingRequest),
    /// Encoded response to a command that the balancer answers itself.
    Response(Vec<u8>),
    Malformed(CommandError),
    /// A command without words, which gets no response.
    Empty,
}

/// Interprets a complete command. `words` are the positions of its words in `input`.
pub(super) fn interpret(
    input: &[u8],
    words: &[Range<usize>],
    answer_token: AnswerToken,
    policy: LifecyclePolicy,
) -> ParsedCommand {
    let word = |i: usize| words.get(i).map_or(&[][..], |range| &input[range.clone()]);
    if words.is_empty() {
        return ParsedCommand::Empty;
    }
    let name = word(0).to_ascii_uppercase();
    match (name.as_slice(), words.len()) {
        (b"C.GET", 4) | (b"C.SET", 5) => {
            let value = (words.len() == 5).then(|| word(4).to_vec());
            parse_request([word(1), word(2), word(3)], value, answer_token).map_or_else(
                |e| ParsedCommand::Malformed(e.into()),
                ParsedCommand::Request,
            )
        }
        (b"C.GET" | b"C.SET", _) => ParsedCommand::Malformed(CommandError::ArgumentCount),
        (b"PING", _) if policy.ready => ParsedCommand::Response(b"+PONG\r\n".to_vec()),
        (b"PING", _) => ParsedCommand::Response(encode_error(&format!("LOADING {}", policy.state))),
        (b"CLIENT" | b"SELECT", _) => ParsedCommand::Response(b"+OK\r\n".to_vec()),
        _ => {
            let repeated = &word(0)[..word(0).len().min(REPEATED_NAME_MAX)];
            let name = repeated.escape_ascii().to_string();
            ParsedCommand::Malformed(CommandError::Unknown(name))
        }
    }
}

/// Creates a request from the key, id and fields of a command.
pub(super) fn parse_request(
    [key, id, fields]: [&[u8]; 3],
    value: Option<Vec<u8>>,
    answer_token: AnswerToken,
) -> Result<IncomingRequest, RequestError> {
    if key.is_empty() || id.is_empty() {
        return Err(RequestError::EmptyKeyOrId);
    }
    let fields = std::str::from_utf8(fields).map_err(|_| RequestError::FieldsNotUtf8)?;
    let fields = RequestFields::parse(fields)?;
    Ok(IncomingRequest {
        answer_token,
        class: fields
            .class
            .ok_or(RequestError::MissingField(field::CLASS))?,
        tenant: fields.tenant,
        client: ClientHistory::New,
        arrived_at: 0,
        client_timeout: fields
            .client_timeout
            .ok_or(RequestError::MissingField(field::CLIENT_TIMEOUT))
            .and_then(parse_client_timeout)?,
        estimated_work: fields.estimated_work,
        command: CacheCommand {
            value,
            key: key.to_vec(),
            request_id: id.to_vec(),
            fields: fields.forwarded,
        },
    })
}

/// Parsed fields of a request.
#[derive(Default)]
struct RequestFields<'a> {
    class: Option<String>,
    tenant: Option<String>,
    client_timeout: Option<&'a str>,
    estimated_work: Option<Nanos>,
    /// Fields that are forwarded with each attempt, each as `name=value,`: all except the client
    /// timeout.
    forwarded: String,
}

impl<'a> RequestFields<'a> {
    fn parse(text: &'a str) -> Result<Self, RequestError> {
        let mut fields = RequestFields {
            forwarded: String::with_capacity(text.len() + 1),
            ..RequestFields::default()
        };
        for field in text.split(',').filter(|field| !field.is_empty()) {
            let (name, value) = field
                .split_once('=')
                .ok_or_else(|| RequestError::FieldWithoutValue(field.to_string()))?;
            match name {
                field::CLASS => fields.class = Some(value.to_string()),
                field::TENANT => fields.tenant = Some(value.to_string()),
                field::CLIENT_TIMEOUT => fields.client_timeout = Some(value),
                field::ESTIMATED_WORK => fields.estimated_work = parse_estimated_work(value),
                _ => {}
            }
            if name != field::CLIENT_TIMEOUT {
                fields.forwarded.push_str(field);
                fields.forwarded.push(',');
            }
        }
        Ok(fields)
    }
}

/// Parses an estimate of work; `None` if it is invalid or out of range.
fn parse_estimated_work(text: &str) -> Option<Nanos> {
    let us: f64 = text.parse().ok()?;
    ESTIMATED_WORK_US
        .contains(&us)
        .then_some((us * 1_000.0) as Nanos)
}

/// Parses a client timeout. Only digits and dots are allowed, no sign and no `inf`, so that no
/// deadline overflows or lies in the past.
fn parse_client_timeout(text: &str) -> Result<Nanos, RequestError> {
    if !text.bytes().all(|b| b.is_ascii_digit() || b == b'.') {
        return Err(RequestError::InvalidTimeout(text.to_string()));
    }
    let ms: f64 = text
        .parse()
        .map_err(|_| RequestError::InvalidNumber(text.to_string()))?;
    if ms > CLIENT_TIMEOUT_MAX_MS {
        return Err(RequestError::TimeoutTooLong(text.to_string()));
    }
    Ok((ms * MS as f64) as Nanos)
}
