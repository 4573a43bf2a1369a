//! Tests of the set, without a broker.

use super::*;

fn options(client_id: &str) -> Options {
    Options {
        broker: "127.0.0.1:9".parse().expect("an address"),
        client_id: client_id.to_string(),
        triggers: "t/#".to_string(),
        receive_maximum: 4,
        maximum_packet: 1 << 16,
        keep_alive: 60,
        session_expiry: 60,
        record_expiry: 60,
        login: None,
    }
}

// Guards against a configuration that has a process which is about to exit take requests again.
#[test]
fn stop_of_the_process_is_not_taken_back_by_a_configuration() {
    let (poll, counters) = (Poll::new().expect("a poll"), Rc::new(Counters::default()));
    let mut fronts = Fronts::new(16, counters.clone());
    fronts.set_brokers(&poll, vec![options("one")]);
    fronts.stop();
    fronts.set_brokers(&poll, vec![options("one"), options("two")]);
    assert_eq!(counters.mqtt_resumed.get(), 0);
    assert_eq!(fronts.slots.iter().flatten().count(), 1, "no front is made for another broker");
}
