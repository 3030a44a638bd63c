//! The token log of one answer and the attempts that may append to it.
//!
//! Tokens and end markers of all attempts go in with their offsets. Those of a live attempt
//! that continue the log are accepted; all others are rejected with a reason.

use snafu::Snafu;

use crate::digest::Digest;

/// Id of an attempt to generate an answer; later attempts of an answer have higher ids.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attempt(pub u32);

/// Why a token or an end marker was rejected. The daemon counts each reason
/// separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Rejection {
    /// The attempt was replaced or abandoned.
    #[snafu(display("the attempt is no longer live"))]
    Stale,
    /// The log already has a token at this offset.
    #[snafu(display("the offset is already filled"))]
    Duplicate,
    /// The token or end marker would leave a gap in the log.
    #[snafu(display("the offset is beyond the next one"))]
    Gap,
    /// The answer has ended.
    #[snafu(display("the answer has ended"))]
    Ended,
}

/// The effect of an accepted token on the live attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Accept {
    /// The attempt was the only live one.
    Appended,
    /// The attempt was first among several; the others are no longer live.
    Won,
}

/// The log of one answer, which holds each accepted token exactly once.
///
/// Usually one attempt is live. While one that may have stalled still runs, a second
/// attempt may run as a hedge; the first attempt to yield the next token wins.
#[derive(Clone, Debug)]
pub struct Answer {
    text: String,
    /// End of each token in `text`, in bytes.
    ends: Vec<u32>,
    digest: Digest,
    /// Id of the next attempt.
    next_attempt: u32,
    /// The attempts that may still append, oldest first.
    live: Vec<Attempt>,
    has_ended: bool,
}

impl Answer {
    /// Creates an empty answer to `prompt`.
    pub fn new(prompt: &[u8]) -> Self {
        Self {
            text: String::new(),
            ends: Vec::new(),
            digest: Digest::of(prompt),
            next_attempt: 0,
            live: Vec::new(),
            has_ended: false,
        }
    }

    /// Creates an answer that starts with tokens that the caller already has.
    pub fn with_prefix<'a>(prompt: &[u8], tokens: impl IntoIterator<Item = &'a str>) -> Self {
        let mut answer = Self::new(prompt);
        tokens.into_iter().for_each(|token| answer.push(token));
        answer
    }

    /// Starts an attempt that replaces all live attempts.
    pub fn start_attempt(&mut self) -> Attempt {
        self.live.clear();
        self.start_hedge()
    }

    /// Starts an attempt in addition to the live ones.
    pub fn start_hedge(&mut self) -> Attempt {
        let attempt = Attempt(self.next_attempt);
        self.next_attempt += 1;
        self.live.push(attempt);
        attempt
    }

    /// Abandons an attempt, for example after its connection broke.
    pub fn abandon(&mut self, attempt: Attempt) {
        self.live.retain(|live| *live != attempt);
    }

    /// Appends the token that `attempt` generated at `offset`, counted in tokens from the start of
    /// the answer, and abandons all other attempts.
    ///
    /// # Errors
    /// A [`Rejection`] if the token must not be appended; the log is unchanged.
    pub fn append(
        &mut self,
        attempt: Attempt,
        offset: usize,
        token: &str,
    ) -> Result<Accept, Rejection> {
        self.check_attempt(attempt)?;
        if offset < self.len() {
            return DuplicateSnafu.fail();
        }
        if offset > self.len() {
            return GapSnafu.fail();
        }
        self.push(token);
        Ok(self.select(attempt))
    }

    /// Ends the answer, because `attempt` sent an end marker after `total` tokens of the answer.
    ///
    /// # Errors
    /// A [`Rejection`] if the attempt is not live, the answer has ended or `total` is not the
    /// length of the log; the log is unchanged.
    pub fn end(&mut self, attempt: Attempt, total: usize) -> Result<(), Rejection> {
        self.check_attempt(attempt)?;
        if total < self.len() {
            return DuplicateSnafu.fail();
        }
        if total > self.len() {
            return GapSnafu.fail();
        }
        self.select(attempt);
        self.has_ended = true;
        Ok(())
    }

    fn check_attempt(&self, attempt: Attempt) -> Result<(), Rejection> {
        if self.has_ended {
            return EndedSnafu.fail();
        }
        if !self.live.contains(&attempt) {
            return StaleSnafu.fail();
        }
        Ok(())
    }

    /// Keeps `attempt` as the only live one; returns whether there were others.
    fn select(&mut self, attempt: Attempt) -> Accept {
        if self.live.len() == 1 {
            return Accept::Appended;
        }
        self.live.retain(|live| *live == attempt);
        Accept::Won
    }

    fn push(&mut self, token: &str) {
        self.text.push_str(token);
        self.ends.push(u32::try_from(self.text.len()).expect("an answer is shorter than 4 GiB"));
        self.digest = self.digest.push(token);
    }

    /// The number of tokens.
    pub fn len(&self) -> usize {
        self.ends.len()
    }

    /// Whether no token has been accepted.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Whether an end marker was accepted.
    pub fn is_ended(&self) -> bool {
        self.has_ended
    }

    /// The attempts that may still append.
    pub fn live(&self) -> &[Attempt] {
        &self.live
    }

    /// The text of all tokens.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// The digest of the prompt and all tokens.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// The tokens, first to last.
    pub fn tokens(&self) -> impl Iterator<Item = &str> {
        let starts = std::iter::once(0).chain(self.ends.iter().copied());
        starts.zip(self.ends.iter()).map(|(start, end)| &self.text[start as usize..*end as usize])
    }

    /// The memory allocated for the text and the token ends of this answer, in bytes, with the
    /// size of the value itself.
    pub fn footprint(&self) -> usize {
        self.text.capacity() + self.ends.capacity() * size_of::<u32>() + size_of::<Self>()
    }
}
