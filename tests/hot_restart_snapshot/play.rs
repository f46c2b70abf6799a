//! A short simulation with all kinds of requests, outcomes and datagrams, and the removal of an endpoint.

use applewall::api::*;
use applewall::decision::hashing::{fingerprint, CustomerFingerprint};
use applewall::decision::DecisionPolicy;
use applewall::gossip::codec::{
    self, AggregateUpdate, CustomerRecord, Record, UsageReport, WrappingTotal,
};
use applewall::LoadStatistics;

use crate::support::policy::{
    self, attempted_endpoint, PolicyDriver, KEYED, MILLISECOND, SAFE, SECOND, UNSAFE,
};

/// Time at the end of the simulation.
pub(crate) const END: u64 = 1_002_000 * MILLISECOND;

const OUTCOMES: [Outcome; 7] = [
    Outcome::Success,
    Outcome::Success,
    Outcome::Failure,
    Outcome::TimedOut,
    Outcome::Success,
    Outcome::ConnectionReset,
    Outcome::Overloaded,
];

/// Settings with 20 nodes, a plan with a ceiling, and two machine types.
pub(crate) fn settings() -> PolicySettings {
    let mut settings = PolicySettings {
        node_count: 20,
        machine_type_count: 2,
        watch_endpoints: true,
        ..policy::settings()
    };
    settings.plans.push(policy::ceiling_plan());
    settings
}

pub(crate) fn endpoints() -> Vec<Endpoint> {
    let endpoint = |number: u32, started_at_ns, state| Endpoint {
        started_at_ns,
        machine_type: MachineTypeId(number % 2),
        weight: 0.5 + f64::from(number),
        cell: CellId(i64::from(number) - 1),
        state,
        ..policy::endpoint(&format!("b{number}"), number % 2)
    };
    vec![
        endpoint(0, None, EndpointState::Ready),
        endpoint(1, Some(999 * SECOND), EndpointState::Ready),
        endpoint(2, Some(5), EndpointState::Ready),
        endpoint(3, None, EndpointState::Draining),
    ]
}

/// The datagrams with which a peer sends a record.
fn datagrams(from: u32, incarnation: u32, customer: u32, record: Record) -> Vec<Event> {
    let record = CustomerRecord {
        customer: CustomerFingerprint(customer),
        record,
    };
    let message = |text| Event::PeerMessage {
        from: NodeId(from),
        text,
    };
    codec::encode(incarnation, &[record])
        .into_iter()
        .map(message)
        .collect()
}

fn usage(plan: usize, node_set_size: u32, forwarded: u32) -> Record {
    Record::Usage(UsageReport {
        plan: PlanId(plan),
        nodes: NodeSet::first_nodes(node_set_size),
        forwarded: WrappingTotal::from_code(forwarded),
        requested: WrappingTotal::from_code(forwarded + 4),
        quota_level: 0.25,
    })
}

/// Records sent by peers: sender, customer and record.
fn peer_records() -> [(u32, u32, Record); 4] {
    let aggregate = Record::Aggregate(AggregateUpdate {
        demand: 7.0,
        quota_level: 0.25,
    });
    [
        (1, fingerprint("wide 47"), usage(2, 20, 12)),
        (2, fingerprint("far"), usage(0, 3, 40)),
        (1, fingerprint("told"), aggregate),
        (3, fingerprint("wide 47"), Record::Grant(1.5)),
    ]
}

/// Sends a request and ends its attempt; class, plan, customer and outcome vary by round.
fn simulate_request(driver: &mut PolicyDriver, round: u32) {
    let number = round as usize;
    let customer = number / 9 % 3;
    let (id, actions) = driver.request_with_node_set(
        [20, 3, 1][customer],
        [SAFE, KEYED, UNSAFE][number % 3],
        PlanId((number / 3 % 3).max(customer)),
        ["wide 47", "near", "own"][customer],
        f64::from(round % 4),
    );
    driver.advance(u64::from(round % 5) * 20 * MILLISECOND);
    if let Some(endpoint) = attempted_endpoint(&actions) {
        let outcome = OUTCOMES[number % OUTCOMES.len()];
        let milliseconds = 15 + u64::from(round * 7 % 40);
        driver.finish_attempt(id, 0, &endpoint, outcome, milliseconds);
    }
}

/// Simulates until [`END`].
pub(crate) fn simulate() -> PolicyDriver {
    let mut driver = PolicyDriver::new(settings(), 7, &endpoints());
    let peer_records = peer_records();
    for round in 0..42 {
        simulate_request(&mut driver, round);
        let (from, customer, record) = peer_records[round as usize % 4];
        for datagram in datagrams(from, 40 + from, customer, record) {
            driver.handle(datagram);
        }
    }
    let statistics = Record::Statistics(LoadStatistics {
        outcomes: 30.0,
        intervals: 4.0,
        in_flight: 9.0,
        completed: 20.0,
        ..LoadStatistics::default()
    });
    for from in [4, 5] {
        driver.handle(datagrams(from, 44, 0, statistics).remove(0));
    }
    let removed = Endpoint {
        state: EndpointState::Removed,
        ..endpoints()[1].clone()
    };
    driver.handle(Event::EndpointUpdate(
        EndpointUpdateKind::Delta,
        [removed].into(),
    ));
    for number in 0..8 {
        driver.request_with_node_set(1, SAFE, PlanId(1), &format!("late {number}"), 1.0);
    }
    driver.handle(Event::ReturnedToService(endpoints()[2].clone()));
    driver.advance(380 * MILLISECOND);
    driver
}

/// Takes over at [`END`] as a new process does: it imports the snapshot, then the transferred endpoint list.
///
/// # Errors
///
/// The snapshot is refused; returns the error's text.
pub(crate) fn take_over(snapshot: &[u8]) -> Result<PolicyDriver, String> {
    let mut driver = PolicyDriver::at(END, settings(), 99, &[]);
    let mut policy = DecisionPolicy::new(settings(), 99, END);
    policy
        .import_snapshot(snapshot)
        .map_err(|error| error.to_string())?;
    driver.policy = policy;
    driver.handle(Event::EndpointUpdate(
        EndpointUpdateKind::Cached,
        endpoints().into(),
    ));
    Ok(driver)
}
