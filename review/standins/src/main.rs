//! Stand-ins and judges of the review's cases.
//!
//! `review-standins CASE FOLDER` plays a case from the root of the repository and writes
//! `review/FOLDER/record.txt`. It exits with 1 if the rule was broken, 0 if it held, and 2 if the
//! case couldn't run. With `TROUBLE=0` the disruption is left out.

mod deployment;
mod http;
mod json;
mod leaving;
mod restart;
mod store;
mod uploads;

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let (case, folder) = match &args[..] {
        [_, case, folder] => (case.as_str(), folder.as_str()),
        _ => ("", ""),
    };
    let result = match case {
        "leaving" => leaving::run(folder, trouble),
        "uploads" => uploads::run(folder, trouble),
        "restart" => restart::run(folder, trouble),
        _ => Err(std::io::Error::other("usage: review-standins leaving|restart|uploads FOLDER")),
    };
    match result {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("the case couldn't run: {e}");
            ExitCode::from(2)
        }
    }
}
