//! Splits JSON texts into their parts without decoding these.
//!
//! A store returns the objects of other writers as they were written. One that a decoder rejects, such as a number beyond
//! the range of a double, half of a surrogate pair, a list that is nested too deeply or bytes that are not UTF-8, would
//! make the decoding of the whole response fail, and with it the use of all other objects.

use std::str;

/// Opens or closes a list or an object, separates or surrounds values.
const PUNCTUATION: &[u8] = b",:[]{} \t\r\n\"";

/// Returns the elements of a list; `None` if `text` has not the form of one.
pub fn elements(text: &[u8]) -> Option<Vec<&[u8]>> {
    let mut scanner = Scanner::new(text);
    let mut elements = Vec::new();
    scanner.expect(b'[')?;
    if scanner.accept(b']') {
        return scanner.end().then_some(elements);
    }
    loop {
        elements.push(scanner.value()?);
        if scanner.accept(b']') {
            return scanner.end().then_some(elements);
        }
        scanner.expect(b',')?;
    }
}

/// Returns the members of an object by name; `None` if `text` has not the form of one. Members whose names are not UTF-8
/// are left out.
pub fn members(text: &[u8]) -> Option<Vec<(&str, &[u8])>> {
    let mut scanner = Scanner::new(text);
    let mut members = Vec::new();
    scanner.expect(b'{')?;
    if scanner.accept(b'}') {
        return scanner.end().then_some(members);
    }
    loop {
        let name = scanner.string()?;
        scanner.expect(b':')?;
        let value = scanner.value()?;
        let name = name.get(1..name.len() - 1)?;
        members.extend(str::from_utf8(name).ok().map(|name| (name, value)));
        if scanner.accept(b'}') {
            return scanner.end().then_some(members);
        }
        scanner.expect(b',')?;
    }
}

/// Returns the value of a member; of several with the same name, the last one.
pub fn member<'a>(members: &[(&str, &'a [u8])], name: &str) -> Option<&'a [u8]> {
    let mut members = members.iter().rev();
    members
        .find(|(known, _)| *known == name)
        .map(|(_, value)| *value)
}

struct Scanner<'a> {
    text: &'a [u8],
    at: usize,
}

impl<'a> Scanner<'a> {
    fn new(text: &'a [u8]) -> Scanner<'a> {
        Scanner { text, at: 0 }
    }

    fn peek(&mut self) -> Option<u8> {
        let rest = self.text.get(self.at..)?;
        let space = rest.iter().take_while(|byte| byte.is_ascii_whitespace());
        self.at += space.count();
        self.text.get(self.at).copied()
    }

    fn accept(&mut self, expected: u8) -> bool {
        let is_next = self.peek() == Some(expected);
        self.at += usize::from(is_next);
        is_next
    }

    fn expect(&mut self, expected: u8) -> Option<()> {
        self.accept(expected).then_some(())
    }

    fn end(&mut self) -> bool {
        self.peek().is_none()
    }

    /// Skips a value and returns its text.
    fn value(&mut self) -> Option<&'a [u8]> {
        match self.peek()? {
            b'"' => self.string(),
            b'[' | b'{' => self.container(),
            _ => self.scalar(),
        }
    }

    /// Skips a string and returns its text with the quotes.
    fn string(&mut self) -> Option<&'a [u8]> {
        self.peek();
        let start = self.at;
        self.expect(b'"')?;
        loop {
            match self.text.get(self.at)? {
                b'"' => break,
                b'\\' => self.at += 2,
                _ => self.at += 1,
            }
        }
        self.at += 1;
        self.text.get(start..self.at)
    }

    /// Skips a list or an object, however deep.
    fn container(&mut self) -> Option<&'a [u8]> {
        let start = self.at;
        let mut depth = 0_usize;
        loop {
            match self.text.get(self.at)? {
                b'"' => {
                    self.string()?;
                    continue;
                }
                b'[' | b'{' => depth += 1,
                b']' | b'}' => depth -= 1,
                _ => {}
            }
            self.at += 1;
            if depth == 0 {
                return self.text.get(start..self.at);
            }
        }
    }

    /// Skips a number or a word, which need not be valid.
    fn scalar(&mut self) -> Option<&'a [u8]> {
        let start = self.at;
        let rest = self.text.get(start..)?;
        let length = rest.iter().take_while(|byte| !PUNCTUATION.contains(byte));
        self.at += length.count();
        self.text
            .get(start..self.at)
            .filter(|text| !text.is_empty())
    }
}
