//! Converts the settings of a trial file to the types of the modules that run and check the trial.

use std::time::Duration;

use applewall_operator_config::DurationSetting;

use super::Trial;
use crate::capacity::ServerModel;
use crate::check::{Ceiling, CheckerSettings, SOCKET_TOLERANCE_SECONDS};
use crate::clients::ClientBehavior;
use crate::instance::StartTime;
use crate::list_service::ListServiceLimits;
use crate::topology::Topology;

/// Scheduling delay of the testbed beyond which a trial gives no verdict: the platform's time limits are of the same order.
const MAX_SCHEDULING_DELAY_MS: u64 = 150;
/// Seconds after the notice of a drain from which on the platform allows no new requests to the instance.
const DRAIN_SECONDS: f64 = 0.5;
/// Burst of a ceiling, in seconds of its rate.
const CEILING_BURST_SECONDS: f64 = 2.0;
/// Excess over a ceiling that the platform tolerates, in seconds of its rate; at least [`MIN_TOLERATED_UNITS`].
const CEILING_TOLERANCE_SECONDS: f64 = 0.2;
const MIN_TOLERATED_UNITS: f64 = 1.0;
/// Load, as a multiple of its capacity, that makes a limit server fail while it warms up; from the platform's description.
const OVERLOAD_MULTIPLE: f64 = 2.5;
/// Seconds over which that load is measured.
const OVERLOAD_WINDOW_SECONDS: f64 = 3.0;

impl Trial {
    /// Numbers of ingresses, limit servers and zones.
    pub fn topology(&self) -> Topology {
        Topology {
            ingresses: self.trial.ingresses,
            instances: self.trial.instances,
            zones: self.trial.zones,
        }
    }

    /// The ceiling of each customer.
    pub fn ceiling(&self) -> Ceiling {
        let units_per_second = self.traffic.ceiling;
        let tolerated_units = if units_per_second > 0.0 {
            (CEILING_TOLERANCE_SECONDS * units_per_second).max(MIN_TOLERATED_UNITS)
        } else {
            0.0
        };
        Ceiling {
            units_per_second,
            burst_units: CEILING_BURST_SECONDS * units_per_second,
            tolerated_units,
        }
    }

    /// Capacity and limits of the limit servers.
    pub fn server_model(&self) -> ServerModel {
        let servers = &self.instance;
        ServerModel {
            cores: servers.cores,
            max_requests: servers.room,
            request_seconds: servers.work.0.as_secs_f64(),
            connection_seconds: servers.dial.0.as_secs_f64(),
            max_connections: servers.connections,
            slow_start_fraction: servers.cold_share,
            warmup_seconds: servers.cold_time.0.as_secs_f64(),
            overload_multiple: OVERLOAD_MULTIPLE,
            overload_window_seconds: OVERLOAD_WINDOW_SECONDS,
        }
    }

    /// Whether the initial limit servers have just started or ran before the trial.
    pub fn instance_start(&self) -> StartTime {
        if self.instance.cold.0 {
            StartTime::Now
        } else {
            StartTime::LongAgo
        }
    }

    /// Limits of the list service.
    pub fn list_service_limits(&self) -> ListServiceLimits {
        let duration =
            |setting: Option<DurationSetting>| setting.map_or(Duration::ZERO, |setting| setting.0);
        ListServiceLimits {
            requests_per_second: self.list.calls_per_s,
            rejection_delay: duration(self.list.turned_after),
            retry_after: duration(self.list.retry_after),
        }
    }

    /// Request rate and behavior of the clients.
    pub fn client_behavior(&self) -> ClientBehavior {
        let traffic = &self.traffic;
        ClientBehavior {
            requests_per_second: traffic.rate,
            customers: traffic.customers,
            ingresses_per_customer: traffic.spread,
            retry_probability: traffic.again,
            leave_probability: traffic.leave,
            half_probability: traffic.half,
            timeout: traffic.patience.0,
        }
    }

    /// Settings of the checkers.
    pub fn checker_settings(&self) -> CheckerSettings {
        CheckerSettings {
            model: self.server_model(),
            drain_seconds: DRAIN_SECONDS + SOCKET_TOLERANCE_SECONDS,
            ceiling: self.ceiling(),
            checks_arrivals: self.trial.arrivals.0,
            timeout_seconds: self.traffic.patience.0.as_secs_f64(),
            wanted_seconds: self.traffic.wanted.0.as_secs_f64(),
            max_scheduling_delay_ms: MAX_SCHEDULING_DELAY_MS,
        }
    }
}
