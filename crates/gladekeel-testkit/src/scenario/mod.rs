//! Scenario files: each describes a simulation, the events in it and the state that it must reach.
//!
//! ```text
//! # Comment.
//! world zones=a,b on_demand=4 spot=2 boot_s=20 list_lag_s=4 duplicated_request_share=0.01
//! at 5 submit job-1 tasks=8 cpus=8 run_s=20
//! at 30 crash leader for 5
//! until 200
//! expect job-1 done
//! ```
//!
//! A scenario whose `world` line has `seeds=1..4` is run once with each of these seeds. A fault
//! with several parts takes several lines: to partition a node from both the store and the other
//! nodes, write two `partition` lines.
//!
//! Every scenario also expects that no invariant is violated, except those that it names in
//! `expect violated INVARIANT`. The name is that of [`Invariant::name`].
//!
//! # Lines
//!
//! | line | meaning |
//! | --- | --- |
//! | `world KEY=VALUE ...` | Builds the simulation; must be the first line. |
//! | `at SECONDS STEP` | Schedules a step at this time. |
//! | `until SECONDS` | Runs the simulation up to this time. |
//! | `expect EXPECTATION` | Checks the state that the simulation has reached. |
//!
//! # Keys of `world`
//!
//! A key that ends in `_s` is a duration in seconds.
//!
//! | key | meaning and default |
//! | --- | --- |
//! | `nodes` | Number of nodes; 3. |
//! | `zones` | Names of the zones; `a,b`. |
//! | `on_demand`, `spot` | Machines of each kind that the cloud has in each zone; 4 and 0. |
//! | `machine_types` | Number of machine types, which share the free machines of a zone: `m32`, `m32-2` and so on; 1. |
//! | `boot_s` | How long a machine of type `m32` boots; 20. |
//! | `list_lag_s` | Age of the state that the cloud's list of machines shows; 4. |
//! | `team_quota_factor` | Factor by which the teams' guaranteed CPUs and limits are multiplied; 1. |
//! | `heartbeat_interval_s` | Time between heartbeats of a worker; as in the example settings. |
//! | `lease_s`, `cancel_s` | Duration of a worker's lease, and the cancellation deadline; as in the example settings. |
//! | `clock_error_ms` | Error of the nodes' wall clocks, which are ahead and behind in turn, and the bound on it in the settings; as in the example settings, without an error. |
//! | `worker_step_s` | Time between steps of the simulated workers and gangs; 0.1. |
//! | `gang_wait_s`, `gang_peer_s` | The fields of [`GangTimes`]; 30 and 4. |
//! | `value_kb`, `write_rps`, `txn_ops` | Limits of the store; as in the example settings. |
//! | `announced_limits` | Lower limits that the store has announced, like `value_kb:2,txn_ops:4`; none. |
//! | `seed`, `seeds` | Seed of the random numbers, or a range of seeds; 1. |
//! | `duplicated_request_share` | Share of the requests to store and cloud that arrive a second time, later; 0. |
//! | `duplicated_heartbeat_share` | Share of the heartbeats that arrive a second time, later, at any node; 0. |
//! | `start_tasks_twice`, `run_partial_gangs` | Seeded faults that the invariant checker must detect; off. |
//!
//! # Steps
//!
//! In the table below:
//!
//! - `WHO` is `leader`, `followers`, `all` or the index of a node. `followers` are all nodes but
//!   the leader.
//! - `JOBS` is the name of a job, or a range like `job-1..3`.
//! - `MACHINES` is a number of machines, those with tasks first; or `JOBS`, for all machines that
//!   host a task of these jobs; or `zone:NAME`, for all machines of a zone.
//! - `host_of:JOB` is one machine that hosts a task of the job, and `zone_of:JOB` is all machines
//!   in the zone of such a machine.
//! - `SHARE` is the share of the messages or jobs that are affected, from 0 to 1.
//! - `for S` is the duration in seconds.
//!
//! | step | meaning |
//! | --- | --- |
//! | `submit JOBS KEY=VALUE ...` | Users submit jobs; see below for the keys. |
//! | `resubmit JOBS` | Users submit jobs a second time. |
//! | `poll JOBS times=N` | Users query jobs. |
//! | `cancel JOBS via=WHO` | Users cancel jobs through these nodes; without `via`, through any node. |
//! | `cancel_longest_remaining COUNT hang_s=S via=WHO` | Users cancel the running jobs that would end last, all at once; with `hang_s`, some of their machines hang. |
//! | `cancel_at_completion SHARE for S` | Users cancel, query and resubmit this share of the jobs within 0.4 s of their completion. |
//! | `probe_read_your_writes for S` | Users query all nodes as soon as a response reports a new state. |
//! | `send_malformed_requests for S` | Users send malformed and repeated requests. |
//! | `send_invalid_bytes` | Users send bytes that are not a valid request to every node. |
//! | `http METHOD PATH BODY = STATUS` | The leader must respond to a request with this status. |
//! | `http_to WHO METHOD PATH = STATUS` | These nodes must respond to a request without a body with this status. |
//! | `crash WHO for S` | Nodes crash and start again. |
//! | `crash leader after_commits=N for S` | The leader crashes when its Nth transaction from now on is committed, before it receives the response. |
//! | `pause WHO for S` | The processes of nodes are paused while their clocks run on. |
//! | `partition WHO from all\|workers\|store\|cloud\|peers\|users for S buffered` | Nodes are partitioned; with `buffered`, the messages arrive when the partition ends, otherwise they are lost. |
//! | `partition zone:A from zone:B for S buffered` | Two zones are partitioned from each other. |
//! | `slow network FACTOR for S` | All messages take longer by this factor. |
//! | `slow store FACTOR for S` | Requests to the store take longer by this factor. |
//! | `outage store for S` | The store refuses all requests. |
//! | `outage cloud for S` | The cloud refuses all requests. |
//! | `drop_responses store for S` | The store executes requests, but its responses are lost. |
//! | `deny_store WHO for S` | The store refuses the requests of these nodes. |
//! | `corrupt assignment_log\|job for S` | The assignment log, or one stored job that no user has submitted, cannot be read. |
//! | `compact store` | The store compacts its history. |
//! | `lower_limits store KEY=N ...` | The store lowers its limits: `value_kb`, `txn_ops`, `write_rps`, `rps`. |
//! | `fail_next_boots COUNT` | The next COUNT machines that are rented never boot. |
//! | `exhaust cloud` | The cloud has no free machine until machines are deleted or reclaimed. |
//! | `reclaim COUNT notice_s=S`, `reclaim host_of:JOB notice_s=S` | The cloud reclaims machines. |
//! | `reclaim zone_of:JOB` | The cloud reclaims all machines of a zone, which has no free machine afterwards. |
//! | `reclaim_at_completion JOB` | The cloud reclaims all machines of a gang but one as the gang completes. |
//! | `drain host_of:JOB` | A machine is drained. |
//! | `reboot COUNT`, `reboot host_of:JOB` | Machines reboot instantly. |
//! | `hang MACHINES for S`, `hang zone_of:JOB for S`, `hang host_of:JOB for S` | Machines hang. With `zone_of`, the zone has no free machine afterwards. With `zone_of` and `host_of`, the heartbeats that were due when the machines hung are not sent later. |
//! | `fail_tasks MACHINES for S` | Every task that runs on these machines fails. |
//! | `refuse_starts MACHINES for S` | These machines refuse every start as if they had no free resources. |
//! | `slow MACHINES for S` | Tasks take longer on these machines. |
//! | `partition_inbound MACHINES for S` | These machines receive no messages, but their heartbeats arrive. |
//! | `partition_outbound MACHINES for S` | The heartbeats of these machines are lost, but direct commands and the responses to them arrive. |
//! | `delay_commits SHARE for S` | Transactions get no response and are executed later. |
//! | `drop_commit_responses SHARE for S` | Transactions are committed, but their responses are lost. |
//! | `delay_commands SHARE for S` | Direct commands, which are sent outside heartbeat responses, get no response and are executed later. |
//! | `copy_commands SHARE after MIN..MAX for S` | A copy of this share of the direct commands that are executed and answered arrives again, MIN to MAX seconds later. |
//! | `replay_heartbeats SHARE for S` | Copies of heartbeats reach every node when the next leader takes over. |
//!
//! # Keys of `submit`
//!
//! Keys that are left out have the value of [`example_job`].
//!
//! | key | meaning |
//! | --- | --- |
//! | `tasks`, `cpus`, `memory_gb` | Number of tasks, and resources of each task. |
//! | `run_s` | How long a task runs. |
//! | `run_step_s` | How much longer each task of a job runs than the task before it. |
//! | `checkpoint_interval_s` | Time between checkpoints. |
//! | `image`, `image_gb` | The image and its size. |
//! | `team`, `class`, `priority`, `kind` | `priority` is `low`, `normal`, `high` or `production`; `kind` is `gang` or `service`; tasks of the class `faulty` always fail. |
//! | `zone`, `machine_type` | The zone or machine type that the job requires. |
//! | `single_zone`, `spread`, `spot` | `yes` or `no`. |
//! | `interval_s` | Time between the submissions; without it all jobs are submitted at once. |
//! | `cancelled_share` | Share of the jobs that users cancel soon after their submission; needs `interval_s`. |
//!
//! # Expectations
//!
//! `OP` is `>=`, `<=` or `=`.
//!
//! | expectation | meaning |
//! | --- | --- |
//! | `JOBS done\|cancelled\|unfinished\|not_accepted` | The state that users last observed; `not_accepted` if they observed none. |
//! | `JOB started_at OP N` | Time at which the first task of the job started or, for a gang, all its tasks began to run. |
//! | `JOB tasks_on_machines OP N` | Tasks of the job that are on machines. |
//! | `JOB runs OP N` | How often all tasks of a gang began to run together. |
//! | `JOB stop_checkpoints OP N` | How often a gang wrote a checkpoint when it was stopped. |
//! | `JOB lost_progress_s OP N` | Progress that a gang lost, in seconds. |
//! | `JOB attempts OP N` | Attempts of a gang that were on machines. |
//! | `violated INVARIANT` | The invariant was violated, and the violation is not a failure. |
//! | `team_cpus TEAM OP N` | CPUs that a team uses. |
//! | `task_starts OP N`, `starts_refused OP N` | Tasks started; starts that a machine refused for lack of resources. |
//! | `cancellations_confirmed OP N` | Jobs that users observed as cancelled. |
//! | `cancelled_tasks_on_machines OP N` | Tasks on machines whose jobs users observed as cancelled. |
//! | `leaders OP N` | Leaders so far, each with its own token. |
//! | `largest_heartbeat_bytes OP N` | Size of the largest heartbeat that a worker has sent. |
//! | `workers_at_leader OP N` | Workers that send their heartbeats to the leader. |
//! | `machines OP N`, `machines_rented OP N` | Machines that exist; machines ever rented. |
//! | `writes_committed OP N`, `bytes_committed OP N` | Writes and bytes of all committed transactions. |
//! | `log_segments OP N` | Segments of the assignment log in use. |
//! | `requests_rate_limited OP N` | Requests that the store refused because they exceeded a rate limit. |
//! | `transactions_too_large OP N` | Transactions that the store refused as too large. |
//! | `machines_examined`, `attempt_lookups`, `restarts`, `preemptions`, each with `OP N` | Counters of the leader. |
//! | `oldest_job_s OP N` | Age of the oldest unfinished job, as the leader knows it. |
//! | `submissions_abandoned OP N` | Submissions that users abandoned before they were accepted. |
//! | `read_your_writes_queries OP N` | Queries of the read-your-writes probe. |
//! | `commit_responses_dropped OP N` | Responses to transactions that were lost. |
//! | `commands_delayed OP N`, `commands_refused OP N` | Delayed direct commands that workers executed; delayed direct commands that workers refused. |
//! | `command_copies_executed OP N`, `command_copies_refused OP N` | Copies of direct commands that workers accepted, whether or not they had an effect; copies that workers refused. |
//! | `heartbeats_replayed OP N` | Copies of heartbeats that were sent when a leader took over. |
//!
//! [`Invariant::name`]: crate::invariants::Invariant::name

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
