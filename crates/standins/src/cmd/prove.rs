//! Proof of the protocols: searches, randomised runs, and the control traffic of a fleet.

use clap::{Args as ClapArgs, Subcommand};
use ebonyloft_check::explore::{Spec, search};
use ebonyloft_check::fleet::{Fleet, FleetSpec};
use ebonyloft_check::herd::{self, HerdSpec};
use ebonyloft_check::soak::{self, Tally};
use ebonyloft_check::specs::{config, leases, ledger, orders};

/// Proves the protocols by search and by randomised runs.
#[derive(Clone, Debug, ClapArgs)]
pub struct Args {
    #[command(subcommand)]
    what: What,
}

#[derive(Clone, Debug, Subcommand)]
enum What {
    /// Search the specifications and their mutants exhaustively
    Search {
        /// Crashes, over all processes
        #[arg(long, default_value_t = 1)]
        crashes: u8,
        /// Moves of the slot
        #[arg(long, default_value_t = 0)]
        moves: u8,
        /// Attempts an entry asks for beyond its first
        #[arg(long, default_value_t = 0)]
        tries: u8,
        /// States at most
        #[arg(long, default_value_t = 20_000_000)]
        limit: usize,
        /// Leave one rule of the ledger out, by its number in the list of mutants
        #[arg(long)]
        mutant: Option<usize>,
    },
    /// Run the daemon's machines over a faulty network in made-up time
    Soak {
        /// First seed
        #[arg(long, default_value_t = 0)]
        from: u64,
        /// How many seeds
        #[arg(long, default_value_t = 1_000)]
        seeds: u64,
    },
    /// Let many entries decide at once from late reports
    Herd {
        /// Entries, several runs
        #[arg(long, value_delimiter = ',', default_value = "2,8,32")]
        entries: Vec<usize>,
        /// Servers
        #[arg(long, default_value_t = 12)]
        servers: usize,
        /// Share of the slots that are asked for
        #[arg(long, default_value_t = 0.9)]
        load: f64,
        /// Fixes the run
        #[arg(long, default_value_t = 3)]
        seed: u64,
    },
    /// Run the members' machines of a fleet in made-up time
    Fleet {
        /// Members, several runs
        #[arg(long, value_delimiter = ',', default_value = "10,100,1010")]
        nodes: Vec<usize>,
        /// Share of datagrams lost
        #[arg(long, default_value_t = 0.01)]
        loss: f64,
        /// Seconds that the platform is out from the change on
        #[arg(long, default_value_t = 0)]
        outage: u64,
        /// Seconds that a zone is cut off from the change on
        #[arg(long, default_value_t = 0)]
        cut: u64,
        /// Members restarted
        #[arg(long, default_value_t = 0)]
        restarts: usize,
        /// Seconds after the change
        #[arg(long, default_value_t = 40)]
        after: u64,
        /// Fixes the run
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
}

/// Runs the command; false when a rule is broken.
pub fn run(args: Args) -> bool {
    match args.what {
        What::Search {
            crashes,
            moves,
            tries,
            limit,
            mutant,
        } => {
            let bounds = ledger::Bounds {
                crashes,
                moves,
                tries,
            };
            search_all(bounds, limit, mutant)
        }
        What::Soak { from, seeds } => soak_all(from, seeds),
        What::Herd {
            entries,
            servers,
            load,
            seed,
        } => entries.into_iter().all(|entries| {
            herd_all(HerdSpec {
                entries,
                servers,
                load,
                secs: 120,
                seed,
            })
        }),
        What::Fleet {
            nodes,
            loss,
            outage,
            cut,
            restarts,
            after,
            seed,
        } => {
            let spec = FleetSpec {
                nodes: 0,
                settle: 40,
                after,
                loss,
                outage,
                cut,
                restarts,
                seed,
            };
            nodes
                .into_iter()
                .all(|nodes| fleet(FleetSpec { nodes, ..spec }))
        }
    }
}

fn search_all(bounds: ledger::Bounds, limit: usize, mutant: Option<usize>) -> bool {
    if let Some(number) = mutant {
        let Some(mutant) = ledger::MUTANTS.get(number) else {
            eprintln!("--mutant: there are {}", ledger::MUTANTS.len());
            return false;
        };
        return show(
            &format!("ledger without {mutant:?}"),
            ledger::Ledger::new(true, bounds, *mutant),
            limit,
        );
    }
    let once = ledger::Ledger::new(true, bounds, ledger::Mutant::None);
    let idempotent = ledger::Ledger::new(false, bounds, ledger::Mutant::None);
    let mut good = show(&format!("ledger, once, {bounds:?}"), once, limit);
    good &= show(
        &format!("ledger, idempotent, {bounds:?}"),
        idempotent,
        limit,
    );
    good &= show("leases", leases::Leases::new(leases::Mutant::None), limit);
    good &= show("orders", orders::Orders::new(orders::Mutant::None), limit);
    good & show(
        "configuration",
        config::Config::new(config::Mutant::None),
        limit,
    )
}

fn show<S: Spec>(name: &str, start: S, limit: usize) -> bool {
    let found = search(start, limit);
    let word = if found.exhausted { "all" } else { "the first" };
    match &found.broken {
        None => println!("{name}: {word} {} states hold", found.states),
        Some((rule, trace)) => {
            println!("{name}: broken after {} states: {rule}", found.states);
            for (i, step) in trace.iter().enumerate() {
                println!("  {:>2} {step}", i + 1);
            }
        }
    }
    found.broken.is_none()
}

fn soak_all(from: u64, seeds: u64) -> bool {
    let mut tally = Tally::default();
    let mut bad = 0;
    for seed in from..from + seeds {
        match soak::run(seed) {
            Ok(one) => tally.add(one),
            Err(broken) => {
                bad += 1;
                println!("seed {seed}: {broken}");
            }
        }
    }
    println!("{seeds} seeds, {bad} broken: {tally:?}");
    bad == 0
}

fn herd_all(spec: HerdSpec) -> bool {
    ["default", "random", "round-robin", "least-loaded"].into_iter().all(|name| {
        let Some(r) = herd::run(spec, name) else { return false };
        println!(
            "{:>3} entries, {name:<12}: {:>5.1} % waited for a slot, p95 {:>5} ms, fullest server {:.2} times the mean",
            spec.entries, r.waited * 100.0, r.wait_ms, r.peak,
        );
        true
    })
}

fn fleet(spec: FleetSpec) -> bool {
    match Fleet::new(spec).run() {
        Ok(r) => {
            println!(
                "{:>5} members: {:>6.0} B/s a node, {:.2} datagrams/s, {:>6.1} platform calls/s in all, \
                 in force at half {} ms, at all {} ms, {:>5.0} us/s of processor a node, wrongly dead {}",
                r.nodes, r.bytes, r.datagrams, r.calls, r.half_ms, r.all_ms, r.cpu_us, r.wrong,
            );
            true
        }
        Err(broken) => {
            println!("{} members: {broken}", spec.nodes);
            false
        }
    }
}
