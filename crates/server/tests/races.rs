//! Rare moments, made to happen every time: what comes between two steps of a server that ends, waits or has no room.

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::Command;
use std::time::{Duration, Instant};

use common::{eventually, Announce, Balancer, Request, World, PATIENCE};

/// Leaves the running server no descriptor beyond those that it holds, and says how many that are.
fn no_more_descriptors(world: &World) -> usize {
    let free = (0..).find(|n| !world.holds_descriptor(*n)).expect("a free number");
    limit_descriptors(world, free);
    free
}

/// The system's own limit on the descriptors of the running server.
fn limit_descriptors(world: &World, most: usize) {
    let limit = format!("--nofile={most}:{most}");
    let done = Command::new("prlimit").args(["--pid", &world.id().to_string(), &limit]).status();
    assert!(done.expect("prlimit").success());
}

/// What a peer gets until its connection ends, which must come in order: a reset may take an answer with it.
fn rest(stream: &mut TcpStream) -> Vec<u8> {
    stream.set_read_timeout(Some(PATIENCE)).expect("a time limit");
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).expect("an end in order");
    bytes
}

/// Guards against a reset of what waits to be accepted when the socket closes while the system has no descriptor: these
/// requests were given to the server whole, and each must be answered once others have ended.
#[test]
fn requests_that_wait_without_a_descriptor_are_answered_at_the_end() {
    let mut world = World::up(|config| config["stop_ms"] = 1_500.into());
    let mut idle: Vec<Balancer> = (0..8).map(|_| world.balancer()).collect();
    idle.iter_mut().for_each(|b| assert_eq!(b.ask(&Request::check(1, "")).status, 200));
    no_more_descriptors(&world);
    let mut waiting: Vec<Balancer> = (0..4).map(|_| world.balancer()).collect();
    waiting.iter_mut().enumerate().for_each(|(n, b)| b.send(&Request::new(1, &format!("waiting{n}"))));
    world.terminate();
    for balancer in &mut waiting {
        let answer = balancer.answer();
        assert!(answer.protocol_status == 2 || matches!(answer.status, 500 | 503), "{answer:?}");
        assert_eq!(balancer.try_answer(), None);
    }
    idle.iter_mut().for_each(|b| assert_eq!(rest(&mut b.stream), b""));
    assert!(world.ended().success());
}

/// Guards against a server that idle clients deafen: with the list down and every descriptor that the system gives taken by
/// clients that asked once and rest, what is open goes on, calls and the agent's link are made anew, signals are heeded, new
/// connections find a place as idle ones give way, and the list hears of the server again by itself.
#[test]
fn idle_clients_that_fill_the_descriptors_while_the_list_is_down_keep_nothing_from_going_on() {
    let mut world = World::up_within(64, |config| {
        config["limits"]["sockets"] = 1_024.into();
        config["settings"]["family_info"]["idle_us"] = 300_000_000.into();
    });
    let mut live = world.running("live");
    world.announce.set_down(true);
    let mut crowd: Vec<Balancer> = Vec::new();
    for _ in 0..100 {
        let mut idle = Balancer::tolerant(TcpStream::connect(world.listen).expect("connected"));
        idle.send(&Request::check(1, ""));
        crowd.push(idle);
    }
    // One that comes after them is served within the usual patience, if not at the first try: places are kept free.
    eventually("a place", || {
        let mut late = Balancer::tolerant(TcpStream::connect(world.listen).expect("connected"));
        late.stream.write_all(&Request::check(1, "").bytes()).ok()?;
        late.try_answer().filter(|answer| answer.status == 200)
    });
    // A call on a new connection, and the agent's link made anew.
    world.agent.needs_call("live", b"x");
    world.records.call().reply("200 OK", "Connection: close\r\n", b"y");
    assert_eq!(world.agent.expect("deliver").0, "live");
    world.agent.wait_samples(2);
    world.agent.cut();
    world.agent.greet();
    live.send(&Request::new(2, "more"));
    assert_eq!(world.agent.expect("launch").0, "more");
    for (slot, id) in [(1, "live"), (2, "more")] {
        world.agent.outcome(id, "fine", id.as_bytes());
        assert_eq!((live.answer().slot, slot), (slot, slot));
    }
    // A signal with the list's new address: it opens a connection there.
    let announce = Announce::start();
    world.reconfigure(|config| config["announce"] = serde_json::json!(announce.address));
    let old = std::mem::replace(&mut world.announce, announce);
    world.announce.expect("true");
    assert!(world.descriptors() <= 64, "{}", world.descriptors());
    assert!(world.log().contains("fewer descriptors than configured"));
    drop((old, crowd));
    world.terminate();
    world.announce.expect("false");
    assert!(world.ended().success());
}

/// Serves one request and says well to a check, or says how far it came.
fn is_ready(world: &mut World, id: &str) {
    let mut balancer = world.balancer();
    eventually("a good check", || (balancer.ask(&Request::check(1, "")).status == 200).then_some(()));
    balancer.send(&Request::new(2, id));
    assert_eq!(world.agent.expect("launch").0, id);
    world.agent.outcome(id, "fine", b"r");
    assert_eq!(balancer.answer().body, b"r");
}

/// What the operators ask of restarts: of all that restart together, with the list down, slow or well, with requests in flight
/// and with an agent that is late, nine in ten are ready within 10 s. Ready is a good check and a request served.
#[test]
fn nine_in_ten_restarted_processes_are_ready_within_ten_seconds() {
    let mut worlds: Vec<World> = (0..6).map(|_| World::up(|_| ())).collect();
    let mut in_time = 0;
    for round in 0..5 {
        let in_flight: Vec<Balancer> = worlds.iter_mut().map(|world| world.running("in flight")).collect();
        worlds.iter().for_each(|world| world.announce.set_down(round % 2 == 0));
        // Killed in three rounds, drained to the end in two; all start together.
        if round % 3 == 2 {
            worlds.iter().for_each(|world| world.terminate());
            worlds.iter_mut().for_each(|world| assert!(world.ended().success()));
            worlds.iter_mut().for_each(|world| world.restart());
        } else {
            worlds.iter_mut().for_each(|world| world.kill_and_restart());
        }
        let began = Instant::now();
        drop(in_flight);
        for (n, world) in worlds.iter_mut().enumerate() {
            world.agent.linked_anew();
            if n % 3 == 0 {
                // Its agent comes up late; until then it says that it is not well, and is not lost by that.
                assert_eq!(world.balancer().ask(&Request::check(1, "")).status, 500);
                std::thread::sleep(Duration::from_millis(300));
            }
            world.agent.greet_again();
        }
        for world in &mut worlds {
            is_ready(world, &format!("round {round}"));
            in_time += usize::from(began.elapsed() < Duration::from_secs(10));
        }
        worlds.iter().for_each(|world| world.announce.set_down(false));
        worlds.iter().for_each(|world| world.announce.expect("true"));
    }
    assert!(in_time >= 27, "{in_time} of 30");
}
