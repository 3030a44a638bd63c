//! Operator commands. They call the HTTP interface of a running daemon, except `key-digest`
//! and a `check` without a daemon.

use gumdrop::Options;
use reqwest::{Client, Response};
use serde_json::{Value, json};
use winch_adapter::document;
use winch_config::{
    change::{Change, Edit, parse},
    check,
    difference::{self, Difference},
    lint::{self, Warning},
    set::{Set, Stored},
};

use super::Exit;

/// Flags of `check`.
#[derive(Debug, Options)]
pub struct Check {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "file to check")]
    file: Option<String>,
    #[options(
        help = "base URL of a daemon; without it the file is checked as a complete configuration"
    )]
    daemon: Option<String>,
    #[options(help = "operator token [WINCH_OPERATOR_TOKEN]", no_short)]
    token: Option<String>,
    #[options(help = "complete configuration with which the file is compared", no_short)]
    against: Option<String>,
    #[options(help = "the files are configurations of `entry`", no_short)]
    platform: bool,
}

/// Flags of `apply`.
#[derive(Debug, Options)]
pub struct Apply {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "file to publish")]
    file: Option<String>,
    #[options(help = "base URL of a daemon")]
    daemon: Option<String>,
    #[options(help = "operator token [WINCH_OPERATOR_TOKEN]", no_short)]
    token: Option<String>,
    #[options(help = "required head revision; without it any", no_short)]
    base_revision: Option<u64>,
    #[options(help = "seconds to wait until the change is in force on all daemons", no_short)]
    wait: Option<u64>,
}

/// Flags of `get`.
#[derive(Debug, Options)]
pub struct Get {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "kind or kind/name; without it all objects")]
    what: Option<String>,
    #[options(help = "base URL of a daemon")]
    daemon: Option<String>,
    #[options(help = "operator token [WINCH_OPERATOR_TOKEN]", no_short)]
    token: Option<String>,
}

/// Flags of `status`.
#[derive(Debug, Options)]
pub struct Status {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "base URL of a daemon")]
    daemon: Option<String>,
    #[options(help = "operator token [WINCH_OPERATOR_TOKEN]", no_short)]
    token: Option<String>,
    #[options(help = "print JSON", no_short)]
    json: bool,
}

/// Flags of `drain`.
#[derive(Debug, Options)]
pub struct Drain {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "name of the upstream")]
    upstream: Option<String>,
    #[options(help = "take the upstream back into service", no_short)]
    undo: bool,
    #[options(help = "base URL of a daemon")]
    daemon: Option<String>,
    #[options(help = "operator token [WINCH_OPERATOR_TOKEN]", no_short)]
    token: Option<String>,
}

/// Flags of `key-digest`.
#[derive(Debug, Options)]
pub struct KeyDigest {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "the API key")]
    key: Option<String>,
}

/// Client of a daemon's operator interface.
pub(super) struct Daemon {
    client: Client,
    base: String,
    token: String,
}

impl Daemon {
    /// Makes a client from the flags; the environment variables `WINCH_DAEMON` and
    /// `WINCH_OPERATOR_TOKEN` stand in for absent ones.
    pub(super) fn new(base: &Option<String>, token: &Option<String>) -> Result<Self, Exit> {
        let env = |name: &str| std::env::var(name).ok();
        let base = base.clone().or_else(|| env("WINCH_DAEMON"));
        let token = token.clone().or_else(|| env("WINCH_OPERATOR_TOKEN"));
        let (Some(base), Some(token)) = (base, token) else {
            eprintln!(
                "wisteriawinch: --daemon and --token (or WINCH_DAEMON and WINCH_OPERATOR_TOKEN) are required"
            );
            return Err(Exit::Usage);
        };
        let client = Client::builder().no_proxy().build().map_err(|_| Exit::Usage)?;
        Ok(Self { client, base, token })
    }

    /// Sends a request, POST with a body and GET without one. Returns the status and the body
    /// of the response, `Null` if it is not JSON.
    pub(super) async fn call(&self, path: &str, body: Option<Value>) -> Result<(u16, Value), Exit> {
        let url = format!("{}{path}", self.base);
        let request = match body {
            Some(body) => self.client.post(url).json(&body),
            None => self.client.get(url),
        };
        let sent = request.bearer_auth(&self.token).send().await;
        let response: Response = sent.map_err(|error| {
            eprintln!("wisteriawinch: {error}");
            Exit::Unreachable
        })?;
        let status = response.status().as_u16();
        let body = response.json().await.unwrap_or(Value::Null);
        Ok((status, body))
    }
}

fn read_file(file: &Option<String>) -> Result<String, Exit> {
    let Some(file) = file else {
        eprintln!("wisteriawinch: a file argument is required");
        return Err(Exit::Usage);
    };
    std::fs::read_to_string(file).map_err(|error| {
        eprintln!("wisteriawinch: {file}: {error}");
        Exit::Usage
    })
}

