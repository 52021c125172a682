//! Sends load over a site of stand-ins and reports what became of it.

use std::time::Duration;

use clap::Args as ClapArgs;

use crate::load::mix::Mix;
use crate::load::report::Report;
use crate::load::{self, Fault, Plan};
use crate::site::{Site, SiteSpec};

/// Sends load over a site of stand-ins and reports what became of it.
///
/// Rates are given as a share of the capacity: the rate at which all decode slots are full. With
/// several policies the runs follow each other with the same seed.
#[derive(Clone, Debug, ClapArgs)]
pub struct Args {
    /// Mixes: trinacria, feria
    #[arg(long, value_delimiter = ',', default_value = "trinacria,feria")]
    pub mix: Vec<String>,
    /// Rates as shares of the capacity
    #[arg(long, value_delimiter = ',', default_value = "0.7")]
    pub load: Vec<f64>,
    /// Policies: default, random, round-robin, least-loaded
    #[arg(long, value_delimiter = ',', default_value = "default")]
    pub policy: Vec<String>,
    /// Seconds of arrivals that count
    #[arg(long, default_value_t = 12.0)]
    pub secs: f64,
    /// Seconds of arrivals before that
    #[arg(long, default_value_t = 4.0)]
    pub warm: f64,
    /// Burst at the start, as FACTOR:SECONDS
    #[arg(long)]
    pub burst: Option<String>,
    /// Faults as SECONDS:ACT:NODE; acts: kill, restart, pause, term, mute, outage, mend
    #[arg(long, value_delimiter = ',')]
    pub faults: Vec<String>,
    /// Share of slow callers who hang up early
    #[arg(long, default_value_t = 0.0)]
    pub hangups: f64,
    /// Entries
    #[arg(long, default_value_t = 2)]
    pub entries: usize,
    /// Engines that write
    #[arg(long, default_value_t = 4)]
    pub decode: usize,
    /// Engines that read
    #[arg(long, default_value_t = 6)]
    pub prefill: usize,
    /// Plain services
    #[arg(long, default_value_t = 2)]
    pub plain: usize,
    /// Weight of goodput
    #[arg(long, default_value_t = 1.0)]
    pub goodput_weight: f64,
    /// Weight of wasted prefill
    #[arg(long, default_value_t = 1.0)]
    pub waste_weight: f64,
    /// Prompts up to this many tokens are read on the decode engine
    #[arg(long, default_value_t = 256)]
    pub short_prompt: u32,
    /// How many times as fast the engines run
    #[arg(long, default_value_t = 1.0)]
    pub speed: f64,
    /// Fixes arrivals and choices
    #[arg(long, default_value_t = 7)]
    pub seed: u64,
    /// Print JSON
    #[arg(long)]
    pub json: bool,
    /// Log filter for the processes
    #[arg(long, default_value = "error")]
    pub log: String,
}

/// Runs the command; false when something was lost, doubled, spliced or falsely reported.
pub fn run(args: Args) -> bool {
    ebonyloftd::logs::start(&args.log);
    let faults: Result<Vec<Fault>, String> = args.faults.iter().map(|f| Fault::parse(f)).collect();
    let faults = match faults {
        Ok(faults) => faults,
        Err(e) => {
            eprintln!("--faults: {e}");
            return false;
        }
    };
    let mut clean = true;
    for name in &args.mix {
        let Some(mix) = Mix::named(name) else {
            eprintln!("--mix: `{name}` is not known; there are trinacria and feria");
            return false;
        };
        for load in &args.load {
            for policy in &args.policy {
                let report = one(&args, &mix, *load, policy, &faults);
                clean &= report.clean();
                show(&args, *load, policy, &report);
            }
        }
    }
    clean
}

fn show(args: &Args, load: f64, policy: &str, report: &Report) {
    if args.json {
        let line = serde_json::json!({ "load": load, "policy": policy, "report": report });
        println!("{line}");
    } else {
        print!("[load {load}, {policy}] ");
        report.print();
    }
}

fn one(args: &Args, mix: &Mix, load: f64, policy: &str, faults: &[Fault]) -> Report {
    let mut spec = SiteSpec {
        entries: args.entries,
        decode: args.decode,
        prefill: args.prefill,
        plain: args.plain,
        policy: policy.to_owned(),
        short_prompt: args.short_prompt,
        weights: (args.goodput_weight, args.waste_weight),
        ..SiteSpec::default()
    };
    spec.engine = spec.engine.faster(args.speed);
    let muted = faults.iter().filter(|f| f.act == load::Act::Mute);
    spec.relays = muted.map(|f| f.node.clone()).collect();
    let plan = Plan {
        mix: mix.clone(),
        rate: mix.capacity(&spec) * load,
        duration: Duration::from_secs_f64(args.warm + args.secs),
        warm: Duration::from_secs_f64(args.warm),
        burst: args.burst.as_deref().and_then(burst),
        seed: args.seed,
        faults: faults.to_vec(),
        hangups: args.hangups,
    };
    let mut site = Site::start(spec);
    let runtime = compio::runtime::Runtime::new().expect("runtime");
    runtime.block_on(async {
        site.open().await;
        load::run(&mut site, &plan).await
    })
}

fn burst(text: &str) -> Option<(f64, Duration)> {
    let (factor, secs) = text.split_once(':')?;
    Some((
        factor.parse().ok()?,
        Duration::from_secs_f64(secs.parse().ok()?),
    ))
}
