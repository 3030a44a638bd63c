//! One generation as its caller asked for it.

use serde::Deserialize;
use winch_config::object::Team;
use winch_generation::{
    cursor::{self, Cursor},
    digest::Digest,
};
use winch_route::suspect::{Fingerprint, fingerprint};

use crate::prelude::*;

/// Most tokens that a caller may ask for.
pub const MOST_TOKENS: usize = 65_536;
const DEFAULT_TOKENS: usize = 256;

/// Body of `POST /v1/completions` and `POST /v1/chat/completions`.
#[derive(Debug, Deserialize)]
pub struct Body {
    model: String,
    prompt: Option<String>,
    messages: Option<Vec<Message>>,
    max_tokens: Option<usize>,
    #[serde(default)]
    stream: bool,
    accepted: Option<Vec<String>>,
}

#[derive(Debug, Deserialize)]
struct Message {
    role: String,
    content: String,
}

/// What a caller that comes back already holds.
#[derive(Clone, Debug)]
pub struct Held {
    /// What its last event id says.
    pub cursor: Cursor,
    /// The tokens, if the caller sent them along.
    pub tokens: Option<Vec<String>>,
}

/// One generation.
#[derive(Clone, Debug)]
pub struct Job {
    /// Drawn at random when it was accepted.
    pub request: u64,
    /// The caller.
    pub team: Arc<Team>,
    /// The model asked for.
    pub model: Name,
    /// The prompt.
    pub prompt: String,
    /// Tokens of the whole answer.
    pub max_tokens: usize,
    /// Digest of team, model, prompt and length, to match a ticket to its request.
    pub body: u64,
    /// Fingerprint for the board of suspects.
    pub fingerprint: Fingerprint,
    /// Whether the caller wants tokens as they come.
    pub stream: bool,
    /// Whether the caller speaks the chat form.
    pub chat: bool,
    /// Set when the caller comes back.
    pub held: Option<Held>,
}

/// Why a request was refused.
pub type Refusal = (Code, String);

impl Job {
    /// Reads a request.
    ///
    /// # Errors
    /// The code and message for the caller.
    pub fn read(
        body: &[u8],
        chat: bool,
        team: Arc<Team>,
        last_event_id: Option<&str>,
        key: &cursor::Key,
    ) -> Result<Self, Refusal> {
        let body: Body =
            serde_json::from_slice(body).map_err(|e| (Code::BadRequest, e.to_string()))?;
        let max_tokens = body.max_tokens.unwrap_or(DEFAULT_TOKENS);
        if !(1..=MOST_TOKENS).contains(&max_tokens) {
            let message = format!("max_tokens must be between 1 and {MOST_TOKENS}");
            return Err((Code::BadRequest, message));
        }
        let prompt = prompt(body.prompt, body.messages, chat)?;
        let fingerprint = fingerprint(&team.name, &body.model, &prompt);
        let digest = Digest::of(prompt.as_bytes()).push(&team.name).push(&body.model);
        let mut job = Self {
            request: rand::random(),
            model: body.model.into(),
            prompt,
            max_tokens,
            body: digest.push(&max_tokens.to_string()).0,
            fingerprint,
            stream: body.stream,
            chat,
            held: None,
            team,
        };
        if let Some(id) = last_event_id {
            job.hold(id, body.accepted, key)?;
        }
        Ok(job)
    }

    fn hold(
        &mut self,
        id: &str,
        tokens: Option<Vec<String>>,
        key: &cursor::Key,
    ) -> Result<(), Refusal> {
        let cursor = Cursor::decode(id, key).map_err(|e| (Code::BadTicket, e.to_string()))?;
        if cursor.body != self.body {
            let message = "the event id belongs to another request".to_owned();
            return Err((Code::BadTicket, message));
        }
        if let Some(tokens) = &tokens {
            let start = Digest::of(self.prompt.as_bytes());
            let digest = tokens.iter().fold(start, |digest, token| digest.push(token));
            if tokens.len() != cursor.offset || digest != cursor.digest {
                let message = "`accepted` does not match the event id".to_owned();
                return Err((Code::BadTicket, message));
            }
        }
        self.request = cursor.request;
        self.held = Some(Held { cursor, tokens });
        Ok(())
    }
}

fn prompt(
    prompt: Option<String>,
    messages: Option<Vec<Message>>,
    chat: bool,
) -> Result<String, Refusal> {
    if !chat {
        return prompt.ok_or_else(|| (Code::BadRequest, "`prompt` is missing".to_owned()));
    }
    let messages = messages.filter(|messages| !messages.is_empty());
    let messages =
        messages.ok_or_else(|| (Code::BadRequest, "`messages` is missing".to_owned()))?;
    Ok(messages.iter().map(|m| format!("{}: {}\n", m.role, m.content)).collect())
}
