//! Plays the run of a seed with one server.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use super::check::{check_reports, check_requests, Times, Violation};
use super::client::{ClientKind, Clients};
use super::environment::Environment;
use super::plan::{AgentFault, ConfigChange, ServerPlan, Standstill, STOP_MS};
use super::{Options, PlantedFault};

/// Time between two signals of a series, so that each is delivered: signals that are pending at once count as
/// one.
const SIGNAL_GAP: Duration = Duration::from_micros(20);
/// Time before SIGTERM at which a crowd connects and services go down, in milliseconds.
const FAULTS_BEFORE_NOTICE_MS: i64 = 120;
/// How much earlier than stated a planted early kill comes.
const PLANTED_LATE_NOTICE: Duration = Duration::from_millis(250);
const PLANTED_LATE_EXIT: Duration = Duration::from_millis(20);

/// Something that is done at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Hangups(u32),
    ChangeConfig(ConfigChange),
    Notify,
    Suspend,
    Resume,
    AgentReachable(bool),
    AgentSilent(bool),
    AgentUp,
    ServicesDown,
    Crowd,
}

/// Steps with their times in milliseconds after SIGTERM, in order.
fn schedule(plan: &ServerPlan) -> Vec<(i64, Step)> {
    let mut steps = vec![
        (-FAULTS_BEFORE_NOTICE_MS, Step::ServicesDown),
        (-FAULTS_BEFORE_NOTICE_MS, Step::Crowd),
        (-1, Step::ChangeConfig(plan.config_change)),
        (-1, Step::Hangups(plan.hangups_before_notice)),
        (0, Step::Notify),
        (0, Step::Hangups(plan.hangups_after_notice)),
    ];
    if plan.doubled_notice {
        steps.push((30, Step::Notify));
    }
    match plan.standstill {
        Standstill::None => {}
        Standstill::AcrossNotice { before_ms, after_ms } => {
            steps.extend([(-before_ms - 1, Step::Suspend), (after_ms, Step::Resume)]);
        }
        Standstill::AcrossClosing { from_ms, length_ms } => {
            steps.extend([(from_ms, Step::Suspend), (from_ms + length_ms, Step::Resume)]);
        }
        Standstill::AcrossExit { from_ms } => steps.push((from_ms, Step::Suspend)),
    }
    match plan.agent_fault {
        AgentFault::None => {}
        AgentFault::Gone { from_ms, length_ms } => steps.extend([
            (from_ms, Step::AgentReachable(false)),
            (from_ms + length_ms, Step::AgentReachable(true)),
        ]),
        AgentFault::Silent { from_ms, length_ms } => {
            steps.extend([
                (from_ms, Step::AgentSilent(true)),
                (from_ms + length_ms, Step::AgentSilent(false)),
            ]);
        }
        AgentFault::Late { greeting_ms } => steps.push((greeting_ms, Step::AgentUp)),
    }
    steps.retain(|(at_ms, _)| *at_ms < STOP_MS);
    steps.sort_by_key(|(at_ms, _)| *at_ms);
    steps
}

/// Plays the plan and returns the rules that were broken. `folder` gets the configuration and the log.
pub fn play(plan: &ServerPlan, options: &Options, server: &Path, folder: &Path) -> Vec<Violation> {
    let result = Environment::start(plan, server, folder).and_then(|mut environment| {
        if let Some(after_ms) = plan.notice_during_start_ms {
            return play_start(&mut environment, after_ms);
        }
        play_load(plan, options, &mut environment)
    });
    result.unwrap_or_else(|reason| vec![Violation::Environment { reason }])
}

/// Sends SIGTERM while the process starts. It ends in order, or by the signal before it has served anything.
fn play_start(environment: &mut Environment, after_ms: u64) -> Result<Vec<Violation>, String> {
    thread::sleep(Duration::from_millis(after_ms));
    environment.signal("TERM");
    let kill_at = Instant::now() + Duration::from_millis(STOP_MS as u64);
    Ok(environment.kill_at(kill_at, false).into_iter().collect())
}

