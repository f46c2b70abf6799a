//! Settings of slow-peer protection: sections `[pace]` and `[bulkheads]` of the operator's file.

use applewall_operator_config::{number, DurationSetting, EnabledFlag, Networks, Size};
use garde::Validate;
use schemars::JsonSchema;
use serde::Deserialize;

/// `[pace]`: minimum data rates and limits on unsent bytes. Rates are in bytes per second.
#[derive(Clone, Debug, Deserialize, Validate, JsonSchema)]
#[serde(default, deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Settings {
    /// Enables slow-peer protection. If off, the other keys of this section have no effect, except that those for outgoing
    /// responses still apply while `[bulkheads]` is enabled.
    pub enabled: EnabledFlag,
    /// Interval between checks of the outgoing responses.
    #[garde(dive, custom(duration_between(10, 1_000)))]
    pub tick: DurationSetting,
    /// Sliding window over which the rate of an outgoing response is measured.
    #[garde(dive, custom(duration_between(100, 60_000)))]
    pub window: DurationSetting,
    /// Age from which an outgoing response has to reach the minimum data rate.
    #[garde(dive)]
    pub grace: DurationSetting,
    /// The same while resources have to be freed, which aborts the worst of the slow connections first. The rate is then
    /// also measured over this time, so it should be longer than the round trip to distant clients.
    #[garde(dive)]
    pub room_grace: DurationSetting,
    /// Minimum data rate of an outgoing response while no resource is scarce.
    pub out_least: Size,
    /// Minimum data rate while all connection slots are in use or `waiting` is reached. The rate rises linearly up to this.
    pub out_least_full: Size,
    /// Fraction of the connection slots or of `waiting` in use from which the minimum data rate rises.
    #[garde(range(min = 0.0, max = 0.99))]
    #[serde(deserialize_with = "number")]
    pub pressure_from: f64,
    /// Maximum unsent response bytes of all clients together. If not set, a fifth of the memory.
    #[garde(inner(custom(size_between(64 << 10, 1 << 40))))]
    pub waiting: Option<Size>,
    /// Size of the kernel's send buffer of a client connection. The kernel allocates twice as much, for its own bookkeeping.
    #[garde(custom(size_between(4 << 10, 16 << 20)))]
    pub send_buffer: Size,
    /// Unsent bytes in the kernel below which more bytes are written to a connection (`TCP_NOTSENT_LOWAT`).
    #[garde(custom(size_between(1 << 10, 16 << 20)))]
    pub not_sent: Size,
    /// Time after its head within which a request body has to be complete.
    #[garde(dive, custom(duration_between(100, 60_000)))]
    pub upload_time: DurationSetting,
    /// Time without new bytes after which an upstream response or a request body counts as stalled.
    #[garde(dive, custom(duration_between(20, 60_000)))]
    pub pause: DurationSetting,
    /// Age from which an incoming transfer may be aborted for its rate.
    #[garde(dive)]
    pub forecast_after: DurationSetting,
    /// An incoming transfer is aborted only if its rate times this factor would not complete it in time.
    #[garde(range(min = 1.0, max = 100.0))]
    #[serde(deserialize_with = "number")]
    pub forecast_slack: f64,
    /// An attempt whose response is slow is aborted only while its request has at least this much time left for a retry.
    #[garde(dive)]
    pub retry_room: DurationSetting,
}

/// Without a configured limit, unsent bytes may use the memory divided by this.
const UNSENT_MEMORY_DIVISOR: u64 = 5;

impl Settings {
    /// Limit on unsent response bytes in a process with this much memory.
    pub fn max_unsent_bytes(&self, memory_bytes: u64) -> u64 {
        self.waiting
            .map_or(memory_bytes / UNSENT_MEMORY_DIVISOR, |size| size.0)
    }
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            enabled: EnabledFlag(false),
            tick: DurationSetting::from_millis(50),
            window: DurationSetting::from_millis(1_000),
            grace: DurationSetting::from_millis(300),
            room_grace: DurationSetting::from_millis(200),
            out_least: Size(1 << 10),
            out_least_full: Size(16 << 10),
            pressure_from: 0.5,
            waiting: None,
            send_buffer: Size(16 << 10),
            not_sent: Size(8 << 10),
            upload_time: DurationSetting::from_millis(2_000),
            pause: DurationSetting::from_millis(400),
            forecast_after: DurationSetting::from_millis(150),
            forecast_slack: 4.0,
            retry_room: DurationSetting::from_millis(150),
        }
    }
}

/// `[bulkheads]`: limits on the resources that one customer or one network may use.
#[derive(Clone, Debug, Deserialize, Validate, JsonSchema)]
#[serde(default, deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct BulkheadSettings {
    /// Enables the limits. If off, the other keys of this section have no effect.
    pub enabled: EnabledFlag,
    /// Maximum fraction of the slots for open requests that one customer may use.
    #[garde(range(min = 0.01, max = 1.0))]
    #[serde(deserialize_with = "number")]
    pub customer_places: f64,
    /// Maximum fraction of the unsent response bytes that one customer may use.
    #[garde(range(min = 0.01, max = 1.0))]
    #[serde(deserialize_with = "number")]
    pub customer_waiting: f64,
    /// Maximum fraction of the connection slots that one network may use.
    #[garde(range(min = 0.01, max = 1.0))]
    #[serde(deserialize_with = "number")]
    pub peer_places: f64,
    /// Maximum fraction of the unsent response bytes that one network may use.
    #[garde(range(min = 0.01, max = 1.0))]
    #[serde(deserialize_with = "number")]
    pub peer_waiting: f64,
    /// Time for which each connection aborted as slow takes one slot from its network. One slot always remains.
    #[garde(dive)]
    pub distrust: DurationSetting,
    /// Prefix length of a network of IPv4 addresses, in bits.
    #[garde(range(min = 8, max = 32))]
    #[serde(deserialize_with = "number")]
    pub ipv4_prefix: u8,
    /// Prefix length of a network of IPv6 addresses, in bits.
    #[garde(range(min = 16, max = 128))]
    #[serde(deserialize_with = "number")]
    pub ipv6_prefix: u8,
    /// Networks without limits, such as those of proxies that carry the traffic of many customers.
    pub exempt: Networks,
}

impl Default for BulkheadSettings {
    fn default() -> Self {
        BulkheadSettings {
            enabled: EnabledFlag(false),
            customer_places: 0.25,
            customer_waiting: 0.25,
            peer_places: 0.5,
            peer_waiting: 0.5,
            distrust: DurationSetting::from_millis(10_000),
            ipv4_prefix: 24,
            ipv6_prefix: 56,
            exempt: Networks::default(),
        }
    }
}

/// Checks that a duration is within bounds, in milliseconds.
fn duration_between(min: u64, max: u64) -> impl FnOnce(&DurationSetting, &()) -> garde::Result {
    let range = DurationSetting::from_millis(min)..=DurationSetting::from_millis(max);
    move |duration, ()| {
        if range.contains(duration) {
            Ok(())
        } else {
            Err(garde::Error::new(format!(
                "not between {min}ms and {max}ms"
            )))
        }
    }
}

/// Checks that a size is within bounds, in bytes.
fn size_between(min: u64, max: u64) -> impl FnOnce(&Size, &()) -> garde::Result {
    move |size, ()| {
        if (min..=max).contains(&size.0) {
            Ok(())
        } else {
            Err(garde::Error::new(format!(
                "not between {min} and {max} bytes"
            )))
        }
    }
}
