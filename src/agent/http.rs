//! As much HTTP/1.1 as health checks and the command line need: one request a connection.

use crate::net::{Callbacks, Malformed, Ring};

/// The longest head of a request.
pub const MOST_HEAD: usize = 8 * 1024;

/// A request: its method and path.
#[derive(Debug, PartialEq)]
pub struct Asked {
    pub method: String,
    pub path: String,
}

/// The speaker on a connection that asks.
#[derive(Default)]
pub struct Http {
    asked: bool,
}

impl Callbacks for Http {
    type Out = Vec<Asked>;

    fn received(&mut self, input: &mut Ring, out: &mut Vec<Asked>) -> Result<(), Malformed> {
        let bytes = input.contiguous();
        let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") else { return Ok(()) };
        let head = std::str::from_utf8(&bytes[..end]).map_err(|_| Malformed("a head that is no text"))?;
        let mut words = head.lines().next().unwrap_or_default().split(' ');
        let (Some(method), Some(path), Some(version)) = (words.next(), words.next(), words.next()) else {
            return Err(Malformed("no HTTP request"));
        };
        if !version.starts_with("HTTP/1.") {
            return Err(Malformed("no HTTP/1 request"));
        }
        if !self.asked {
            out.push(Asked { method: method.to_string(), path: path.to_string() });
        }
        self.asked = true;
        input.consume(end + 4);
        Ok(())
    }
}

/// An answer, after which the connection closes.
pub fn answer(status: u16, body: &str) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        404 => "Not Found",
        405 => "Method Not Allowed",
        _ => "Service Unavailable",
    };
    let length = body.len();
    format!(
        "HTTP/1.1 {status} {reason}\r\nContent-Type: text/plain\r\nContent-Length: {length}\r\n\
         Connection: close\r\n\r\n{body}"
    )
    .into_bytes()
}
