//! Tokens that prove their own place.
//!
//! Every token carries the digest of the prompt and all tokens before it, and
//! a mark of the version. A missing, repeated, foreign or spliced token is
//! found by the reader alone.

use snafu::{OptionExt, Snafu, ensure};
use winch_generation::digest::Digest;

const DIGEST_DIGITS: usize = 8;
const MARK_DIGITS: usize = 2;

/// Makes the token that follows `digest`; `salt` differs between engines.
pub fn token(digest: Digest, version: &str, salt: u8) -> String {
    format!(" {:08x}{}{salt:02x}", digest.0 as u32, version_tag(version))
}

/// Two digits that stand for a version.
pub fn version_tag(version: &str) -> String {
    format!("{:02x}", Digest::of(version.as_bytes()).0 as u8)
}

/// What is wrong with an answer.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The token at `offset` is not one of ours.
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
    /// The token at `offset` is of another version than the first.
    #[snafu(display("token {offset} is of another version"))]
    Mixed {
        /// Offset of the token.
        offset: usize,
    },
    /// The answer has another number of tokens than asked for.
    #[snafu(display("{got} tokens instead of {want}"))]
    Length {
        /// Tokens received.
        got: usize,
        /// Tokens asked for.
        want: usize,
    },
}

/// Checks a whole answer to `prompt`.
///
/// # Errors
/// The first [`Error`] in the order of tokens.
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
        let (place, rest) =
            body.split_at_checked(DIGEST_DIGITS).context(MalformedSnafu { offset })?;
        let mark = rest.get(..MARK_DIGITS).context(MalformedSnafu { offset })?;
        ensure!(place == format!("{:08x}", digest.0 as u32), SpliceSnafu { offset });
        ensure!(*version.get_or_insert(mark) == mark, MixedSnafu { offset });
        digest = digest.push(token);
        got += 1;
    }
    ensure!(got == want, LengthSnafu { got, want });
    Ok(())
}

/// Splits a whole text into its tokens.
pub fn split(text: &str) -> impl Iterator<Item = &str> {
    const TOKEN_BYTES: usize = 1 + DIGEST_DIGITS + MARK_DIGITS + 2;
    (0..text.len()).step_by(TOKEN_BYTES).map(|at| {
        let end = (at + TOKEN_BYTES).min(text.len());
        text.get(at..end).unwrap_or("")
    })
}
