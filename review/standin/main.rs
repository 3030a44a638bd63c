//! Stand-ins for the platform, replicas and consumers, and the scripts of the review's cases.

mod base64;
mod cases;
#[allow(dead_code)]
mod fleet;
mod http;
mod json;
mod replica;
mod store;

use std::{process::exit, time::Duration};

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let word = |index: usize| words.get(index).cloned().unwrap_or_default();
    match word(0).as_str() {
        "store" => store::run(word(1).parse().expect("an address")),
        "replica" => replica::run(replica::Options {
            id: word(1),
            listen: word(2).parse().expect("an address"),
            zone: word(3),
            service: word(4),
            is_engine: word(5) == "engine",
            store: word(6).parse().expect("an address"),
            log: word(7),
            pace: Duration::from_millis(word(8).parse().expect("milliseconds")),
        }),
        "case" => {
            // 0: the rule held, 1: it was broken, 2: the case could not run.
            let code = match cases::run(&word(1), &word(2)) {
                Ok(false) => 0,
                Ok(true) => 1,
                Err(error) => {
                    eprintln!("the case could not run: {error}");
                    2
                }
            };
            exit(code);
        }
        other => {
            eprintln!("unknown command {other:?}");
            exit(2);
        }
    }
}
