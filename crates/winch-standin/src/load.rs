//! Sends a fixed number of generations to the daemons, verifies the answers token by
//! token, and measures latencies as the callers see them.

use std::{sync::Arc, time::Duration};

use bytes::BytesMut;
use futures_util::StreamExt;
use hdrhistogram::Histogram;
use reqwest::{Client, Response};
use serde_json::{Value, json};
use snafu::{ResultExt, Snafu};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

use crate::verify;

/// Settings of a load.
#[derive(Clone, Debug)]
pub struct Options {
    /// Base URLs of the daemons.
    pub daemons: Vec<String>,
    /// API key of the team.
    pub key: String,
    /// Model to request.
    pub model: String,
    /// Total number of generations.
    pub count: usize,
    /// Maximum number of generations that run at the same time.
    pub parallel: usize,
    /// Tokens of each answer.
    pub tokens: usize,
    /// Length of each prompt in bytes.
    pub prompt_bytes: usize,
    /// Maximum number of reconnects of one caller whose streams break. It reconnects to the next
    /// daemon in turn.
    pub reconnects: usize,
}

/// Results and latencies of all callers.
#[derive(Debug)]
pub struct Outcome {
    /// Number of answers that were complete and passed verification.
    pub complete: usize,
    /// Why each other answer failed.
    pub failures: Vec<String>,
    /// Milliseconds to the first token.
    pub first_token: Histogram<u64>,
    /// Milliseconds between tokens.
    pub gap: Histogram<u64>,
    /// Longest gap of each answer in milliseconds.
    pub longest_gap: Histogram<u64>,
    /// Number of reconnects of all callers.
    pub reconnects: usize,
}

/// Why an attempt of a caller ended early.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The connection failed, before or within the response.
    #[snafu(display("the connection failed: {source}"))]
    Connection {
        /// Error of the HTTP client.
        source: reqwest::Error,
    },
    /// The stream closed without its end marker.
    #[snafu(display("the stream closed without its end marker"))]
    Incomplete,
    /// The daemon answered with an error status or an error event.
    #[snafu(display("refused: {body}"))]
    Refused {
        /// Body of the response, or data of the event.
        body: String,
    },
}

/// A caller that reads one answer, over several connections if streams break.
#[derive(Debug, Default)]
pub struct Caller {
    /// Tokens received, in order.
    pub tokens: Vec<String>,
    /// Last event id received, which serves as the resume cursor.
    pub last_id: Option<String>,
    /// Arrival time of each token, counted from the start of the first request.
    pub times: Vec<Duration>,
}

impl Caller {
    /// Sends a request, or resumes it after [`Self::last_id`], and reads to the end marker.
    ///
    /// `started` is the time of the first request, from which [`Self::times`] count.
    ///
    /// # Errors
    /// If the stream breaks, is refused or closes early; tokens received so far are kept.
    pub async fn read(
        &mut self,
        client: &Client,
        daemon: &str,
        key: &str,
        body: &Value,
        started: Instant,
    ) -> Result<(), Error> {
        let mut body = body.clone();
        let mut request = client.post(format!("{daemon}/v1/completions")).bearer_auth(key);
        if let Some(id) = &self.last_id {
            request = request.header("last-event-id", id);
            body["accepted"] = json!(self.tokens);
        }
        let response = request.json(&body).send().await.context(ConnectionSnafu)?;
        if !response.status().is_success() {
            let body = response.text().await.unwrap_or_default();
            return RefusedSnafu { body }.fail();
        }
        self.read_events(response, started).await
    }

    async fn read_events(&mut self, response: Response, started: Instant) -> Result<(), Error> {
        let mut chunks = response.bytes_stream();
        let mut buffer = BytesMut::new();
        while let Some(chunk) = chunks.next().await {
            buffer.extend_from_slice(&chunk.context(ConnectionSnafu)?);
            while let Some(end) = buffer.windows(2).position(|pair| pair == b"\n\n") {
                let event = buffer.split_to(end + 2);
                if self.receive(&String::from_utf8_lossy(&event), started)? {
                    return Ok(());
                }
            }
        }
        IncompleteSnafu.fail()
    }

