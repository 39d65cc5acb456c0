//! What comes of each action and message, without any socket. The module's own decisions are left out: events
//! that would go to it are looked at instead.

use super::*;
use crate::memory::budget::Budget;
use crate::messages::caller::{ConnectionCommand, WorkRequest};

/// A module with the far ends of all its mailboxes.
struct Bench {
    module: AdmissionActor,
    agent: Receiver<agent::AgentActorMessage>,
    records: Receiver<calls::DependencyCommand>,
    list: Receiver<registration::RegistrationCommand>,
    front: Receiver<listener::ListenerCommand>,
    words: Receiver<ConnectionCommand>,
    me: Sender<ConnectionCommand>,
    serial: u64,
}

const NOW: Micros = 1_764_576_000_000_000;

fn settings(halt: Preemption) -> Settings {
    let text = include_str!("../../../../deploy/example.json");
    let config = crate::lifecycle::config::Config::parse(text.as_bytes()).expect("a sound example");
    Settings { preemption: halt, ..config.settings }
}

fn bench(halt: Preemption) -> Bench {
    bench_with(settings(halt))
}

fn bench_with(set: Settings) -> Bench {
    let (agent, agent_end) = async_channel::bounded(64);
    let (records, records_end) = async_channel::bounded(64);
    let (list, list_end) = async_channel::bounded(4);
    let (front, front_end) = async_channel::bounded(64);
    let (me, words) = async_channel::bounded(64);
    let others = Mailboxes {
        agent,
        records,
        list,
        front,
        up: async_channel::bounded(1).0,
        hint: LoadHint::default(),
        fleet: None,
    };
    let log = Logger::root(slog::Discard, slog::o!());
    let told = (set, Shape { passes_deadline: true, marks_retry: false }, GaugeNames::default());
    let mut module =
        AdmissionActor::new(told, None, async_channel::bounded(1).1, others, Clock::default(), log);
    module.greet(NOW, 0);
    module.events.clear();
    let ends = (agent_end, records_end, list_end, front_end);
    let mut bench =
        Bench { module, agent: ends.0, records: ends.1, list: ends.2, front: ends.3, words, me, serial: 0 };
    assert_eq!(bench.list(), [true]);
    bench
}

fn all<T>(end: &Receiver<T>) -> Vec<T> {
    std::iter::from_fn(|| end.try_recv().ok()).collect()
}

impl Bench {
    fn work(&self, id: &str, key: Option<&str>, idempotency_key: Option<&str>) -> WorkRequest {
        WorkRequest {
            id: id.to_owned(),
            class: "desk-search".to_owned(),
            received_at: self.module.clock.unix() - 1_000_000,
            timeout: Some(500_000_000),
            is_retry: false,
            tenant: None,
            cost: None,
            sender: 4,
            queued_kb: 20.0,
            rank: 0.5,
            subject_key: key.map(String::from),
            idempotency_key: idempotency_key.map(String::from),
        }
    }

    fn request(&mut self, id: &str, key: Option<&str>) {
        self.request_with(id, key, None);
    }

    fn request_with(&mut self, id: &str, key: Option<&str>, idempotency_key: Option<&str>) {
        self.serial += 1;
        let work = self.work(id, key, idempotency_key);
        let reply_to = ReplyTo::new(self.me.clone(), 1, self.serial);
        let charge = Budget::new(1).take(0).expect("nothing");
        let request =
            Request { id: id.into(), class: 0, tenant: 0, work, body: b"body".to_vec(), reply_to, charge };
        self.module.take(NOW, AdmissionMessage::Request(Box::new(request)));
    }

    fn act(&mut self, action: Action) {
        self.module.carry_out(NOW, action);
    }

    fn hear(&mut self, message: AdmissionMessage) {
        self.module.take(NOW, message);
    }

    /// Answers given since the last look, by serial.
    fn answers(&self) -> Vec<(u64, Response)> {
        let answer = |word| match word {
            ConnectionCommand::Respond { serial, response, .. } => (serial, response),
            other => panic!("{other:?}"),
        };
        all(&self.words).into_iter().map(answer).collect()
    }

    /// Events that the module would be told, the ones put off included.
    fn events(&mut self) -> Vec<String> {
        let later = std::mem::take(&mut self.module.later);
        self.module.events.drain(..).chain(later).map(|e| format!("{e:?}")).collect()
    }

