//! A hundred gateways before sixty backends: what each does alone is mild, and what all do together must be too.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

mod common;

use applewall::api::*;
use common::fleet::{pool, well, Fleet, STEP};
use common::*;
use rand::Rng;

const GATEWAYS: u32 = 100;
const BACKENDS: usize = 60;
/// Steps of virtual time in a second.
const SECOND: u64 = S / STEP;

/// How an attempt ends, and after how many milliseconds.
type End<'a> = &'a dyn Fn(&EndpointId, RequestId) -> (Outcome, u64);

fn large(set: PolicySettings) -> PolicySettings {
    PolicySettings {
        node_count: GATEWAYS,
        ..set
    }
}

/// Requests of many calm customers, 8 a second at each gateway.
fn background(fleet: &mut Fleet, end: End<'_>) {
    for _ in 0..16 {
        let me = fleet.rng.random_range(0..GATEWAYS as usize);
        let name = format!("calm{}", fleet.rng.random_range(0..400u32));
        let (_, actions) = fleet.doors[me].ask_of(GATEWAYS, SAFE, 0, &name, 1.0);
        fleet.act(me, &actions, end);
    }
}

/// How many of so many requests a second for one customer of the first plan are sent on in a step. The first gateways
/// of its set get most of them.
fn one(fleet: &mut Fleet, end: End<'_>, name: &str, a_second: f64, spread: u32) -> (u32, u32) {
    let (mut asked, mut sent) = (0, 0);
    let mut due = a_second / SECOND as f64;
    while fleet.rng.random::<f64>() < due {
        due -= 1.0;
        let at = fleet.rng.random::<f64>();
        let me = (at * at * f64::from(spread)) as usize;
        let (_, actions) = fleet.doors[me].ask_of(spread, SAFE, 0, name, 1.0);
        asked += 1;
        sent += u32::from(target(&actions).is_some());
        fleet.act(me, &actions, end);
    }
    (asked, sent)
}

#[test]
fn a_surge_of_one_customer_is_learnt_among_hundreds_of_calm_ones_within_the_receive_limit() {
    let mut sent = 0;
    let mut fleet = Fleet::of(GATEWAYS, 3, large(settings()), BACKENDS);
    for step in 0..6 * SECOND {
        background(&mut fleet, &well);
        if step >= 3 * SECOND {
            sent += one(&mut fleet, &well, "hot", 60.0, 75).1;
        }
        fleet.step(&well);
    }
    // The store of 20, three seconds of 10 each, and what is under way while the keeper learns and speaks.
    assert!(
        (35..=75).contains(&sent),
        "{sent} sent on for a quota of 50"
    );
    let each = f64::from(fleet.delivered) / f64::from(GATEWAYS) / 6.0;
    assert!(each < 40.0, "{each} messages a second taken in by each");
}

/// PolicySettings with a ceiling of twice the quota over the first plan.
fn ceiling() -> PolicySettings {
    let mut set = large(settings());
    let plan = &mut set.plans[0];
    (plan.quota_units_per_second, plan.quota_burst_units) = (10.0, 22.0);
    (
        plan.ceiling_units_per_second,
        plan.ceiling_burst_units,
        plan.ceiling_slack_units,
    ) = (20.0, 44.0, 4.0);
    set.max_request_units = 1.0;
    set
}

#[test]
fn a_ceiling_over_many_gateways_lets_the_busiest_of_them_have_what_the_others_leave() {
    let (mut asked, mut sent) = (0, 0);
    let mut fleet = Fleet::of(GATEWAYS, 5, ceiling(), BACKENDS);
    for step in 0..10 * SECOND {
        background(&mut fleet, &well);
        let (a, s) = one(&mut fleet, &well, "busy", 8.0, 22);
        if step >= 2 * SECOND {
            (asked, sent) = (asked + a, sent + s);
        }
        fleet.step(&well);
    }
    assert!(
        sent * 10 >= asked * 9,
        "{sent} of {asked} sent on, inside the quota and far below the ceiling"
    );
}

