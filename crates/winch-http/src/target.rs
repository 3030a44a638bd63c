//! Request targets, as they stand in the head of a request.

use std::{
    fmt::{self, Display, Write as _},
    ops::Deref,
    sync::Arc,
};

/// A request target. It holds no blank and no control byte, so that it cannot change the rest of a
/// head, whatever text it was made of.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Target(Arc<str>);

impl Target {
    /// Takes a target as it was received; `None` if it cannot stand in a head.
    pub fn parse(text: &str) -> Option<Self> {
        let is_target = !text.is_empty() && text.bytes().all(is_graphic);
        is_target.then(|| Self(text.into()))
    }

    /// The target with this path, which may have a query. What cannot stand in a target is
    /// percent-encoded; everything else stays, also what is encoded already.
    pub fn new(path: &str) -> Self {
        Self(percent_encode(path, |byte| byte.is_ascii_graphic() && byte != b'#').into())
    }

    /// Appends `text` to the path as one segment. A target with a query gets no further segment.
    pub fn with_segment(self, text: impl Display) -> Self {
        let text = percent_encode(&text.to_string(), |byte| {
            is_unreserved(byte) || b"!$&'()*+,;=:@".contains(&byte)
        });
        Self(format!("{self}/{text}").into())
    }

    /// Appends a parameter to the query.
    pub fn with_parameter(self, name: &str, value: impl Display) -> Self {
        let separator = if self.contains('?') { '&' } else { '?' };
        let value = percent_encode(&value.to_string(), |byte| is_unreserved(byte) || byte == b'/');
        Self(format!("{self}{separator}{name}={value}").into())
    }
}

/// Whether a byte is neither a blank nor a control byte. Bytes beyond ASCII pass as received.
fn is_graphic(byte: u8) -> bool {
    byte.is_ascii_graphic() || !byte.is_ascii()
}

fn is_unreserved(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte)
}

/// Percent-encodes the bytes of `text` that are not `kept`.
pub fn percent_encode(text: &str, kept: impl Fn(u8) -> bool) -> String {
    let mut out = String::with_capacity(text.len());
    for byte in text.bytes() {
        if kept(byte) && byte.is_ascii() {
            out.push(char::from(byte));
        } else {
            write!(out, "%{byte:02X}").expect("a String takes all text");
        }
    }
    out
}

impl Deref for Target {
    type Target = str;

    fn deref(&self) -> &str {
        &self.0
    }
}

impl Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl PartialEq<&str> for Target {
    fn eq(&self, other: &&str) -> bool {
        *self.0 == **other
    }
}
