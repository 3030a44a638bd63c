//! The log of one answer and the attempts that may append to it.

use snafu::Snafu;

use crate::digest::Digest;

/// Number of one attempt; rises within an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attempt(pub u32);

/// Why a token was dropped. Each has a counter of its own in the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Rejection {
    /// The attempt has been replaced.
    #[snafu(display("the attempt is no longer live"))]
    Stale,
    /// The offset is already filled.
    #[snafu(display("the offset is already filled"))]
    Duplicate,
    /// The token would leave a gap.
    #[snafu(display("the offset is beyond the next one"))]
    Gap,
    /// The answer has ended.
    #[snafu(display("the answer has ended"))]
    Ended,
}

/// What an accepted token did besides growing the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Accept {
    /// The only live attempt went on.
    Appended,
    /// This attempt won over the others, which are no longer live.
    Won,
}

/// One answer: every token accepted so far, each exactly once.
///
/// Usually one attempt is live. While an engine is suspected a second one may
/// run beside it; the first of them to yield the next token wins.
#[derive(Clone, Debug)]
pub struct Answer {
    text: String,
    ends: Vec<u32>,
    digest: Digest,
    next: u32,
    live: Vec<Attempt>,
    ended: bool,
}

impl Answer {
    /// An empty answer to `prompt`.
    pub fn new(prompt: &[u8]) -> Self {
        Self {
            text: String::new(),
            ends: Vec::new(),
            digest: Digest::of(prompt),
            next: 0,
            live: Vec::new(),
            ended: false,
        }
    }

    /// Seeds the log with tokens that the caller already holds.
    pub fn with_prefix<'a>(prompt: &[u8], tokens: impl IntoIterator<Item = &'a str>) -> Self {
        let mut answer = Self::new(prompt);
        tokens.into_iter().for_each(|token| answer.push(token));
        answer
    }

    /// Starts an attempt that replaces all live ones.
    pub fn start(&mut self) -> Attempt {
        self.live.clear();
        self.hedge()
    }

    /// Starts an attempt beside the live ones.
    pub fn hedge(&mut self) -> Attempt {
        let attempt = Attempt(self.next);
        self.next += 1;
        self.live.push(attempt);
        attempt
    }

    /// Gives up one attempt, such as one whose connection broke.
    pub fn abandon(&mut self, attempt: Attempt) {
        self.live.retain(|live| *live != attempt);
    }

    /// Appends the token at `offset`, as told by `attempt`.
    ///
    /// # Errors
    /// A [`Rejection`] when the log must not change.
    pub fn append(
        &mut self,
        attempt: Attempt,
        offset: usize,
        token: &str,
    ) -> Result<Accept, Rejection> {
        self.admit(attempt)?;
        if offset < self.len() {
            return DuplicateSnafu.fail();
        }
        if offset > self.len() {
            return GapSnafu.fail();
        }
        self.push(token);
        Ok(self.win(attempt))
    }

    /// Marks the end of the answer, as told by `attempt`, at `total` tokens.
    ///
    /// # Errors
    /// A [`Rejection`] when the mark does not match the log.
    pub fn end(&mut self, attempt: Attempt, total: usize) -> Result<(), Rejection> {
        self.admit(attempt)?;
        if total < self.len() {
            return DuplicateSnafu.fail();
        }
        if total > self.len() {
            return GapSnafu.fail();
        }
        self.win(attempt);
        self.ended = true;
        Ok(())
    }

    fn admit(&self, attempt: Attempt) -> Result<(), Rejection> {
        if self.ended {
            return EndedSnafu.fail();
        }
        if !self.live.contains(&attempt) {
            return StaleSnafu.fail();
        }
        Ok(())
    }

    fn win(&mut self, attempt: Attempt) -> Accept {
        if self.live.len() == 1 {
            return Accept::Appended;
        }
        self.live.retain(|live| *live == attempt);
        Accept::Won
    }

    fn push(&mut self, token: &str) {
        self.text.push_str(token);
        self.ends.push(u32::try_from(self.text.len()).expect("answers stay below 4 GiB"));
        self.digest = self.digest.push(token);
    }

    /// Number of tokens.
    pub fn len(&self) -> usize {
        self.ends.len()
    }

    /// Whether no token has been accepted.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Whether the end mark was accepted.
    pub fn is_ended(&self) -> bool {
        self.ended
    }

    /// Attempts that may still append.
    pub fn live(&self) -> &[Attempt] {
        &self.live
    }

    /// The whole text so far.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Digest of the prompt and all tokens.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// The tokens in order.
    pub fn tokens(&self) -> impl Iterator<Item = &str> {
        let starts = std::iter::once(0).chain(self.ends.iter().copied());
        starts.zip(self.ends.iter()).map(|(a, b)| &self.text[a as usize..*b as usize])
    }

    /// Bytes held by this answer.
    pub fn footprint(&self) -> usize {
        self.text.capacity() + self.ends.capacity() * size_of::<u32>() + size_of::<Self>()
    }
}
