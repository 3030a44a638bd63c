//! Parsing and validation of generation requests.

use serde::Deserialize;
use winch_config::object::Team;
use winch_generation::{
    cursor::{self, Cursor},
    digest::Digest,
};
use winch_route::suspect::{Fingerprint, fingerprint};

use crate::prelude::*;

/// Largest `max_tokens` that a caller may request.
pub const MAX_TOKENS: usize = 65_536;
/// `max_tokens` of a request that does not state it.
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
    /// Tokens that a resuming caller has received.
    accepted: Option<Vec<String>>,
}

#[derive(Debug, Deserialize)]
struct Message {
    role: String,
    content: String,
}

/// Position at which a caller resumes an answer.
#[derive(Clone, Debug)]
pub struct ResumePoint {
    /// Cursor decoded from the caller's last event id.
    pub cursor: Cursor,
    /// Tokens that the caller received, if it sent them.
    pub tokens: Option<Vec<String>>,
}

/// A validated generation request.
#[derive(Clone, Debug)]
pub struct Job {
    /// Random id, kept when the caller resumes the answer.
    pub request: u64,
    /// Team of the caller.
    pub team: Arc<Team>,
    /// The requested model.
    pub model: Name,
    /// The prompt; chat messages are joined into one text.
    pub prompt: String,
    /// Number of tokens of the whole answer.
    pub max_tokens: usize,
    /// Digest of team, model, prompt and `max_tokens`, compared with that of a cursor.
    pub body_digest: u64,
    /// Fingerprint under which strikes of the request are counted.
    pub fingerprint: Fingerprint,
    /// Whether the answer is streamed as server-sent events.
    pub stream: bool,
    /// Whether the answer has the chat completion format.
    pub chat: bool,
    /// Set when the caller resumes an answer.
    pub resume: Option<ResumePoint>,
}

/// Result code and message for a refused request.
pub type Refusal = (Code, String);

impl Job {
    /// Parses a request body and, if present, the last event id, which `key` authenticates.
    ///
    /// `chat` selects the chat completion format.
    ///
    /// # Errors
    /// A [`Refusal`] if the body or the event id is invalid.
    pub fn parse(
        body: &[u8],
        chat: bool,
        team: Arc<Team>,
        last_event_id: Option<&str>,
        key: &cursor::Key,
    ) -> Result<Self, Refusal> {
        let body: Body =
            serde_json::from_slice(body).map_err(|e| (Code::BadRequest, e.to_string()))?;
        let max_tokens = body.max_tokens.unwrap_or(DEFAULT_TOKENS);
        if !(1..=MAX_TOKENS).contains(&max_tokens) {
            let message = format!("max_tokens must be between 1 and {MAX_TOKENS}");
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
            body_digest: digest.push(&max_tokens.to_string()).0,
            fingerprint,
            stream: body.stream,
            chat,
            resume: None,
            team,
        };
        if let Some(id) = last_event_id {
            job.resume_from(id, body.accepted, key)?;
        }
        Ok(job)
    }

    /// Sets the point at which the caller resumes, after checking that the event id and `tokens`
    /// belong to this request.
    fn resume_from(
        &mut self,
        id: &str,
        tokens: Option<Vec<String>>,
        key: &cursor::Key,
    ) -> Result<(), Refusal> {
        let cursor = Cursor::decode(id, key).map_err(|e| (Code::BadTicket, e.to_string()))?;
        if cursor.body_digest != self.body_digest {
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
        self.resume = Some(ResumePoint { cursor, tokens });
        Ok(())
    }
}

/// The prompt of a completion, or the messages of a chat joined into one text.
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
