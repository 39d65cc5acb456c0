//! The four guarantees hold for generated event sequences. The host checks them after each step.

mod common;
use common::*;
use umberloom::interface::*;

/// Random settings: every kind of preemption, downstream, idempotency and load hint, and 1 to 8 cores.
fn random_settings(random: &mut Random) -> Settings {
    let mut settings = default_settings();
    settings.cores = 1 + random.below(8) as u32;
    settings.preemption = [Preemption::Never, Preemption::Abort, Preemption::Pause][random.below(3) as usize];
    settings.downstream =
        [Downstream::None, Downstream::Shared, Downstream::NextTier][random.below(3) as usize];
    settings.load_hint =
        [LoadHintKind::None, LoadHintKind::MinRank, LoadHintKind::Tokens, LoadHintKind::Weight]
            [random.below(4) as usize];
    settings.call_quota = [0.4, 1.5, 6.0][random.below(3) as usize];
    settings.memory_kb = 320.0 * f64::from(settings.cores) * (4 + random.below(16)) as f64;
    settings.overload_per_core = (2 + random.below(7)) as f64;
    settings.starts_cold = random.chance(40);
    settings.shared_read_ttl = if random.chance(30) { SEC } else { 0 };
    if random.chance(30) {
        settings.tenants = vec![Tenant { quota_per_s: 8.0 }, Tenant { quota_per_s: 40.0 }];
    }
    for class in &mut settings.classes {
        class.idempotency = [Idempotency::Idempotent, Idempotency::WithKey, Idempotency::NotIdempotent]
            [random.below(3) as usize];
        class.calls_downstream = settings.downstream != Downstream::None && random.chance(70);
        class.degraded_weight_share = if random.chance(50) { 0.4 } else { 0.0 };
        class.late_weight_share = if random.chance(30) { 0.2 } else { 0.0 };
    }
    settings
}

fn random_arrival(host: &Host, random: &mut Random, n: usize) -> Event {
    let timeout = if random.chance(80) { Some(1 + random.below(4 * SEC)) } else { None };
    let class = random.below(2) as usize;
    let keyed = host.settings.classes[class].idempotency == Idempotency::WithKey;
    Event::Arrived(Arrival {
        caller_timeout: timeout,
        read_delay: random.below(300 * MS).min(host.now),
        tenant: random.below(2) as usize,
        caller: random.below(3),
        queued_kb: 5.0 + random.below(40) as f64,
        cost: if random.chance(50) { Some(random.below(SEC)) } else { None },
        duplicate_of: if keyed && random.chance(30) { host.retained_key() } else { None },
        is_retry: random.chance(10),
        ..arrival(&format!("g{n}"), class, 1)
    })
}

/// A random run, call or wait for a duplicate ends, or a running request needs a call. Each request is used
/// once per step, which `used` records.
fn random_completion(host: &Host, random: &mut Random, used: &mut Vec<RequestId>) -> Option<Event> {
    let choose = |list: Vec<RequestId>, random: &mut Random| {
        let index = random.below(list.len().max(1) as u64) as usize;
        list.get(index).cloned()
    };
    let (from, kind) = match random.below(4) {
        0 | 1 => (host.running(), 0),
        2 => (host.calling(), 1),
        _ => (host.awaiting_duplicate(), 2),
    };
    let id = choose(from, random)?;
    if used.contains(&id) {
        return None;
    }
    used.push(id.clone());
    Some(match kind {
        0 if host.may_call(&id) && random.chance(40) => Event::NeedsCall(id),
        0 if random.chance(5) => Event::RunEnded(id, Outcome::Error, 50 * MS),
        0 => Event::RunEnded(id, Outcome::Ok, 50 * MS),
        1 => {
            let outcomes = [
                Outcome::Ok,
                Outcome::Ok,
                Outcome::Error,
                Outcome::Rejected,
                Outcome::TimedOut,
                Outcome::ConnectionLost,
            ];
            Event::CallEnded(id, outcomes[random.below(6) as usize], 20 * MS)
        }
        _ => Event::RunEnded(id, Outcome::Ok, 5 * MS),
    })
}

/// Runs the sequence of 1500 steps that this seed gives, with a drain after two thirds of it.
fn run_sequence(seed: u64) -> Host {
    let mut random = Random(seed * 0x9e37_79b9 + 1);
    let mut settings = random_settings(&mut random);
    // In every second sequence requests still arrive after the drain grace.
    settings.drain_grace = if seed.is_multiple_of(2) { 500 * MS } else { settings.drain_grace };
    let mut host = Host::new(settings);
    let (max_arrivals, max_completions) = (random.below(5), 1 + random.below(4));
    let hangs_for_a_while = random.chance(20);
    for n in 0..1_500 {
        host.now += 5 * MS;
        let mut events = Vec::new();
        if host.timer_at.is_some_and(|at| at <= host.now) {
            let cpu = Some([0.3, 0.9, 1.0][random.below(3) as usize]);
            events.push(Event::Timer(Gauges { cpu, core_demand: Some(3.0), ..Gauges::default() }));
        }
        if n == 1_000 {
            events.push(Event::Drain { time_left: 2_400 * MS, notified_ago: 0 });
        }
        for extra in 0..random.below(1 + max_arrivals) as usize {
            if host.drain.is_none_or(|(_, stop)| host.now < stop) {
                events.push(random_arrival(&host, &mut random, n * 100 + extra));
            }
        }
        let mut used = Vec::new();
        let is_hung = hangs_for_a_while && (300..600).contains(&n);
        for _ in 0..if is_hung { 0 } else { random.below(1 + max_completions) } {
            events.extend(random_completion(&host, &mut random, &mut used));
        }
        if let Some(id) = host.queued().first().filter(|_| random.chance(2)) {
            events.push(Event::Cancelled(id.clone()));
        }
        host.step(events);
    }
    host
}

#[test]
fn invariants_hold_for_generated_events() {
    let (mut served, mut unserved) = (0, 0);
    for seed in 1..=80 {
        let host = run_sequence(seed);
        assert_eq!(host.unanswered(), 0, "seed {seed}: all requests are answered at the stop");
        let survivable = f64::from(host.settings.cores) * host.settings.overload_per_core;
        assert!(host.max_running as f64 <= survivable, "seed {seed}: {} run", host.max_running);
        if host.settings.downstream == Downstream::Shared {
            let calls = host.settings.call_quota.max(1.0);
            assert!(host.max_calling as f64 <= calls, "seed {seed}: {} calls", host.max_calling);
        }
        served += host.served;
        unserved += host.rejected + host.failed;
    }
    assert!(served > 5_000 && unserved > 5_000, "served {served}, not served {unserved}");
}

#[test]
fn the_same_events_give_the_same_actions() {
    let (first, second) = (run_sequence(11), run_sequence(11));
    assert_eq!((first.served, first.rejected, first.failed), (second.served, second.rejected, second.failed));
    let other = run_sequence(12);
    assert_ne!((first.served, first.rejected), (other.served, other.rejected));
}
