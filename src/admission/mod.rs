//! The admission controller: what one server admits, runs and rejects.
//!
//! The basic mechanism is SWDS: one wait queue in arrival order, a search of its look-ahead window for the
//! oldest request of the highest priority level whenever a slot is free, and a concurrency limit found by
//! hill climbing on completions. Everything else guards against a particular kind of overload or failure.

mod caller_timeouts;
mod concurrency_limit;
mod connections;
mod dispatch;
mod downstream_calls;
mod health;
mod request;
mod run_time;
mod shedding;
mod tenant_rates;

use std::collections::BTreeMap;

use self::request::{Request, RequestTable, Stage};
use self::{caller_timeouts::CallerTimeouts, concurrency_limit::ConcurrencyLimit, connections::Connections};
use self::{downstream_calls::DownstreamCalls, health::HealthMonitor};
use self::{run_time::RunTimeModel, tenant_rates::TenantRates};
use crate::interface::*;

/// Time between adjustments of the limits: the CPU gauge averages over the same time.
const CONTROL_INTERVAL: Micros = 500_000;
/// Time until an unhealthy server or a failed dependency is probed again. It also bounds the time between
/// timers from above and Retry-After from below.
const PROBE_INTERVAL: Micros = 100_000;
/// A longer time between two steps counts as a stall, as timers are due much sooner.
const STALL_THRESHOLD: Micros = 1_000_000;
/// Share of the survivable concurrency, of the memory and of the call quota that is used; the rest is a
/// margin.
const SAFE_SHARE: f64 = 0.85;
/// Share of the expected run time that is assumed for the part of a run after its downstream call and for a
/// run at another server. Also the least share of the mean run time that is expected of a run with a low
/// stated cost.
const MIN_RUN_SHARE: f64 = 0.5;
/// Share of its spare time for which a request of a middle level may wait here rather than be sent to another
/// server, and which a Retry-After may take. Also the share of the latency objective that is assumed as the
/// run time of a class before its first run.
const WAIT_SHARE: f64 = 0.25;
/// Weight, from 0 to 1, of the newest sample in moving averages.
const EWMA_WEIGHT: f64 = 0.1;
/// Factor by which old evidence shrinks in each control interval that brings no new evidence.
const DECAY_FACTOR: f64 = 0.8;
/// Relative difference below which two times or shares count as equal.
const RELATIVE_TOLERANCE: f64 = 0.02;

/// The exponentially weighted moving average after one more sample.
fn ewma(mean: f64, sample: f64) -> f64 {
    mean + EWMA_WEIGHT * (sample - mean)
}

/// Decides for one server what is admitted, run and rejected: [`AdmissionController::step`] turns events into
/// actions. It does no I/O and reads no clock.
pub struct AdmissionController {
    settings: Settings,
    started_at: Micros,
    requests: RequestTable,
    /// The priority weights of all classes, in ascending order.
    priority_weights: Vec<f64>,
    concurrency: ConcurrencyLimit,
    calls: DownstreamCalls,
    run_times: RunTimeModel,
    health: HealthMonitor,
    tenants: TenantRates,
    connections: Connections,
    caller_timeouts: CallerTimeouts,
    drain_notified_at: Option<Micros>,
    /// While draining: the time by which all requests are answered, a margin before the process is stopped.
    answer_by: Micros,
    next_adjustment: Micros,
    last_step: Micros,
    /// When the latest stall ended. Read delays, caller timeouts, call times and the times of abandoned runs
    /// are not learned if they span a stall.
    stall_end: Micros,
    is_timer_armed: bool,
}

impl AdmissionController {
    /// Creates the controller of a server that starts at `now`.
    ///
    /// # Errors
    /// If [`Settings::validate`] rejects the settings.
    pub fn new(now: Micros, settings: Settings) -> Result<AdmissionController, InvalidSettings> {
        settings.validate()?;
        let mut priority_weights: Vec<f64> = settings.classes.iter().map(|c| c.priority_weight).collect();
        priority_weights.sort_by(f64::total_cmp);
        Ok(AdmissionController {
            started_at: now,
            requests: RequestTable::default(),
            priority_weights,
            concurrency: ConcurrencyLimit { slots: settings.cores as usize, step: -1, ..Default::default() },
            calls: DownstreamCalls::new(now, &settings),
            run_times: RunTimeModel::default(),
            health: HealthMonitor::default(),
            tenants: TenantRates { rates: vec![Default::default(); settings.tenants.len()], median_use: 0.0 },
            connections: Connections { idle_timeout: settings.idle_timeout_max, ..Connections::default() },
            caller_timeouts: CallerTimeouts::default(),
            drain_notified_at: None,
            answer_by: Micros::MAX,
            next_adjustment: now + CONTROL_INTERVAL,
            last_step: now,
            stall_end: now,
            is_timer_armed: false,
            settings,
        })
    }