    fn orders(&self) -> Vec<AgentCommand> {
        let order = |word| match word {
            agent::AgentActorMessage::Command(order) => order,
            other => panic!("{other:?}"),
        };
        all(&self.agent).into_iter().map(order).collect()
    }

    fn list(&mut self) -> Vec<bool> {
        let word = |word| match word {
            registration::RegistrationCommand::SetAccepting(word) => word,
            other => panic!("{other:?}"),
        };
        all(&self.list).into_iter().map(word).collect()
    }

    fn launched(&mut self, id: &str) {
        self.request(id, None);
        self.act(Action::Admit(id.into()));
        assert!(matches!(self.orders().as_slice(), [AgentCommand::Launch { .. }]));
        self.events();
    }
}

fn outcome(id: &str, end: RunOutcome) -> AdmissionMessage {
    AdmissionMessage::RunEnded { id: id.to_owned(), outcome: end, duration: 9 }
}

#[test]
fn an_arrival_counts_the_time_it_spent_unread() {
    let mut bench = bench(Preemption::Pause);
    bench.request("a", None);
    let [Event::Arrived(arrival)] = bench.module.events.as_slice() else { panic!("one event") };
    assert!(arrival.read_delay >= 1_000_000 && arrival.caller == 4);
    assert_eq!(arrival.caller_timeout.map(|waits| waits + arrival.read_delay), Some(500_000_000));
}

