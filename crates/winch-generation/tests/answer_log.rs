//! Compares the log with one that accepts every token, while attempts are lost, late and
//! concurrent.

use assert_matches::assert_matches;
use proptest::prelude::*;
use winch_generation::{
    answer::{Answer, Attempt, Rejection},
    digest::Digest,
};

const PROMPT: &[u8] = b"stub layout";
/// Number of tokens of the complete answer.
const LENGTH: usize = 12;

/// An event that affects an answer. A number selects an engine by its age, 0 for the newest.
#[derive(Clone, Debug)]
enum Input {
    Start,
    Hedge,
    Abandon(usize),
    Append(usize),
    Repeat(usize),
    Skip(usize),
    End(usize),
}

fn inputs() -> impl Strategy<Value = Vec<Input>> {
    let age = 0..4_usize;
    let input = prop_oneof![
        2 => Just(Input::Start),
        2 => Just(Input::Hedge),
        1 => age.clone().prop_map(Input::Abandon),
        12 => age.clone().prop_map(Input::Append),
        1 => age.clone().prop_map(Input::Repeat),
        1 => age.clone().prop_map(Input::Skip),
        2 => age.prop_map(Input::End),
    ];
    prop::collection::vec(input, 1..120)
}

/// An engine's attempt. It continues the tokens that the log had when it started.
struct Engine {
    attempt: Attempt,
    offset: usize,
    digest: Digest,
    /// Makes this engine's tokens differ from those of other engines, so that a mix of their
    /// tokens is detected.
    salt: usize,
}

impl Engine {
    /// Generates the next token; returns it with its offset.
    fn next(&mut self) -> (usize, String) {
        let token = format!("{:x}.{}", self.digest.0 as u32, self.salt);
        let offset = self.offset;
        self.offset += 1;
        self.digest = self.digest.push(&token);
        (offset, token)
    }
}

/// Whether each token continues exactly the tokens before it.
fn is_exact<'a>(tokens: impl Iterator<Item = &'a str>) -> bool {
    let mut digest = Digest::of(PROMPT);
    tokens.into_iter().all(|token| {
        let follows = token.starts_with(&format!("{:x}.", digest.0 as u32));
        digest = digest.push(token);
        follows
    })
}

/// A log that ignores attempts and offsets and appends every token.
#[derive(Default)]
struct UncheckedLog(Vec<String>);

/// The operations that [`Answer`] and [`UncheckedLog`] have in common.
trait Log {
    fn attempt(&mut self, is_hedge: bool) -> Attempt;
    fn append(&mut self, attempt: Attempt, offset: usize, token: &str);
    fn tokens(&self) -> Vec<String>;
    fn abandon(&mut self, attempt: Attempt);
    fn end(&mut self, attempt: Attempt, total: usize) -> bool;
}

impl Log for Answer {
    fn attempt(&mut self, is_hedge: bool) -> Attempt {
        if is_hedge { self.start_hedge() } else { self.start_attempt() }
    }

    fn append(&mut self, attempt: Attempt, offset: usize, token: &str) {
        let before = self.len();
        let result = Answer::append(self, attempt, offset, token);
        assert_eq!(self.len(), before + usize::from(result.is_ok()));
    }

    fn tokens(&self) -> Vec<String> {
        Answer::tokens(self).map(str::to_owned).collect()
    }

    fn abandon(&mut self, attempt: Attempt) {
        Answer::abandon(self, attempt);
    }

    fn end(&mut self, attempt: Attempt, total: usize) -> bool {
        Answer::end(self, attempt, total).is_ok()
    }
}

impl Log for UncheckedLog {
    fn attempt(&mut self, _is_hedge: bool) -> Attempt {
        Attempt(0)
    }

    fn append(&mut self, _attempt: Attempt, _offset: usize, token: &str) {
        self.0.push(token.to_owned());
    }

    fn tokens(&self) -> Vec<String> {
        self.0.clone()
    }

    fn abandon(&mut self, _attempt: Attempt) {}

    fn end(&mut self, _attempt: Attempt, total: usize) -> bool {
        self.0.len() == total
    }
}

