//! Tests of the autoscaler, which plans how many machines of one type there should be.

use gladekeel_sched::autoscaling::{
    ArrivalRate, Autoscaler, AutoscalerConfig, JobDemand, ScalingInput, ScalingPlan, Supply,
};

const CONFIG: AutoscalerConfig =
    AutoscalerConfig { smoothing_s: 60.0, spot_retention: 1.0, target_utilization: 1.0 };

/// The input of the autoscaler for a machine type that boots in 50 s, without arriving work.
fn input<'a>(demands: &'a [JobDemand], supply: &'a Supply) -> ScalingInput<'a> {
    ScalingInput { demands, supply, arrivals: &[], boot_s: 50.0 }
}

/// The first plan of a new autoscaler.
fn plan(demands: &[JobDemand], up: f64, booting: &[f64]) -> ScalingPlan {
    let supply = Supply { up, booting: booting.to_vec() };
    Autoscaler::default().plan(0.0, &input(demands, &supply), &CONFIG)
}

/// Guards against renting machines for work that the existing and booting machines complete in
/// time, and against renting too few for work that they do not.
#[test]
fn scale_out_covers_only_work_that_does_not_fit_before_it_is_due() {
    let demand =
        |time_left_s| JobDemand { pending: 10.0, run_s: 30.0, time_left_s, ..JobDemand::default() };
    assert_eq!(plan(&[demand(150.0)], 2.0, &[]).scale_out, 0.0);
    assert_eq!(plan(&[demand(150.0)], 0.0, &[]).scale_out, 3.0);
    assert_eq!(plan(&[demand(150.0)], 0.0, &[50.0, 50.0]).scale_out, 1.0);
    assert_eq!(plan(&[demand(150.0)], 9.0, &[]).required, 2.0);
    assert_eq!(
        plan(&[demand(-9.0)], 0.0, &[]).scale_out,
        10.0,
        "the tasks of a late job all run at once"
    );
    let both = plan(&[demand(150.0), demand(300.0)], 0.0, &[]);
    assert_eq!(
        both.scale_out, 3.0,
        "the work due at 300 s fits on the machines for the work due at 150 s"
    );
    assert_eq!(plan(&[JobDemand { running: 4.0, ..demand(900.0) }], 4.0, &[]).required, 4.0);
}

/// Guards against renting machines for arriving work that can wait, and against ignoring arriving
/// work that is due earlier than the pending work and so competes for the same machines.
#[test]
fn arriving_work_increases_scale_out_only_if_it_is_due_before_pending_work() {
    let demands =
        [JobDemand { pending: 10.0, run_s: 30.0, time_left_s: 150.0, ..JobDemand::default() }];
    let supply = Supply { up: 2.0, booting: Vec::new() };
    let scale_out = |due_s| {
        let arrivals = [ArrivalRate { machines: 4.0, due_s }];
        let input = ScalingInput { arrivals: &arrivals, ..input(&demands, &supply) };
        Autoscaler::default().plan(0.0, &input, &CONFIG).scale_out
    };
    assert_eq!(scale_out(150.0), 0.0, "the arriving work is due after the pending work");
    assert_eq!(scale_out(50.0), 4.0, "another 400 machine-seconds of work are due within 150 s");
}

/// Guards against replacing lost machines too late: 40 of 100 machines are lost while the jobs
/// still have much time, so that the due times alone do not require new machines yet.
#[test]
fn lost_machines_are_replaced_while_there_is_work_for_them() {
    let plan = |pending: f64, up: f64| {
        let mut autoscaler = Autoscaler::default();
        let demands = |running, pending| {
            [JobDemand { pending, running, run_s: 30.0, time_left_s: 900.0, gang: false }]
        };
        let supply = |up| Supply { up, booting: Vec::new() };
        for second in 0..600 {
            let now = f64::from(second);
            autoscaler.plan(now, &input(&demands(100.0, 0.0), &supply(100.0)), &CONFIG);
        }
        autoscaler.plan(601.0, &input(&demands(up, pending), &supply(up)), &CONFIG).scale_out
    };
    assert!((38.0..=40.0).contains(&plan(500.0, 60.0)), "{}", plan(500.0, 60.0));
    assert_eq!(plan(10.0, 60.0), 10.0, "no more machines than there is work for");
    assert_eq!(plan(0.0, 60.0), 0.0);
    assert_eq!(plan(500.0, 100.0), 0.0, "no machine is lost, and the work is not urgent");
}

/// Guards against deleting all spot machines in a short gap between jobs: `retain` must decay
/// gradually after demand has ended, although `required` drops to 0 at once.
#[test]
fn retained_machines_decline_slowly_when_demand_ends() {
    let mut autoscaler = Autoscaler::default();
    let demands = [JobDemand { pending: 10.0, run_s: 30.0, ..JobDemand::default() }];
    let no_machines = Supply::default();
    for second in 0..200 {
        autoscaler.plan(f64::from(second), &input(&demands, &no_machines), &CONFIG);
    }
    let after = autoscaler.plan(230.0, &input(&[], &no_machines), &CONFIG);
    assert!(after.required == 0.0 && (4.0..7.0).contains(&after.retain), "{after:?}");
}
