//! Stand-ins and checks of the cases of the third review: `standin-3 CASE RECORD`.
//!
//! Each case starts daemons of the project as processes, with a store, replicas and consumers in this
//! process, all on loopback addresses. The exit code is 1 if the rule was broken, 0 if it held and 2
//! if the case could not run. `TROUBLE=0` leaves out the disruption.

mod case_cut;
mod case_groups;
mod case_moves;
mod case_parts;
mod case_route;
mod case_silent;
mod client;
mod fleet;
mod http;
mod json;
mod record;
mod replica;
mod store;

use std::{env, fs, panic, path::PathBuf, process::exit};

use record::Record;

/// How a case has ended.
pub enum Verdict {
    Held,
    Broken,
    /// For this reason.
    NotRun(String),
}

/// What a case gets.
pub struct Setup {
    /// Whether the disruption is made.
    pub trouble: bool,
    /// Folder for settings and logs.
    pub dir: PathBuf,
    pub record: Record,
}

fn main() {
    let mut arguments = env::args().skip(1);
    let (Some(case), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: standin-3 CASE RECORD");
        exit(2);
    };
    if case == "replica" {
        case_cut::serve_replica(&path);
        return;
    }
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let dir = env::temp_dir().join(format!("review-3-{case}-{}", std::process::id()));
    if let Err(error) = fs::create_dir_all(&dir) {
        eprintln!("no folder for the run: {error}");
        exit(2);
    }
    let record = Record::new();
    record.add(format!("case {case}, trouble {trouble}"));
    let setup = Setup { trouble, dir: dir.clone(), record: record.clone() };
    let run = panic::catch_unwind(|| match case.as_str() {
        "cut" => case_cut::run(&setup),
        "groups" => case_groups::run(&setup),
        "moves" => case_moves::run(&setup),
        "parts" => case_parts::run(&setup),
        "route" => case_route::run(&setup),
        "silent" => case_silent::run(&setup),
        other => Verdict::NotRun(format!("no case {other}")),
    });
    let code = match run {
        Ok(Verdict::Held) => 0,
        Ok(Verdict::Broken) => 1,
        Ok(Verdict::NotRun(reason)) => {
            record.add(format!("could not run: {reason}"));
            2
        }
        Err(_) => {
            record.add("could not run: the harness failed");
            2
        }
    };
    record.add(format!("exit code {code}"));
    record.write(&path);
    if env::var_os("KEEP").is_none() {
        let _ = fs::remove_dir_all(&dir);
    }
    exit(code);
}
