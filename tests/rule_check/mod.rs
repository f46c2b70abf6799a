//! Checks rules one to three of the platform at every action of a node under random events: a request gets one response, is
//! retried only where that is allowed, and no attempt goes to a draining endpoint.

use std::collections::BTreeMap;

use applewall::api::*;
use rand::{rngs::SmallRng, Rng, SeedableRng};

use crate::support::policy::*;

const OUTCOMES: [Outcome; 7] = [
    Outcome::Success,
    Outcome::Failure,
    Outcome::Overloaded,
    Outcome::TimedOut,
    Outcome::ConnectFailed,
    Outcome::ConnectionReset,
    Outcome::Cancelled,
];
const ENDPOINTS: usize = 6;
const MAX_ATTEMPTS: usize = 3;
const DEDUPLICATION_WINDOW_NS: u64 = 3 * SECOND;

struct Attempt {
    endpoint: EndpointId,
    started_at_ns: u64,
    /// `None` while it is in flight.
    outcome: Option<Outcome>,
}

impl Attempt {
    fn may_have_executed(&self) -> bool {
        !self.outcome.is_some_and(Outcome::never_executed)
    }
}

/// A request that has no response yet.
struct PendingRequest {
    class: ClassId,
    attempts: Vec<Attempt>,
    deadline_ns: u64,
}

impl PendingRequest {
    fn first_in_flight(&self) -> Option<usize> {
        let is_in_flight = |attempt: &Attempt| attempt.outcome.is_none();
        self.attempts.iter().position(is_in_flight)
    }

    fn first_possibly_executed(&self) -> Option<&Attempt> {
        let mut attempts = self.attempts.iter();
        attempts.find(|attempt| attempt.may_have_executed())
    }
}

/// Whether the settings allow hedged requests.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Hedging {
    Allowed,
    Forbidden,
}

/// A node that handles random events; each of its actions is checked.
pub(crate) struct RuleCheck {
    rng: SmallRng,
    driver: PolicyDriver,
    endpoints: Vec<Endpoint>,
    is_ready: [bool; ENDPOINTS],
    pending: BTreeMap<RequestId, PendingRequest>,
    scope: KeyScope,
    hedging: Hedging,
}

impl RuleCheck {
    pub(crate) fn new(seed: u64, scope: KeyScope, hedging: Hedging) -> Self {
        let mut settings = settings();
        settings.hedging_allowed = hedging == Hedging::Allowed;
        settings.classes[KEYED.0].idempotency = Idempotency::IdempotencyKey {
            scope,
            deduplication_window_ns: DEDUPLICATION_WINDOW_NS,
        };
        let endpoints = six_endpoints();
        RuleCheck {
            rng: SmallRng::seed_from_u64(seed),
            driver: PolicyDriver::new(settings, seed, &endpoints),
            endpoints,
            is_ready: [true; ENDPOINTS],
            pending: BTreeMap::new(),
            scope,
            hedging,
        }
    }

    /// Plays one random event: a request, the end of an attempt, the start or end of a drain, or elapsed time.
    pub(crate) fn step(&mut self) {
        let actions = match self.rng.random_range(0..10) {
            0..=3 => self.send_request(),
            4..=7 => self.end_random_attempt(),
            8 => self.toggle_drain(),
            _ => {
                let elapsed = self.rng.random_range(1..80) * MILLISECOND;
                self.driver.advance(elapsed)
            }
        };
        let now = self.driver.now;
        let expired = |(_, request): &(&RequestId, &PendingRequest)| request.deadline_ns <= now;
        let expired = self.pending.iter().filter(expired).map(|(id, _)| *id);
        let expired: Vec<RequestId> = expired.collect();
        self.check(actions);
        for id in expired {
            self.time_out(id);
        }
    }

    fn send_request(&mut self) -> Vec<Action> {
        let class = ClassId(self.rng.random_range(0..3));
        let plan = PlanId(self.rng.random_range(0..2));
        let customer = format!("c{}", self.rng.random_range(0..9));
        let (id, actions) = self.driver.request(class, plan, &customer, 1.0);
        let request = PendingRequest {
            class,
            attempts: vec![],
            deadline_ns: self.driver.now + 2 * SECOND,
        };
        self.pending.insert(id, request);
        actions
    }

    fn end_random_attempt(&mut self) -> Vec<Action> {
        let index = self.rng.random_range(0..self.pending.len().max(1));
        let Some((id, request)) = self.pending.iter().nth(index) else {
            return vec![];
        };
        let (id, Some(attempt)) = (*id, request.first_in_flight()) else {
            return vec![];
        };
        let outcome = OUTCOMES[self.rng.random_range(0..OUTCOMES.len())];
        let actions = self.finish_attempt(id, attempt, outcome, 50);
        if outcome == Outcome::Success {
            self.pending.remove(&id);
        }
        actions
    }

