//! A new endpoint at the address of one that has gone: it is not taken for the old one.

mod support;

use std::time::{SystemTime, UNIX_EPOCH};

use applewall_fakes::discovery::{target, Discovery};
use applewall_fakes::instance::{Instance, Script};
use serde_json::{json, Value};
use support::daemon::{connect_to, read_response, send_request};
use support::daemon::{small_daemon, start_daemon, Environment};
use support::node::wait_for_log;

/// Requests after the new endpoint has appeared.
const REQUESTS: u64 = 60;

/// An entry of an endpoint that has just started and is in this state.
fn just_started(id: &str, instance: &Instance, state: &str) -> Value {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("a time after 1970");
    let mut entry = target(id, instance.address, state);
    entry["boot_ms"] = json!(since_epoch.as_millis() as u64);
    entry
}

async fn request(environment: &Environment, id: u64) {
    let mut client = connect_to(&environment.daemon).await;
    send_request(&mut client, id, 1, 0).await;
    assert_eq!(read_response(&mut client).await.status(), "200");
}

/// Guards against requests for an endpoint that has gone which reach the new process at its address.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endpoint_whose_address_belongs_to_a_new_one_gets_no_requests() {
    let mut instances = Vec::new();
    for seed in 0..3 {
        let script = Script {
            seed,
            ..Script::default()
        };
        instances.push(Instance::start(script).await.expect("an endpoint"));
    }
    let entry = |number: usize| {
        let id = format!("s-{number}");
        target(&id, instances[number].address, "in_service")
    };
    let known = vec![entry(0), entry(1), entry(2)];
    let discovery = Discovery::start(known.clone()).await.expect("discovery");
    let settings = small_daemon(discovery.address, known.clone());
    let environment = Environment {
        daemon: start_daemon("address-reuse", &settings),
        discovery,
        instances: Vec::new(),
    };
    for id in 0..30 {
        request(&environment, id).await;
    }
    // The list still has the old endpoint. The new one drains, so that the address gets no requests for either.
    let new = just_started("s-new", &instances[0], "terminating");
    let list = [known, vec![new]].concat();
    environment.discovery.publish(list);
    wait_for_log(&environment.daemon, "endpoint address taken").await;
    let first = 1_000;
    for id in first..first + REQUESTS {
        request(&environment, id).await;
    }
    let at_new = (first..first + REQUESTS)
        .filter(|id| !instances[0].recorded.arrivals_of(*id).is_empty())
        .count();
    assert_eq!(at_new, 0, "of {REQUESTS} requests");
}
