//! Measures how a fleet of many real processes leaves a zone that fails, and comes back: on and off, and an earlier program
//! beside them where it is named.

#![expect(
    clippy::excessive_nesting,
    reason = "deep nesting is flattened as the module is reworked"
)]
#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]
#![expect(
    clippy::too_many_lines,
    reason = "long functions are split as the module is reworked"
)]

use std::path::Path;
use std::process::ExitCode;

use applewall_fault_testbed::journal::What;
use applewall_fault_testbed::measure::{verdict, Arguments, Count};
use applewall_fault_testbed::run::{self, Played};

const USAGE: &str = "usage: measure-zones [--before PROGRAM] [--seeds N] [--sizes 24,100]";
/// The zone fails from then on, s, and is back after so many more.
const FAILS: (f64, f64) = (4.0, 5.0);
/// Zones, and of one its limit servers.
const ZONES: usize = 3;
const SERVERS: usize = 7;
/// Served in time meanwhile, from the second second on: the goal.
const SERVED: f64 = 0.95;
/// Requests a second into the zone from then on: what canaries may be.
const CANARIES: f64 = 6.0;

/// One way to fail.
const ROWS: [(&str, &str); 4] = [
    ("says nothing", "mute instance:zone=0"),
    ("takes 2 s", "link instance:zone=0 -> ingress:all delay 2s"),
    ("answers 500 at once", "fails instance:zone=0"),
    ("one server says nothing", "mute instance:0"),
];

fn play(program: &Path, on: bool, fault: &str, size: usize, seed: u64) -> Result<Played, String> {
    let (at, lasts) = FAILS;
    let each = 192.0 / size as f64;
    let text = format!(
        "[trial]\nseed = {seed}\ningresses = {size}\ninstances = {}\nzones = {ZONES}\ntime = 24s\n[ingress]\nknown = old\n\
         [traffic]\nrate = {each}\n{}[faults]\nfails = at {at}s: {fault} for {lasts}s\n",
        ZONES * SERVERS,
        if on { "[operator]\nzones.enabled = on\n" } else { "" },
    );
    run::play_text(&text, program)
}

/// What a play shows.
struct Shown {
    /// Attempts into the zone in each second of its failure.
    into: Vec<usize>,
    /// Ingresses that sent any of them.
    paid: usize,
    /// Served in time while it failed, and in the last three seconds.
    meanwhile: f64,
    late: f64,
    /// Ingresses that left it, and any that left another.
    left: usize,
    wrong: usize,
    /// Seconds of full traffic in the zone again after it was back; none: not within the play.
    back: Option<usize>,
    mail: f64,
}

fn shown(played: &Played) -> Shown {
    let (at, lasts) = FAILS;
    let zone = |from: f64, to: f64| {
        played
            .lines
            .iter()
            .filter(move |l| l.at >= from && l.at < to)
            .filter_map(|l| match l.what {
                What::Attempt {
                    instance, ingress, ..
                } if instance % ZONES == 0 => Some(ingress),
                _ => None,
            })
    };
    let into = (0..lasts as usize)
        .map(|s| zone(at + s as f64, at + s as f64 + 1.0).count())
        .collect();
    let paid: std::collections::BTreeSet<usize> = zone(at, at + lasts).collect();
    let usual = zone(at - 3.0, at).count() as f64 / 3.0;
    let end = at + lasts;
    let back =
        (0..14).find(|s| zone(end + *s as f64, end + *s as f64 + 1.0).count() as f64 > 0.8 * usual);
    let told = |zone: &str| {
        let of = |log: &&String| log.contains(&format!("zones: {zone} left"));
        played.logs.iter().filter(of).count()
    };
    let f = &played.figures;
    Shown {
        into,
        paid: paid.len(),
        meanwhile: f.share_between(at as usize + 1, end as usize),
        late: f.share_between(20, 23),
        left: told("z0"),
        wrong: told("z1") + told("z2"),
        back,
        mail: f.mail.0 as f64 / played.layout.ingresses as f64 / 24.0,
    }
}

fn measure() -> Result<Count, String> {
    let Arguments {
        before,
        seeds,
        sizes,
    } = Arguments::read(USAGE, &[24, 100])?;
    let program = run::program()?;
    println!(
        "| program | ingresses | zone 0 | seed | requests into it, by second | paid | in time meanwhile, at the end | left | wrongly | full again, s | datagrams each a second | cold |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let mut count = Count::default();
    for &size in &sizes {
        for (name, fault) in ROWS {
            for seed in 1..=seeds {
                let mut runs = vec![("on", &program, true), ("off", &program, false)];
                runs.extend(before.as_ref().map(|before| ("before", before, false)));
                for (who, program, on) in runs {
                    let played = play(program, on, fault, size, seed)?;
                    let s = shown(&played);
                    let into: Vec<String> = s.into.iter().map(usize::to_string).collect();
                    println!(
                        "| {who} | {size} | {name} | {seed} | {} | {} | {:.3}, {:.3} | {} | {} | {} | {:.1} | {:.2} |",
                        into.join(" "),
                        s.paid,
                        s.meanwhile,
                        s.late,
                        s.left,
                        s.wrong,
                        s.back.map_or("-".to_string(), |s| s.to_string()),
                        s.mail,
                        played.figures.cold_worst,
                    );
                    if !on {
                        continue;
                    }
                    if !played.valid() {
                        count.none += 1;
                        continue;
                    }
                    count.plays += 1;
                    let fails = !name.starts_with("one server");
                    let into: f64 = s.into[2..].iter().sum::<usize>() as f64 / 3.0;
                    let kept = played.broken.is_empty()
                        && s.wrong == 0
                        && s.meanwhile >= SERVED
                        && if fails { into <= CANARIES } else { s.left == 0 };
                    count.missed += usize::from(!kept);
                    played
                        .broken
                        .iter()
                        .take(5)
                        .for_each(|line| println!("BROKEN {line}"));
                }
            }
        }
    }
    Ok(count)
}

fn main() -> ExitCode {
    verdict(measure())
}
