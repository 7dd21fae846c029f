//! Scenario files: a small text form for a world, what happens in it and what
//! must come of it.
//!
//! ```text
//! # Comment.
//! world zones=a,b ordinary=4 spot=2 boot=20 lag=4 duplicated_request_share=0.01
//! at 5 submit job-1 tasks=8 cpus=8 run=20
//! at 30 crash leader for 5
//! until 200
//! expect job-1 done
//! ```
//!
//! A world with `seeds=1..4` is played once with each seed. Troubles of several parts are
//! several lines: a node that loses the state service and the other nodes is cut twice.
//!
//! Every scenario also expects that no rule breaks, unless it says `expect
//! broken RULE`.

mod examples;
mod expectations;
mod files;
mod steps;
mod targets;
mod tokens;
mod world;

pub use examples::{example_job, example_settings, example_type, settings_with};
pub use files::{FileResult, run_files};

use crate::simulation::{Simulation, TraceDigest};
use expectations::expect;
use steps::step;
use tokens::{number, split};
use world::world;

/// Why a scenario did not pass.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// A line that cannot be read.
    #[error("line {0}: {1}")]
    Line(usize, String),
    /// Expectations that were not met.
    #[error("{}", .0.join("\n"))]
    Unmet(Vec<String>),
}

/// Runs a scenario; one whose world names `seeds=1..4` runs with each of them. Returns the
/// digest of what the nodes did in each run.
pub fn run(text: &str) -> Result<Vec<TraceDigest>, Failure> {
    let seeds = text
        .lines()
        .find(|line| line.starts_with("world "))
        .and_then(|line| line.split_whitespace().find_map(|word| word.strip_prefix("seeds=")));
    let Some(range) = seeds else { return Ok(vec![run_once(text)?]) };
    let bounds = range
        .split_once("..")
        .and_then(|(from, to)| Some((from.parse::<u64>().ok()?, to.parse::<u64>().ok()?)));
    let (first, last) = bounds.ok_or_else(|| Failure::Line(1, format!("no seeds: {range}")))?;
    let mut digests = Vec::new();
    let mut unmet = Vec::new();
    for seed in first..=last {
        let one = text.replacen(&format!("seeds={range}"), &format!("seed={seed}"), 1);
        match run_once(&one) {
            Err(Failure::Unmet(what)) => {
                unmet.extend(what.into_iter().map(|what| format!("seed {seed}: {what}")));
            }
            other => digests.push(other?),
        }
    }
    if unmet.is_empty() { Ok(digests) } else { Err(Failure::Unmet(unmet)) }
}

fn run_once(text: &str) -> Result<TraceDigest, Failure> {
    let mut sim: Option<Simulation> = None;
    let mut unmet = Vec::new();
    let mut may_break = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let line = line.split('#').next().unwrap_or("").trim();
        let fail = |what: String| Failure::Line(index + 1, what);
        let Some((verb, rest)) = line.split_once(' ') else {
            if line.is_empty() {
                continue;
            }
            return Err(fail("a line of one word".into()));
        };
        if verb == "world" {
            sim = Some(world(&split(rest).1).map_err(fail)?);
            continue;
        }
        let Some(sim) = &mut sim else {
            return Err(fail("the world comes first".into()));
        };
        match verb {
            "at" => {
                let (time, what) = rest.split_once(' ').ok_or_else(|| fail("at what?".into()))?;
                let (time, step) = (number(time).map_err(fail)?, step(what.trim()).map_err(fail)?);
                sim.after(time - sim.now, step);
            }
            "until" => sim.run(number(rest).map_err(fail)?),
            "expect" => {
                if let Some(rule) = rest.strip_prefix("broken ") {
                    may_break.push(rule.to_owned());
                }
                if let Some(what) = expect(sim, rest).map_err(fail)? {
                    unmet.push(format!("line {}: {what}", index + 1));
                }
            }
            other => return Err(fail(format!("no line begins with {other}"))),
        }
    }
    let sim = sim.ok_or_else(|| Failure::Line(1, "no world".to_owned()))?;
    for (rule, what) in &sim.invariants.broken {
        if !may_break.iter().any(|allowed| allowed == rule) {
            unmet.push(format!("rule {rule} broken: {what}"));
        }
    }
    for abuse in sim.store.abuses.iter().chain(&sim.cloud.abuses) {
        unmet.push(format!("protocol: {abuse}"));
    }
    if unmet.is_empty() { Ok(sim.trace_digest()) } else { Err(Failure::Unmet(unmet)) }
}