pub(super) fn pretty(value: &Value) -> String {
    serde_json::to_string_pretty(value).unwrap_or_default()
}

/// Prints the code, the message, the faults and the conflicting objects of an error response.
pub(super) fn print_error(body: &Value) -> Exit {
    let error = &body["error"];
    eprintln!("{} {}: {}", error["code"], error["name"], error["message"]);
    for fault in error["faults"].as_array().into_iter().flatten() {
        eprintln!(
            "  {} {} {}: {}",
            fault["code"], fault["object"], fault["field"], fault["reason"]
        );
    }
    for object in error["objects"].as_array().into_iter().flatten() {
        eprintln!("  changed since the base revision: {object}");
    }
    Exit::Refused
}

/// Returns the exit code of either case; `Err` has that of a failure that was already
/// printed.
pub(super) fn into_exit(result: Result<Exit, Exit>) -> Exit {
    result.unwrap_or_else(|exit| exit)
}

/// Runs `check`: prints the faults and warnings of a file, as a change to a daemon's configuration
/// or as a complete configuration, and what differs from that of the daemon or of another file.
///
/// Warnings do not change the exit code.
pub async fn check(options: &Check) -> Exit {
    into_exit(try_check(options).await)
}

async fn try_check(options: &Check) -> Result<Exit, Exit> {
    if options.daemon.is_some() && (options.platform || options.against.is_some()) {
        eprintln!("wisteriawinch: --daemon excludes --platform and --against");
        return Err(Exit::Usage);
    }
    let text = read_file(&options.file)?;
    let against = match &options.against {
        Some(_) => Some(read_file(&options.against)?),
        None => None,
    };
    if options.platform {
        return check_platform(&text, against.as_deref());
    }
    if options.daemon.is_none() {
        return check_offline(&text, against.as_deref());
    }
    let daemon = Daemon::new(&options.daemon, &options.token)?;
    // Text that is not JSON is sent as a string, which the daemon reports as a fault.
    let value = serde_json::from_str(&text).unwrap_or_else(|_| Value::String(text.clone()));
    let (status, body) = daemon.call("/admin/check", Some(value)).await?;
    if status != 200 {
        return Ok(print_error(&body));
    }
    let edit = parse(&text).map_err(|faults| print_faults(&faults))?;
    let (status, objects) = daemon.call("/admin/objects", None).await?;
    if status != 200 {
        return Ok(print_error(&objects));
    }
    let in_force: Stored = serde_json::from_value(objects).map_err(|error| {
        eprintln!("wisteriawinch: the objects of the daemon: {error}");
        Exit::Refused
    })?;
    let in_force = Set::from(in_force);
    print_warnings(&lint::lint_edit(&edit));
    let set = preview(&in_force, edit);
    print_warnings(&lint::lint(&set));
    print_differences(&difference::between_sets(&in_force, &set));
    println!("no faults against revision {}", body["revision"]);
    Ok(Exit::Success)
}

/// Checks a file as a complete configuration.
fn check_offline(text: &str, against: Option<&str>) -> Result<Exit, Exit> {
    let parse = |text: &str| parse(text).map_err(|faults| print_faults(&faults));
    let edit = parse(text)?;
    let set = preview(&Set::default(), Edit { deletes: Vec::new(), ..edit.clone() });
    let faults = check::check(&set);
    if !faults.is_empty() {
        return Err(print_faults(&faults));
    }
    print_warnings(&lint::lint_edit(&edit));
    print_warnings(&lint::lint(&set));
    if let Some(against) = against {
        let edit = Edit { deletes: Vec::new(), ..parse(against)? };
        print_differences(&difference::between_sets(&preview(&Set::default(), edit), &set));
    }
    Ok(Exit::Success)
}

fn preview(set: &Set, edit: Edit) -> Set {
    set.preview(&Change { puts: edit.puts, deletes: edit.deletes, ..Change::default() })
}

/// Checks a configuration of `entry`.
fn check_platform(text: &str, against: Option<&str>) -> Result<Exit, Exit> {
    let print_fault = |fault: String| {
        eprintln!("wisteriawinch: {fault}");
        Exit::Refused
    };
    let warnings = document::lint_config(text.as_bytes()).map_err(print_fault)?;
    print_warnings(&warnings);
    if let Some(against) = against {
        let differences = document::compare_configs(against.as_bytes(), text.as_bytes());
        print_differences(&differences.map_err(print_fault)?);
    }
    Ok(Exit::Success)
}

fn print_faults(faults: &[check::Fault]) -> Exit {
    for fault in faults {
        let number = u16::from(fault.code);
        eprintln!("{number} {} {}: {}", fault.object, fault.field, fault.reason);
    }
    Exit::Refused
}

fn print_warnings(warnings: &[Warning]) {
    for warning in warnings {
        eprintln!("warning {warning}");
    }
}

