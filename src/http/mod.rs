//! A minimal HTTP/1.1 server side for health checks, operators and the command line: one request per connection, whose head
//! is parsed by httparse. The agent and the operators' door share it. Head and body sizes are bounded.

use crate::net::{Malformed, ProtocolHandler, Ring};

/// The longest accepted head of a request.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Headers per request: as many as fit in the longest head.
const MAX_HEADERS: usize = MAX_HEAD_BYTES / 4;
/// The longest accepted body; bodies are ignored.
const MAX_BODY_BYTES: usize = 4 * 1024;
/// The required capacity of a connection's input buffer.
pub const MOST_CALL: usize = MAX_HEAD_BYTES + MAX_BODY_BYTES + 1024;

/// A parsed request.
#[derive(Debug, PartialEq)]
pub struct Asked {
    /// Its method.
    pub method: String,
    /// Its path, as it was sent.
    pub path: String,
}

/// The status that an invalid request is answered with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bad(pub u16);

/// Decodes the input of a server connection. Only the first request is handled; further input is discarded.
#[derive(Default)]
pub struct Http {
    asked: bool,
}

impl Http {
    /// Returns whether a request has been received, valid or not.
    pub fn asked(&self) -> bool {
        self.asked
    }
}

impl ProtocolHandler for Http {
    type Out = Vec<Result<Asked, Bad>>;

    fn on_received(&mut self, input: &mut Ring, out: &mut Self::Out) -> Result<(), Malformed> {
        if !self.asked
            && let Some(request) = parse_request(input.contiguous())
        {
            self.asked = true;
            out.push(request);
        }
        if self.asked {
            input.consume(input.len());
        }
        Ok(())
    }
}

/// Parses a request once it is complete; an invalid one is reported as soon as its invalid part has arrived.
pub fn parse_request(bytes: &[u8]) -> Option<Result<Asked, Bad>> {
    // Empty lines before a request are skipped.
    let empty_bytes = bytes.iter().take_while(|b| matches!(b, b'\r' | b'\n')).count();
    let bytes = &bytes[empty_bytes..];
    let mut headers = vec![httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let head = match request.parse(&bytes[..bytes.len().min(MAX_HEAD_BYTES)]) {
        Ok(httparse::Status::Complete(head)) => Some(head),
        Ok(httparse::Status::Partial) => None,
        Err(httparse::Error::TooManyHeaders) => return Some(Err(Bad(431))),
        Err(_) => return Some(Err(Bad(400))),
    };
    let is_valid = |path: &str| path.starts_with('/') && path.bytes().all(|b| b.is_ascii_graphic());
    if request.path.is_some_and(|path| !is_valid(path)) {
        return Some(Err(Bad(400)));
    }
    // In an incomplete request the parsed headers come first; the rest are empty.
    let length = match content_length(request.headers.iter().take_while(|h| !h.name.is_empty())) {
        Ok(length) => length,
        Err(bad) => return Some(Err(bad)),
    };
    let Some(head) = head else { return (bytes.len() >= MAX_HEAD_BYTES).then_some(Err(Bad(431))) };
    if length > MAX_BODY_BYTES {
        return Some(Err(Bad(413)));
    }
    let (method, path) = request.method.zip(request.path)?;
    (bytes.len() >= head + length).then(|| Ok(Asked { method: method.to_string(), path: path.to_string() }))
}

/// Returns the length of the body according to the headers.
fn content_length<'a>(headers: impl Iterator<Item = &'a httparse::Header<'a>>) -> Result<usize, Bad> {
    let mut length = None;
    for header in headers {
        // Transfer codings are not supported, so a length is required.
        if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(Bad(411));
        }
        if header.name.eq_ignore_ascii_case("content-length") {
            let digits = !header.value.is_empty() && header.value.iter().all(u8::is_ascii_digit);
            let text = std::str::from_utf8(header.value).ok().filter(|_| digits).ok_or(Bad(400))?;
            let announced: usize = text.parse().map_err(|_| Bad(413))?;
            if length.is_some_and(|l| l != announced) {
                return Err(Bad(400));
            }
            length = Some(announced);
        }
    }
    Ok(length.unwrap_or(0))
}

/// Decodes percent-escapes; returns `None` if an escape is invalid or the result is not UTF-8.
pub fn unescape(path: &str) -> Option<String> {
    let mut out = Vec::with_capacity(path.len());
    let mut rest = path.as_bytes();
    while let Some((byte, tail)) = rest.split_first() {
        rest = tail;
        if *byte != b'%' {
            out.push(*byte);
            continue;
        }
        let (digits, tail) = rest.split_at_checked(2)?;
        let text = std::str::from_utf8(digits).ok().filter(|t| t.bytes().all(|b| b.is_ascii_hexdigit()))?;
        out.push(u8::from_str_radix(text, 16).ok()?);
        rest = tail;
    }
    String::from_utf8(out).ok()
}

/// Encodes a response, after which the connection is closed.
pub fn answer(status: u16, body: &str) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        411 => "Length Required",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        _ => "Service Unavailable",
    };
    let length = body.len();
    format!(
        "HTTP/1.1 {status} {reason}\r\nContent-Type: text/plain\r\nContent-Length: {length}\r\n\
         Connection: close\r\n\r\n{body}"
    )
    .into_bytes()
}

#[cfg(test)]
mod tests;
