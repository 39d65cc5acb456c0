use std::sync::mpsc;
use std::thread;

use super::*;
use crate::fleet::Driver;

/// Guards against a test that never ends: a relay that leads to itself (a port that two had been given) carried one datagram
/// round without a pause, and the thread of the relays heard of nothing else, not even that it was to end.
#[test]
fn a_datagram_that_goes_round_does_not_keep_the_relays_from_ending() {
    let (over, ended) = mpsc::channel();
    thread::spawn(move || {
        let executor = Arc::new(Executor::new());
        let host = Ipv4Addr::LOCALHOST;
        let nowhere = SocketAddr::from((host, 9));
        let both = (Direction::new(1), Direction::new(2));
        let relay = Relay::start(&executor, host, nowhere, nowhere, both.clone()).expect("a relay");
        relay.redirect(relay.address);
        let driver = Driver::start(executor);
        relay.replay(&[b"round".to_vec()]);
        while both.0.carried().0 < 1_000 {
            thread::sleep(LOOK);
        }
        drop(driver);
        let _ = over.send(());
    });
    ended.recv_timeout(Duration::from_secs(20)).expect("the relays end");
}