    /// Handles the events that have occurred and appends the resulting actions to `out`. `now` must not
    /// decrease from one call to the next.
    pub fn step(&mut self, now: Micros, events: impl IntoIterator<Item = Event>, out: &mut Vec<Action>) {
        self.stall_end = if now > self.last_step + STALL_THRESHOLD { now } else { self.stall_end };
        self.last_step = now;
        self.calls.update_mean(now, self.requests.count(Stage::Calling), &self.settings);
        events.into_iter().for_each(|event| self.handle_event(now, event, out));
        let is_draining = self.drain_notified_at.is_some();
        self.health.publish(is_draining, self.concurrency.core_demand, &self.settings, out);
        self.abandon_expired(now, out);
        self.shed_load(now, out);
        self.evict_for_memory(now, out);
        self.serve_calls(now, out);
        self.dispatch(now, out);
        if !self.is_timer_armed {
            self.is_timer_armed = true;
            out.push(Action::WakeAfter(self.sweep_interval()));
        }
    }

    /// Time between timers, short enough to answer each request within the answer slack after its deadline.
    fn sweep_interval(&self) -> Micros {
        (self.settings.answer_slack / 3).clamp(self.settings.tick.max(1_000), PROBE_INTERVAL)
    }

    fn handle_event(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Arrived(arrival) => self.handle_arrival(now, arrival, out),
            Event::RunEnded(id, outcome, run_time) => self.handle_run_ended(now, &id, outcome, run_time),
            Event::NeedsCall(id) => {
                let running = self.requests.in_stage_mut(&id, Stage::Running);
                running.into_iter().for_each(|r| (r.stage, r.call_not_before) = (Stage::AwaitingCall, now));
            }
            Event::CallEnded(id, outcome, call_time) => self.handle_call_ended(now, &id, outcome, call_time),
            Event::Cancelled(id) => {
                let sequence = self.requests.sequence_of.get(&id).copied();
                sequence.into_iter().for_each(|sequence| self.release(sequence, out));
            }
            Event::Drain { time_left, notified_ago } => self.handle_drain(now, time_left, notified_ago),
            Event::Timer(gauges) => self.handle_timer(now, gauges, out),
        }
    }

    fn handle_arrival(&mut self, now: Micros, arrival: Arrival, out: &mut Vec<Action>) {
        let Some(class) = self.settings.classes.get(arrival.class).cloned() else {
            return out.push(Action::Fail(arrival.id));
        };
        let received_at = now.saturating_sub(arrival.read_delay);
        self.connections.record_arrival(now, arrival.caller, &self.settings);
        let age = self.estimate_min_age(now, &arrival, &class);
        let is_retry = arrival.is_retry || age as f64 > RELATIVE_TOLERANCE * class.deadline as f64;
        self.health.retry_share = ewma(self.health.retry_share, f64::from(is_retry));
        // A request that came during a stall waited for the stall to end: its read delay does not show load.
        if received_at >= self.stall_end {
            self.health.read_delay = ewma(self.health.read_delay, arrival.read_delay as f64);
        }
        self.health.saw_arrival = true;
        let sequence = self.requests.enqueue(self.new_request(now, &arrival, &class, age));
        // Only one attempt with an idempotency key may run: all others wait for its answer.
        let is_duplicate = arrival.duplicate_of.is_some() && class.idempotency != Idempotency::NotIdempotent;
        // A request that reached the machine after the drain grace must not run, so it is rejected at once
        // unless another attempt may have run.
        let grace = self.settings.drain_grace;
        let must_not_run =
            self.drain_notified_at.is_some_and(|notified_at| received_at > notified_at + grace);
        if must_not_run && class.idempotency.may_reject(is_duplicate) {
            self.abandon(now, sequence, out);
        } else if is_duplicate {
            self.requests.wait_queue.pop();
            let request = self.requests.by_sequence.get_mut(&sequence);
            request.into_iter().for_each(|request| request.stage = Stage::AwaitingDuplicate);
            out.push(Action::AwaitDuplicate(arrival.id));
        } else if class.idempotency == Idempotency::WithKey {
            self.requests.idempotency_keys.insert(arrival.id.clone(), now + class.idempotency_window);
            out.push(Action::RetainKey(arrival.id, class.idempotency_window));
        }
    }

    fn new_request(&self, now: Micros, arrival: &Arrival, class: &Class, age: Micros) -> Request {
        let received_at = now.saturating_sub(arrival.read_delay);
        let class_deadline = (received_at + class.deadline).max(now);
        let deadline =
            arrival.caller_timeout.map_or(class_deadline, |timeout| now + timeout).min(self.answer_by);
        let objective_extension = (class.objective_per_cost * arrival.cost.unwrap_or(0) as f64) as Micros;
        let objective = (class.latency_objective + objective_extension).min(class.deadline);
        let weight_index = (arrival.rank.clamp(0.0, 1.0) * self.priority_weights.len() as f64) as usize;
        Request {
            id: arrival.id.clone(),
            class: arrival.class,
            tenant: arrival.tenant,
            priority_weight: self.priority_weights[weight_index.min(self.priority_weights.len() - 1)],
            queued_kb: arrival.queued_kb,
            cost: arrival.cost.map(|cost| cost as f64),
            received_at,
            deadline,
            objective_end: deadline.min((received_at + objective).saturating_sub(age)),
            ..Request::default()
        }
    }

    /// The least age of the client's request, in microseconds, by the timeout that the caller states. Behind
    /// the first tier a stated timeout shows no age: it is the time that the caller's own request has left.
    /// In the first tier the stated timeout is also learned.
    fn estimate_min_age(&mut self, now: Micros, arrival: &Arrival, class: &Class) -> Micros {
        let Some(timeout) = arrival.caller_timeout.filter(|_| self.settings.tier == 0) else {
            // Some server rejected the request that is retried: it is as old as retries of requests rejected
            // here.
            let was_rejected = arrival.is_retry && arrival.caller_timeout.is_none();
            return if was_rejected { self.health.retry_age as Micros } else { 0 };
        };
        let received_at = now.saturating_sub(arrival.read_delay);
        // Caller timeouts longer than the class deadline are cut to it: no client waits longer, so the excess
        // must not be learned.
        let share = ((now + timeout - received_at) as f64 / class.deadline as f64).min(1.0);
        if received_at >= self.stall_end {
            self.caller_timeouts.record(share, !arrival.is_retry);
        }
        (self.caller_timeouts.elapsed_share(share) * class.deadline as f64) as Micros
    }

    fn handle_run_ended(&mut self, now: Micros, id: &RequestId, outcome: Outcome, run_time: Micros) {
        let sequence = self.requests.sequence_of.get(id).copied();
        let Some(request) = sequence.and_then(|sequence| self.requests.remove(sequence)) else { return };
        if request.stage != Stage::AwaitingDuplicate && matches!(outcome, Outcome::Ok | Outcome::Error) {
            self.concurrency.completions += 1;
            self.health.record_run(now, outcome == Outcome::Error);
            if outcome == Outcome::Ok {
                self.run_times.record(request.class, request.cost, run_time as f64);
            }
        }
    }

    fn handle_drain(&mut self, now: Micros, time_left: Micros, notified_ago: Micros) {
        let margin = self.settings.answer_slack.max(3 * self.sweep_interval());
        self.answer_by = now + time_left.saturating_sub(margin);
        self.drain_notified_at = Some(now.saturating_sub(notified_ago));
        self.requests.by_sequence.values_mut().for_each(|r| r.deadline = r.deadline.min(self.answer_by));
    }

    fn handle_timer(&mut self, now: Micros, gauges: Gauges, out: &mut Vec<Action>) {
        self.is_timer_armed = false;
        let core_demand = &mut self.concurrency.core_demand;
        *core_demand = ewma(*core_demand, gauges.core_demand.unwrap_or(*core_demand));
        if now < self.next_adjustment {
            return;
        }
        self.next_adjustment = now + CONTROL_INTERVAL;
        let settings = &self.settings;
        self.requests.idempotency_keys.retain(|_, expires_at| *expires_at > now);
        self.connections.caller_last_seen.retain(|_, seen| *seen + settings.idle_timeout_max > now);
        self.health.decay();
        self.calls.decay();
        let idle_timeout = self.connections.adjust_idle_timeout(gauges.connections.unwrap_or(0.0), settings);
        out.extend(idle_timeout.map(Action::CloseIdle));
        self.tenants.update_median(now, settings);
        // A preemption requested during a stall had no effect, so it is requested again.
        let may_preempt = settings.preemption != Preemption::Never;
        let requests = self.requests.by_sequence.values().filter(|_| may_preempt);
        let abandoned_running =
            requests.filter(|request| request.abandoned && request.stage == Stage::Running);
        out.extend(abandoned_running.map(|request| Action::Preempt(request.id.clone())));
        self.concurrency.adjust(gauges, self.requests.count(Stage::Running), now - self.started_at, settings);
    }
}
