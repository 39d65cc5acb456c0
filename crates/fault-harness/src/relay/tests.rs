use std::sync::mpsc;
use std::thread;

use super::*;
use crate::fleet::Driver;

/// Guards against a test that never ends: a relay that forwarded to itself, because two sockets had been
/// given the same port, forwarded one datagram without a pause, so the relays' thread never noticed that it
/// was told to stop.
#[test]
fn relays_stop_while_a_datagram_circulates() {
    let (done, finished) = mpsc::channel();
    thread::spawn(move || {
        let executor = Arc::new(Executor::new());
        let host = Ipv4Addr::LOCALHOST;
        let unused = SocketAddr::from((host, 9));
        let both_directions = (Direction::new(1), Direction::new(2));
        let relay = Relay::start(&executor, host, unused, unused, both_directions.clone()).expect("a relay");
        relay.redirect(relay.address);
        let driver = Driver::start(executor);
        relay.replay(&[b"round".to_vec()]);
        while both_directions.0.carried().0 < 1_000 {
            thread::sleep(POLL_INTERVAL);
        }
        drop(driver);
        let _ = done.send(());
    });
    finished.recv_timeout(Duration::from_secs(20)).expect("the relays end within 20 s");
}