    fn finish_attempt(
        &mut self,
        id: RequestId,
        attempt: usize,
        outcome: Outcome,
        milliseconds: u64,
    ) -> Vec<Action> {
        let request = self.pending.get_mut(&id).expect("a pending request");
        request.attempts[attempt].outcome = Some(outcome);
        let endpoint = request.attempts[attempt].endpoint.clone();
        self.driver
            .finish_attempt(id, attempt as u32, &endpoint, outcome, milliseconds)
    }

    fn toggle_drain(&mut self) -> Vec<Action> {
        let index = self.rng.random_range(0..ENDPOINTS);
        self.is_ready[index] = !self.is_ready[index];
        let state = match self.is_ready[index] {
            true => EndpointState::Ready,
            false => EndpointState::Draining,
        };
        let endpoint = Endpoint {
            state,
            ..self.endpoints[index].clone()
        };
        self.driver.handle(Event::EndpointUpdate(
            EndpointUpdateKind::Delta,
            [endpoint].into(),
        ))
    }

    /// Times out the attempt in flight of a request at its deadline, and checks that the request gets a response.
    fn time_out(&mut self, id: RequestId) {
        let Some(request) = self.pending.get(&id) else {
            return;
        };
        let attempt = request.first_in_flight();
        let attempt = attempt.expect("a pending request has an attempt in flight");
        let actions = self.finish_attempt(id, attempt, Outcome::TimedOut, 2000);
        self.check(actions);
        assert!(
            !self.pending.contains_key(&id),
            "{id:?} has no response at its deadline"
        );
    }

    fn check(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::StartAttempt {
                    request, endpoint, ..
                } => self.check_attempt(request, endpoint),
                Action::Reject { request, .. } => self.check_rejection(request),
                Action::Fail(request) => {
                    let pending = self.pending.remove(&request);
                    pending.expect("a request gets one response");
                }
                _ => {}
            }
        }
    }

    fn zone(&self, endpoint: &EndpointId) -> ZoneId {
        self.endpoints[self.index(endpoint)].zone
    }

    fn index(&self, endpoint: &EndpointId) -> usize {
        let mut endpoints = self.endpoints.iter();
        let index = endpoints.position(|listed| listed.id == *endpoint);
        index.expect("a listed endpoint")
    }

    fn check_attempt(&mut self, id: RequestId, endpoint: EndpointId) {
        let is_ready = self.is_ready[self.index(&endpoint)];
        assert!(
            is_ready,
            "an attempt of {id:?} at the draining endpoint {endpoint}"
        );
        let request = self.pending.get(&id);
        let request = request.expect("no attempt starts after the response");
        assert!(
            self.hedging == Hedging::Allowed || request.first_in_flight().is_none(),
            "{id:?} has two attempts in flight"
        );
        if let Some(first) = request.first_possibly_executed() {
            self.check_retry(request.class, first, &endpoint);
        }
        let request = self.pending.get_mut(&id).expect("a pending request");
        request.attempts.push(Attempt {
            endpoint,
            started_at_ns: self.driver.now,
            outcome: None,
        });
        let attempts = request.attempts.len();
        assert!(attempts <= MAX_ATTEMPTS, "{id:?} has {attempts} attempts");
    }

    /// Checks an attempt of a request whose attempt `first` may have been executed.
    fn check_retry(&self, class: ClassId, first: &Attempt, endpoint: &EndpointId) {
        assert!(class != UNSAFE, "a retry of a non-idempotent request");
        if class == KEYED {
            assert!(
                self.scope == KeyScope::All || self.zone(&first.endpoint) == self.zone(endpoint),
                "a retry outside the scope of its idempotency key"
            );
            let age_ns = self.driver.now - first.started_at_ns;
            assert!(
                age_ns < DEDUPLICATION_WINDOW_NS,
                "a retry {age_ns} ns after the first attempt, {DEDUPLICATION_WINDOW_NS} allowed"
            );
        }
    }

    fn check_rejection(&mut self, id: RequestId) {
        let request = self.pending.remove(&id);
        let request = request.expect("a request gets one response");
        let is_retry_safe =
            request.class == SAFE || request.class == KEYED && self.scope == KeyScope::All;
        assert!(
            is_retry_safe || request.first_possibly_executed().is_none(),
            "{id:?} is rejected as safe to retry though it may have been executed"
        );
    }
}
