//! Parsing and writing of request and reply heads.

use std::ops::RangeInclusive;

use bytes::{Buf, BytesMut};
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header};

use crate::{Fault, target::Target};

/// Largest number of header fields in one head.
const MAX_FIELDS: usize = 96;

/// Statuses that a reply can have.
const STATUSES: RangeInclusive<u16> = 100..=599;

/// Headers that apply to a single connection and are never forwarded.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// The request target as received, including the query.
    pub target: Target,
    /// Minor version of HTTP/1.x.
    pub minor: u8,
    /// All header fields.
    pub headers: HeaderMap,
}

impl Request {
    /// Returns whether the sender keeps the connection open for another request.
    pub fn keeps_alive(&self) -> bool {
        keeps_alive(self.minor, &self.headers)
    }
}

/// The head of a reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The status.
    pub status: StatusCode,
    /// Minor version of HTTP/1.x.
    pub minor: u8,
    /// All header fields.
    pub headers: HeaderMap,
}

impl Reply {
    /// Returns whether the sender keeps the connection open for another request.
    pub fn keeps_alive(&self) -> bool {
        keeps_alive(self.minor, &self.headers)
    }

    /// Returns how long the sender keeps an idle connection open, in seconds; `None` if the
    /// reply does not state it.
    pub fn idle_limit_s(&self) -> Option<u64> {
        let text = self.headers.get("keep-alive")?.to_str().ok()?;
        let parameter = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
        parameter.trim().parse().ok()
    }
}

fn keeps_alive(minor: u8, headers: &HeaderMap) -> bool {
    match minor {
        0 => has_connection_token(headers, "keep-alive"),
        _ => !has_connection_token(headers, "close"),
    }
}

fn has_connection_token(headers: &HeaderMap, token: &str) -> bool {
    let values = headers.get_all(header::CONNECTION).iter();
    let mut tokens = values.filter_map(|value| value.to_str().ok()).flat_map(|v| v.split(','));
    tokens.any(|part| part.trim().eq_ignore_ascii_case(token))
}

/// Removes the head of a request from `input`; `None` if it is incomplete.
///
/// # Errors
/// [`Fault::Malformed`], or [`Fault::HeadTooLarge`] if it has more than `limit` bytes or
/// too many fields.
pub fn take_request(input: &mut BytesMut, limit: usize) -> Result<Option<Request>, Fault> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = httparse::Request::new(&mut fields);
    let length = match parsed.parse(input) {
        Ok(httparse::Status::Complete(length)) if length <= limit => length,
        Ok(httparse::Status::Partial) if input.len() <= limit => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(Fault::HeadTooLarge),
        Err(_) => return Err(Fault::Malformed),
    };
    let method = parsed.method.and_then(|text| Method::from_bytes(text.as_bytes()).ok());
    let request = Request {
        method: method.ok_or(Fault::Malformed)?,
        target: parsed.path.and_then(Target::parse).ok_or(Fault::Malformed)?,
        minor: parsed.version.ok_or(Fault::Malformed)?,
        headers: header_map(parsed.headers)?,
    };
    input.advance(length);
    Ok(Some(request))
}

/// Removes the head of a reply from `input`; `None` if it is incomplete.
///
/// # Errors
/// [`Fault::Malformed`], or [`Fault::HeadTooLarge`] if it has more than `limit` bytes or
/// too many fields.
pub fn take_reply(input: &mut BytesMut, limit: usize) -> Result<Option<Reply>, Fault> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = httparse::Response::new(&mut fields);
    let length = match parsed.parse(input) {
        Ok(httparse::Status::Complete(length)) if length <= limit => length,
        Ok(httparse::Status::Partial) if input.len() <= limit => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(Fault::HeadTooLarge),
        Err(_) => return Err(Fault::Malformed),
    };
    let status = parsed.code.filter(|code| STATUSES.contains(code));
    let status = status.and_then(|code| StatusCode::from_u16(code).ok());
    let reply = Reply {
        status: status.ok_or(Fault::Malformed)?,
        minor: parsed.version.ok_or(Fault::Malformed)?,
        headers: header_map(parsed.headers)?,
    };
    input.advance(length);
    Ok(Some(reply))
}

fn header_map(fields: &[httparse::Header<'_>]) -> Result<HeaderMap, Fault> {
    let mut headers = HeaderMap::with_capacity(fields.len());
    for field in fields {
        let name = HeaderName::from_bytes(field.name.as_bytes()).map_err(|_| Fault::Malformed)?;
        let value = HeaderValue::from_bytes(field.value).map_err(|_| Fault::Malformed)?;
        headers.append(name, value);
    }
    Ok(headers)
}

/// Whether a line, without its end, is a header field.
pub(crate) fn is_field(line: &[u8]) -> bool {
    let Some(colon) = line.iter().position(|byte| *byte == b':') else { return false };
    HeaderName::from_bytes(&line[..colon]).is_ok()
        && HeaderValue::from_bytes(line[colon + 1..].trim_ascii()).is_ok()
}

/// Removes the headers that apply to a single connection.
///
/// Fields named by the `Connection` header are removed too, except those in `keep`.
pub fn strip_hop_by_hop(headers: &mut HeaderMap, keep: &[&str]) {
    let values = headers.get_all(header::CONNECTION).iter();
    let named: Vec<HeaderName> = values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|token| HeaderName::from_bytes(token.trim().as_bytes()).ok())
        .filter(|name| !keep.iter().any(|kept| name.as_str().eq_ignore_ascii_case(kept)))
        .collect();
    for name in named.iter().chain(HOP_BY_HOP.iter()) {
        headers.remove(name);
    }
}

/// Appends the head of a request to `out`.
pub fn put_request(out: &mut BytesMut, method: &Method, target: &Target, headers: &HeaderMap) {
    for part in [method.as_str(), " ", &**target, " HTTP/1.1\r\n"] {
        out.extend_from_slice(part.as_bytes());
    }
    put_fields(out, headers);
}

/// Appends the head of a reply to `out`.
pub fn put_reply(out: &mut BytesMut, status: StatusCode, headers: &HeaderMap) {
    let reason = status.canonical_reason().unwrap_or("Unknown");
    for part in ["HTTP/1.1 ", status.as_str(), " ", reason, "\r\n"] {
        out.extend_from_slice(part.as_bytes());
    }
    put_fields(out, headers);
}

fn put_fields(out: &mut BytesMut, headers: &HeaderMap) {
    for (name, value) in headers {
        out.extend_from_slice(name.as_str().as_bytes());
        out.extend_from_slice(b": ");
        out.extend_from_slice(value.as_bytes());
        out.extend_from_slice(b"\r\n");
    }
    out.extend_from_slice(b"\r\n");
}