    /// Records one event; returns whether it is the end marker.
    fn receive(&mut self, event: &str, started: Instant) -> Result<bool, Error> {
        for line in event.lines() {
            if let Some(id) = line.strip_prefix("id: ") {
                self.last_id = Some(id.to_owned());
            }
            let Some(data) = line.strip_prefix("data: ") else {
                continue;
            };
            if data == "[DONE]" {
                return Ok(true);
            }
            let value: Value = serde_json::from_str(data).unwrap_or_default();
            if value.get("error").is_some() {
                return RefusedSnafu { body: data }.fail();
            }
            if let Some(text) = value["choices"][0]["text"].as_str().filter(|text| !text.is_empty())
            {
                self.tokens.push(text.to_owned());
                self.times.push(started.elapsed());
            }
        }
        Ok(false)
    }
}

/// Runs all generations and collects their results.
pub async fn run(options: Options) -> Outcome {
    let options = Arc::new(options);
    let client = Client::builder().no_proxy().build().expect("a client without TLS always builds");
    let mut outcome = Outcome {
        complete: 0,
        failures: Vec::new(),
        first_token: histogram(),
        gap: histogram(),
        longest_gap: histogram(),
        reconnects: 0,
    };
    let mut running = JoinSet::new();
    for number in 0..options.count {
        if running.len() >= options.parallel {
            collect(&mut running, &mut outcome).await;
        }
        running.spawn(generate(client.clone(), options.clone(), number));
    }
    while !running.is_empty() {
        collect(&mut running, &mut outcome).await;
    }
    outcome
}

fn histogram() -> Histogram<u64> {
    const HOUR_MS: u64 = 3_600_000;
    Histogram::new_with_max(HOUR_MS, 3).expect("the bounds are valid")
}

/// A caller, its reconnects, and the verification of its answer.
type Finished = (Caller, usize, Result<(), String>);

/// Adds the results of the next caller that finishes to `outcome`.
async fn collect(running: &mut JoinSet<Finished>, outcome: &mut Outcome) {
    let Some(Ok((caller, reconnects, result))) = running.join_next().await else {
        return;
    };
    outcome.reconnects += reconnects;
    match result {
        Ok(()) => outcome.complete += 1,
        Err(reason) => outcome.failures.push(reason),
    }
    let ms = |time: Duration| time.as_millis() as u64;
    if let Some(first) = caller.times.first() {
        outcome.first_token.saturating_record(ms(*first));
    }
    let gaps = caller.times.windows(2).map(|pair| ms(pair[1] - pair[0]));
    gaps.clone().for_each(|gap| outcome.gap.saturating_record(gap));
    outcome.longest_gap.saturating_record(gaps.max().unwrap_or(0));
}

/// Reads one answer, with reconnects, and verifies it.
async fn generate(client: Client, options: Arc<Options>, number: usize) -> Finished {
    const RECONNECT_DELAY: Duration = Duration::from_millis(300);
    let prompt = prompt(number, options.prompt_bytes);
    let body = json!({
        "model": options.model, "prompt": prompt, "max_tokens": options.tokens, "stream": true,
    });
    let mut caller = Caller::default();
    let started = Instant::now();
    let mut reconnects = 0;
    let result = loop {
        let daemon = &options.daemons[(number + reconnects) % options.daemons.len()];
        match caller.read(&client, daemon, &options.key, &body, started).await {
            Ok(()) => break Ok(()),
            Err(error @ Error::Refused { .. }) => break Err(error.to_string()),
            Err(error) if reconnects >= options.reconnects => break Err(error.to_string()),
            Err(_) => {
                reconnects += 1;
                sleep(RECONNECT_DELAY).await;
            }
        }
    };
    let tokens = caller.tokens.iter().map(String::as_str);
    let verified = verify::check(&prompt, tokens, options.tokens).map_err(|e| e.to_string());
    (caller, reconnects, result.and(verified))
}

/// Returns a unique prompt, filled up to a length of `bytes`.
fn prompt(number: usize, bytes: usize) -> String {
    let mut prompt = format!("request {number} {:x}: ", rand::random::<u32>());
    let missing = bytes.saturating_sub(prompt.len());
    prompt.extend(std::iter::repeat_n('x', missing));
    prompt
}
