//! One node of the decision policy without the daemon: settings, a virtual clock, and shorthand for events.

use applewall::api::*;
use applewall::decision::DecisionPolicy;

pub(crate) const MILLISECOND: u64 = 1_000_000;
pub(crate) const SECOND: u64 = 1_000_000_000;

pub(crate) const SAFE: ClassId = ClassId(0);
pub(crate) const KEYED: ClassId = ClassId(1);
pub(crate) const UNSAFE: ClassId = ClassId(2);

pub(crate) fn settings() -> PolicySettings {
    let class = |idempotency| Class {
        latency_objective_ns: 500 * MILLISECOND,
        deadline_ns: 2 * SECOND,
        priority_weight: 1.0,
        late_weight_fraction: 0.0,
        idempotency,
        streaming: false,
    };
    let keyed = Idempotency::IdempotencyKey {
        scope: KeyScope::Zone,
        deduplication_window_ns: 3 * SECOND,
    };
    PolicySettings {
        node: NodeId(0),
        node_count: 3,
        zone: ZoneId(0),
        classes: vec![
            class(Idempotency::Idempotent),
            class(keyed),
            class(Idempotency::NonIdempotent),
        ],
        plans: vec![
            Plan {
                quota_units_per_second: 10.0,
                quota_burst_units: 20.0,
                weight_multiplier: 1.0,
                over_quota_penalty_fraction: 0.5,
                ..Plan::default()
            },
            Plan {
                quota_units_per_second: 1e6,
                quota_burst_units: 1e6,
                weight_multiplier: 3.0,
                over_quota_penalty_fraction: 0.5,
                ..Plan::default()
            },
        ],
        slow_start_fraction: 0.2,
        slow_start_ns: 15 * SECOND,
        overload_multiple: 3.0,
        overload_window_ns: SECOND,
        max_attempts: 3,
        max_retry_after_ns: Some(2 * SECOND),
        gossip_enabled: true,
        cancellation_allowed: true,
        gossip_messages_per_second: 100.0,
        max_request_units: 4.0,
        ..PolicySettings::default()
    }
}

/// A plan with an ample quota and a ceiling of 5 units per second and 20 at once.
pub(crate) fn ceiling_plan() -> Plan {
    Plan {
        quota_units_per_second: 1e6,
        quota_burst_units: 1e6,
        weight_multiplier: 1.0,
        over_quota_penalty_fraction: 0.5,
        ceiling_units_per_second: 5.0,
        ceiling_burst_units: 20.0,
        ceiling_slack_units: 2.0,
        ..Plan::default()
    }
}

pub(crate) fn endpoint(name: &str, zone: u32) -> Endpoint {
    Endpoint {
        id: name.into(),
        weight: 1.0,
        started_at_ns: None,
        zone: ZoneId(zone),
        cell: CellId(i64::from(zone)),
        machine_type: MachineTypeId(0),
        state: EndpointState::Ready,
    }
}

/// One node with a virtual clock; its timers expire as the clock moves.
pub(crate) struct PolicyDriver {
    pub policy: DecisionPolicy,
    pub now: u64,
    pub timers: Vec<(u64, u64)>,
    pub gossip_texts: Vec<String>,
    /// The same messages with their addressees.
    pub gossip: Vec<(Option<NodeId>, String)>,
    pub logs: Vec<Action>,
    last_request: u64,
}

impl PolicyDriver {
    pub(crate) fn new(settings: PolicySettings, seed: u64, endpoints: &[Endpoint]) -> Self {
        PolicyDriver::at(1000 * SECOND, settings, seed, endpoints)
    }

    pub(crate) fn at(
        now: u64,
        settings: PolicySettings,
        seed: u64,
        endpoints: &[Endpoint],
    ) -> Self {
        let policy = DecisionPolicy::new(settings, seed, now);
        let mut driver = PolicyDriver {
            policy,
            now,
            timers: vec![],
            gossip_texts: vec![],
            gossip: vec![],
            logs: vec![],
            last_request: 0,
        };
        driver.handle(Event::EndpointUpdate(
            EndpointUpdateKind::Cached,
            endpoints.into(),
        ));
        driver
    }

