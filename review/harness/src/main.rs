//! The cases of the review: `review-harness CASE RECORD`, run from the root of the repository.
//!
//! Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
//! With `TROUBLE=0` in the environment the case runs without its disruption. `KEEP_LOGS=1` keeps the
//! temporary folder with the settings and logs of the controllers.
//!
//! Cases: `long-run` (review/1), `frozen-leader` (review/2) and its variant `cut-leader`,
//! `cancel-crash` (review/3) and its variant `cancel-round`, and `explore` (random disruptions).

mod cases;
mod world;

use std::{process::ExitCode, rc::Rc, time::Duration};

/// A case that takes longer has not run.
const DEADLINE: Duration = Duration::from_secs(117);

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = arguments.as_slice() else {
        eprintln!("usage: review-harness CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = cases::Trouble::from_environment();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime");
    let verdict = tokio::task::LocalSet::new().block_on(&runtime, async {
        let Some((site, machines, spare)) = cases::setting(case) else {
            return Verdict::CouldNotRun(format!("there is no case {case}"));
        };
        let finished = cases::finished_jobs(case, trouble);
        let world = world::World::start(site, record, machines, spare, finished).await;
        for node in 0..world.site.nodes {
            world.start_node(node);
        }
        let run = cases::run(case, Rc::clone(&world), trouble);
        let verdict = tokio::time::timeout(DEADLINE, run).await;
        let mut verdict =
            verdict.unwrap_or_else(|_| Verdict::CouldNotRun("it took too long".into()));
        let ended = world.ended_nodes();
        if !ended.is_empty() {
            world.violation(format!("controllers ended by themselves: {ended:?}"));
            verdict = Verdict::Broken;
        }
        let line = match &verdict {
            Verdict::Held => "result: the rule held".to_owned(),
            Verdict::Broken => format!("result: broken, {:?}", world.violations.borrow()),
            Verdict::CouldNotRun(why) => format!("result: could not run: {why}"),
        };
        world.note(&line);
        println!("{line}");
        world.stop();
        verdict
    });
    match verdict {
        Verdict::Held => ExitCode::SUCCESS,
        Verdict::Broken => ExitCode::from(1),
        Verdict::CouldNotRun(_) => ExitCode::from(2),
    }
}
