//! What measurements on the rig share: their arguments, and the last line with its verdict.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

use std::path::PathBuf;
use std::process::ExitCode;

/// What a measurement is asked for.
#[derive(Clone, Debug)]
pub struct Arguments {
    /// An earlier program to measure beside this one.
    pub before: Option<PathBuf>,
    /// Seeds of each row.
    pub seeds: u64,
    /// Ingresses of each row.
    pub sizes: Vec<usize>,
}

impl Arguments {
    /// Reads the command line: `--before PROGRAM`, `--seeds N`, `--sizes N,N`; these sizes where none are named.
    ///
    /// # Errors
    ///
    /// What is wrong, with `usage` behind it.
    pub fn read(usage: &str, sizes: &[usize]) -> Result<Self, String> {
        Arguments::parse(lexopt::Parser::from_env(), sizes).map_err(|e| format!("{e}; {usage}"))
    }

    fn parse(mut parser: lexopt::Parser, sizes: &[usize]) -> Result<Self, lexopt::Error> {
        use lexopt::prelude::*;
        let mut all = Arguments {
            before: None,
            seeds: 20,
            sizes: sizes.to_vec(),
        };
        while let Some(arg) = parser.next()? {
            match arg {
                Long("before") => all.before = Some(parser.value()?.into()),
                Long("seeds") => all.seeds = parser.value()?.parse()?,
                Long("sizes") => {
                    let text = parser.value()?.string()?;
                    all.sizes = text
                        .split(',')
                        .map(|n| n.to_string().into())
                        .map(size)
                        .collect::<Result<_, _>>()?;
                }
                other => return Err(other.unexpected()),
            }
        }
        Ok(all)
    }
}

fn size(text: std::ffi::OsString) -> Result<usize, lexopt::Error> {
    lexopt::ValueExt::parse(&text)
}

/// Trials of a measurement by what became of them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Count {
    /// Judged.
    pub plays: usize,
    /// Judged, and beyond a goal.
    pub missed: usize,
    /// Beyond what the machine could play.
    pub none: usize,
}

/// Prints the last line; the status is 0 only where the goal holds.
pub fn verdict(measured: Result<Count, String>) -> ExitCode {
    match measured {
        Err(reason) => {
            eprintln!("{reason}");
            ExitCode::FAILURE
        }
        Ok(Count {
            plays,
            missed,
            none,
        }) => {
            let kept = missed == 0 && plays > 0;
            let word = if kept { "kept" } else { "missed" };
            println!("verdict {word}: {plays} trials judged, {missed} missed, {none} that the machine could not play");
            ExitCode::from(u8::from(!kept))
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn arguments_are_read_and_what_is_wrong_is_named() {
        let read = |args: &[&str]| {
            let parser = lexopt::Parser::from_args(args.iter().copied());
            Arguments::parse(parser, &[24]).map_err(|e| e.to_string())
        };
        let all =
            read(&["--seeds", "3", "--sizes", "24,100", "--before", "old"]).expect("arguments");
        assert_eq!(
            (all.seeds, all.sizes, all.before),
            (3, vec![24, 100], Some("old".into()))
        );
        assert_eq!(read(&[]).expect("defaults").sizes, [24]);
        for wrong in [
            &["--sizes", "24,x"][..],
            &["--seeds", "x"],
            &["--seed", "3"],
            &["--before"],
        ] {
            assert!(read(wrong).is_err(), "{wrong:?}");
        }
    }
}
