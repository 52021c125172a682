//! Open-loop load with fixed seeds, and what became of it.

pub mod mix;
pub mod report;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use uuid::Uuid;

use crate::client::{Call, Client, Outcome};
use crate::site::{CALLER_TOKEN, Site};
use mix::{Kind, Mix, Shape};
use report::{Report, Sample};

/// How long after the last arrival answers are waited for.
const PATIENCE: Duration = Duration::from_secs(45);

/// A fault at a moment of the run.
#[derive(Clone, Debug)]
pub struct Fault {
    /// When, from the start.
    pub at: Duration,
    /// What.
    pub act: Act,
    /// Which node.
    pub node: String,
}

/// What a fault does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Act {
    /// Ends it at once; the platform's list shows it 2 s later.
    Kill,
    /// Starts it again.
    Restart,
    /// Freezes it for 5 s.
    Pause,
    /// Asks it to stop gracefully.
    Term,
    /// Its open links go silent.
    Mute,
    /// The platform answers nothing.
    Outage,
    /// The platform answers again.
    Mend,
}

impl Fault {
    /// Reads `SECONDS:ACT:NODE`.
    pub fn parse(text: &str) -> Result<Fault, String> {
        let mut parts = text.splitn(3, ':');
        let at: f64 = parts.next().and_then(|t| t.parse().ok()).ok_or("no time in seconds")?;
        let act = match parts.next().unwrap_or_default() {
            "kill" => Act::Kill,
            "restart" => Act::Restart,
            "pause" => Act::Pause,
            "term" => Act::Term,
            "mute" => Act::Mute,
            "outage" => Act::Outage,
            "mend" => Act::Mend,
            other => return Err(format!("`{other}` is no act")),
        };
        let node = parts.next().unwrap_or("platform").to_owned();
        Ok(Fault { at: Duration::from_secs_f64(at), act, node })
    }
}

/// How load is sent.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Kinds of work and their shares.
    pub mix: Mix,
    /// Requests a second.
    pub rate: f64,
    /// How long arrivals go on.
    pub duration: Duration,
    /// Arrivals before this are sent and not counted.
    pub warm: Duration,
    /// A burst at the start of the counted time: factor and length.
    pub burst: Option<(f64, Duration)>,
    /// Fixes arrivals and choices.
    pub seed: u64,
    /// Faults in order of time.
    pub faults: Vec<Fault>,
    /// Share of slow callers who hang up early.
    pub hangups: f64,
}

/// Sends the load and waits for all answers.
pub async fn run(site: &mut Site, plan: &Plan) -> Report {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    let client = Client::default();
    let samples: Rc<RefCell<Vec<Sample>>> = Rc::default();
    let open: Rc<RefCell<usize>> = Rc::default();
    let entries = site.entries();
    let start = Instant::now();
    let mut faults = plan.faults.iter().peekable();
    let mut due = start;
    let mut number = 0_u64;
    loop {
        let rate = rate_at(plan, due.duration_since(start));
        due += Duration::from_secs_f64(-f64::ln(rng.random_range(f64::EPSILON..1.0)) / rate);
        if due.duration_since(start) >= plan.duration {
            break;
        }
        while let Some(fault) = faults.next_if(|f| start + f.at <= due) {
            compio::time::sleep_until(start + fault.at).await;
            inflict(site, fault);
        }
        compio::time::sleep_until(due).await;
        number += 1;
        let kind = plan.mix.pick(&mut rng).clone();
        let counted = due.duration_since(start) >= plan.warm;
        let hangup = kind.slow && rng.random_bool(plan.hangups);
        let request = Prepared::new(&kind, number, &mut rng, hangup);
        let mut order = entries.clone();
        order.rotate_left(rng.random_range(0..entries.len()));
        let (client, samples, open) = (client.clone(), samples.clone(), open.clone());
        *open.borrow_mut() += 1;
        compio::runtime::spawn(async move {
            let sample = request.send(&client, &order, due, counted).await;
            samples.borrow_mut().push(sample);
            *open.borrow_mut() -= 1;
        })
        .detach();
    }
    for fault in faults {
        compio::time::sleep_until(start + fault.at).await;
        inflict(site, fault);
    }
    let until = Instant::now() + PATIENCE;
    while *open.borrow() > 0 && Instant::now() < until {
        compio::time::sleep(Duration::from_millis(50)).await;
    }
    let left = *open.borrow();
    // Leases, reattach windows and evictions run out before memory is counted.
    compio::time::sleep(Duration::from_secs(5)).await;
    let samples = samples.borrow().clone();
    Report::new(site, plan, &samples, left)
}

