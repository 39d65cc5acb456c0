//! Tenant quotas: beyond them requests have a lower priority and rejections are terminal.

mod common;
use common::*;
use umberloom::interface::*;
use umberloom::AdmissionController;

fn two_tenants() -> Settings {
    let mut settings = default_settings();
    settings.tenants = vec![Tenant { quota_per_s: 4.0 }, Tenant { quota_per_s: 400.0 }];
    settings
}

fn tenant_arrival(tenant: usize, name: &str, class: usize) -> Event {
    Event::Arrived(Arrival { tenant, ..arrival(name, class, 6 * SEC) })
}

/// A controller on which tenant 0 has used far more than its quota share of one start a second, and the time.
fn controller_with_tenant_over_quota() -> (AdmissionController, Micros) {
    let mut controller = controller(two_tenants());
    for n in 0..40 {
        let name = format!("flood{n}");
        step(&mut controller, n * 50 * MS, vec![tenant_arrival(0, &name, 1)]);
        step(&mut controller, n * 50 * MS + 40 * MS, vec![run_ended(&name, 40 * MS)]);
    }
    (controller, 2 * SEC)
}

#[test]
fn tenants_over_quota_have_lower_priority() {
    let (mut controller, now) = controller_with_tenant_over_quota();
    step(&mut controller, now, vec![tenant_arrival(1, "x", 0), tenant_arrival(1, "y", 0)]);
    step(&mut controller, now + MS, vec![tenant_arrival(0, "over", 1), tenant_arrival(1, "within", 0)]);
    let actions = step(&mut controller, now + 2 * MS, vec![run_ended("x", MS)]);
    assert_eq!(admitted(&actions), ["within"], "although the other is older and of a higher class");
    let later = now + 20 * SEC;
    step(
        &mut controller,
        now + 3 * MS,
        vec![run_ended("y", MS), run_ended("within", MS), run_ended("over", MS)],
    );
    step(&mut controller, later, vec![tenant_arrival(1, "p", 0), tenant_arrival(1, "q", 0)]);
    step(&mut controller, later + MS, vec![tenant_arrival(1, "low", 0), tenant_arrival(0, "high", 1)]);
    let actions = step(&mut controller, later + 2 * MS, vec![run_ended("p", MS)]);
    assert_eq!(admitted(&actions), ["high"], "the earlier use has decayed");
}

#[test]
fn rejections_over_quota_are_terminal_without_retry_after() {
    let (mut controller, now) = controller_with_tenant_over_quota();
    let mut events = vec![tenant_arrival(1, "x", 0), tenant_arrival(1, "y", 0)];
    let names: Vec<String> = (0..60).map(|n| format!("o{n}")).collect();
    events.extend(names.iter().map(|n| tenant_arrival(0, n, 1)));
    let actions = step(&mut controller, now, events);
    let first = rejected(&actions).first().cloned().expect("some are rejected");
    assert_eq!(
        rejection(&actions, &first),
        Some((0, true)),
        "a Retry-After would also stop the caller's other tenants"
    );
}

#[test]
fn quota_use_is_compared_with_the_median_tenant() {
    let mut settings = default_settings();
    settings.tenants = vec![Tenant { quota_per_s: 4.0 }; 3];
    let mut controller = controller(settings);
    // Each tenant has ten starts a second here, ten times its share at this server; one tenant has three
    // times as many.
    let mut now = 0;
    for n in 0..200 {
        now = n * 20 * MS;
        let name = format!("r{n}");
        let tenant = [0, 1, 0, 2, 0][n as usize % 5];
        step(&mut controller, now, vec![tenant_arrival(tenant, &name, 1), busy_timer()]);
        step(&mut controller, now + 10 * MS, vec![run_ended(&name, 10 * MS)]);
    }
    step(&mut controller, now + 20 * MS, vec![tenant_arrival(1, "x", 1), tenant_arrival(2, "y", 1)]);
    step(
        &mut controller,
        now + 21 * MS,
        vec![tenant_arrival(0, "flood", 1), tenant_arrival(2, "low", 0), tenant_arrival(1, "high", 1)],
    );
    let actions = step(&mut controller, now + 22 * MS, vec![run_ended("x", MS), run_ended("y", MS)]);
    assert_eq!(admitted(&actions), ["high", "low"], "only the tenant above the others is over its quota");
}
