//! Command line that runs one stand-in as a process, sends load or sends one request.

use std::{net::SocketAddr, process::ExitCode, time::Duration};

use gumdrop::Options;
use tokio::net::TcpListener;
use winch_standin::{engine, load, platform, relay, service};

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(command, required)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "simulate a model engine")]
    Engine(Engine),
    #[options(help = "simulate a plain service that counts its effects")]
    Service(Listen),
    #[options(help = "simulate the platform: table, objects, weight permits, membership list")]
    Platform(Listen),
    #[options(help = "run a minimal proxy, the baseline for the cost of the request path")]
    Relay(Relay),
    #[options(help = "send a fixed number of generations and verify the answers")]
    Load(Load),
    #[options(help = "send one HTTP request; prints status and body")]
    Send(Send),
}

#[derive(Debug, Options)]
struct Engine {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, help = "address to listen on")]
    listen: Option<SocketAddr>,
    #[options(required, help = "version to run")]
    version: String,
    #[options(default = "16", help = "generations that run at the same time")]
    slots: usize,
    #[options(default = "20", help = "milliseconds between tokens")]
    gap_ms: u64,
    #[options(default = "100", help = "microseconds of prefill per token")]
    prefill_us: u64,
    #[options(
        default = "5000",
        help = "milliseconds that a generation continues without a reader"
    )]
    linger_ms: u64,
    #[options(help = "refuse version changes with an outdated fencing token")]
    fencing: bool,
}

#[derive(Debug, Options)]
struct Listen {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, help = "address to listen on")]
    listen: Option<SocketAddr>,
}

#[derive(Debug, Options)]
struct Relay {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, help = "address to listen on")]
    listen: Option<SocketAddr>,
    #[options(required, help = "address of an engine; may be repeated")]
    engine: Vec<SocketAddr>,
    #[options(required, help = "version that the engines run")]
    version: String,
}

#[derive(Debug, Options)]
struct Load {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, help = "base URL of a daemon; may be repeated")]
    daemon: Vec<String>,
    #[options(required, help = "API key")]
    key: String,
    #[options(required, help = "model to request")]
    model: String,
    #[options(default = "10", help = "total number of generations")]
    count: usize,
    #[options(default = "10", help = "generations that run at the same time")]
    parallel: usize,
    #[options(default = "50", help = "tokens of each answer")]
    tokens: usize,
    #[options(default = "200", help = "bytes of each prompt")]
    prompt_bytes: usize,
    #[options(default = "3", help = "reconnects of a caller after its stream broke")]
    reconnects: usize,
}

#[derive(Debug, Options)]
struct Send {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "URL of the request")]
    url: String,
    #[options(default = "GET", help = "HTTP method")]
    method: String,
    #[options(help = "bearer token")]
    bearer: Option<String>,
    #[options(help = "idempotency key")]
    idempotency_key: Option<String>,
    #[options(help = "JSON body")]
    body: Option<String>,
    #[options(help = "seconds to retry until the response is a success")]
    wait: Option<u64>,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    match arguments.command {
        Some(Command::Engine(options)) => run_engine(options).await,
        Some(Command::Service(options)) => {
            let filter = service::Service::default().filter();
            warp::serve(filter).incoming(bind(options.listen).await).run().await;
        }
        Some(Command::Platform(options)) => {
            let filter = platform::Platform::default().filter();
            warp::serve(filter).incoming(bind(options.listen).await).run().await;
        }
        Some(Command::Relay(options)) => {
            let filter = relay::Relay::new(options.engine, &options.version).filter();
            warp::serve(filter).incoming(bind(options.listen).await).run().await;
        }
        Some(Command::Load(options)) => return run_load(options).await,
        Some(Command::Send(options)) => return run_send(&options).await,
        None => return ExitCode::from(2),
    }
    ExitCode::SUCCESS
}

async fn bind(address: Option<SocketAddr>) -> TcpListener {
    let address = address.expect("the command line requires an address");
    TcpListener::bind(address).await.expect("the address can be bound")
}

async fn run_engine(options: Engine) {
    let listener = bind(options.listen).await;
    let engine = engine::Engine::new(engine::Options {
        version: options.version,
        slots: options.slots,
        gap: Duration::from_millis(options.gap_ms),
        prefill: Duration::from_micros(options.prefill_us),
        linger: Duration::from_millis(options.linger_ms),
        fencing: options.fencing,
        salt: rand::random(),
    });
    let server = warp::serve(engine.clone().filter()).incoming(listener).run();
    tokio::select! {
        () = server => {}
        () = engine.wait_crashed() => std::process::exit(9),
    }
}

async fn run_load(options: Load) -> ExitCode {
    let outcome = load::run(load::Options {
        daemons: options.daemon,
        key: options.key,
        model: options.model,
        count: options.count,
        parallel: options.parallel,
        tokens: options.tokens,
        prompt_bytes: options.prompt_bytes,
        reconnects: options.reconnects,
    })
    .await;
    println!("complete {} of {}", outcome.complete, options.count);
    println!("callers reconnected {} times", outcome.reconnects);
    let rows = [
        ("first token ms", &outcome.first_token),
        ("token gap ms", &outcome.gap),
        ("longest gap ms", &outcome.longest_gap),
    ];
    for (name, histogram) in rows {
        let quantile = |q| histogram.value_at_quantile(q);
        println!("{name}: p50 {} p95 {} max {}", quantile(0.5), quantile(0.95), histogram.max());
    }
    for failure in outcome.failures.iter().take(5) {
        println!("failure: {failure}");
    }
    if outcome.failures.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Sends a request up to ten times for each second of `--wait`, until the response is a
/// success, and prints the last result.
async fn run_send(options: &Send) -> ExitCode {
    const RETRY_DELAY: Duration = Duration::from_millis(100);
    let attempts = options.wait.map_or(1, |seconds| seconds * 10);
    for attempts_left in (0..attempts).rev() {
        let response = send(options).await;
        let is_success = response.as_ref().is_ok_and(|(status, _)| (200..300).contains(status));
        if is_success || attempts_left == 0 {
            match response {
                Ok((status, body)) => println!("{status} {body}"),
                Err(error) => println!("no response: {error}"),
            }
            return if is_success { ExitCode::SUCCESS } else { ExitCode::FAILURE };
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    ExitCode::FAILURE
}

/// Sends a request once and returns the status and body of the response.
async fn send(options: &Send) -> Result<(u16, String), reqwest::Error> {
    let client = reqwest::Client::builder().no_proxy().build()?;
    let method = options.method.parse().unwrap_or(reqwest::Method::GET);
    let mut request = client.request(method, &options.url);
    if let Some(token) = &options.bearer {
        request = request.bearer_auth(token);
    }
    if let Some(key) = &options.idempotency_key {
        request = request.header("idempotency-key", key);
    }
    if let Some(body) = &options.body {
        request = request.header("content-type", "application/json").body(body.clone());
    }
    let response = request.send().await?;
    Ok((response.status().as_u16(), response.text().await?))
}