#[test]
fn a_run_that_went_well_is_answered_and_told() {
    let mut bench = bench(Preemption::Pause);
    bench.launched("a");
    bench.hear(outcome("a", RunOutcome::Success(b"r".to_vec())));
    assert_eq!(bench.answers(), [(1, Response::Served(b"r".to_vec()))]);
    assert_eq!(bench.events(), [r#"Ended("a", Ok, 9)"#]);
    assert_eq!(bench.module.open.len(), 0);
}

#[test]
fn what_has_run_is_failed_where_it_would_be_refused() {
    let mut bench = bench(Preemption::Abort);
    bench.request("held", None);
    bench.act(Action::Reject { id: "held".into(), retry_after: 5, terminal: true });
    bench.launched("ran");
    bench.act(Action::Preempt("ran".into()));
    bench.hear(outcome("ran", RunOutcome::Aborted));
    bench.act(Action::Reject { id: "ran".into(), retry_after: 0, terminal: false });
    let refused = Response::Rejected { retry_after: 5, terminal: true };
    assert_eq!(bench.answers(), [(1, refused), (2, Response::Failed)]);
    assert_eq!(bench.module.open.len(), 0);
}

#[test]
fn a_paused_run_goes_on_and_a_dropped_one_begins_again() {
    for (halt, again) in [
        (Preemption::Pause, AgentCommand::Resume("a".into())),
        (
            Preemption::Abort,
            AgentCommand::Launch { id: "a".into(), class: "desk-search".into(), body: b"body".to_vec() },
        ),
    ] {
        let mut bench = bench(halt);
        bench.launched("a");
        bench.act(Action::Preempt("a".into()));
        assert_eq!(bench.orders(), [AgentCommand::Pause("a".into())]);
        // While the stop is not confirmed it still runs.
        bench.act(Action::Admit("a".into()));
        assert_eq!(bench.orders(), []);
        bench.hear(outcome("a", RunOutcome::Aborted));
        assert_eq!(bench.events(), [r#"Ended("a", Stopped, 9)"#]);
        assert_eq!(bench.answers(), []);
        bench.act(Action::Admit("a".into()));
        assert_eq!(bench.orders(), [again]);
    }
}

#[test]
fn a_run_that_others_stopped_is_failed() {
    let mut bench = bench(Preemption::Pause);
    bench.launched("a");
    bench.hear(outcome("a", RunOutcome::Aborted));
    assert_eq!(bench.answers(), [(1, Response::Failed)]);
    assert_eq!(bench.module.open.len(), 0);
}

#[test]
fn work_goes_on_after_a_final_answer_until_its_outcome() {
    let mut bench = bench(Preemption::Pause);
    bench.launched("a");
    bench.act(Action::Fail("a".into()));
    bench.act(Action::Preempt("a".into()));
    assert_eq!((bench.orders(), bench.module.open.len()), (vec![AgentCommand::Pause("a".into())], 1));
    bench.hear(outcome("a", RunOutcome::Success(b"late".to_vec())));
    assert_eq!(bench.answers(), [(1, Response::Failed)]);
    assert_eq!((bench.events(), bench.module.open.len()), (vec![r#"Ended("a", Ok, 9)"#.to_owned()], 0));
}

#[test]
fn what_the_module_lost_sight_of_is_answered_when_overdue() {
    let mut bench = bench(Preemption::Pause);
    bench.request("a", None);
    let due = bench.module.open.get("a").expect("open").due;
    bench.module.answer_overdue(due);
    assert_eq!(bench.answers(), []);
    bench.module.answer_overdue(due + 60_000);
    assert_eq!(bench.answers(), [(1, Response::Failed)]);
    assert!(bench.events().contains(&r#"Gone("a")"#.to_owned()));
}

#[test]
fn calls_are_made_delivered_given_up_and_left_out() {
    let mut bench = bench(Preemption::Pause);
    bench.launched("a");
    let word = |order: calls::DependencyCommand| match order {
        calls::DependencyCommand::Call(call) => {
            format!("Call({:?}, {:?}, {})", call.id.request, call.body, call.deadline)
        }
        calls::DependencyCommand::Cancel(id) => format!("GiveUp({:?})", id.request),
        other => format!("{other:?}"),
    };
    let calls = |bench: &Bench| all(&bench.records).into_iter().map(word).collect::<Vec<_>>();
    bench.hear(AdmissionMessage::NeedsCall { id: "a".into(), notice_seq: 7, body: b"c".to_vec() });
    bench.act(Action::Call("a".into(), 50));
    assert_eq!(calls(&bench), [r#"Call("a", [99], 50)"#]);
    bench.hear(AdmissionMessage::CallEnded {
        id: CallId::without_plan("a".into()),
        outcome: Outcome::ConnectionLost,
        duration: 3,
        body: vec![],
    });
    bench.act(Action::Call("a".into(), 60));
    bench.hear(AdmissionMessage::CallEnded {
        id: CallId::without_plan("a".into()),
        outcome: Outcome::Ok,
        duration: 3,
        body: b"reply".to_vec(),
    });
    assert_eq!(bench.orders(), [AgentCommand::DeliverReply { id: "a".into(), body: b"reply".to_vec() }]);
    let told = [r#"NeedsCall("a")"#, r#"Called("a", Cut, 3)"#, r#"Called("a", Ok, 3)"#];
    assert_eq!(bench.events(), told);
    // A call that nobody makes any more says nothing.
    bench.hear(AdmissionMessage::CallEnded {
        id: CallId::without_plan("a".into()),
        outcome: Outcome::Ok,
        duration: 3,
        body: vec![],
    });
    assert_eq!((bench.orders(), bench.events().len()), (vec![], 0));
    calls(&bench);
    bench.hear(AdmissionMessage::NeedsCall { id: "a".into(), notice_seq: 8, body: b"d".to_vec() });
    bench.act(Action::Call("a".into(), 70));
    bench.act(Action::SkipCall("a".into()));
    assert_eq!(calls(&bench), [r#"Call("a", [100], 70)"#, r#"GiveUp("a")"#]);
    assert_eq!(bench.orders(), [AgentCommand::SkipCall { id: "a".into(), notice_seq: 8 }]);
    bench.hear(AdmissionMessage::NeedsCall { id: "a".into(), notice_seq: 9, body: b"e".to_vec() });
    bench.act(Action::Call("a".into(), 70));
    bench.act(Action::Fail("a".into()));
    assert_eq!(calls(&bench), [r#"Call("a", [101], 70)"#, r#"GiveUp("a")"#]);
}

#[test]
fn repeats_are_answered_from_kept_results() {
    let mut bench = bench(Preemption::Pause);
    bench.request("a", Some("k"));
    bench.act(Action::RetainKey("a".into(), 1_000_000));
    bench.act(Action::Admit("a".into()));
    bench.request("b", Some("k"));
    let Some(Event::Arrived(arrival)) = bench.module.events.last() else { panic!("an arrival") };
    assert_eq!(arrival.duplicate_of.as_deref(), Some("a"));
    bench.act(Action::AwaitDuplicate("b".into()));
    assert_eq!(bench.answers(), []);
    bench.hear(outcome("a", RunOutcome::Success(b"r".to_vec())));
    // And one that comes after it has ended.
    bench.request("c", Some("k"));
    bench.act(Action::AwaitDuplicate("c".into()));
    let served = |serial| (serial, Response::Served(b"r".to_vec()));
    assert_eq!(bench.answers(), [served(2), served(1), served(3)]);
    assert!(bench.events().contains(&r#"Ended("c", Ok, 0)"#.to_owned()));
    assert_eq!(bench.orders().len(), 1);
}

#[test]
fn repeats_of_what_never_ran_or_was_forgotten_fail_or_start_anew() {
    let mut bench = bench(Preemption::Pause);
    bench.request("a", Some("k"));
    bench.act(Action::RetainKey("a".into(), 1_000_000));
    bench.request("b", Some("k"));
    bench.act(Action::AwaitDuplicate("b".into()));
    bench.act(Action::Reject { id: "a".into(), retry_after: 0, terminal: false });
    assert_eq!(bench.answers().last(), Some(&(2, Response::Failed)));
    assert!(bench.events().contains(&r#"Ended("b", Error, 0)"#.to_owned()));
    bench.request("c", Some("k2"));
    bench.act(Action::RetainKey("c".into(), 1_000_000));
    bench.act(Action::ReleaseKey("c".into()));
    bench.request("d", Some("k2"));
    let Some(Event::Arrived(arrival)) = bench.module.events.last() else { panic!("an arrival") };
    assert_eq!(arrival.duplicate_of, None);
}

#[test]
fn of_requests_that_have_ended_nothing_is_left() {
    let mut bench = bench(Preemption::Pause);
    bench.request("a", Some("k"));
    bench.act(Action::Admit("a".into()));
    bench.act(Action::RetainKey("a".into(), 1_000_000));
    for id in ["b", "c", "d"] {
        bench.request(id, Some("k"));
        bench.act(Action::AwaitDuplicate(id.into()));
    }
    // One gives up waiting, one is refused; the last gets the other's result.
    bench.hear(AdmissionMessage::Cancelled { id: "b".into(), serial: 2 });
    bench.act(Action::Reject { id: "c".into(), retry_after: 0, terminal: false });
    assert!(!bench.module.open.is_clear());
    bench.hear(outcome("a", RunOutcome::Success(b"r".to_vec())));
    let served = |serial| (serial, Response::Served(b"r".to_vec()));
    let answers = bench.answers();
    assert!(answers.contains(&served(1)) && answers.contains(&served(4)), "{answers:?}");
    assert!(answers.iter().all(|a| *a != served(2) && *a != served(3)), "{answers:?}");
    assert!(bench.module.open.is_clear());
}

#[test]
fn words_for_the_list_never_displace_its_new_address() {
    let mut bench = bench(Preemption::Pause);
    let address = registration::RegistrationCommand::SetAddress(([127, 0, 0, 1], 9).into());
    bench.module.others.list.try_send(address).expect("room");
    for word in [true, false, true, false, true, false] {
        bench.act(Action::SetReady(word));
    }
    let words = all(&bench.list);
    assert!(
        words.contains(&address) && words.contains(&registration::RegistrationCommand::SetAccepting(false)),
        "{words:?}"
    );
}

#[test]
fn outward_words_reach_the_list_the_front_and_checks() {
    let mut bench = bench(Preemption::Pause);
    bench.act(Action::SetReady(false));
    bench.act(Action::SetReady(true));
    bench.act(Action::SetReady(false));
    // In order: the list heeds the newest.
    assert_eq!(bench.list(), [false, true, false]);
    bench.act(Action::CloseIdle(70));
    assert!(matches!(all(&bench.front).as_slice(), [listener::ListenerCommand::CloseIdle(70)]));
    let reply_to = ReplyTo::new(bench.me.clone(), 1, 50);
    bench.hear(AdmissionMessage::HealthCheck(HealthCheck { is_deep: true, reply_to }));
    assert_eq!(bench.answers(), [(50, Response::Health(false))]);
}

#[test]
fn a_timer_asks_for_gauges_and_comes_without_them_in_the_end() {
    let mut bench = bench(Preemption::Pause);
    bench.act(Action::WakeAfter(20_000));
    bench.module.pass_time(NOW + 19_999);
    assert_eq!(bench.orders(), []);
    // However late it is looked at, it comes once.
    bench.module.pass_time(NOW + 900_000);
    let [AgentCommand::SampleGauges(tag)] = bench.orders()[..] else { panic!("a sample") };
    bench.hear(AdmissionMessage::GaugesSampled { tag: tag + 1, values: vec![] });
    assert_eq!(bench.events().len(), 0);
    bench.hear(AdmissionMessage::GaugesSampled { tag, values: vec![] });
    bench.module.pass_time(NOW + 990_000);
    assert_eq!(bench.events().len(), 1);
    bench.act(Action::WakeAfter(20_000));
    bench.module.pass_time(NOW + 20_000);
    bench.module.pass_time(NOW + 20_000 + GAUGE_WAIT);
    assert_eq!(bench.events().len(), 1);
}

#[test]
fn deep_checks_end_with_their_work_their_time_or_their_link() {
    let mut bench = bench(Preemption::Pause);
    let check = |bench: &mut Bench, serial| {
        let reply_to = ReplyTo::new(bench.me.clone(), 1, serial);
        bench.hear(AdmissionMessage::HealthCheck(HealthCheck { is_deep: true, reply_to }));
        let [AgentCommand::RunHealthCheck(tag)] = bench.orders()[..] else { panic!("an exercise") };
        tag
    };
    let tag = check(&mut bench, 1);
    bench.hear(AdmissionMessage::HealthCheckEnded { tag, healthy: true });
    check(&mut bench, 2);
    bench.module.pass_time(NOW + CHECK_WAIT);
    check(&mut bench, 3);
    bench.hear(AdmissionMessage::AgentLinkLost);
    let answers = [(1, Response::Health(true)), (2, Response::Health(false)), (3, Response::Health(false))];
    assert_eq!(bench.answers(), answers);
}

#[test]
fn a_refused_launch_ends_its_request_as_not_begun_and_no_other_refusal_does() {
    let mut bench = bench(Preemption::Pause);
    bench.launched("a");
    for command in ["freeze", "thaw", "deliver", "forgo"] {
        bench.hear(AdmissionMessage::AgentRejected { command: command.into(), id: "a".into() });
    }
    assert_eq!(bench.answers(), []);
    bench.hear(AdmissionMessage::AgentRejected { command: "launch".into(), id: "a".into() });
    assert_eq!(bench.answers(), [(1, Response::Failed)]);
    assert_eq!(bench.events(), [r#"Ended("a", Moot, 0)"#]);
}

#[test]
fn only_the_one_who_waits_can_give_a_request_up() {
    let mut bench = bench(Preemption::Pause);
    bench.launched("a");
    bench.hear(AdmissionMessage::Cancelled { id: "a".into(), serial: 99 });
    assert_eq!((bench.answers(), bench.events().len()), (vec![], 0));
    bench.hear(AdmissionMessage::Cancelled { id: "a".into(), serial: 1 });
    assert_eq!(bench.answers(), [(1, Response::Aborted)]);
    assert_eq!(bench.events(), [r#"Gone("a")"#]);
}

#[test]
fn a_notice_that_comes_before_the_agent_is_not_forgotten() {
    let mut bench = bench(Preemption::Pause);
    bench.module.server = None;
    bench.hear(AdmissionMessage::Drain { noticed_at: NOW, stop_at: NOW + 1_000_000 });
    bench.module.greet(NOW + 400_000, 0);
    assert!(bench.events().contains(&"Leave { left: 600000, ago: 400000 }".to_owned()));
}

/// Guards against a keyed write that runs twice: its tries are linked by the caller's idempotency key, and
/// one that comes without it is refused as malformed before the module hears of it.
#[test]
fn tries_of_a_keyed_class_are_linked_by_their_idempotency_key() {
    let mut set = settings(Preemption::Never);
    (set.classes[0].idempotency, set.classes[0].idempotency_window) = (Idempotency::WithKey, 12_309_000);
    let mut bench = bench_with(set);
    bench.request_with("bare", Some("resource"), None);
    assert_eq!(bench.answers(), [(1, Response::BadRequest)]);
    assert!(bench.module.events.is_empty(), "the module never hears of it");
    bench.request_with("a", None, Some("tally-1"));
    bench.act(Action::RetainKey("a".into(), 12_309_000));
    bench.act(Action::Admit("a".into()));
    // The same key under another resource key is the same request; another key is not.
    bench.request_with("b", Some("resource"), Some("tally-1"));
    let Some(Event::Arrived(arrival)) = bench.module.events.last() else { panic!("an arrival") };
    assert_eq!(arrival.duplicate_of.as_deref(), Some("a"));
    bench.request_with("c", None, Some("tally-2"));
    let Some(Event::Arrived(arrival)) = bench.module.events.last() else { panic!("an arrival") };
    assert_eq!(arrival.duplicate_of, None);
}

/// The new shape: a try is marked by its attempt and states no wait; what it states all the same is no part of
/// the agreement. Without the settings all is as it was.
#[test]
fn what_a_request_says_of_itself_counts_as_the_shape_has_it() {
    let arrival = |shape: Shape, again: bool| {
        let mut bench = bench(Preemption::Never);
        bench.module.shape = shape;
        let work = WorkRequest { is_retry: again, ..bench.work("a", None, None) };
        let (reply_to, charge) =
            (ReplyTo::new(bench.me.clone(), 1, 1), Budget::new(1).take(0).expect("nothing"));
        let request =
            Request { id: "a".into(), class: 0, tenant: 0, work, body: Vec::new(), reply_to, charge };
        bench.module.arrived(NOW, request);
        match bench.module.events.pop() {
            Some(Event::Arrived(arrival)) => (arrival.caller_timeout.is_some(), arrival.is_retry),
            other => panic!("{other:?}"),
        }
    };
    let old = Shape { passes_deadline: true, marks_retry: false };
    assert_eq!(arrival(old, true), (true, false));
    assert_eq!(arrival(Shape { marks_retry: true, ..old }, true), (true, true));
    let new = Shape { passes_deadline: false, marks_retry: true };
    assert_eq!(arrival(new, false), (false, false));
    assert_eq!(arrival(new, true), (false, true));
}

/// A keyed class with a window of 3 s.
fn keyed() -> Bench {
    let mut set = settings(Preemption::Never);
    (set.classes[0].idempotency, set.classes[0].idempotency_window) = (Idempotency::WithKey, 3_000_000);
    bench_with(set)
}

impl Bench {
    /// A try of the keyed request `key` arrives at this time; which one it is said to repeat.
    fn keyed_try(&mut self, now: Micros, id: &str, (tenant, key): (usize, &str)) -> Option<RequestId> {
        self.serial += 1;
        let work = WorkRequest { received_at: self.module.clock.unix(), ..self.work(id, None, Some(key)) };
        let reply_to = ReplyTo::new(self.me.clone(), 1, self.serial);
        let charge = Budget::new(1).take(0).expect("nothing");
        let request = Request { id: id.into(), class: 0, tenant, work, body: Vec::new(), reply_to, charge };
        self.module.take(now, AdmissionMessage::Request(Box::new(request)));
        match self.module.events.last() {
            Some(Event::Arrived(arrival)) if &*arrival.id == id => arrival.duplicate_of.clone(),
            other => panic!("{other:?}"),
        }
    }
}

/// Guards against a keyed write that runs twice: two tries read into one step were both taken for the first, as the
/// entry was made only when the module's word on the first was carried out.
#[test]
fn two_tries_of_one_step_know_of_each_other() {
    let mut bench = keyed();
    assert_eq!(bench.keyed_try(NOW, "a", (0, "k")), None);
    assert_eq!(bench.keyed_try(NOW, "b", (0, "k")).as_deref(), Some("a"));
    // The first is turned away and never ran: the key is free.
    bench.act(Action::Reject { id: "a".into(), retry_after: 0, terminal: false });
    assert_eq!(bench.keyed_try(NOW + 1, "c", (0, "k")), None);
}

/// Guards against a second run beside the first: a run that lasts longer than its window was no longer known by its end.
#[test]
fn a_try_is_known_while_it_is_open_though_its_window_is_over() {
    let mut bench = keyed();
    bench.keyed_try(NOW, "a", (0, "k"));
    bench.act(Action::RetainKey("a".into(), 3_000_000));
    bench.act(Action::Admit("a".into()));
    assert_eq!(bench.keyed_try(NOW + 3_500_000, "b", (0, "k")).as_deref(), Some("a"));
    bench.module.wake_at = Some(NOW + 9_000_000);
    bench.module.pass_time(NOW + 9_000_000);
    assert_eq!(bench.keyed_try(NOW + 9_500_000, "c", (0, "k")).as_deref(), Some("a"));
    bench.hear(AdmissionMessage::RunEnded {
        id: "a".into(),
        outcome: RunOutcome::Success(b"done".to_vec()),
        duration: 9_600_000,
    });
    assert_eq!(bench.keyed_try(NOW + 9_700_000, "d", (0, "k")), None, "over and run out");
}

/// Guards against a repeat that came in time and was read late: it counts by when it reached the machine.
#[test]
fn a_repeat_counts_by_when_it_reached_the_machine() {
    let mut bench = keyed();
    bench.keyed_try(NOW, "a", (0, "k"));
    bench.act(Action::Admit("a".into()));
    bench.hear(AdmissionMessage::RunEnded {
        id: "a".into(),
        outcome: RunOutcome::Success(b"done".to_vec()),
        duration: 100,
    });
    // Looked for what has run out, between the end of the window and the reading of the repeat.
    bench.module.wake_at = Some(NOW + 3_100_000);
    bench.module.pass_time(NOW + 3_100_000);
    let mut read = |id: &str, unread: Micros| {
        let work = WorkRequest {
            received_at: bench.module.clock.unix() - unread,
            ..bench.work(id, None, Some("k"))
        };
        let (reply_to, charge) =
            (ReplyTo::new(bench.me.clone(), 1, 7), Budget::new(1).take(0).expect("nothing"));
        let request =
            Request { id: id.into(), class: 0, tenant: 0, work, body: Vec::new(), reply_to, charge };
        bench.module.take(NOW + 3_200_000, AdmissionMessage::Request(Box::new(request)));
        match bench.module.events.last() {
            Some(Event::Arrived(arrival)) => arrival.duplicate_of.clone(),
            other => panic!("{other:?}"),
        }
    };
    assert_eq!(read("in time", 2_000_000).as_deref(), Some("a"));
    assert_eq!(read("too late", 0), None);
}

/// Guards against one tenant's answer given to another: keys that happen to be alike are two keys.
#[test]
fn keys_of_two_tenants_are_two_keys() {
    let mut set = settings(Preemption::Never);
    (set.classes[0].idempotency, set.classes[0].idempotency_window) = (Idempotency::WithKey, 3_000_000);
    set.tenants = vec![umberloom::interface::Tenant { quota_per_s: 5.0 }; 2];
    let mut bench = bench_with(set);
    bench.keyed_try(NOW, "a", (0, "k"));
    assert_eq!(bench.keyed_try(NOW, "b", (1, "k")), None);
    assert_eq!(bench.keyed_try(NOW, "c", (1, "k")).as_deref(), Some("b"));
}

#[test]
fn the_free_value_is_there_for_all_connections() {
    let mut bench = bench(Preemption::Pause);
    let hint = bench.module.others.hint.clone();
    assert_eq!(hint.get(), None);
    bench.act(Action::SetLoadHint(0.25));
    assert_eq!(hint.get(), Some(0.25));
}

/// Guards against another's result given away: a request with a key that is taken and a body of its own got the answer of
/// the one that held the key (brink days of a site with a keyed class: lost, a bad client was served).
#[test]
fn another_body_under_a_key_that_is_taken_is_no_repeat() {
    let mut bench = keyed();
    let mut arrives = |id: &str, body: &[u8]| {
        bench.serial += 1;
        let work = WorkRequest { received_at: bench.module.clock.unix(), ..bench.work(id, None, Some("k")) };
        let reply_to = ReplyTo::new(bench.me.clone(), 1, bench.serial);
        let charge = Budget::new(1).take(0).expect("nothing");
        let request =
            Request { id: id.into(), class: 0, tenant: 0, work, body: body.to_vec(), reply_to, charge };
        bench.module.take(NOW, AdmissionMessage::Request(Box::new(request)));
        (bench.events().len(), bench.answers())
    };
    assert_eq!(arrives("a", b"one berth"), (1, vec![]));
    assert_eq!(arrives("b", b"two berths"), (0, vec![(2, Response::BadRequest)]), "it goes no further");
    assert_eq!(arrives("c", b"one berth"), (1, vec![]), "a repeat is still one");
}

/// Guards against a first try that nothing would keep from running twice: where live keys fill the table it is turned away
/// before the decisions hear of it, and the repeats of those in it are still known.
#[test]
fn a_first_try_without_room_for_its_key_is_turned_away() {
    let mut bench = keyed();
    for n in 0..crate::memory::idempotency_cache::ENTRIES {
        let id = n.to_string();
        bench.keyed_try(NOW, &id, (0, &id));
        bench.module.events.clear();
    }
    let work =
        WorkRequest { received_at: bench.module.clock.unix(), ..bench.work("more", None, Some("more")) };
    let (reply_to, charge) = (ReplyTo::new(bench.me.clone(), 1, 9), Budget::new(1).take(0).expect("nothing"));
    let request =
        Request { id: "more".into(), class: 0, tenant: 0, work, body: Vec::new(), reply_to, charge };
    bench.module.take(NOW, AdmissionMessage::Request(Box::new(request)));
    assert_eq!(bench.answers(), [(9, Response::Rejected { retry_after: 0, terminal: false })]);
    assert!(bench.module.events.is_empty());
    assert_eq!(bench.keyed_try(NOW, "again", (0, "0")).as_deref(), Some("0"));
}

/// Guards against a key that is bound to another's request: a name in use, sent again under a new key, is answered 400 and
/// must leave the key free for who comes with it.
#[test]
fn a_name_in_use_binds_no_other_key() {
    let mut bench = keyed();
    bench.keyed_try(NOW, "a", (0, "k"));
    bench.module.events.clear();
    let work = WorkRequest { received_at: bench.module.clock.unix(), ..bench.work("a", None, Some("other")) };
    let (reply_to, charge) = (ReplyTo::new(bench.me.clone(), 1, 9), Budget::new(1).take(0).expect("nothing"));
    let request = Request { id: "a".into(), class: 0, tenant: 0, work, body: Vec::new(), reply_to, charge };
    bench.module.take(NOW, AdmissionMessage::Request(Box::new(request)));
    assert_eq!(bench.answers(), [(9, Response::BadRequest)]);
    assert_eq!(bench.keyed_try(NOW, "b", (0, "other")), None);
}

/// Guards against callers that are asked to come to a server that is about to leave: the agent came up after the notice.
#[test]
fn a_leaving_server_whose_agent_comes_up_is_never_listed_as_taking_work() {
    let mut bench = bench(Preemption::Pause);
    (bench.module.server, bench.module.ready) = (None, None);
    bench.hear(AdmissionMessage::Drain { noticed_at: NOW, stop_at: NOW + 1_000_000 });
    bench.module.greet(NOW + 400_000, 0);
    assert_eq!(bench.list(), [false]);
}

/// Guards against a stop that is taken for later than it is: the process stood still between the notice and the moment in
/// which the module took it in.
#[test]
fn a_notice_taken_in_late_moves_neither_the_stop_nor_the_grace() {
    let mut bench = bench(Preemption::Pause);
    bench.hear(AdmissionMessage::Drain { noticed_at: NOW - 700_000, stop_at: NOW + 300_000 });
    assert_eq!(bench.events(), ["Leave { left: 300000, ago: 700000 }"]);
}

/// Guards against a stop that is taken for later than it is: the process stood still between taking the notice in and the
/// step that tells the decisions of it. What is open then is answered at once, and nothing starts.
#[test]
fn a_notice_is_told_as_it_is_at_the_step() {
    let mut bench = bench(Preemption::Pause);
    bench.request("a", None);
    // Both were taken in at `NOW`; by the clock, at which the step is, the stop is long past.
    bench.hear(AdmissionMessage::Drain { noticed_at: NOW, stop_at: NOW + 1_000_000 });
    assert!(bench.module.step());
    assert!(matches!(bench.answers()[..], [(1, Response::Rejected { .. })]));
    assert_eq!(bench.orders(), []);
}
