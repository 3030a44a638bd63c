//! Stand-ins of the platform's store, of replicas and of consumers, and the scripts that use them.
//!
//! `standin CASE FOLDER` runs a case with daemons of the project in the repository's root, writes
//! `record.txt` in FOLDER and exits with 1 if the rule was broken, 0 if it held, and 2 if the case
//! could not run. With `TROUBLE=0` in the environment it leaves the disruption out.

mod client;
mod crashing;
mod daemon;
mod http;
mod impatient;
mod json;
mod large;
mod leaving;
mod record;
mod replica;
mod store;
mod unread;

use std::{
    env,
    panic::{AssertUnwindSafe, catch_unwind},
    path::Path,
    process::ExitCode,
};

/// What a case has found.
pub enum Finding {
    Held,
    Broken,
    NotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let folder = Path::new(folder);
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let temporary = env::temp_dir().join(format!("winch-review-{}", std::process::id()));
    if let Err(error) = std::fs::create_dir_all(&temporary) {
        eprintln!("no temporary folder: {error}");
        return ExitCode::from(2);
    }
    let record = record::Record::create(&folder.join("record.txt"));
    let run = || match case.as_str() {
        "large" => large::run(&record, &temporary, has_trouble),
        "impatient" => impatient::run(&record, &temporary, has_trouble),
        "leaving" => leaving::run(&record, &temporary, has_trouble),
        "unread" => unread::run(&record, &temporary, has_trouble),
        "crashing" => crashing::run(&record, &temporary, has_trouble),
        _ => Finding::NotRun(format!("no case `{case}`")),
    };
    let ended = catch_unwind(AssertUnwindSafe(run));
    let finding = ended.unwrap_or_else(|_| Finding::NotRun("the script has failed".into()));
    let _ = std::fs::remove_dir_all(&temporary);
    match finding {
        Finding::Held => {
            record.line("the rule held");
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Finding::Broken => {
            record.line("the rule was broken");
            println!("the rule was broken");
            ExitCode::from(1)
        }
        Finding::NotRun(reason) => {
            record.line(format!("the case could not run: {reason}"));
            println!("the case could not run: {reason}");
            ExitCode::from(2)
        }
    }
}
