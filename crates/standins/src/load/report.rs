//! What became of a load: goodput, waste, late, lost, doubled, spliced.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde::Serialize;

use super::mix::{Kind, Shape};
use super::{Plan, is_not_run};
use crate::client::{Outcome, Whole};
use crate::site::Site;
use crate::tokens::{self, Flaw};

/// A request and its end.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Its kind.
    pub kind: Kind,
    /// Subject of a plain call.
    pub subject: String,
    /// Prompt of a completion.
    pub prompt: String,
    /// When it was due.
    pub due: Instant,
    /// When its end was known.
    pub ended: Instant,
    /// Its end; none when the caller hung up.
    pub outcome: Option<Outcome>,
    /// Does it count?
    pub counted: bool,
}

/// What became of one kind of work.
#[derive(Clone, Debug, Default, Serialize)]
pub struct KindReport {
    /// Sent and counted.
    pub sent: u64,
    /// Whole answers.
    pub whole: u64,
    /// Whole answers within the deadline and both latency targets.
    pub good: u64,
    /// Whole answers after the deadline.
    pub late: u64,
    /// Refused with the verdict `not-run`.
    pub not_run: u64,
    /// Refused with the verdict `may-have-run`.
    pub may_have_run: u64,
    /// Neither answer nor verdict.
    pub lost: u64,
    /// Callers who hung up.
    pub hung_up: u64,
    /// Share of good ones among those sent, without those who hung up.
    pub goodput: f64,
    /// First byte, median and 95th and 99th percentile, in milliseconds.
    pub first_ms: [f64; 3],
    /// Mean time between tokens of an answer, median and 95th percentile, in milliseconds.
    pub token_ms: [f64; 2],
}

/// What became of a load.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Mix.
    pub mix: String,
    /// Requests a second.
    pub rate: f64,
    /// By kind.
    pub kinds: BTreeMap<String, KindReport>,
    /// Good answers a second, all kinds.
    pub good_rate: f64,
    /// Prompt tokens computed.
    pub computed: u64,
    /// Share of them whose answer nobody received.
    pub wasted: f64,
    /// Exports evicted before their import.
    pub evicted: u64,
    /// Calls that ran more than once though they may not.
    pub doubled: u64,
    /// Calls reported `not-run` that ran.
    pub false_not_run: u64,
    /// Answers joined from runs that did not know of each other, or out of order.
    pub spliced: u64,
    /// Requests that never ended for their caller.
    pub open: u64,
    /// Engine memory held 5 s after the last end.
    pub held: u64,
}

impl Report {
    /// Counts up.
    pub fn new(site: &Site, plan: &Plan, samples: &[Sample], open: usize) -> Self {
        let mut kinds = BTreeMap::new();
        for kind in &plan.mix.kinds {
            let of_kind: Vec<&Sample> = samples
                .iter()
                .filter(|s| s.counted && s.kind.name == kind.name)
                .collect();
            kinds.insert(kind.name.to_owned(), kind_report(&of_kind));
        }
        let good: u64 = kinds.values().map(|k| k.good).sum();
        let (computed, useful) = prefill(site, samples);
        let runs = site.runs.lock().expect("runs lock");
        Report {
            mix: plan.mix.name.to_owned(),
            rate: plan.rate,
            good_rate: good as f64 / (plan.duration - plan.warm).as_secs_f64(),
            computed,
            wasted: 1.0 - useful as f64 / computed.max(1) as f64,
            evicted: site
                .engines
                .values()
                .map(|s| s.lock().expect("stats lock").evicted)
                .sum(),
            doubled: doubled(samples, &runs),
            false_not_run: samples.iter().filter(|s| is_false(s, &runs)).count() as u64,
            spliced: samples.iter().filter(|s| is_spliced(s)).count() as u64,
            open: open as u64,
            held: site.held(),
            kinds,
        }
    }

    /// Nothing was lost, doubled, spliced or falsely reported, and no memory is held.
    pub fn clean(&self) -> bool {
        let lost: u64 = self.kinds.values().map(|k| k.lost).sum();
        lost + self.doubled + self.spliced + self.false_not_run + self.open + self.held == 0
    }