#[test]
fn a_ceiling_over_many_gateways_holds_through_a_flood_and_through_most_of_them_restarting() {
    for seed in 0..3 {
        // No quota in the way: the ceiling alone.
        let mut set = ceiling();
        (
            set.plans[0].quota_units_per_second,
            set.plans[0].quota_burst_units,
        ) = (1000.0, 1000.0);
        let mut fleet = Fleet::of(GATEWAYS, seed, set, BACKENDS);
        let (mut store, mut sent, mut least) = (44.0f64, 0, f64::INFINITY);
        for step in 0..12 * SECOND {
            if step == 5 * SECOND {
                (0..70).for_each(|me| fleet.restart(me));
            }
            store = (store + 20.0 / SECOND as f64).min(44.0);
            let passed = one(&mut fleet, &well, "flood", 90.0, 22).1;
            (store, sent) = (store - f64::from(passed), sent + passed);
            least = least.min(store);
            fleet.step(&well);
        }
        assert!(least >= -4.0, "seed {seed}: the store fell to {least}");
        assert!(
            sent >= 150,
            "seed {seed}: {sent} sent on of 240 that the ceiling allows"
        );
    }
}

#[test]
fn a_backlog_that_has_gone_tightens_no_ladder() {
    let list: Vec<Endpoint> = (0..BACKENDS)
        .map(|i| member(&format!("b{i}"), i as u32 % 3))
        .collect();
    let lines = |out: f64| {
        let mut stage = Stage::new(
            PolicySettings {
                gossip_messages_per_second: 40.0,
                ..large(settings())
            },
            3,
            &list,
        );
        for i in 0..40u32 {
            // All answers slow, a fifth timed out, five done an interval of ten; and this much out.
            stage.give(Event::PeerMessage {
                from: 1 + i % 90,
                text: pool([25.0, 20.0, 0.0, 0.0, 5.0, 10.0, out * 10.0, 5.0, 9.0]),
            });
            stage.ask_of(GATEWAYS, SAFE, 1, "wide", 1.0);
            stage.pass(100 * MS);
        }
        stage
            .other
            .iter()
            .filter(|a| format!("{a:?}").contains("ladder F"))
            .count()
    };
    assert!(lines(4.0) > 0, "a backlog of nearly two aims is overload");
    assert_eq!(
        lines(0.5),
        0,
        "what is late was sent long ago, and next to nothing waits"
    );
}

#[test]
fn what_pays_beyond_its_quota_waits_while_the_fleet_is_busy() {
    let list: Vec<Endpoint> = (0..BACKENDS)
        .map(|i| member(&format!("b{i}"), i as u32 % 3))
        .collect();
    let sent = |out: f64| {
        let mut set = PolicySettings {
            gossip_messages_per_second: 40.0,
            ..large(settings())
        };
        (
            set.plans[0].over_quota_weight_fraction,
            set.plans[0].over_quota_penalty_fraction,
        ) = (0.3, 0.0);
        let mut stage = Stage::new(set, 3, &list);
        let mut sent = 0;
        for i in 0..40u32 {
            stage.give(Event::PeerMessage {
                from: 1 + i % 90,
                text: pool([25.0, 0.0, 25.0, 0.0, 0.0, 10.0, out * 10.0, 5.0, 5.0]),
            });
            for _ in 0..3 {
                let (id, actions) = stage.ask_of(GATEWAYS, SAFE, 0, "beyond", 1.0);
                if let Some(to) = target(&actions) {
                    sent += u32::from(i >= 20);
                    stage.end(id, 0, &to, Outcome::Success, 60);
                }
            }
            stage.pass(100 * MS);
        }
        sent
    };
    let (idle, busy) = (sent(0.3), sent(1.2));
    // A quota of ten a second for two seconds; thirty a second are asked for.
    assert!(
        idle >= 50 && busy <= 30,
        "{idle} sent on while idle, {busy} while busy"
    );
}