    /// Handles an event. Timers, messages and logged events are stored; all other actions are returned.
    pub(crate) fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.policy.handle(self.now, event, &mut actions);
        let mut rest = Vec::new();
        for action in actions {
            match action {
                Action::SetTimer {
                    after_ns: after,
                    token,
                } => self.timers.push((self.now + after, token)),
                Action::SendGossip { peer, text } => {
                    self.gossip_texts.push(text.clone());
                    self.gossip.push((peer, text));
                }
                Action::Log(_) => self.logs.push(action),
                action => rest.push(action),
            }
        }
        rest
    }

    /// Moves the clock; timers that are due expire on the way.
    pub(crate) fn advance(&mut self, time: u64) -> Vec<Action> {
        let end = self.now + time;
        let mut all = Vec::new();
        while let Some(first) = (0..self.timers.len()).min_by_key(|index| self.timers[*index]) {
            if self.timers[first].0 > end {
                break;
            }
            let (at, token) = self.timers.swap_remove(first);
            self.now = self.now.max(at);
            all.extend(self.handle(Event::TimerExpired(token)));
        }
        self.now = end;
        all
    }

    pub(crate) fn request(
        &mut self,
        class: ClassId,
        plan: PlanId,
        customer: &str,
        units: f64,
    ) -> (RequestId, Vec<Action>) {
        self.request_with_node_set(3, class, plan, customer, units)
    }

    /// Sends a request of a customer whose node set is the first `node_set_size` nodes.
    pub(crate) fn request_with_node_set(
        &mut self,
        node_set_size: u32,
        class: ClassId,
        plan: PlanId,
        customer: &str,
        units: f64,
    ) -> (RequestId, Vec<Action>) {
        self.last_request += 1;
        let id = RequestId(self.last_request);
        let request = Request {
            id,
            class,
            plan,
            customer: customer.into(),
            units,
            time_left_ns: 2 * SECOND,
            is_retry: false,
            nodes: NodeSet::first_nodes(node_set_size),
        };
        (id, self.handle(Event::Request(request)))
    }

    pub(crate) fn finish_attempt(
        &mut self,
        request: RequestId,
        attempt: u32,
        endpoint: &EndpointId,
        outcome: Outcome,
        latency_ms: u64,
    ) -> Vec<Action> {
        self.handle(Event::AttemptFinished(AttemptResult {
            request,
            attempt,
            endpoint: endpoint.clone(),
            outcome,
            latency_ns: latency_ms * MILLISECOND,
            request_complete: outcome == Outcome::Success,
            settled_units: None,
            load_report: vec![],
        }))
    }

    /// Sends a request every `interval` for `time`; each attempt ends with `outcome` after `latency_ms`. Returns the numbers of
    /// forwarded and of rejected requests.
    pub(crate) fn run_load(
        &mut self,
        class: ClassId,
        plan: PlanId,
        interval: u64,
        time: u64,
        outcome: Outcome,
        latency_ms: u64,
    ) -> (u32, u32) {
        let (mut forwarded, mut rejected) = (0, 0);
        let mut in_flight: Vec<(u64, RequestId, u32, EndpointId)> = Vec::new();
        let end = self.now + time;
        let mut number = 0;
        while self.now < end {
            number += 1;
            let (id, actions) = self.request(class, plan, &format!("c{}", number % 7), 1.0);
            let mut pending = actions;
            let due: Vec<_> = in_flight
                .iter()
                .filter(|attempt| attempt.0 <= self.now)
                .cloned()
                .collect();
            in_flight.retain(|attempt| attempt.0 > self.now);
            for (_, id, attempt, endpoint) in due {
                pending.extend(self.finish_attempt(id, attempt, &endpoint, outcome, latency_ms));
            }
            for action in pending {
                match action {
                    Action::StartAttempt {
                        request, endpoint, ..
                    } => {
                        forwarded += u32::from(request == id);
                        let attempt = u32::from(request != id);
                        let ends_at = self.now + latency_ms * MILLISECOND;
                        in_flight.push((ends_at, request, attempt, endpoint));
                    }
                    Action::Reject { request, .. } => rejected += u32::from(request == id),
                    _ => {}
                }
            }
            self.advance(interval);
        }
        for (_, id, attempt, endpoint) in in_flight {
            self.finish_attempt(id, attempt, &endpoint, outcome, latency_ms);
        }
        (forwarded, rejected)
    }
}

pub(crate) fn attempted_endpoint(actions: &[Action]) -> Option<EndpointId> {
    actions.iter().find_map(|action| match action {
        Action::StartAttempt { endpoint, .. } => Some(endpoint.clone()),
        _ => None,
    })
}

pub(crate) fn is_rejected(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Reject { .. }))
}

/// Six endpoints in three zones.
pub(crate) fn six_endpoints() -> Vec<Endpoint> {
    (0..6)
        .map(|number| endpoint(&format!("b{number}"), number % 3))
        .collect()
}

/// Fraction of 200 requests of one customer that are forwarded, at 40 units per second against a quota of 10.
pub(crate) fn forwarded_fraction(driver: &mut PolicyDriver, customer: &str) -> f64 {
    let mut forwarded = 0;
    for _ in 0..200 {
        let (id, actions) = driver.request(SAFE, PlanId(0), customer, 1.0);
        if let Some(endpoint) = attempted_endpoint(&actions) {
            forwarded += 1;
            driver.finish_attempt(id, 0, &endpoint, Outcome::Success, 20);
        }
        driver.advance(25 * MILLISECOND);
    }
    f64::from(forwarded) / 200.0
}
