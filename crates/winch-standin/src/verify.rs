//! Tokens that a reader can verify without the engine.
//!
//! Each token carries a digest of the prompt and all preceding tokens, and a tag
//! of the version. A reader thus detects a missing, repeated or foreign token, parts of
//! different generations that do not continue each other, and a mix of versions.

use snafu::{OptionExt, Snafu, ensure};
use winch_generation::digest::Digest;

const DIGEST_DIGITS: usize = 8;
const TAG_DIGITS: usize = 2;
const SALT_DIGITS: usize = 2;

/// Returns the token that follows the prompt and tokens of `digest`.
///
/// `salt` identifies the engine. Readers do not verify it, but the digests of all later
/// tokens cover it.
pub fn token(digest: Digest, version: &str, salt: u8) -> String {
    format!(" {:08x}{}{salt:02x}", digest.0 as u32, version_tag(version))
}

/// Returns the two hexadecimal digits that stand for a version in its tokens.
pub fn version_tag(version: &str) -> String {
    format!("{:02x}", Digest::of(version.as_bytes()).0 as u8)
}

/// Fault of an answer that [`check`] found.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The token at `offset` does not have the format of [`token`].
    #[snafu(display("token {offset} is malformed"))]
    Malformed {
        /// Offset of the token.
        offset: usize,
    },
    /// The token at `offset` does not follow the tokens before it.
    #[snafu(display("token {offset} does not follow the tokens before it"))]
    Splice {
        /// Offset of the token.
        offset: usize,
    },
    /// The token at `offset` is of another version than the first one.
    #[snafu(display("token {offset} is of another version than the first"))]
    Mixed {
        /// Offset of the token.
        offset: usize,
    },
    /// The answer does not have the requested number of tokens.
    #[snafu(display("expected {want} tokens, got {got}"))]
    Length {
        /// Tokens received.
        got: usize,
        /// Tokens requested.
        want: usize,
    },
}

/// Checks that `tokens` are a whole answer of `want` tokens to `prompt`.
///
/// # Errors
/// Returns the fault at the lowest offset.
pub fn check<'a>(
    prompt: &str,
    tokens: impl IntoIterator<Item = &'a str>,
    want: usize,
) -> Result<(), Error> {
    let mut digest = Digest::of(prompt.as_bytes());
    let mut version = None;
    let mut got = 0;
    for (offset, token) in tokens.into_iter().enumerate() {
        let body = token.strip_prefix(' ').context(MalformedSnafu { offset })?;
        let (digest_digits, rest) =
            body.split_at_checked(DIGEST_DIGITS).context(MalformedSnafu { offset })?;
        let tag = rest.get(..TAG_DIGITS).context(MalformedSnafu { offset })?;
        ensure!(digest_digits == format!("{:08x}", digest.0 as u32), SpliceSnafu { offset });
        ensure!(*version.get_or_insert(tag) == tag, MixedSnafu { offset });
        digest = digest.push(token);
        got += 1;
    }
    ensure!(got == want, LengthSnafu { got, want });
    Ok(())
}

/// Splits the text of an answer into tokens of the length of [`token`]; the last one may be
/// shorter.
///
/// A part that does not begin and end on character boundaries becomes an empty token, which
/// [`check`] reports as malformed.
pub fn split(text: &str) -> impl Iterator<Item = &str> {
    const TOKEN_BYTES: usize = 1 + DIGEST_DIGITS + TAG_DIGITS + SALT_DIGITS;
    (0..text.len()).step_by(TOKEN_BYTES).map(|at| {
        let end = (at + TOKEN_BYTES).min(text.len());
        text.get(at..end).unwrap_or("")
    })
}