    /// As lines of text.
    pub fn print(&self) {
        println!(
            "{} at {:.0}/s: good {:.1}/s, wasted prefill {:.2}% of {} tokens, evicted {}, doubled {}, \
             false not-run {}, spliced {}, open {}, memory held {}",
            self.mix,
            self.rate,
            self.good_rate,
            self.wasted * 100.0,
            self.computed,
            self.evicted,
            self.doubled,
            self.false_not_run,
            self.spliced,
            self.open,
            self.held,
        );
        println!(
            "  {:<13} {:>6} {:>6} {:>7} {:>5} {:>7} {:>7} {:>5} {:>22} {:>13}",
            "kind",
            "sent",
            "whole",
            "good%",
            "late",
            "not-run",
            "may-run",
            "lost",
            "first ms p50/p95/p99",
            "token ms"
        );
        for (name, k) in &self.kinds {
            println!(
                "  {name:<13} {:>6} {:>6} {:>7.2} {:>5} {:>7} {:>7} {:>5} {:>8.0}{:>7.0}{:>7.0} {:>6.1}{:>7.1}",
                k.sent,
                k.whole,
                k.goodput * 100.0,
                k.late,
                k.not_run,
                k.may_have_run,
                k.lost,
                k.first_ms[0],
                k.first_ms[1],
                k.first_ms[2],
                k.token_ms[0],
                k.token_ms[1],
            );
        }
    }
}

fn kind_report(samples: &[&Sample]) -> KindReport {
    let mut report = KindReport {
        sent: samples.len() as u64,
        ..KindReport::default()
    };
    let mut first = histogram();
    let mut token = histogram();
    for sample in samples {
        match &sample.outcome {
            None => report.hung_up += 1,
            Some(Outcome::Whole(whole)) => {
                report.whole += 1;
                let _ = first.record(whole.first_at.duration_since(sample.due).as_micros() as u64);
                if let Some(gap) = between(whole) {
                    let _ = token.record(gap.as_micros() as u64);
                }
                if whole.last_at.duration_since(sample.due) > sample.kind.deadline {
                    report.late += 1;
                } else if is_good(sample, whole) {
                    report.good += 1;
                }
            }
            Some(o) if is_not_run(o) => report.not_run += 1,
            Some(Outcome::Refused(_)) => report.may_have_run += 1,
            Some(Outcome::Broken { .. }) => report.lost += 1,
        }
    }
    let at = |h: &Histogram<u64>, q: f64| h.value_at_quantile(q) as f64 / 1e3;
    report.goodput = report.good as f64 / (report.sent - report.hung_up).max(1) as f64;
    report.first_ms = [at(&first, 0.5), at(&first, 0.95), at(&first, 0.99)];
    report.token_ms = [at(&token, 0.5), at(&token, 0.95)];
    report
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits are valid")
}

fn between(whole: &Whole) -> Option<Duration> {
    (whole.pieces > 1).then(|| whole.last_at.duration_since(whole.first_at) / (whole.pieces - 1))
}

fn is_good(sample: &Sample, whole: &Whole) -> bool {
    let first = whole.first_at.duration_since(sample.due) <= sample.kind.first;
    let token = between(whole).is_none_or(|gap| gap <= sample.kind.token);
    whole.status == 200 && first && token && flaw(sample, whole).is_none()
}

fn flaw(sample: &Sample, whole: &Whole) -> Option<Flaw> {
    match sample.kind.shape {
        Shape::Plain => None,
        Shape::Completion { tokens, .. } => {
            tokens::check(&sample.prompt, &whole.text, tokens).err()
        }
    }
}

fn is_spliced(sample: &Sample) -> bool {
    matches!(&sample.outcome, Some(Outcome::Whole(whole)) if flaw(sample, whole).is_some())
}

fn doubled(samples: &[Sample], runs: &HashMap<String, u64>) -> u64 {
    let once = samples.iter().filter(|s| s.kind.once);
    once.filter(|s| runs.get(&s.subject).copied().unwrap_or(0) > 1)
        .count() as u64
}

fn is_false(sample: &Sample, runs: &HashMap<String, u64>) -> bool {
    let ran = runs.get(&sample.subject).copied().unwrap_or(0) > 0;
    ran && sample.outcome.as_ref().is_some_and(is_not_run)
}

/// Prompt tokens computed, and those of them that served an answer somebody received.
///
/// An attempt needs its prompt once: what the decode engine computed itself makes an export of the
/// same attempt useless, and of several exports only one counts.
fn prefill(site: &Site, samples: &[Sample]) -> (u64, u64) {
    let received: HashSet<&str> = samples
        .iter()
        .filter_map(|s| match &s.outcome {
            Some(Outcome::Whole(whole)) => Some(whole.attempt.as_str()),
            _ => None,
        })
        .collect();
    let mut computed = 0;
    let mut needed: HashMap<String, (u64, u64)> = HashMap::new();
    for (name, stats) in &site.engines {
        let writes = name.starts_with("decode");
        for (attempt, tokens) in &stats.lock().expect("stats lock").computed {
            computed += tokens;
            let (own, export) = needed.entry(attempt.clone()).or_default();
            let slot = if writes { own } else { export };
            *slot = (*slot).max(*tokens);
        }
    }
    let useful = needed
        .iter()
        .filter(|(attempt, _)| received.contains(attempt.as_str()))
        .map(|(_, (own, export))| if *own > 0 { *own } else { *export })
        .sum();
    (computed, useful)
}