/// A customer that may have two attempts out at once, with answers of 200 ms: sent on, and of these while two were out.
fn two_at_once(seed: u64) -> (u32, u32) {
    let slow = |_: &EndpointId, _: RequestId| (Outcome::Success, 200);
    let mut set = large(settings());
    (
        set.plans[0].quota_units_per_second,
        set.plans[0].quota_burst_units,
        set.plans[0].max_concurrency,
    ) = (12.0, 14.0, 2);
    let mut fleet = Fleet::of(GATEWAYS, seed, set, BACKENDS);
    let (mut ends, mut sent, mut beyond) = (Vec::new(), 0, 0);
    for step in 0..24 * SECOND {
        background(&mut fleet, &slow);
        ends.retain(|end| *end > fleet.now());
        // Inside the quota's rate; at 200 ms each, more than two are out on the average.
        let passed = one(&mut fleet, &slow, "slow", 11.0, 75).1;
        for _ in 0..passed {
            if step >= 4 * SECOND {
                (sent, beyond) = (sent + 1, beyond + u32::from(ends.len() >= 2));
            }
            ends.push(fleet.now() + 200 * MS);
        }
        fleet.step(&slow);
    }
    (sent, beyond)
}

#[test]
fn a_plan_of_two_attempts_at_once_is_not_sent_more_than_gains_where_answers_are_slow() {
    let (sent, beyond) = two_at_once(7);
    assert!(
        sent >= 60 && beyond * 5 <= sent * 2,
        "{beyond} of {sent} sent while two were out"
    );
}

#[test]
fn what_is_sent_while_all_of_a_plans_attempts_are_out_stays_a_tenth_of_what_is_asked() {
    // Asked for: 11 a second, for 20 s, on each of six seeds.
    let asked = 6 * 20 * 11;
    let (sent, beyond) = (20..26)
        .map(two_at_once)
        .fold((0, 0), |sum, s| (sum.0 + s.0, sum.1 + s.1));
    assert!(
        sent * 3 >= asked && beyond * 10 <= asked,
        "{beyond} of {sent} sent while two were out"
    );
}

#[test]
fn a_customer_that_calms_down_is_not_refused_by_an_old_word() {
    let (mut asked, mut sent) = (0, 0);
    let mut fleet = Fleet::of(GATEWAYS, 9, large(settings()), BACKENDS);
    for step in 0..14 * SECOND {
        background(&mut fleet, &well);
        let surging = (3 * SECOND..5 * SECOND).contains(&step);
        let (a, s) = one(
            &mut fleet,
            &well,
            "calmer",
            if surging { 60.0 } else { 7.0 },
            75,
        );
        // Words to a set of 75 are few: within four seconds there is one, where the store has a half again.
        if step >= 9 * SECOND {
            (asked, sent) = (asked + a, sent + s);
        }
        fleet.step(&well);
    }
    assert!(
        sent * 10 >= asked * 9,
        "{sent} of {asked} sent on long after the surge"
    );
}

/// A hundred stages that know so many backends; each backend's name ends in its number.
fn stages(backends: usize) -> (Vec<Stage>, Vec<Endpoint>) {
    let list: Vec<Endpoint> = (0..backends)
        .map(|i| member(&format!("b{i}"), i as u32 % 3))
        .collect();
    let set = PolicySettings {
        gossip_messages_per_second: 40.0,
        ..large(settings())
    };
    let stage = |me| {
        Stage::new(
            PolicySettings {
                node: me,
                ..set.clone()
            },
            90 + u64::from(me),
            &list,
        )
    };
    ((0..GATEWAYS).map(stage).collect(), list)
}

/// Where so many requests of each go, one after the other.
fn reached(stages: &mut [Stage], each: u32) -> Vec<std::collections::BTreeSet<EndpointId>> {
    let mut reached = vec![std::collections::BTreeSet::new(); stages.len()];
    for (stage, reached) in stages.iter_mut().zip(&mut reached) {
        for _ in 0..each {
            let (id, actions) = stage.ask_of(GATEWAYS, SAFE, 1, "wide", 1.0);
            let to = target(&actions).expect("a calm fleet");
            stage.pass(20 * MS);
            stage.end(id, 0, &to, Outcome::Success, 60);
            reached.insert(to);
        }
    }
    reached
}

