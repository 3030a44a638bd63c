//! `move start|show|cancel`: version moves of a route.

use gumdrop::Options;
use serde_json::{Value, json};

use super::{
    Exit,
    operate::{Daemon, into_exit, pretty, print_error},
};
use crate::prelude::unix_now;

/// Flags of `move`.
#[derive(Debug, Options)]
pub struct Move {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "start, show or cancel, and the move's name")]
    words: Vec<String>,
    #[options(help = "route whose traffic moves")]
    route: Option<String>,
    #[options(help = "version that serves the route before the move", no_short)]
    from: Option<String>,
    #[options(help = "version that serves the route after the move", no_short)]
    to: Option<String>,
    #[options(help = "seconds from now to the start", no_short, default = "0")]
    start_in: u64,
    #[options(help = "seconds from the start to the deadline", no_short, default = "600")]
    within: u64,
    #[options(help = "base URL of a daemon")]
    daemon: Option<String>,
    #[options(help = "operator token [WINCH_OPERATOR_TOKEN]", no_short)]
    token: Option<String>,
}

/// Runs `move start`, `move show` or `move cancel`. An unknown move is
/// [`Exit::Refused`].
pub async fn run(options: &Move) -> Exit {
    into_exit(try_run(options).await)
}

async fn try_run(options: &Move) -> Result<Exit, Exit> {
    let words: Vec<&str> = options.words.iter().map(String::as_str).collect();
    let daemon = Daemon::new(&options.daemon, &options.token)?;
    match words[..] {
        ["start", name] => start(options, name, &daemon).await,
        ["show"] => show(None, &daemon).await,
        ["show", name] => show(Some(name), &daemon).await,
        ["cancel", name] => cancel(name, &daemon).await,
        _ => {
            eprintln!(
                "wisteriawinch: use `move start NAME`, `move show [NAME]` or `move cancel NAME`"
            );
            Err(Exit::Usage)
        }
    }
}

async fn start(options: &Move, name: &str, daemon: &Daemon) -> Result<Exit, Exit> {
    let (Some(route), Some(from), Some(to)) = (&options.route, &options.from, &options.to) else {
        eprintln!("wisteriawinch: --route, --from and --to are required");
        return Err(Exit::Usage);
    };
    let start = unix_now() + options.start_in;
    let object = json!({
        "kind": "move", "name": name, "route": route, "from": from, "to": to,
        "start": start, "deadline": start + options.within,
    });
    apply(object, None, daemon).await
}

async fn apply(object: Value, base: Option<&Value>, daemon: &Daemon) -> Result<Exit, Exit> {
    let body = json!({ "edit": { "objects": [object] }, "base": base });
    let (status, body) = daemon.call("/admin/apply", Some(body)).await?;
    if status != 200 {
        return Ok(print_error(&body));
    }
    println!("revision {}", body["revision"]);
    Ok(Exit::Success)
}

async fn show(name: Option<&str>, daemon: &Daemon) -> Result<Exit, Exit> {
    let (status, body) = daemon.call("/admin/status", None).await?;
    if status != 200 {
        return Ok(print_error(&body));
    }
    let moves = body["moves"].as_array().cloned().unwrap_or_default();
    let selected: Vec<Value> =
        moves.into_iter().filter(|m| name.is_none_or(|name| m["name"] == name)).collect();
    println!("{}", pretty(&json!(selected)));
    Ok(if selected.is_empty() && name.is_some() { Exit::Refused } else { Exit::Success })
}

/// Sets the move's `cancelled` flag. The change is based on the revision that was read,
/// so that a concurrent change is not overwritten.
async fn cancel(name: &str, daemon: &Daemon) -> Result<Exit, Exit> {
    let (status, body) = daemon.call("/admin/objects", None).await?;
    if status != 200 {
        return Ok(print_error(&body));
    }
    let objects = body["objects"].as_array().into_iter().flatten();
    let found = objects.filter(|o| o["kind"] == "move").find(|o| o["name"] == name);
    let Some(mut object) = found.cloned() else {
        eprintln!("wisteriawinch: no move is called {name}");
        return Ok(Exit::Refused);
    };
    object["cancelled"] = json!(true);
    apply(object, Some(&body["revision"]), daemon).await
}
