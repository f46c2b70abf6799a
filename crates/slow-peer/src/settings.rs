//! Settings of slow-peer protection: sections `[pace]` and `[bulkheads]` of the operator's file.

use applewall_operator_config::{number, DurationSetting, EnabledFlag, Networks, Size};
use garde::Validate;
use schemars::JsonSchema;
use serde::Deserialize;

// A field with a `garde` rule has the name of its key, since garde reports a rejected value by the name of the field and
// ignores `#[garde(rename)]` (version 0.23).

/// `[pace]`: minimum data rates and limits on unsent bytes. Rates are in bytes per second.
#[derive(Clone, Debug, Deserialize, Validate, JsonSchema)]
#[serde(default, deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Settings {
    /// Enables slow-peer protection. If off, the other keys of this section have no effect, except while `[bulkheads]` is
    /// enabled: then `tick`, `window`, `grace`, `room_grace`, `out_least`, `out_least_full`, `pressure_from` and `waiting`
    /// still apply.
    pub enabled: EnabledFlag,
    /// Interval between checks of the outgoing responses.
    #[garde(dive, custom(duration_between(10, 1_000)))]
    pub tick: DurationSetting,
    /// Sliding window over which the rate of an outgoing response is measured.
    #[garde(dive, custom(duration_between(100, 60_000)))]
    pub window: DurationSetting,
    /// Age from which an outgoing response is aborted if its data rate is below the minimum.
    #[garde(dive)]
    pub grace: DurationSetting,
    /// Age from which a slow outgoing response may be aborted because connection slots or unsent bytes have to be freed. Its
    /// data rate is then also measured over this time, so it should be longer than the round trip to distant clients. A
    /// stalled response may be aborted earlier.
    #[garde(dive)]
    pub room_grace: DurationSetting,
    /// Minimum data rate of an outgoing response, in bytes per second, up to the utilization in `pressure_from`.
    #[serde(rename = "out_least")]
    pub min_outgoing_bytes_per_second: Size,
    /// Minimum data rate of an outgoing response, in bytes per second, while all connection slots are in use or `waiting` is
    /// reached. The minimum rises linearly from `out_least` to this value, and a value below `out_least` counts as
    /// `out_least`. While resources have to be freed, this minimum applies to all connections.
    #[serde(rename = "out_least_full")]
    pub min_outgoing_bytes_per_second_at_full_pressure: Size,
    /// Fraction of the connection slots or of `waiting`, whichever is used more, from which the minimum data rate rises.
    #[garde(range(min = 0.0, max = 0.99))]
    #[serde(deserialize_with = "number")]
    pub pressure_from: f64,
    /// Maximum unsent response bytes of all clients together. If not set, a fifth of the memory limit of the process.
    #[garde(inner(custom(size_between(64 << 10, 1 << 40))))]
    pub waiting: Option<Size>,
    /// Size of the kernel's send buffer of a client connection. The kernel allocates twice as much, for its own bookkeeping.
    #[garde(custom(size_between(4 << 10, 16 << 20)))]
    pub send_buffer: Size,
    /// Unsent bytes in the kernel below which more bytes are written to a connection (`TCP_NOTSENT_LOWAT`).
    #[garde(custom(size_between(1 << 10, 16 << 20)))]
    pub not_sent: Size,
    /// Time within which a request body has to be complete, counted from the head of its request.
    #[garde(dive, custom(duration_between(100, 60_000)))]
    pub upload_time: DurationSetting,
    /// Time without new bytes after which an upstream response or a request body counts as stalled. The head of an upstream
    /// response has to be complete within this time from its first byte.
    #[garde(dive, custom(duration_between(20, 60_000)))]
    pub pause: DurationSetting,
    /// Age from which an upstream response or a request body may be aborted as too slow.
    #[garde(dive)]
    pub forecast_after: DurationSetting,
    /// An upstream response or a request body is aborted as too slow only if it could not be complete in time even at its
    /// recent data rate times this factor.
    #[garde(range(min = 1.0, max = 100.0))]
    #[serde(deserialize_with = "number")]
    pub forecast_slack: f64,
    /// An upstream response that is stalled or too slow is aborted only while at least this much time is left for a retry.
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
            min_outgoing_bytes_per_second: Size(1 << 10),
            min_outgoing_bytes_per_second_at_full_pressure: Size(16 << 10),
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

/// `[bulkheads]`: limits on the resources that one customer or one network may use. A network is a range of client addresses
/// with a common prefix. Limits on connections and requests are rounded down, but are at least 1.
#[derive(Clone, Debug, Deserialize, Validate, JsonSchema)]
#[serde(default, deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct BulkheadSettings {
    /// Enables the limits. If off, the other keys of this section have no effect.
    pub enabled: EnabledFlag,
    /// Maximum number of open requests of one customer, as a fraction of the maximum number of client connections.
    #[garde(range(min = 0.01, max = 1.0))]
    #[serde(deserialize_with = "number")]
    pub customer_places: f64,
    /// Maximum unsent response bytes of one customer, as a fraction of `waiting` in `[pace]`.
    #[garde(range(min = 0.01, max = 1.0))]
    #[serde(deserialize_with = "number")]
    pub customer_waiting: f64,
    /// Maximum number of client connections from one network, as a fraction of the maximum of all networks.
    #[garde(range(min = 0.01, max = 1.0))]
    #[serde(deserialize_with = "number")]
    pub peer_places: f64,
    /// Maximum unsent response bytes of one network, as a fraction of `waiting` in `[pace]`.
    #[garde(range(min = 0.01, max = 1.0))]
    #[serde(deserialize_with = "number")]
    pub peer_waiting: f64,
    /// Time for which each client connection that was aborted as slow lowers the maximum number of connections from its
    /// network by one. One connection always remains allowed.
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
    /// Networks without limits of their own, such as those of proxies that carry the traffic of many customers. The limits of
    /// each customer apply there too.
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
