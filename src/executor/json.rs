//! A parser for a single JSON value of bounded depth, and a writer for JSON strings.
//!
//! The parser keeps only what the executor protocol uses: strings, numbers and objects. It borrows from the
//! input, so its memory is bounded by the length of the line; [`MAX_DEPTH`] bounds the recursion.

use std::borrow::Cow;

/// Maximum nesting depth that the parser accepts.
const MAX_DEPTH: usize = 16;

/// A JSON value, reduced to what the executor protocol uses.
#[derive(Clone, Debug, PartialEq)]
pub enum Json<'a> {
    /// A string.
    Text(Cow<'a, str>),
    /// A number, in its original notation.
    Number(&'a str),
    /// The members of an object, in order.
    Object(Vec<(Cow<'a, str>, Json<'a>)>),
    /// An array, true, false or null; the protocol does not use them.
    Other,
}

impl<'a> Json<'a> {
    /// Returns the member of an object with the given name; `None` for values other than objects.
    pub fn get(&self, name: &str) -> Option<&Json<'a>> {
        let Json::Object(members) = self else { return None };
        members.iter().find(|(key, _)| key == name).map(|(_, value)| value)
    }

    /// Returns a string, or a number in its original notation: the protocol allows either for its fields.
    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            Json::Number(text) => Some(text),
            _ => None,
        }
    }
}

struct Parser<'a> {
    text: &'a str,
    position: usize,
}

/// Parses a text that consists of exactly one value.
pub fn parse(text: &str) -> Option<Json<'_>> {
    let mut parser = Parser { text, position: 0 };
    let value = parser.value(0)?;
    parser.skip_whitespace();
    (parser.position == text.len()).then_some(value)
}

impl<'a> Parser<'a> {
    fn peek(&self) -> Option<u8> {
        self.text.as_bytes().get(self.position).copied()
    }

    fn skip_whitespace(&mut self) {
        while matches!(self.peek(), Some(b' ' | b'\t' | b'\r' | b'\n')) {
            self.position += 1;
        }
    }

    /// Skips whitespace and consumes the given byte; returns `None` if another byte follows.
    fn expect(&mut self, byte: u8) -> Option<()> {
        self.skip_whitespace();
        (self.peek()? == byte).then(|| self.position += 1)
    }

    fn literal(&mut self, literal: &str) -> Option<Json<'a>> {
        self.text[self.position..].starts_with(literal).then(|| self.position += literal.len())?;
        Some(Json::Other)
    }

    fn value(&mut self, depth: usize) -> Option<Json<'a>> {
        if depth > MAX_DEPTH {
            return None;
        }
        self.skip_whitespace();
        match self.peek()? {
            b'"' => self.string().map(Json::Text),
            b'{' => self.object(depth),
            b'[' => self.array(depth),
            b't' => self.literal("true"),
            b'f' => self.literal("false"),
            b'n' => self.literal("null"),
            b'-' | b'0'..=b'9' => {
                let start = self.position;
                while matches!(self.peek(), Some(b'-' | b'+' | b'.' | b'e' | b'E' | b'0'..=b'9')) {
                    self.position += 1;
                }
                let number = &self.text[start..self.position];
                number.parse::<f64>().is_ok().then_some(Json::Number(number))
            }
            _ => None,
        }
    }

    fn object(&mut self, depth: usize) -> Option<Json<'a>> {
        self.expect(b'{')?;
        let mut members = Vec::new();
        if self.expect(b'}').is_some() {
            return Some(Json::Object(members));
        }
        loop {
            self.skip_whitespace();
            let name = self.string()?;
            self.expect(b':')?;
            members.push((name, self.value(depth + 1)?));
            if self.expect(b',').is_none() {
                self.expect(b'}')?;
                return Some(Json::Object(members));
            }
        }
    }

    fn array(&mut self, depth: usize) -> Option<Json<'a>> {
        self.expect(b'[')?;
        if self.expect(b']').is_some() {
            return Some(Json::Other);
        }
        loop {
            self.value(depth + 1)?;
            if self.expect(b',').is_none() {
                self.expect(b']')?;
                return Some(Json::Other);
            }
        }
    }

    fn string(&mut self) -> Option<Cow<'a, str>> {
        self.expect(b'"')?;
        let start = self.position;
        loop {
            match self.peek()? {
                b'"' => {
                    let text = &self.text[start..self.position];
                    self.position += 1;
                    return Some(Cow::Borrowed(text));
                }
                b'\\' => return self.string_with_escapes(start).map(Cow::Owned),
                0..=31 => return None,
                _ => self.position += 1,
            }
        }
    }

    /// Parses the rest of a string that began at `start`, from its first escape sequence on.
    fn string_with_escapes(&mut self, start: usize) -> Option<String> {
        let mut text = self.text[start..self.position].to_string();
        loop {
            let rest = self.text.get(self.position..)?;
            let c = rest.chars().next()?;
            self.position += c.len_utf8();
            match c {
                '"' => return Some(text),
                '\\' => text.push(self.escape()?),
                '\0'..='\x1f' => return None,
                c => text.push(c),
            }
        }
    }

    /// Parses an escape sequence after its backslash, including surrogate pairs.
    fn escape(&mut self) -> Option<char> {
        let c = self.peek()?;
        self.position += 1;
        Some(match c {
            b'"' | b'\\' | b'/' => char::from(c),
            b'b' => '\x08',
            b'f' => '\x0c',
            b'n' => '\n',
            b'r' => '\r',
            b't' => '\t',
            b'u' => {
                let high = self.hex()?;
                if !(0xd800..0xdc00).contains(&high) {
                    return char::from_u32(high);
                }
                let rest = self.text.get(self.position..)?;
                self.position += rest.starts_with("\\u").then_some(2)?;
                let low = self.hex()?.checked_sub(0xdc00).filter(|l| *l < 0x400)?;
                char::from_u32(0x10000 + ((high - 0xd800) << 10) + low)?
            }
            _ => return None,
        })
    }

    /// Parses four hexadecimal digits.
    fn hex(&mut self) -> Option<u32> {
        let digits = self.text.get(self.position..self.position + 4)?;
        self.position += 4;
        digits.bytes().all(|b| b.is_ascii_hexdigit()).then(|| u32::from_str_radix(digits, 16).ok())?
    }
}

/// Appends a quoted and escaped string.
pub fn write_string(out: &mut String, text: &str) {
    out.push('"');
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            '\0'..='\x1f' => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
}

#[cfg(test)]
mod tests;
