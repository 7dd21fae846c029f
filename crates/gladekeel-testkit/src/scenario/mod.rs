//! Scenarios: files that describe a simulation, what happens in it and what must come of it.
//!
//! ```text
//! # Comment.
//! world zones=a,b ordinary=4 spot=2 boot=20 lag=4 late_copies=0.01
//! at 5 submit job-1 tasks=8 cpus=8 run=20
//! at 30 crash leader for 5
//! until 200
//! expect job-1 done
//! ```
//!
//! A world with `seeds=1..4` is run once with each seed. A fault with several parts takes
//! several lines: a node that loses the store and the other nodes is cut twice.
//!
//! Every scenario also expects that no invariant is violated, unless it says
//! `expect broken INVARIANT` with a name of [`Invariant`](crate::invariants::Invariant).
//!
//! # Lines
//!
//! | line | meaning |
//! | --- | --- |
//! | `world KEY=VALUE ...` | Builds the simulation; the first line. |
//! | `at SECONDS STEP` | Schedules a step. |
//! | `until SECONDS` | Runs the simulation up to this time. |
//! | `expect EXPECTATION` | Checks the state that the simulation has by then. |
//!
//! # Keys of `world`
//!
//! | key | meaning, and the default |
//! | --- | --- |
//! | `nodes` | Number of nodes; 3. |
//! | `zones` | Names of the zones; `a,b`. |
//! | `ordinary`, `spot` | Machines of the cloud in each zone; 4 and 0. |
//! | `types` | Number of machine types, of which one has machines; 1. |
//! | `boot`, `lag` | Seconds that a machine boots, and by which the cloud's list is behind; 20, 4. |
//! | `teams` | Factor of the teams' shares and limits; 1. |
//! | `report` | Seconds between heartbeats of a worker. |
//! | `gang_wait`, `gang_peer` | Times of [`GangTimes`]. |
//! | `value_kb`, `write_rps`, `txn_ops` | Limits of the store. |
//! | `next` | Limits that the store has announced, like `value_kb:2,txn_ops:4`. |
//! | `seed`, `seeds` | Seed of the random numbers, or a range of them; 1. |
//! | `step` | Seconds between steps of a worker. |
//! | `late_copies` | Share of the requests to store and cloud that arrive again, later. |
//! | `late_reports` | Share of the heartbeats that arrive again, later, at any node. |
//! | `start_twice`, `gang_alone` | Seeded faults that an invariant must detect. |
//!
//! # Steps
//!
//! `WHO` is `leader`, `others`, `all` or the index of a node; `JOBS` is a name or a range like
//! `job-1..3`; `for S` is the duration in seconds.
//!
//! | step | meaning |
//! | --- | --- |
//! | `submit JOBS KEY=VALUE ...` | Users submit jobs: `tasks`, `cpus`, `memory`, `run`, `image`, `image_gb`, `team`, `class`, `saves`, `zone`, `type`, `one_zone`, `scatter`, `kind`, `spot`, `priority`; `apart`: each task runs so much longer than the one before; `every`: seconds between jobs, of which a share is `cancelled`. |
//! | `again JOBS` | Users submit known jobs once more. |
//! | `poll JOBS times=N` | Users query jobs. |
//! | `cancel JOBS through=WHO` | Users cancel jobs. |
//! | `cancel_now COUNT hang=S through=WHO` | Users cancel the jobs that run longest, all at once; some of their machines hang. |
//! | `cancel_at_end SHARE for S` | Users cancel this share of the jobs the moment they end. |
//! | `close_looks for S` | Read-your-writes probe: users query all nodes as soon as they learn something new. |
//! | `odd for S` | Users send malformed and repeated requests. |
//! | `http METHOD PATH BODY = STATUS` | The leader must answer a request with this status. |
//! | `ask WHO METHOD PATH = STATUS` | The same for a node. |
//! | `junk` | Every node gets bytes that are no request. |
//! | `crash WHO for S`, `crash leader commits=N for S` | A node crashes and starts again; with `commits`, right after the leader's Nth transaction. |
//! | `freeze WHO for S` | A node's process is paused while its clock runs on. |
//! | `cut WHO from all\|workers\|state\|cloud\|mesh\|users for S hold` | A node is partitioned; with `hold` messages arrive afterwards. |
//! | `cut zone A from B for S hold` | Two zones are partitioned. |
//! | `links slow FACTOR for S` | All messages are slow. |
//! | `state down\|mute\|spoils for S` | The store refuses all requests, executes them without an answer, or its assignment log cannot be read. |
//! | `state slow FACTOR for S`, `state refuses WHO for S` | The store is slow, or refuses some nodes. |
//! | `state forgets`, `state limits KEY=N ...` | The store compacts its history, or lowers its limits. |
//! | `cloud down for S`, `cloud duds COUNT`, `cloud empty` | The cloud is out; the next machines never boot; it has no free machine. |
//! | `take COUNT notice=S`, `take done\|zone\|holder JOB` | The cloud takes machines back: some, all but one of a gang as it completes, all of a job's zone, or one that holds a task. |
//! | `drain holder JOB` | A machine that holds a task is drained. |
//! | `reboot COUNT`, `reboot holder JOB` | Machines restart within an instant. |
//! | `hang WHICH for S`, `hang zone\|holder JOB for S` | Machines hang. `WHICH` is a number, `JOBS` or `zone:NAME`. |
//! | `sick WHICH for S`, `slow WHICH for S` | Machines fail all tasks, or are slow. |
//! | `deaf WHICH for S`, `mute WHICH for S` | Machines have an inbound, or an outbound partition. |
//! | `late_writes SHARE for S` | Transactions get no answer and are executed later. |
//! | `lost_answers SHARE for S` | Transactions are committed and their answers lost. |
//! | `late_commands SHARE for S` | Direct commands get no answer and are executed later. |
//! | `reports_for_next_leader SHARE for S` | Copies of heartbeats reach every node when the next leader begins. |
//!
//! # Expectations
//!
//! `OP` is `>=`, `<=` or `=`.
//!
//! | expectation | meaning |
//! | --- | --- |
//! | `JOBS done\|cancelled\|open\|refused` | The state that users observed last; `refused` means nothing. |
//! | `JOB began\|on OP N` | When the job began; how many of its tasks are on machines. |
//! | `JOB runs\|saves\|lost\|attempts OP N` | Of a gang: how often it ran and saved, seconds of lost progress, attempts. |
//! | `broken INVARIANT` | The invariant was violated, and may be. |
//! | `cpus TEAM OP N` | CPUs that a team uses. |
//! | `starts`, `starts_without_room` | Started tasks; starts refused for lack of resources. |
//! | `confirmed`, `cancelled_running` | Cancelled jobs; their tasks that are still on machines. |
//! | `leaders`, `heard_by_leader` | Leaderships so far; workers whose heartbeats go to the leader. |
//! | `machines`, `rented` | Machines now; machines ever rented. |
//! | `written`, `bytes`, `segments` | Writes and bytes committed; segments of the assignment log. |
//! | `busy`, `too_large` | Requests that the store refused as beyond a rate, or as too large. |
//! | `looked`, `attempt_lookups`, `restarts`, `preemptions` | Counters of the leader. |
//! | `age` | Seconds that the oldest open job is old, as the leader knows it. |
//! | `given_up`, `close_looks` | Submissions that users gave up; queries of the probe. |
//! | `answers_lost`, `commands_late`, `commands_refused`, `reports_released` | How many messages met their fault. |

mod error;
mod examples;
mod expectations;
mod files;
mod job;
mod runner;
mod steps;
mod targets;
mod tokens;
mod world;

pub use error::{Check, FailedCheck, LineError, Mismatch, ScenarioError};
pub use examples::{GangTimes, example_job, example_settings, example_type, settings_with};
pub use files::{FileResult, files_below, run_files, scenario_directory, scenario_name};
pub use runner::run;
