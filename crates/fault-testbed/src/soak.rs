//! Random schedules of overlapping faults, generated from a seed, and the reduction of a failing schedule to the faults that it
//! needs to fail.
//!
//! Input: a seed. Output: the text of a trial file, which `play` can repeat. Invariant: the same seed generates the same
//! schedule. Links between ingresses and limit servers are reset and never delayed: an attempt that a proxy delays could arrive
//! after its client has left, for which the daemon is not responsible.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};

/// Start times of the clusters of faults, in milliseconds. The faults of a cluster overlap.
const CLUSTERS_MS: [u64; 2] = [1_500, 6_000];
/// Number of faults in a cluster.
const FAULTS_PER_CLUSTER: usize = 3;
/// Time within which the faults of a cluster begin.
const CLUSTER_WIDTH_MS: u64 = 1_500;
/// Range of the duration of a fault, in milliseconds.
const DURATION_MS: std::ops::Range<u64> = 300..3_000;

/// Range of the start times of the shutdown and of the first reload, in milliseconds.
const SHUTDOWN_MS: std::ops::Range<u64> = 1_500..6_500;
/// Number of reloads in quick succession.
const RELOADS: usize = 3;
/// Time within which these reloads happen.
const RELOADS_WIDTH_MS: u64 = 150;

/// Probability of a crowd in a schedule.
const CROWD_PROBABILITY: f64 = 0.4;
/// Deadlines of the requests, in milliseconds, in turn by seed: the platform's usual one, and shorter ones, with which the
/// kill of a shutdown comes sooner.
const DEADLINES_MS: [u64; 3] = [3_000, 1_200, 600];

/// Kinds of the faults in a cluster, by the names under which their coverage is counted.
const KINDS: [&str; 17] = [
    "term",
    "kill",
    "reload",
    "hold",
    "clock",
    "accept",
    "connect",
    "socket",
    "list",
    "list-link",
    "gossip",
    "instance-link",
    "restart",
    "replace",
    "drain",
    "mute",
    "spoil",
];

/// The faults of a schedule: name and line of each, as in a trial file.
pub type Schedule = BTreeMap<String, String>;

/// Sizes of the trials.
#[derive(Clone, Copy, Debug)]
pub struct SoakSizes {
    /// Number of ingresses (real processes).
    pub ingresses: usize,
    /// Number of limit servers (fakes).
    pub instances: usize,
}

/// Generates the schedule of a seed.
pub fn draw(seed: u64, sizes: SoakSizes) -> Schedule {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut schedule = Schedule::new();
    for begin_ms in CLUSTERS_MS {
        let mut kinds = KINDS;
        let (drawn, _) = kinds.partial_shuffle(&mut rng, FAULTS_PER_CLUSTER);
        for kind in drawn {
            let at_ms = begin_ms + rng.random_range(0..CLUSTER_WIDTH_MS);
            let duration_ms = rng.random_range(DURATION_MS);
            let effect = effect(kind, sizes, duration_ms, &mut rng);
            let name = format!("{}-{kind}", schedule.len());
            schedule.insert(name, format!("at {at_ms}ms: {effect}"));
        }
    }
    add_shutdown(&mut schedule, sizes, &mut rng);
    add_reloads(&mut schedule, &mut rng);
    add_crowd(&mut schedule, sizes, &mut rng);
    schedule
}

/// Adds a crowd of bad clients at an ingress and the next one to some schedules: the shutdown may hit them too.
fn add_crowd(schedule: &mut Schedule, sizes: SoakSizes, rng: &mut SmallRng) {
    if !rng.random_bool(CROWD_PROBABILITY) {
        return;
    }
    let first = rng.random_range(0..sizes.ingresses);
    let second = (first + 1) % sizes.ingresses;
    schedule.insert(
        format!("{}-crowd", schedule.len()),
        format!("at 1s: crowd ingress:{first}+ingress:{second} for 8s"),
    );
}

/// Adds a shutdown of two ingresses, as the platform performs it, to every schedule.
fn add_shutdown(schedule: &mut Schedule, sizes: SoakSizes, rng: &mut SmallRng) {
    let at_ms = rng.random_range(SHUTDOWN_MS);
    let first = rng.random_range(0..sizes.ingresses);
    let second = (first + 1) % sizes.ingresses;
    let effect = format!("shutdown ingress:{first}+ingress:{second} and start after 100ms current");
    schedule.insert(
        format!("{}-shutdown", schedule.len()),
        format!("at {at_ms}ms: {effect}"),
    );
}

