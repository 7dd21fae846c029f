//! A small JSON reader and writer. Numbers keep their text, so that integers of 64 bits survive.

#[derive(Clone, Debug, PartialEq)]
pub enum J {
    Null,
    Bool(bool),
    Num(String),
    Str(String),
    Arr(Vec<J>),
    Obj(Vec<(String, J)>),
}

pub static NULL: J = J::Null;

impl J {
    pub fn int(n: u64) -> J {
        J::Num(n.to_string())
    }

    pub fn real(n: f64) -> J {
        J::Num(format!("{n:.3}"))
    }

    pub fn str(s: &str) -> J {
        J::Str(s.to_owned())
    }

    pub fn obj(fields: Vec<(&str, J)>) -> J {
        J::Obj(fields.into_iter().map(|(k, v)| (k.to_owned(), v)).collect())
    }

    pub fn get(&self, key: &str) -> &J {
        match self {
            J::Obj(f) => f.iter().find(|(k, _)| k == key).map_or(&NULL, |(_, v)| v),
            _ => &NULL,
        }
    }

    pub fn u64(&self) -> Option<u64> {
        match self {
            J::Num(t) => t.parse().ok(),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            J::Str(t) => Some(t),
            _ => None,
        }
    }

    pub fn bool(&self) -> bool {
        *self == J::Bool(true)
    }

    pub fn list(&self) -> &[J] {
        match self {
            J::Arr(a) => a,
            _ => &[],
        }
    }

    pub fn parse(text: &str) -> Option<J> {
        let mut p = Parser { s: text.as_bytes(), i: 0 };
        let v = p.value()?;
        p.space();
        (p.i == p.s.len()).then_some(v)
    }

    pub fn write(&self) -> String {
        let mut out = String::new();
        self.write_to(&mut out);
        out
    }

    fn write_to(&self, out: &mut String) {
        match self {
            J::Null => out.push_str("null"),
            J::Bool(b) => out.push_str(if *b { "true" } else { "false" }),
            J::Num(t) => out.push_str(t),
            J::Str(t) => write_str(t, out),
            J::Arr(a) => {
                out.push('[');
                for (i, v) in a.iter().enumerate() {
                    if i > 0 {
                        out.push(',');
                    }
                    v.write_to(out);
                }
                out.push(']');
            }
            J::Obj(f) => {
                out.push('{');
                for (i, (k, v)) in f.iter().enumerate() {
                    if i > 0 {
                        out.push(',');
                    }
                    write_str(k, out);
                    out.push(':');
                    v.write_to(out);
                }
                out.push('}');
            }
        }
    }
}

fn write_str(text: &str, out: &mut String) {
    out.push('"');
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 32 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
}

struct Parser<'a> {
    s: &'a [u8],
    i: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.s.get(self.i).is_some_and(u8::is_ascii_whitespace) {
            self.i += 1;
        }
    }

    fn peek(&mut self) -> Option<u8> {
        self.space();
        self.s.get(self.i).copied()
    }

    fn eat(&mut self, c: u8) -> Option<()> {
        (self.peek()? == c).then(|| self.i += 1)
    }

    fn word(&mut self, w: &str, v: J) -> Option<J> {
        let end = self.i + w.len();
        (self.s.get(self.i..end)? == w.as_bytes()).then(|| {
            self.i = end;
            v
        })
    }

    fn value(&mut self) -> Option<J> {
        match self.peek()? {
            b'{' => self.object(),
            b'[' => self.array(),
            b'"' => Some(J::Str(self.string()?)),
            b't' => self.word("true", J::Bool(true)),
            b'f' => self.word("false", J::Bool(false)),
            b'n' => self.word("null", J::Null),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<J> {
        let start = self.i;
        while self.s.get(self.i).is_some_and(|c| b"+-.eE0123456789".contains(c)) {
            self.i += 1;
        }
        let text = std::str::from_utf8(&self.s[start..self.i]).ok()?;
        text.parse::<f64>().ok()?;
        Some(J::Num(text.to_owned()))
    }

    fn object(&mut self) -> Option<J> {
        self.eat(b'{')?;
        let mut fields = Vec::new();
        if self.peek()? == b'}' {
            self.i += 1;
            return Some(J::Obj(fields));
        }
        loop {
            self.space();
            let key = self.string()?;
            self.eat(b':')?;
            fields.push((key, self.value()?));
            if self.peek()? == b',' {
                self.i += 1;
                continue;
            }
            self.eat(b'}')?;
            return Some(J::Obj(fields));
        }
    }

    fn array(&mut self) -> Option<J> {
        self.eat(b'[')?;
        let mut items = Vec::new();
        if self.peek()? == b']' {
            self.i += 1;
            return Some(J::Arr(items));
        }
        loop {
            items.push(self.value()?);
            if self.peek()? == b',' {
                self.i += 1;
                continue;
            }
            self.eat(b']')?;
            return Some(J::Arr(items));
        }
    }

    fn string(&mut self) -> Option<String> {
        self.eat(b'"')?;
        let mut out = Vec::new();
        loop {
            let c = *self.s.get(self.i)?;
            self.i += 1;
            match c {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let e = *self.s.get(self.i)?;
                    self.i += 1;
                    let decoded = match e {
                        b'n' => '\n',
                        b't' => '\t',
                        b'r' => '\r',
                        b'b' => '\u{8}',
                        b'f' => '\u{c}',
                        b'u' => {
                            let hex = std::str::from_utf8(self.s.get(self.i..self.i + 4)?).ok()?;
                            self.i += 4;
                            char::from_u32(u32::from_str_radix(hex, 16).ok()?)?
                        }
                        other => other as char,
                    };
                    out.extend_from_slice(decoded.to_string().as_bytes());
                }
                c => out.push(c),
            }
        }
    }
}
