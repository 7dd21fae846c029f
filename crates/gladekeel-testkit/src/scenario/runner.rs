//! Runs a scenario, once for each of its seeds.

use super::{
    Check, FailedCheck, LineError, ScenarioError,
    expectations::check,
    steps::parse_step,
    tokens::{number, split},
    world::build_simulation,
};
use crate::simulation::{Simulation, TraceDigest};
use std::ops::RangeInclusive;

/// Runs a scenario and returns the digest of the nodes' actions in each run. A scenario whose
/// `world` line has `seeds=1..4` is run once with each of these seeds.
///
/// # Errors
///
/// Returns an error if a line cannot be parsed, or if a check fails in any of the runs.
pub fn run(text: &str) -> Result<Vec<TraceDigest>, ScenarioError> {
    let Some(seeds) = seeds_token(text) else { return Ok(vec![run_once(text, None)?]) };
    let range = parse_seeds(seeds).ok_or_else(|| ScenarioError::Line {
        line: 1,
        error: LineError::unexpected("a range of seeds", seeds),
    })?;
    let mut digests = Vec::new();
    let mut failed = Vec::new();
    for seed in range {
        let with_seed = text.replacen(&format!("seeds={seeds}"), &format!("seed={seed}"), 1);
        match run_once(&with_seed, Some(seed)) {
            Err(ScenarioError::FailedChecks(checks)) => failed.extend(checks),
            other => digests.push(other?),
        }
    }
    if failed.is_empty() { Ok(digests) } else { Err(ScenarioError::FailedChecks(failed)) }
}

/// Returns the `FIRST..LAST` of `seeds=FIRST..LAST` in the `world` line, if the line has it.
fn seeds_token(text: &str) -> Option<&str> {
    let world = text.lines().find(|line| line.starts_with("world "))?;
    world.split_whitespace().find_map(|token| token.strip_prefix("seeds="))
}

fn parse_seeds(seeds: &str) -> Option<RangeInclusive<u64>> {
    let (first, last) = seeds.split_once("..")?;
    Some(first.parse().ok()?..=last.parse().ok()?)
}

fn run_once(text: &str, seed: Option<u64>) -> Result<TraceDigest, ScenarioError> {
    let mut run = Run::default();
    for (index, line) in text.lines().enumerate() {
        let number = index + 1;
        run.execute(number, line).map_err(|error| ScenarioError::Line { line: number, error })?;
    }
    run.finish(seed)
}

/// One run of a scenario.
#[derive(Default)]
struct Run {
    /// The simulation; `None` before the `world` line.
    sim: Option<Simulation>,
    failed_checks: Vec<Check>,
    /// Names of the invariants in `expect violated` lines. A violation of these invariants is not a
    /// failure.
    expected_violations: Vec<String>,
}

impl Run {
    /// Executes a line. Comments and empty lines do nothing.
    fn execute(&mut self, line_number: usize, line: &str) -> Result<(), LineError> {
        let line = line.split('#').next().unwrap_or("").trim();
        if line.is_empty() {
            return Ok(());
        }
        let (keyword, rest) =
            line.split_once(' ').ok_or(LineError::Missing { expected: "a second word" })?;
        if keyword == "world" {
            self.sim = Some(build_simulation(&split(rest).1)?);
            return Ok(());
        }
        let sim =
            self.sim.as_mut().ok_or_else(|| LineError::unexpected("`world` first", keyword))?;
        match keyword {
            "at" => schedule(sim, rest),
            "until" => {
                sim.run(number(rest)?);
                Ok(())
            }
            "expect" => self.expect(line_number, rest),
            other => Err(LineError::unexpected("one of world, at, until and expect", other)),
        }
    }

    /// Checks the expectation of an `expect` line.
    fn expect(&mut self, line: usize, expectation: &str) -> Result<(), LineError> {
        if let Some(invariant) = expectation.strip_prefix("violated ") {
            self.expected_violations.push(invariant.to_owned());
        }
        let Some(sim) = &self.sim else { return Ok(()) };
        let mismatch = check(sim, expectation)?;
        self.failed_checks.extend(mismatch.map(|mismatch| Check::Expectation { line, mismatch }));
        Ok(())
    }

    /// Adds the unexpected violations of invariants and the protocol errors to the failed checks.
    /// Returns the digest of the run if there are none.
    fn finish(mut self, seed: Option<u64>) -> Result<TraceDigest, ScenarioError> {
        let no_world = LineError::Missing { expected: "`world`" };
        let sim = self.sim.ok_or(ScenarioError::Line { line: 1, error: no_world })?;
        let is_expected =
            |name: &str| self.expected_violations.iter().any(|expected| expected == name);
        let violations = sim.invariants.violations.iter();
        let violations = violations.filter(|violation| !is_expected(violation.invariant.name()));
        self.failed_checks.extend(violations.cloned().map(Check::Invariant));
        let errors = sim.store.protocol_errors.iter().chain(&sim.cloud.protocol_errors);
        self.failed_checks.extend(errors.cloned().map(Check::Protocol));
        if self.failed_checks.is_empty() {
            return Ok(sim.trace_digest());
        }
        let checks = self.failed_checks.into_iter();
        let checks = checks.map(|check| FailedCheck { seed, check });
        Err(ScenarioError::FailedChecks(checks.collect()))
    }
}

/// Schedules the step of a line `at SECONDS STEP`.
fn schedule(sim: &mut Simulation, text: &str) -> Result<(), LineError> {
    let (time, step) = text.split_once(' ').ok_or(LineError::Missing { expected: "a step" })?;
    let (time, step) = (number(time)?, parse_step(step.trim())?);
    sim.after(time - sim.now, step);
    Ok(())
}
