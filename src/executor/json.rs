//! Reads one JSON value, bounded in depth; writes JSON text.

use std::borrow::Cow;

/// The deepest nesting read.
const MOST_DEPTH: usize = 16;

/// A value, as far as the protocol needs it.
#[derive(Clone, Debug, PartialEq)]
pub enum Json<'a> {
    /// Text.
    Text(Cow<'a, str>),
    /// A number, as it was written.
    Number(&'a str),
    /// An object's members, in order.
    Object(Vec<(Cow<'a, str>, Json<'a>)>),
    /// An array, true, false or null: nothing in the protocol has them.
    Other,
}

impl<'a> Json<'a> {
    /// The member of an object.
    pub fn get(&self, name: &str) -> Option<&Json<'a>> {
        let Json::Object(members) = self else { return None };
        members.iter().find(|(n, _)| n == name).map(|(_, v)| v)
    }

    /// Text, or a number as it was written: fields may be either.
    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            Json::Number(text) => Some(text),
            _ => None,
        }
    }
}

struct Reader<'a> {
    text: &'a str,
    at: usize,
}

/// Reads a text that is one value and nothing else.
pub fn read(text: &str) -> Option<Json<'_>> {
    let mut r = Reader { text, at: 0 };
    let value = r.value(0)?;
    r.space();
    (r.at == text.len()).then_some(value)
}

impl<'a> Reader<'a> {
    fn peek(&self) -> Option<u8> {
        self.text.as_bytes().get(self.at).copied()
    }

    fn space(&mut self) {
        while matches!(self.peek(), Some(b' ' | b'\t' | b'\r' | b'\n')) {
            self.at += 1;
        }
    }

    fn eat(&mut self, byte: u8) -> Option<()> {
        self.space();
        (self.peek()? == byte).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str) -> Option<Json<'a>> {
        self.text[self.at..].starts_with(word).then(|| self.at += word.len())?;
        Some(Json::Other)
    }

    fn value(&mut self, depth: usize) -> Option<Json<'a>> {
        if depth > MOST_DEPTH {
            return None;
        }
        self.space();
        match self.peek()? {
            b'"' => self.string().map(Json::Text),
            b'{' => self.object(depth),
            b'[' => self.array(depth),
            b't' => self.word("true"),
            b'f' => self.word("false"),
            b'n' => self.word("null"),
            b'-' | b'0'..=b'9' => {
                let start = self.at;
                while matches!(self.peek(), Some(b'-' | b'+' | b'.' | b'e' | b'E' | b'0'..=b'9')) {
                    self.at += 1;
                }
                let number = &self.text[start..self.at];
                number.parse::<f64>().is_ok().then_some(Json::Number(number))
            }
            _ => None,
        }
    }

    fn object(&mut self, depth: usize) -> Option<Json<'a>> {
        self.eat(b'{')?;
        let mut members = Vec::new();
        if self.eat(b'}').is_some() {
            return Some(Json::Object(members));
        }
        loop {
            self.space();
            let name = self.string()?;
            self.eat(b':')?;
            members.push((name, self.value(depth + 1)?));
            if self.eat(b',').is_none() {
                self.eat(b'}')?;
                return Some(Json::Object(members));
            }
        }
    }

    fn array(&mut self, depth: usize) -> Option<Json<'a>> {
        self.eat(b'[')?;
        if self.eat(b']').is_some() {
            return Some(Json::Other);
        }
        loop {
            self.value(depth + 1)?;
            if self.eat(b',').is_none() {
                self.eat(b']')?;
                return Some(Json::Other);
            }
        }
    }

    fn string(&mut self) -> Option<Cow<'a, str>> {
        self.eat(b'"')?;
        let start = self.at;
        loop {
            match self.peek()? {
                b'"' => {
                    let text = &self.text[start..self.at];
                    self.at += 1;
                    return Some(Cow::Borrowed(text));
                }
                b'\\' => return self.escaped(start).map(Cow::Owned),
                0..=31 => return None,
                _ => self.at += 1,
            }
        }
    }

    /// The rest of a string whose text so far began at `start`, from its first escape on.
    fn escaped(&mut self, start: usize) -> Option<String> {
        let mut text = self.text[start..self.at].to_string();
        loop {
            let rest = self.text.get(self.at..)?;
            let c = rest.chars().next()?;
            self.at += c.len_utf8();
            match c {
                '"' => return Some(text),
                '\\' => text.push(self.escape()?),
                '\0'..='\x1f' => return None,
                c => text.push(c),
            }
        }
    }

    fn escape(&mut self) -> Option<char> {
        let c = self.peek()?;
        self.at += 1;
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
                let rest = self.text.get(self.at..)?;
                self.at += rest.starts_with("\\u").then_some(2)?;
                let low = self.hex()?.checked_sub(0xdc00).filter(|l| *l < 0x400)?;
                char::from_u32(0x10000 + ((high - 0xd800) << 10) + low)?
            }
            _ => return None,
        })
    }

    fn hex(&mut self) -> Option<u32> {
        let digits = self.text.get(self.at..self.at + 4)?;
        self.at += 4;
        digits.bytes().all(|b| b.is_ascii_hexdigit()).then(|| u32::from_str_radix(digits, 16).ok())?
    }
}

/// Appends a string in quotes.
pub fn quote(out: &mut String, text: &str) {
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
