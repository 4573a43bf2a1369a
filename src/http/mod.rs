//! As much HTTP/1.1 as health checks, operators and the command line need: one call a connection, its head read by httparse. The agent and the
//! operators' door share it.

use crate::net::{Malformed, ProtocolHandler, Ring};

/// The longest head of a request.
pub const MOST_HEAD: usize = 8 * 1024;
/// The most headers of a request: as many as the longest head has room for.
const MOST_HEADERS: usize = MOST_HEAD / 4;
/// The longest body, which nothing here reads.
const MOST_BODY: usize = 4 * 1024;
/// Bytes that a connection's input must hold.
pub const MOST_CALL: usize = MOST_HEAD + MOST_BODY + 1024;

/// A request: its method and path.
#[derive(Debug, PartialEq)]
pub struct Asked {
    /// Its method.
    pub method: String,
    /// Its path, as it was sent.
    pub path: String,
}

/// A call that can't be used: the status that it is answered with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bad(pub u16);

/// The speaker on a connection that asks. The first call counts; what follows it is dropped.
#[derive(Default)]
pub struct Http {
    asked: bool,
}

impl Http {
    /// Whether its call has come, good or bad.
    pub fn asked(&self) -> bool {
        self.asked
    }
}

impl ProtocolHandler for Http {
    type Out = Vec<Result<Asked, Bad>>;

    fn on_received(&mut self, input: &mut Ring, out: &mut Self::Out) -> Result<(), Malformed> {
        if !self.asked
            && let Some(call) = read(input.contiguous())
        {
            self.asked = true;
            out.push(call);
        }
        if self.asked {
            input.consume(input.len());
        }
        Ok(())
    }
}

/// Reads a call once it is whole; what can't become one is known as soon as the part that is at fault is.
pub fn read(bytes: &[u8]) -> Option<Result<Asked, Bad>> {
    // Empty lines ahead of a call are passed over.
    let skipped = bytes.iter().take_while(|b| matches!(b, b'\r' | b'\n')).count();
    let bytes = &bytes[skipped..];
    let mut headers = vec![httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut call = httparse::Request::new(&mut headers);
    let head = match call.parse(&bytes[..bytes.len().min(MOST_HEAD)]) {
        Ok(httparse::Status::Complete(head)) => Some(head),
        Ok(httparse::Status::Partial) => None,
        Err(httparse::Error::TooManyHeaders) => return Some(Err(Bad(431))),
        Err(_) => return Some(Err(Bad(400))),
    };
    let shown = |path: &str| path.starts_with('/') && path.bytes().all(|b| b.is_ascii_graphic());
    if call.path.is_some_and(|path| !shown(path)) {
        return Some(Err(Bad(400)));
    }
    // Of a call that is not whole, those that are come first.
    let length = match length(call.headers.iter().take_while(|h| !h.name.is_empty())) {
        Ok(length) => length,
        Err(bad) => return Some(Err(bad)),
    };
    let Some(head) = head else { return (bytes.len() >= MOST_HEAD).then_some(Err(Bad(431))) };
    if length > MOST_BODY {
        return Some(Err(Bad(413)));
    }
    let (method, path) = call.method.zip(call.path)?;
    (bytes.len() >= head + length).then(|| Ok(Asked { method: method.to_string(), path: path.to_string() }))
}

/// The bytes of the body that the headers announce.
fn length<'a>(headers: impl Iterator<Item = &'a httparse::Header<'a>>) -> Result<usize, Bad> {
    let mut length = None;
    for header in headers {
        // A body without a length is more than is read here.
        if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(Bad(411));
        }
        if header.name.eq_ignore_ascii_case("content-length") {
            let digits = !header.value.is_empty() && header.value.iter().all(u8::is_ascii_digit);
            let text = std::str::from_utf8(header.value).ok().filter(|_| digits).ok_or(Bad(400))?;
            let told: usize = text.parse().map_err(|_| Bad(413))?;
            if length.is_some_and(|l| l != told) {
                return Err(Bad(400));
            }
            length = Some(told);
        }
    }
    Ok(length.unwrap_or(0))
}

/// The path's bytes with `%XX` taken for the byte that it stands for.
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

/// An answer, after which the connection closes.
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
