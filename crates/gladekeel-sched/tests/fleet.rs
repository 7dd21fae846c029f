//! How many machines there should be.

use gladekeel_sched::autoscaling::{
    ArrivalRate, Autoscaler, AutoscalerConfig, JobDemand, ScalingPlan, Supply,
};

const SIZING: AutoscalerConfig =
    AutoscalerConfig { smoothing_s: 60.0, spot_retention: 1.0, target_utilization: 1.0 };

fn plan(needs: &[JobDemand], up: f64, booting: &[f64]) -> ScalingPlan {
    let supply = Supply { up, booting: booting.to_vec() };
    Autoscaler::default().plan(0.0, needs, &supply, &[], 50.0, &SIZING)
}

#[test]
fn what_fits_before_it_is_due_needs_no_machine() {
    let need = |left_s| JobDemand {
        pending: 10.0,
        run_s: 30.0,
        time_left_s: left_s,
        ..JobDemand::default()
    };
    assert_eq!(plan(&[need(150.0)], 2.0, &[]).scale_out, 0.0);
    assert_eq!(plan(&[need(150.0)], 0.0, &[]).scale_out, 3.0);
    assert_eq!(plan(&[need(150.0)], 0.0, &[50.0, 50.0]).scale_out, 1.0);
    assert_eq!(plan(&[need(150.0)], 9.0, &[]).required, 2.0);
    assert_eq!(plan(&[need(-9.0)], 0.0, &[]).scale_out, 10.0, "late work is done all at once");
    let both = plan(&[need(150.0), need(300.0)], 0.0, &[]);
    assert_eq!(both.scale_out, 3.0, "work due later waits for the same machines");
    assert_eq!(plan(&[JobDemand { running: 4.0, ..need(900.0) }], 4.0, &[]).required, 4.0);
}

#[test]
fn what_will_come_and_be_due_sooner_counts() {
    let need =
        [JobDemand { pending: 10.0, run_s: 30.0, time_left_s: 150.0, ..JobDemand::default() }];
    let supply = Supply { up: 2.0, booting: Vec::new() };
    let rent = |due_s| {
        let flows = [ArrivalRate { machines: 4.0, due_s }];
        Autoscaler::default().plan(0.0, &need, &supply, &flows, 50.0, &SIZING).scale_out
    };
    assert_eq!(rent(150.0), 0.0, "due later than what there is");
    assert_eq!(rent(50.0), 4.0, "400 machine-seconds more are due in 150 s");
}

#[test]
fn lost_machines_are_replaced_while_there_is_work_for_them() {
    let plan = |pending: f64, up: f64| {
        let mut sizer = Autoscaler::default();
        let need = |running, pending| {
            [JobDemand { pending, running, run_s: 30.0, time_left_s: 900.0, gang: false }]
        };
        let supply = |up| Supply { up, booting: Vec::new() };
        for second in 0..600 {
            let now = f64::from(second);
            sizer.plan(now, &need(100.0, 0.0), &supply(100.0), &[], 50.0, &SIZING);
        }
        sizer.plan(601.0, &need(up, pending), &supply(up), &[], 50.0, &SIZING).scale_out
    };
    assert!((38.0..=40.0).contains(&plan(500.0, 60.0)), "{}", plan(500.0, 60.0));
    assert_eq!(plan(10.0, 60.0), 10.0, "no more than there is work for");
    assert_eq!(plan(0.0, 60.0), 0.0);
    assert_eq!(plan(500.0, 100.0), 0.0, "all are there, and the work has time");
}

#[test]
fn lulls_are_believed_slowly() {
    let mut sizer = Autoscaler::default();
    let needs = [JobDemand { pending: 10.0, run_s: 30.0, ..JobDemand::default() }];
    for second in 0..200 {
        sizer.plan(f64::from(second), &needs, &Supply::default(), &[], 50.0, &SIZING);
    }
    let after = sizer.plan(230.0, &[], &Supply::default(), &[], 50.0, &SIZING);
    assert!(after.required == 0.0 && (4.0..7.0).contains(&after.retain), "{after:?}");
}