fn play_load(
    plan: &ServerPlan,
    options: &Options,
    environment: &mut Environment,
) -> Result<Vec<Violation>, String> {
    let is_late = matches!(plan.agent_fault, AgentFault::Late { .. });
    if !is_late {
        environment.agent.set_up();
    }
    environment.wait_until_listening()?;
    let mut clients = Clients::new(environment.listen, plan.seed);
    clients.start(ClientKind::Sequential, plan.sequential_clients);
    clients.start(ClientKind::Pipelining, plan.pipelining_clients);
    clients.start(ClientKind::Slow, plan.slow_clients);
    thread::sleep(Duration::from_secs(options.seconds));
    let mut times = play_steps(plan, environment, &mut clients)?;
    let planted_lead = match options.planted_fault {
        Some(PlantedFault::LateNotice) => PLANTED_LATE_NOTICE,
        Some(PlantedFault::LateExit) => PLANTED_LATE_EXIT,
        _ => Duration::ZERO,
    };
    times.killed_at = times.notified_at + Duration::from_millis(STOP_MS as u64) - planted_lead;
    let may_be_alive = times.suspended_from.is_some();
    let exit_violation = environment.kill_at(times.killed_at, may_be_alive);
    let mut records = clients.finish();
    let mut reports = environment.announce.reports();
    plant(options, &mut records, &mut reports, times);
    let mut violations = check_requests(&records, &environment.agent.launched(), times);
    violations.extend(environment.agent.launched_again().into_iter().map(|id| Violation::RanTwice { id }));
    violations.extend(check_reports(&reports, times));
    violations.extend(exit_violation);
    Ok(violations)
}

/// Changes what was recorded as a faulty server would have.
fn plant(
    options: &Options,
    records: &mut [super::client::RequestRecord],
    reports: &mut Vec<super::announce::Report>,
    times: Times,
) {
    match options.planted_fault {
        Some(PlantedFault::DroppedAnswer) => {
            if let Some(record) = records.iter_mut().rev().find(|record| record.answer.is_some()) {
                record.answer = None;
                record.cut_off_at = Some(record.written_at + 2 * super::client::CROSSING);
            }
        }
        Some(PlantedFault::TrueAfterNotice) => {
            let at = times.resumed_at + Duration::from_millis(700);
            reports.push(super::announce::Report { at, accepting: true });
        }
        _ => {}
    }
}

fn play_steps(
    plan: &ServerPlan,
    environment: &mut Environment,
    clients: &mut Clients,
) -> Result<Times, String> {
    let steps = schedule(plan);
    let first_ms = steps.first().map_or(0, |(at_ms, _)| *at_ms).min(0);
    // SIGTERM is due here; all times are counted from when it was sent.
    let mut origin = Instant::now() + Duration::from_millis(first_ms.unsigned_abs());
    let mut notified_at = None;
    let (mut resumed_at, mut suspended_from) = (None, None);
    for (at_ms, step) in steps {
        let at = if at_ms < 0 {
            origin - Duration::from_millis(at_ms.unsigned_abs())
        } else {
            origin + Duration::from_millis(at_ms.unsigned_abs())
        };
        thread::sleep(at.saturating_duration_since(Instant::now()));
        match step {
            Step::Hangups(count) => {
                for _ in 0..count {
                    environment.signal("HUP");
                    thread::sleep(SIGNAL_GAP);
                }
            }
            Step::ChangeConfig(change) => environment.change_config(change)?,
            Step::Notify => {
                if notified_at.is_none() {
                    origin = Instant::now();
                    notified_at = Some(origin);
                }
                environment.signal("TERM");
            }
            Step::Suspend => {
                suspended_from = Some(Instant::now());
                environment.signal("STOP");
            }
            Step::Resume => {
                suspended_from = None;
                environment.signal("CONT");
                resumed_at = Some(Instant::now());
            }
            Step::AgentReachable(reachable) => environment.agent.set_reachable(reachable),
            Step::AgentSilent(silent) => environment.agent.set_silent(silent),
            Step::AgentUp => environment.agent.set_up(),
            Step::ServicesDown => environment.take_services_down(plan),
            Step::Crowd => clients.start(ClientKind::Single, plan.crowd),
        }
    }
    let notified_at = notified_at.unwrap_or(origin);
    let is_across_notice = matches!(plan.standstill, Standstill::AcrossNotice { .. });
    let resumed_at = resumed_at.filter(|_| is_across_notice).unwrap_or(notified_at);
    Ok(Times { notified_at, killed_at: notified_at, resumed_at, suspended_from })
}
