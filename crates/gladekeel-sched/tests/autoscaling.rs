//! The autoscaler: how many machines of a type there should be.

use gladekeel_sched::autoscaling::{
    ArrivalRate, Autoscaler, AutoscalerConfig, JobDemand, ScalingInput, ScalingPlan, Supply,
};

const CONFIG: AutoscalerConfig =
    AutoscalerConfig { smoothing_s: 60.0, spot_retention: 1.0, target_utilization: 1.0 };

fn input<'a>(demands: &'a [JobDemand], supply: &'a Supply) -> ScalingInput<'a> {
    ScalingInput { demands, supply, arrivals: &[], boot_s: 50.0 }
}

fn plan(demands: &[JobDemand], up: f64, booting: &[f64]) -> ScalingPlan {
    let supply = Supply { up, booting: booting.to_vec() };
    Autoscaler::default().plan(0.0, &input(demands, &supply), &CONFIG)
}

#[test]
fn scale_out_covers_only_work_that_does_not_fit_before_it_is_due() {
    let demand =
        |time_left_s| JobDemand { pending: 10.0, run_s: 30.0, time_left_s, ..JobDemand::default() };
    assert_eq!(plan(&[demand(150.0)], 2.0, &[]).scale_out, 0.0);
    assert_eq!(plan(&[demand(150.0)], 0.0, &[]).scale_out, 3.0);
    assert_eq!(plan(&[demand(150.0)], 0.0, &[50.0, 50.0]).scale_out, 1.0);
    assert_eq!(plan(&[demand(150.0)], 9.0, &[]).required, 2.0);
    assert_eq!(plan(&[demand(-9.0)], 0.0, &[]).scale_out, 10.0, "late work is done all at once");
    let both = plan(&[demand(150.0), demand(300.0)], 0.0, &[]);
    assert_eq!(both.scale_out, 3.0, "work due later waits for the same machines");
    assert_eq!(plan(&[JobDemand { running: 4.0, ..demand(900.0) }], 4.0, &[]).required, 4.0);
}

#[test]
fn arriving_work_counts_if_it_is_due_earlier() {
    let demands =
        [JobDemand { pending: 10.0, run_s: 30.0, time_left_s: 150.0, ..JobDemand::default() }];
    let supply = Supply { up: 2.0, booting: Vec::new() };
    let scale_out = |due_s| {
        let arrivals = [ArrivalRate { machines: 4.0, due_s }];
        let input = ScalingInput { arrivals: &arrivals, ..input(&demands, &supply) };
        Autoscaler::default().plan(0.0, &input, &CONFIG).scale_out
    };
    assert_eq!(scale_out(150.0), 0.0, "due later than what there is");
    assert_eq!(scale_out(50.0), 4.0, "400 machine-seconds more are due in 150 s");
}

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
    assert_eq!(plan(10.0, 60.0), 10.0, "no more than there is work for");
    assert_eq!(plan(0.0, 60.0), 0.0);
    assert_eq!(plan(500.0, 100.0), 0.0, "all are there, and the work has time");
}

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
