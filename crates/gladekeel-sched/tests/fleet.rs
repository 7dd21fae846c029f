//! How many machines there should be.

use gladekeel_sched::fleet::{Flow, Need, Plan, Sizer, Sizing, Supply};

const SIZING: Sizing = Sizing { memory_s: 60.0, keep: 1.0, fill: 1.0 };

fn plan(needs: &[Need], up: f64, booting: &[f64]) -> Plan {
    let supply = Supply { up, booting: booting.to_vec() };
    Sizer::default().plan(0.0, needs, &supply, &[], 50.0, &SIZING)
}

#[test]
fn what_fits_before_it_is_due_needs_no_machine() {
    let need = |left_s| Need { pending: 10.0, run_s: 30.0, left_s, ..Need::default() };
    assert_eq!(plan(&[need(150.0)], 2.0, &[]).rent, 0.0);
    assert_eq!(plan(&[need(150.0)], 0.0, &[]).rent, 3.0);
    assert_eq!(plan(&[need(150.0)], 0.0, &[50.0, 50.0]).rent, 1.0);
    assert_eq!(plan(&[need(150.0)], 9.0, &[]).need, 2.0);
    assert_eq!(plan(&[need(-9.0)], 0.0, &[]).rent, 10.0, "late work is done all at once");
    let both = plan(&[need(150.0), need(300.0)], 0.0, &[]);
    assert_eq!(both.rent, 3.0, "work due later waits for the same machines");
    assert_eq!(plan(&[Need { running: 4.0, ..need(900.0) }], 4.0, &[]).need, 4.0);
}

#[test]
fn what_will_come_and_be_due_sooner_counts() {
    let need = [Need { pending: 10.0, run_s: 30.0, left_s: 150.0, ..Need::default() }];
    let supply = Supply { up: 2.0, booting: Vec::new() };
    let rent = |due_s| {
        let flows = [Flow { machines: 4.0, due_s }];
        Sizer::default().plan(0.0, &need, &supply, &flows, 50.0, &SIZING).rent
    };
    assert_eq!(rent(150.0), 0.0, "due later than what there is");
    assert_eq!(rent(50.0), 4.0, "400 machine-seconds more are due in 150 s");
}

#[test]
fn lost_machines_are_replaced_while_there_is_work_for_them() {
    let plan = |pending: f64, up: f64| {
        let mut sizer = Sizer::default();
        let need = |running, pending| {
            [Need { pending, running, run_s: 30.0, left_s: 900.0, together: false }]
        };
        let supply = |up| Supply { up, booting: Vec::new() };
        for second in 0..600 {
            let now = f64::from(second);
            sizer.plan(now, &need(100.0, 0.0), &supply(100.0), &[], 50.0, &SIZING);
        }
        sizer.plan(601.0, &need(up, pending), &supply(up), &[], 50.0, &SIZING).rent
    };
    assert!((38.0..=40.0).contains(&plan(500.0, 60.0)), "{}", plan(500.0, 60.0));
    assert_eq!(plan(10.0, 60.0), 10.0, "no more than there is work for");
    assert_eq!(plan(0.0, 60.0), 0.0);
    assert_eq!(plan(500.0, 100.0), 0.0, "all are there, and the work has time");
}

#[test]
fn lulls_are_believed_slowly() {
    let mut sizer = Sizer::default();
    let needs = [Need { pending: 10.0, run_s: 30.0, ..Need::default() }];
    for second in 0..200 {
        sizer.plan(f64::from(second), &needs, &Supply::default(), &[], 50.0, &SIZING);
    }
    let after = sizer.plan(230.0, &[], &Supply::default(), &[], 50.0, &SIZING);
    assert!(after.need == 0.0 && (4.0..7.0).contains(&after.keep), "{after:?}");
}
