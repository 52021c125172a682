//! The main job in one process: stand-ins, two entries, four sidecars in two zones, three requests.

use clap::Args as ClapArgs;
use uuid::Uuid;

use crate::client::{Call, Client, Outcome};
use crate::site::{CALLER_TOKEN, Site, SiteSpec};
use crate::tokens;

/// Runs the stand-ins and the router in one process and shows three requests from end to end.
#[derive(Clone, Debug, ClapArgs)]
pub struct Args {
    /// Output tokens of the summary
    #[arg(long, default_value_t = 30)]
    pub tokens: u32,
    /// Log filter for the processes
    #[arg(long, default_value = "warn")]
    pub log: String,
}

/// Runs the command; false when an answer is not what it should be.
pub fn run(args: Args) -> bool {
    ebonyloftd::logs::start(&args.log);
    let site = Site::start(SiteSpec::default());
    let runtime = compio::runtime::Runtime::new().expect("runtime");
    runtime.block_on(show(&site, args.tokens))
}

async fn show(site: &Site, tokens: u32) -> bool {
    site.open().await;
    println!("two entries, four sidecars, two availability zones are up");
    let client = Client::default();
    let mut good = true;

    for (kind, subject) in [("permit-check", "stall 114"), ("badge-check", "badge 2207")] {
        let key = Uuid::now_v7().to_string();
        let call = Call::plain(CALLER_TOKEN, &key, kind, "gate", subject);
        for (i, entry) in [(1, 0), (2, 1)] {
            println!("\n{kind} for {subject}, sent through entry-{entry} (time {i}, key {key})");
            good &= print(&client.send(site.entry(entry), &call, |_| {}).await);
        }
        let runs = site.runs.lock().expect("runs lock").get(subject).copied();
        println!("  the service ran it {} time(s)", runs.unwrap_or(0));
        good &= runs == Some(1);
    }

    let prompt = "Summarise the costume-prop policy for the pass desk. ".repeat(60);
    let key = Uuid::now_v7().to_string();
    let call = Call::completion(CALLER_TOKEN, &key, "summary", &prompt, tokens);
    println!("\nsummary through entry-0, streaming (key {key})\n ");
    let outcome = client
        .send(site.entry(0), &call, |piece| print!(" {piece}"))
        .await;
    println!();
    good &= print(&outcome);
    if let Outcome::Whole(whole) = &outcome {
        let checked = tokens::check(&prompt, &whole.text, tokens);
        println!("  whole answer, in order, of one piece: {checked:?}");
        good &= checked.is_ok();
    }

    println!("\nthe same key with another body");
    let other = Call::completion(CALLER_TOKEN, &key, "summary", "Another prompt.", tokens);
    let refused = client.send(site.entry(1), &other, |_| {}).await;
    print(&refused);
    good && matches!(refused, Outcome::Refused(_))
}

fn print(outcome: &Outcome) -> bool {
    match outcome {
        Outcome::Whole(w) if w.pieces == 1 && w.text.len() < 400 => {
            println!("  {} {} (attempt {})", w.status, w.text, w.attempt);
        }
        Outcome::Whole(w) => println!(
            "  {} bytes in {} pieces (attempt {})",
            w.text.len(),
            w.pieces,
            w.attempt
        ),
        Outcome::Refused(p) => println!("  {} verdict {}: {}", p.status, p.verdict, p.detail),
        Outcome::Broken { text, .. } => println!("  connection lost after {} bytes", text.len()),
    }
    matches!(outcome, Outcome::Whole(_))
}