/// Adds reloads of all ingresses in quick succession.
fn add_reloads(schedule: &mut Schedule, rng: &mut SmallRng) {
    let first_ms = rng.random_range(SHUTDOWN_MS);
    for _ in 0..RELOADS {
        let at_ms = first_ms + rng.random_range(0..RELOADS_WIDTH_MS);
        schedule.insert(
            format!("{}-reload", schedule.len()),
            format!("at {at_ms}ms: reload ingress:all"),
        );
    }
}

/// A random fault of a kind, with its duration.
fn effect(kind: &str, sizes: SoakSizes, duration_ms: u64, rng: &mut SmallRng) -> String {
    let ingress = format!("ingress:{}", rng.random_range(0..sizes.ingresses));
    let instance = format!("instance:{}", rng.random_range(0..sizes.instances));
    let some = ["ingress:0.3", "ingress:0.6", "ingress:all"];
    let some = some.choose(rng).copied().unwrap_or("ingress:all");
    let known = ["none", "old", "current"]
        .choose(rng)
        .copied()
        .unwrap_or("current");
    let one_in = rng.random_range(5..40);
    match kind {
        "term" => format!("term ingress:0.3 and start after 100ms {known}"),
        "kill" => format!("kill ingress:0.3 and start after 200ms {known}"),
        "reload" => format!("reload {some}"),
        "hold" => format!("hold {some} for 150ms"),
        "clock" => {
            let direction = ["ahead", "back"].choose(rng).copied().unwrap_or("back");
            let step = ["5s", "1h"].choose(rng).copied().unwrap_or("5s");
            format!("clock {direction} {step}")
        }
        "accept" | "connect" | "socket" => format!("calls {kind} {one_in} for {duration_ms}ms"),
        "list" => {
            let effects = ["silent", "turns away 0.8", "breaks 0.5"];
            let effect = effects.choose(rng).copied().unwrap_or("silent");
            format!("list {effect} for {duration_ms}ms")
        }
        // Never silent: the journal records a list response when the list service sends it, not when it arrives, so removals
        // would count as notified too early.
        "list-link" => format!("link list -> {some} delay 200ms for {duration_ms}ms"),
        "gossip" => {
            format!("link {ingress} <-> ingress:all loss 0.5 twice 0.2 for {duration_ms}ms")
        }
        "instance-link" => format!("link {some} <-> {instance} reset for {duration_ms}ms"),
        "mute" | "spoil" => format!("{kind} {instance} for {duration_ms}ms"),
        _ => format!("{kind} {instance}"),
    }
}

/// The text of the trial that plays a schedule.
pub fn trial_text(seed: u64, sizes: SoakSizes, schedule: &Schedule) -> String {
    let mut text = format!(
        "[trial]\nseed = {seed}\ntime = 11s\ningresses = {}\ninstances = {}\nzones = 2\nready = 1.0\narrivals = on\n\n\
         [ingress]\nknown = current\n\n[instance]\nwork = 120ms\ncold_time = 40s\ncold_share = 0.03\n\n\
         [traffic]\nrate = 8\ncustomers = 200\nspread = 4\nquota = 100\nagain = 0.5\nleave = 0.1\nhalf = 0.02\npatience = {}ms\n\n[faults]\n",
        sizes.ingresses,
        sizes.instances,
        DEADLINES_MS[seed as usize % DEADLINES_MS.len()],
    );
    for (name, line) in schedule {
        // Writing into a string does not fail.
        let _ = writeln!(text, "{name} = {line}");
    }
    text
}

/// Leaves out each fault in turn, permanently if the trial still fails without it.
pub fn shrink(schedule: &Schedule, mut fails: impl FnMut(&Schedule) -> bool) -> Schedule {
    let mut smallest = schedule.clone();
    for name in schedule.keys() {
        let mut without = smallest.clone();
        without.remove(name);
        if fails(&without) {
            smallest = without;
        }
    }
    smallest
}

/// The kind of a fault, from its name.
pub fn kind_of(name: &str) -> &str {
    name.split_once('-').map_or(name, |(_, kind)| kind)
}

#[cfg(test)]
mod tests;