fn print_differences(differences: &[Difference]) {
    for difference in differences {
        println!("{difference}");
    }
}

/// Runs `apply`: publishes a file. With `--wait`, the exit code is [`Exit::Unconfirmed`] if a
/// daemon did not confirm the revision in time.
pub async fn apply(options: &Apply) -> Exit {
    into_exit(try_apply(options).await)
}

async fn try_apply(options: &Apply) -> Result<Exit, Exit> {
    let text = read_file(&options.file)?;
    let edit: Value = serde_json::from_str(&text).map_err(|error| {
        eprintln!("wisteriawinch: {error}");
        Exit::Refused
    })?;
    let daemon = Daemon::new(&options.daemon, &options.token)?;
    let wait_ms = options.wait.unwrap_or(0) * 1_000;
    let body = json!({ "edit": edit, "base": options.base_revision, "wait_ms": wait_ms });
    let (status, body) = daemon.call("/admin/apply", Some(body)).await?;
    if status != 200 {
        return Ok(print_error(&body));
    }
    println!("revision {}", body["revision"]);
    let unconfirmed = body["not_confirmed"].as_array().cloned().unwrap_or_default();
    for daemon in &unconfirmed {
        println!("not confirmed by {}", daemon.as_str().unwrap_or_default());
    }
    let has_waited = options.wait.is_some();
    Ok(if has_waited && !unconfirmed.is_empty() { Exit::Unconfirmed } else { Exit::Success })
}

/// Runs `get`: prints the objects in force as JSON; [`Exit::Refused`] if a kind or name was
/// given and no object has it.
pub async fn get(options: &Get) -> Exit {
    into_exit(try_get(options).await)
}

async fn try_get(options: &Get) -> Result<Exit, Exit> {
    let daemon = Daemon::new(&options.daemon, &options.token)?;
    let (status, body) = daemon.call("/admin/objects", None).await?;
    if status != 200 {
        return Ok(print_error(&body));
    }
    let what = options.what.as_deref().unwrap_or("");
    let (kind, name) = what.split_once('/').unwrap_or((what, ""));
    let is_selected = |object: &&Value| {
        (kind.is_empty() || object["kind"] == kind) && (name.is_empty() || object["name"] == name)
    };
    let objects: Vec<&Value> =
        body["objects"].as_array().into_iter().flatten().filter(is_selected).collect();
    println!("{}", pretty(&json!({ "objects": objects })));
    Ok(if objects.is_empty() && !what.is_empty() { Exit::Refused } else { Exit::Success })
}

/// Runs `status`: prints the state of the fleet as seen by one daemon.
pub async fn status(options: &Status) -> Exit {
    into_exit(try_status(options).await)
}

async fn try_status(options: &Status) -> Result<Exit, Exit> {
    let daemon = Daemon::new(&options.daemon, &options.token)?;
    let (status, body) = daemon.call("/admin/status", None).await?;
    if status != 200 {
        return Ok(print_error(&body));
    }
    if options.json {
        println!("{}", pretty(&body));
        return Ok(Exit::Success);
    }
    println!("daemon {} at revision {}", body["daemon"], body["revision"]);
    for (list, fields) in [
        ("upstreams", &["name", "dc", "runs", "inflight", "load", "ejected", "leaving"][..]),
        ("moves", &["name", "stage", "share", "verdict", "late"][..]),
        ("peers", &["name", "dc", "state", "incarnation"][..]),
    ] {
        println!("{list}:");
        for row in body[list].as_array().into_iter().flatten() {
            let cells: Vec<String> =
                fields.iter().map(|field| format!("{field}={}", row[*field])).collect();
            println!("  {}", cells.join(" "));
        }
    }
    Ok(Exit::Success)
}

/// Runs `key-digest`: prints the BLAKE3 digest of an API key.
pub fn key_digest(options: &KeyDigest) -> Exit {
    let Some(key) = &options.key else {
        eprintln!("wisteriawinch: a key argument is required");
        return Exit::Usage;
    };
    println!("{}", blake3::hash(key.as_bytes()).to_hex());
    Exit::Success
}

/// Runs `drain`: takes an upstream out of service, or back into it.
pub async fn drain(options: &Drain) -> Exit {
    into_exit(try_drain(options).await)
}

async fn try_drain(options: &Drain) -> Result<Exit, Exit> {
    let Some(upstream) = &options.upstream else {
        eprintln!("wisteriawinch: an upstream argument is required");
        return Err(Exit::Usage);
    };
    let daemon = Daemon::new(&options.daemon, &options.token)?;
    let body = json!({ "upstream": upstream, "leaving": !options.undo });
    let (status, body) = daemon.call("/admin/drain", Some(body)).await?;
    if status != 200 {
        return Ok(print_error(&body));
    }
    println!("revision {}", body["revision"]);
    Ok(Exit::Success)
}
