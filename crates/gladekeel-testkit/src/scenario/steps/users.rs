//! Steps in which users send requests.

use super::{Step, line::Line};
use crate::{
    scenario::{
        LineError,
        job::build_job,
        targets::node_indices,
        tokens::{expand_names, number},
    },
    simulation::Simulation,
};
use gladekeel_wire::job::JobSpec;

/// `submit JOBS tasks=N ...`: users submit jobs, all at once or, with `interval_s=S`, one every S
/// seconds. With `interval_s` and `cancelled_share`, users cancel this share of the jobs.
pub(super) fn submit(line: &Line) -> Result<Step, LineError> {
    let specs: Vec<JobSpec> = expand_names(line.token(1, "the names of jobs")?)
        .iter()
        .map(|name| build_job(name, &line.options))
        .collect::<Result<_, _>>()?;
    let run_step_s = line.options.number_or("run_step_s", 0.0)?;
    let interval_s = line.options.number_or("interval_s", 0.0)?;
    let cancelled_share = line.options.number_or("cancelled_share", 0.0)?;
    Ok(Box::new(move |sim| {
        for (index, spec) in specs.into_iter().enumerate() {
            sim.invariants.run_step_s.insert(spec.id.clone(), run_step_s);
            if interval_s > 0.0 {
                sim.submit_after(spec, index as f64 * interval_s, cancelled_share);
            } else {
                sim.submit(spec);
            }
        }
    }))
}

/// `resubmit JOBS`: users submit jobs a second time.
pub(super) fn resubmit(line: &Line) -> Result<Step, LineError> {
    let ids = line.jobs(1)?;
    Ok(Box::new(move |sim| ids.into_iter().for_each(|id| sim.resubmit(id))))
}

/// `poll JOBS times=N`: users query each job N times, or once without `times`.
pub(super) fn poll(line: &Line) -> Result<Step, LineError> {
    let ids = line.jobs(1)?;
    let times = line.options.number("times")?.unwrap_or(1.0) as u32;
    Ok(Box::new(move |sim| {
        for id in ids {
            (0..times).for_each(|_| sim.poll_once(id.clone()));
        }
    }))
}

/// Returns a function that resolves `via=WHO` to nodes when the step is executed. Without `via` the
/// function returns no nodes, and the request may go to any node.
fn resolve_via(line: &Line) -> impl FnOnce(&Simulation) -> Vec<usize> + 'static {
    let who = line.options.text("via").map(str::to_owned);
    move |sim| who.map_or_else(Vec::new, |who| node_indices(sim, &who))
}

/// `cancel JOBS via=WHO`: users cancel jobs through the nodes WHO, or, without `via`, through any
/// node.
pub(super) fn cancel(line: &Line) -> Result<Step, LineError> {
    let ids = line.jobs(1)?;
    let via = resolve_via(line);
    Ok(Box::new(move |sim| {
        let nodes = via(sim);
        ids.into_iter().for_each(|id| sim.cancel_via(id, nodes.clone()));
    }))
}

/// `cancel_longest_remaining COUNT hang_s=S via=WHO`: users cancel the running jobs that would end
/// last, all at once. With `hang_s`, some machines of these jobs hang.
pub(super) fn cancel_longest_remaining(line: &Line) -> Result<Step, LineError> {
    let count = line.number(1, "a number")? as usize;
    let hang_s = line.options.number_or("hang_s", 0.0)?;
    let via = resolve_via(line);
    Ok(Box::new(move |sim| {
        let nodes = via(sim);
        sim.cancel_longest_remaining(count, nodes, hang_s);
    }))
}

/// `cancel_at_completion SHARE for S`: users cancel, query and resubmit this share of the jobs that
/// complete, within 0.4 s of the completion.
pub(super) fn cancel_at_completion(line: &Line) -> Result<Step, LineError> {
    let (share, duration_s) = (line.number(1, "a number")?, line.duration_s);
    Ok(Box::new(move |sim| {
        sim.cancel_at_completion_share = share;
        sim.after(duration_s, |sim| sim.cancel_at_completion_share = 0.0);
    }))
}

/// `probe_read_your_writes for S`: users query all nodes at once as soon as a response reports that
/// a job was accepted, has ended or is cancelled.
pub(super) fn probe_read_your_writes(line: &Line) -> Step {
    let duration_s = line.duration_s;
    Box::new(move |sim| sim.read_your_writes.until = sim.now + duration_s)
}

/// `send_malformed_requests for S`: users send repeated submissions, cancellations of jobs that are
/// done, and submissions of jobs that lack a field or cannot run.
pub(super) fn send_malformed_requests(line: &Line) -> Step {
    let duration_s = line.duration_s;
    Box::new(move |sim| {
        let until = sim.now + duration_s;
        sim.send_malformed_requests(until);
    })
}

/// `http METHOD PATH BODY = STATUS`: the leader must respond with STATUS to a request with this
/// method, path and body.
pub(super) fn http(line: &Line) -> Result<Step, LineError> {
    let (request, status) =
        line.text.rsplit_once(" = ").ok_or(LineError::Missing { expected: "= STATUS" })?;
    let mut parts = request.splitn(4, ' ').skip(1);
    let method = match parts.next() {
        Some("GET") => "GET",
        Some("PUT") => "PUT",
        Some("POST") => "POST",
        other => return Err(LineError::unexpected("GET, PUT or POST", other.unwrap_or_default())),
    };
    let path = parts.next().ok_or(LineError::Missing { expected: "a path" })?.to_owned();
    let body = parts.next().unwrap_or("").to_owned();
    let status = number(status)? as u16;
    Ok(Box::new(move |sim| {
        let node = sim.leader_node().unwrap_or(0);
        sim.expect_status(node, method, path, body.into_bytes(), status);
    }))
}

/// `http_to WHO METHOD PATH = STATUS`: the nodes WHO must respond with STATUS to a request with
/// this method and path and without a body.
pub(super) fn http_to(line: &Line) -> Result<Step, LineError> {
    let (who, path) = (line.token(1, "a node")?.to_owned(), line.token(3, "a path")?.to_owned());
    let method = if line.token(2, "GET or POST")? == "POST" { "POST" } else { "GET" };
    let last = line.tokens.len().saturating_sub(1);
    let status = line.number(last, "a status")? as u16;
    Ok(Box::new(move |sim| {
        for node in node_indices(sim, &who) {
            sim.expect_status(node, method, path.clone(), Vec::new(), status);
        }
    }))
}

/// `send_invalid_bytes`: users send bodies that are not valid requests to every node.
pub(super) fn send_invalid_bytes() -> Step {
    Box::new(move |sim| (0..sim.node_count()).for_each(|node| sim.send_invalid_bytes(node)))
}