/// Applies the inputs; returns whether the tokens are exact after each one and unchanged after
/// the end.
fn stays_exact(log: &mut impl Log, inputs: &[Input]) -> bool {
    let mut engines: Vec<Engine> = Vec::new();
    let mut ended: Option<usize> = None;
    for input in inputs {
        match input {
            Input::Start | Input::Hedge => {
                let attempt = log.attempt(matches!(input, Input::Hedge));
                let tokens = log.tokens();
                let digest =
                    tokens.iter().fold(Digest::of(PROMPT), |digest, token| digest.push(token));
                let salt = engines.len();
                engines.push(Engine { attempt, offset: tokens.len(), digest, salt });
            }
            Input::Abandon(age) => {
                if let Some(engine) = pick(&mut engines, *age) {
                    log.abandon(engine.attempt);
                }
            }
            Input::Append(age) => {
                if let Some(engine) = pick(&mut engines, *age).filter(|e| e.offset < LENGTH) {
                    let (offset, token) = engine.next();
                    log.append(engine.attempt, offset, &token);
                }
            }
            Input::Repeat(age) | Input::Skip(age) => {
                if let Some(engine) = pick(&mut engines, *age) {
                    let skipped = usize::from(matches!(input, Input::Skip(_)));
                    let offset = (engine.offset + skipped).saturating_sub(1 - skipped);
                    let is_wrong = offset != log.tokens().len();
                    if is_wrong {
                        log.append(engine.attempt, offset, "stray");
                    }
                }
            }
            Input::End(age) => {
                if let Some(engine) = pick(&mut engines, *age)
                    && engine.offset == LENGTH
                    && log.end(engine.attempt, LENGTH)
                {
                    ended.get_or_insert(log.tokens().len());
                }
            }
        }
        let tokens = log.tokens();
        if !is_exact(tokens.iter().map(String::as_str)) || ended.is_some_and(|n| n != tokens.len())
        {
            return false;
        }
    }
    true
}

/// The engine that is older than `age` others, or the oldest one.
fn pick(engines: &mut [Engine], age: usize) -> Option<&mut Engine> {
    // The newest engines are the most likely to be live.
    let last = engines.len().checked_sub(1)?;
    engines.get_mut(last - age.min(last))
}

fn config() -> ProptestConfig {
    ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(4), ..Default::default() }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn tokens_exact(inputs in inputs()) {
        prop_assert!(stays_exact(&mut Answer::new(PROMPT), &inputs));
    }

    #[test]
    fn equal_without_faults(count in 1..LENGTH) {
        let inputs: Vec<Input> = std::iter::once(Input::Start)
            .chain(std::iter::repeat_n(Input::Append(0), count)).collect();
        let (mut log, mut unchecked) = (Answer::new(PROMPT), UncheckedLog::default());
        prop_assert!(stays_exact(&mut log, &inputs) && stays_exact(&mut unchecked, &inputs));
        prop_assert_eq!(Log::tokens(&log), unchecked.tokens());
    }
}

#[test]
fn unchecked_log_splices() {
    use Input::{Append, Hedge, Start};
    let inputs = [Start, Append(0), Hedge, Append(0), Append(1)];
    assert!(!stays_exact(&mut UncheckedLog::default(), &inputs));
    assert!(stays_exact(&mut Answer::new(PROMPT), &inputs));
}

#[test]
fn late_tokens_rejected() {
    let mut answer = Answer::new(PROMPT);
    let first = answer.start_attempt();
    assert_matches!(answer.append(first, 0, "a"), Ok(_));
    let second = answer.start_attempt();
    assert_matches!(answer.append(first, 1, "late"), Err(Rejection::Stale));
    assert_matches!(answer.append(second, 0, "again"), Err(Rejection::Duplicate));
    assert_matches!(answer.append(second, 2, "far"), Err(Rejection::Gap));
    assert_matches!(answer.append(second, 1, "b"), Ok(_));
    assert_matches!(answer.end(second, 3), Err(Rejection::Gap));
    assert_matches!(answer.end(second, 2), Ok(()));
    assert_matches!(answer.append(second, 2, "after"), Err(Rejection::Ended));
    assert_eq!(answer.text(), "ab");
}