#[test]
fn each_gateway_keeps_to_a_part_of_the_backends_and_all_backends_have_as_many_gateways() {
    let (mut stages, mut list) = stages(BACKENDS);
    let before = reached(&mut stages, 150);
    // 60 backends in parts of 12; hardly any other is met.
    let met: usize = before.iter().map(std::collections::BTreeSet::len).sum();
    assert!(
        met <= 14 * GATEWAYS as usize,
        "{met} pairs of a gateway and a backend, 6,000 where all meet all"
    );
    for backend in &list {
        let of = before.iter().filter(|r| r.contains(&backend.id)).count();
        assert!((15..=26).contains(&of), "{of} gateways for {}", backend.id);
    }
    // One is gone and one is new: each gateway's part changes by a few.
    list[7].state = EndpointState::Removed;
    let news: std::sync::Arc<[Endpoint]> = [list[7].clone(), member("b60", 0)].into();
    for stage in &mut stages {
        stage.give(Event::EndpointUpdate(
            EndpointUpdateKind::Delta,
            news.clone(),
        ));
    }
    let after = reached(&mut stages, 150);
    let new: usize = before
        .iter()
        .zip(&after)
        .map(|(b, a)| a.difference(b).count())
        .sum();
    assert!(
        new <= 3 * GATEWAYS as usize,
        "{new} new pairs for one backend changed"
    );
}

#[test]
fn a_part_that_is_sick_as_a_whole_is_left_for_the_others() {
    let (mut stages, _) = stages(BACKENDS);
    let stage = &mut stages[0];
    let own = reached(std::slice::from_mut(stage), 150).remove(0);
    let (mut served, mut asked) = (0, 0);
    for i in 0..200 {
        let (id, actions) = stage.ask_of(GATEWAYS, SAFE, 1, "wide", 1.0);
        let (mut to, mut attempt) = (target(&actions), 0);
        stage.pass(20 * MS);
        while let Some(backend) = to {
            let well = !own.contains(&backend);
            let outcome = if well {
                Outcome::Success
            } else {
                Outcome::ConnectFailed
            };
            served += u32::from(well && i >= 50);
            to = target(&stage.end(id, attempt, &backend, outcome, 5));
            attempt += 1;
        }
        asked += u32::from(i >= 50);
    }
    assert!(
        served * 10 >= asked * 7,
        "{served} of {asked} served while its whole part refuses connections"
    );
}

#[test]
fn a_new_backend_is_known_by_its_kind_of_machine() {
    let mut list: Vec<Endpoint> = (0..12).map(|i| member(&format!("b{i}"), i % 3)).collect();
    list.iter_mut().skip(6).for_each(|m| m.machine_type = 1);
    let set = PolicySettings {
        machine_type_count: 2,
        gossip_messages_per_second: 40.0,
        ..large(settings())
    };
    let mut stage = Stage::new(set, 5, &list);
    let took = |to: &str, fast: &[&str]| if fast.contains(&to) { 60 } else { 180 };
    let fast: Vec<String> = (0..6).chain([12]).map(|i| format!("b{i}")).collect();
    let fast: Vec<&str> = fast.iter().map(String::as_str).collect();
    let play = |stage: &mut Stage, times: u32| {
        let mut to_new = [0u32; 2];
        for _ in 0..times {
            let (id, actions) = stage.ask_of(GATEWAYS, SAFE, 1, "wide", 1.0);
            let Some(to) = target(&actions) else { continue };
            stage.pass(20 * MS);
            stage.end(id, 0, &to, Outcome::Success, took(&to, &fast));
            to_new[0] += u32::from(&*to == "b12");
            to_new[1] += u32::from(&*to == "b13");
        }
        to_new
    };
    play(&mut stage, 400);
    // Both are warm and were never met; what they are made of is all that tells them apart.
    let mut news = [member("b12", 0), member("b13", 1)];
    (news[0].started_at_ns, news[1].started_at_ns) = (Some(1), Some(1));
    news[1].machine_type = 1;
    stage.give(Event::EndpointUpdate(
        EndpointUpdateKind::Delta,
        news.to_vec().into(),
    ));
    let [new_fast, new_slow] = play(&mut stage, 120);
    assert!(
        new_fast >= 2 * new_slow,
        "{new_fast} to the new fast one, {new_slow} to the new slow one"
    );
}

