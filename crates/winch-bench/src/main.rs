//! Command line that runs one experiment, prints its table and saves it as CSV.

use std::path::Path;

use gumdrop::Options;
use winch_bench::{config, fleet, moves, replay, resume, route, spread};

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(command, required)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "measure gossip by fleet size: spread time, bytes, CPU time, memory")]
    Fleet(Common),
    #[options(help = "compare ways to spread the list of replicas by their bytes")]
    Spread(Common),
    #[options(help = "measure time and memory of the configuration by its size")]
    Config(Common),
    #[options(help = "compare the routing policy with common ones")]
    Route(Route),
    #[options(help = "compare ways to handle stalls by resume latency and extra work")]
    Resume(Common),
    #[options(help = "simulate version moves to good and bad versions")]
    Moves(Common),
    #[options(help = "compare ways to choose replicas under patterns of load and faults")]
    Replay(Common),
}

#[derive(Debug, Options)]
struct Common {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "first seed", default = "1")]
    seed: u64,
    #[options(help = "number of seeds, or of published changes", no_short, default = "5")]
    seeds: u64,
    #[options(help = "folder for the CSV file", default = "out")]
    out: String,
}

#[derive(Debug, Options)]
struct Route {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "first seed", default = "1")]
    seed: u64,
    #[options(help = "number of seeds", no_short, default = "3")]
    seeds: u64,
    #[options(help = "model replicas", default = "35")]
    replicas: usize,
    #[options(help = "simulated seconds", no_short, default = "240")]
    seconds: u32,
    #[options(help = "folder for the CSV file", default = "out")]
    out: String,
}

fn main() {
    let arguments = Arguments::parse_args_default_or_exit();
    let (table, out) = match arguments.command {
        Some(Command::Fleet(options)) => (run_fleet(&options), options.out),
        Some(Command::Spread(options)) => (run_spread(), options.out),
        Some(Command::Config(options)) => (config::run(), options.out),
        Some(Command::Route(options)) => (run_route(&options), options.out),
        Some(Command::Resume(options)) => (run_resume(&options), options.out),
        Some(Command::Moves(options)) => (run_moves(&options), options.out),
        Some(Command::Replay(options)) => {
            (replay::run(options.seed..options.seed + options.seeds), options.out)
        }
        None => return,
    };
    if let Err(error) = table.save(Path::new(&out)) {
        eprintln!("winch-bench: can't write the table to {out}: {error}");
    }
}

fn run_fleet(options: &Common) -> winch_bench::table::Table {
    fleet::run(&fleet::Config {
        sizes: vec![12, 50, 200, 970],
        losses: vec![0.0, 0.05, 0.3],
        change_bytes: 500,
        seed: options.seed,
        spreads: options.seeds,
    })
}

fn run_spread() -> winch_bench::table::Table {
    spread::run(&spread::Config {
        daemons: vec![30, 100, 300, 970],
        replicas_per_daemon: 7,
        dcs: 18,
    })
}

fn run_route(options: &Route) -> winch_bench::table::Table {
    route::run(&route::Config {
        replicas: options.replicas,
        daemons: 12,
        seconds: options.seconds,
        loads: vec![0.5, 0.8, 0.95, 1.2, 2.0],
        seed: options.seed,
        seeds: options.seeds,
    })
}

fn run_resume(options: &Common) -> winch_bench::table::Table {
    resume::run(&resume::Config {
        engines: 12,
        seconds: 20,
        seed: options.seed,
        seeds: options.seeds,
    })
}

fn run_moves(options: &Common) -> winch_bench::table::Table {
    moves::run(&moves::Config {
        rate: 40.0,
        replicas: 35,
        daemons: 12,
        window: 600.0,
        seed: options.seed,
        seeds: options.seeds,
    })
}
