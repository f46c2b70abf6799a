//! The ingress as a program: reads the command line and starts.

mod net;

use std::process::ExitCode;

const USAGE: &str = "usage: applewall serve | check | version | help";

enum Call {
    Serve,
    Check,
    Version,
    Help,
}

fn call() -> Result<Call, String> {
    use lexopt::prelude::*;
    let mut parser = lexopt::Parser::from_env();
    let mut call = None;
    while let Some(arg) = parser.next().map_err(|e| e.to_string())? {
        let next = match arg {
            Long("help") | Short('h') => Call::Help,
            Long("version") | Short('V') => Call::Version,
            Value(word) if call.is_none() => match word.to_str() {
                Some("serve") => Call::Serve,
                Some("check") => Call::Check,
                Some("version") => Call::Version,
                Some("help") => Call::Help,
                _ => return Err(format!("unknown sub-command '{}'; {USAGE}", word.to_string_lossy())),
            },
            other => return Err(format!("{}; {USAGE}", other.unexpected())),
        };
        call = Some(next);
    }
    call.ok_or_else(|| USAGE.to_string())
}

fn run() -> Result<(), String> {
    match call()? {
        Call::Serve => net::serve(net::config::Config::from_env()?),
        Call::Check => {
            println!("{}", net::config::Config::from_env()?.summary());
            Ok(())
        }
        Call::Version => {
            println!("applewall {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Call::Help => {
            println!("{USAGE}\n\nserve    run the ingress that GW_CONFIG describes, until SIGTERM");
            println!("check    read GW_CONFIG and say what it describes\nversion  print the version");
            Ok(())
        }
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(reason) => {
            net::log(format_args!("{reason}"));
            ExitCode::FAILURE
        }
    }
}