#[test]
fn a_loss_that_the_list_tells_counts_at_once_in_what_the_fleet_carries() {
    let list: Vec<Endpoint> = (0..BACKENDS)
        .map(|i| member(&format!("b{i}"), i as u32 % 3))
        .collect();
    let refusals = |gone: usize| {
        let mut stage = Stage::new(
            PolicySettings {
                gossip_messages_per_second: 40.0,
                ..large(settings())
            },
            3,
            &list,
        );
        let mut refusals = 0;
        for i in 0..60u32 {
            // 9 a second carried by each gateway's part, and work for a fifth of the aim out.
            let part = pool([25.0, 0.0, 25.0, 0.0, 0.0, 10.0, 15.0, 9.0, 9.0]);
            stage.give(Event::PeerMessage {
                from: 1 + i % 90,
                text: part,
            });
            if i == 40 {
                let mut news = list[..gone].to_vec();
                news.iter_mut()
                    .for_each(|m| m.state = EndpointState::Removed);
                stage.give(Event::EndpointUpdate(
                    EndpointUpdateKind::Delta,
                    news.into(),
                ));
            }
            for _ in 0..1 + i % 2 {
                let (id, actions) = stage.ask_of(GATEWAYS, SAFE, 1, "wide", 1.0);
                refusals += u32::from((42..52).contains(&i) && refused(&actions));
                if let Some(to) = target(&actions) {
                    stage.end(id, 0, &to, Outcome::Success, 60);
                }
            }
            stage.pass(100 * MS);
        }
        refusals
    };
    let (whole, shrunk) = (refusals(0), refusals(45));
    assert!(
        whole <= 1 && shrunk >= 5,
        "{whole} of 15 refused by a whole fleet, {shrunk} by a quarter of it"
    );
}

/// How many of eight requests a second at each gateway go to instance `b0`, and to all, from a second to another.
fn sent_to_the_first(seed: u64, end: End<'_>, from: u64, to: u64) -> (u32, u32) {
    let mut fleet = Fleet::of(GATEWAYS, seed, large(settings()), BACKENDS);
    let (mut first, mut all) = (0, 0);
    for step in 0..to * SECOND {
        for _ in 0..16 {
            let me = fleet.rng.random_range(0..GATEWAYS as usize);
            let (_, actions) = fleet.doors[me].ask_of(GATEWAYS, SAFE, 1, "wide", 1.0);
            if let Some(to) = target(&actions).filter(|_| step >= from * SECOND) {
                all += 1;
                first += u32::from(&*to == "b0");
            }
            fleet.act(me, &actions, end);
        }
        fleet.step(end);
    }
    (first, all)
}

#[test]
fn an_instance_that_refuses_a_connect_in_four_at_a_full_table_is_no_dead_one() {
    let end = |to: &EndpointId, id: RequestId| match &**to {
        "b0" if id.0.is_multiple_of(4) => (Outcome::ConnectFailed, 1),
        _ => (Outcome::Success, 60),
    };
    let (full, all) = sent_to_the_first(15, &end, 4, 20);
    let fair = all / BACKENDS as u32;
    assert!(
        full * 5 >= fair * 2,
        "{full} sent to the one with a full table, {fair} is a fair share"
    );
    assert!(
        full <= fair,
        "{full} sent to it, more than the fair share of {fair}"
    );
}

#[test]
fn an_instance_that_fails_whatever_it_gets_is_found_though_each_meets_it_a_few_times_a_minute() {
    let end = |to: &EndpointId, _: RequestId| match &**to {
        "b0" => (Outcome::Failure, 5),
        _ => (Outcome::Success, 60),
    };
    let (bad, all) = sent_to_the_first(17, &end, 20, 30);
    let fair = all / BACKENDS as u32;
    assert!(
        bad * 2 <= fair,
        "{bad} sent to an instance that serves none, {fair} is a fair share"
    );
}
