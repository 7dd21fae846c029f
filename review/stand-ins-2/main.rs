//! Runs one case of the review against the project's controllers:
//! `stand-ins-2 CASE RECORD RUN...`, where RUN is the `run` of the deploy file. The exit code is 0
//! if the rule held, 1 if it was broken, and 2 if the case could not run. With TROUBLE=0 in the
//! environment the disruption is left out.

mod cases;
mod cloud;
mod gate;
mod http;
mod json;
mod record;
mod state;
mod worker;
mod world;

use record::Record;
use std::process::exit;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, path, run @ ..] = args.as_slice() else { exit(2) };
    let run: Vec<String> =
        run.iter().flat_map(|w| w.split_whitespace()).map(str::to_owned).collect();
    if run.is_empty() {
        exit(2);
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let record = Record::new(path);
    record.line(&format!("case {case}, trouble {trouble}"));
    let code = cases::play(case, record, run, trouble);
    exit(code);
}
