//! The ingress as a program: reads the command line and starts.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

mod admin;
mod clock;
mod config;
mod counting_io;
mod discovery;
mod engine;
mod headers;
mod lifecycle;
mod limits;
mod logging;
mod peer_socket;
mod resource_budget;
mod serve;
mod server;
mod upstream;

use std::process::ExitCode;

const USAGE: &str =
    "usage: applewall serve | check [--operator FILE] | schema [operator | registry] | version | help";

enum Call {
    Serve,
    Check,
    /// Of the operator's file, or of a registry's values.
    Schema(bool),
    Version,
    Help,
}

/// The sub-command, and the operator's own file.
fn call() -> Result<(Call, Option<String>), String> {
    use lexopt::prelude::*;
    let mut parser = lexopt::Parser::from_env();
    let (mut call, mut operator) = (None, None);
    while let Some(arg) = parser.next().map_err(|e| e.to_string())? {
        let next = match arg {
            Long("help") | Short('h') => Call::Help,
            Long("operator") if operator.is_none() => {
                let file = parser
                    .value()
                    .and_then(lexopt::ValueExt::string)
                    .map_err(|e| e.to_string())?;
                operator = Some(file);
                continue;
            }
            Long("version") | Short('V') => Call::Version,
            Value(word) if call.is_none() => match word.to_str() {
                Some("serve") => Call::Serve,
                Some("check") => Call::Check,
                Some("schema") => Call::Schema(false),
                Some("version") => Call::Version,
                Some("help") => Call::Help,
                _ => {
                    return Err(format!(
                        "unknown sub-command '{}'; {USAGE}",
                        word.to_string_lossy()
                    ))
                }
            },
            Value(word)
                if matches!(call, Some(Call::Schema(_)))
                    && (word == "operator" || word == "registry") =>
            {
                Call::Schema(word == "registry")
            }
            other => return Err(format!("{}; {USAGE}", other.unexpected())),
        };
        call = Some(next);
    }
    Ok((call.ok_or_else(|| USAGE.to_string())?, operator))
}

fn run() -> Result<(), String> {
    let (call, file) = call()?;
    let operator = || {
        config::operator::OperatorConfig::read(file.as_deref()).map_err(|error| error.to_string())
    };
    match call {
        Call::Serve => {
            let operator = operator()?;
            logging::init(operator.log.format);
            serve::serve(
                config::platform::PlatformConfig::from_env().map_err(|error| error.to_string())?,
                operator,
                file.clone(),
            )
        }
        Call::Check => {
            let operator = operator()?;
            println!(
                "{}",
                config::platform::PlatformConfig::from_env()
                    .map_err(|error| error.to_string())?
                    .summary()
            );
            if let Some(file) = &file {
                println!("{file}: {} on", operator.summary());
            }
            Ok(())
        }
        Call::Schema(registry) => {
            let schema = if registry {
                applewall_membership::schema()
            } else {
                config::operator::OperatorConfig::schema()
            };
            println!("{schema}");
            Ok(())
        }
        Call::Version => {
            println!("applewall {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Call::Help => {
            println!("{USAGE}\n\nserve    run the ingress that GW_CONFIG describes, until SIGTERM");
            println!("check    read GW_CONFIG and say what it describes");
            println!("schema   print the JSON Schema of the operator's file, or of a registry's values\nversion  print the version");
            Ok(())
        }
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(reason) => {
            // Before the operator's file is read, text is the form of the log.
            logging::init(logging::LogFormat::Text);
            tracing::error!("{reason}");
            ExitCode::FAILURE
        }
    }
}