fn rate_at(plan: &Plan, since: Duration) -> f64 {
    match plan.burst {
        Some((factor, length)) if since >= plan.warm && since < plan.warm + length => {
            plan.rate * factor
        }
        _ => plan.rate,
    }
}

fn inflict(site: &mut Site, fault: &Fault) {
    let node = fault.node.as_str();
    match fault.act {
        Act::Kill => site.kill(node, Some(Duration::from_secs(2))),
        Act::Restart => site.restart(node),
        Act::Pause => site.pause(node, Duration::from_secs(5)),
        Act::Term => site.terminate(node),
        Act::Mute => {
            if let Some(relay) = site.relays.get(node) {
                use std::sync::atomic::Ordering::Relaxed;
                relay.mute_forward.store(true, Relaxed);
                relay.mute_back.store(true, Relaxed);
                let relay = relay.clone();
                // Connections made after a moment work again.
                std::thread::spawn(move || {
                    std::thread::sleep(Duration::from_millis(1_200));
                    relay.mute_forward.store(false, Relaxed);
                    relay.mute_back.store(false, Relaxed);
                });
            }
        }
        Act::Outage => site.switches.lock().expect("switches lock").outage = true,
        Act::Mend => site.switches.lock().expect("switches lock").outage = false,
    }
}

/// A request ready to be sent.
struct Prepared {
    kind: Kind,
    call: Call,
    subject: String,
    prompt: String,
    hangup: Option<Duration>,
}

impl Prepared {
    fn new(kind: &Kind, number: u64, rng: &mut ChaCha8Rng, hangup: bool) -> Self {
        let key = Uuid::now_v7().to_string();
        let subject = format!("{}-{number}", kind.name);
        let (call, prompt) = match &kind.shape {
            Shape::Plain => {
                let call = Call::plain(CALLER_TOKEN, &key, kind.name, "gate", &subject);
                (call, String::new())
            }
            Shape::Completion { shared, own, tokens } => {
                let prompt = mix::prompt(*shared, *own, number);
                let call = Call::completion(CALLER_TOKEN, &key, kind.name, &prompt, *tokens);
                (call, prompt)
            }
        };
        let hangup = hangup.then(|| Duration::from_millis(rng.random_range(50..1_500)));
        Prepared { kind: kind.clone(), call, subject, prompt, hangup }
    }

    async fn send(
        self,
        client: &Client,
        entries: &[SocketAddr],
        due: Instant,
        counted: bool,
    ) -> Sample {
        // A check is of no use after its deadline, yet its honest end is waited for.
        let until = due + self.kind.deadline.max(Duration::from_secs(12)) + Duration::from_secs(3);
        let outcome = match self.hangup {
            None => Some(client.send_through(entries, &self.call, until).await),
            Some(after) => {
                let sent = client.send(entries[0], &self.call, |_| {});
                compio::time::timeout(after, sent).await.ok()
            }
        };
        let ended = Instant::now();
        let Prepared { kind, subject, prompt, .. } = self;
        Sample { kind, subject, prompt, due, ended, outcome, counted }
    }
}

/// Whether an outcome is a refusal with the verdict that it did not run.
pub fn is_not_run(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Refused(p) if p.verdict == "not-run")
}
