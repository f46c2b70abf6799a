//! Command line: parses the arguments and runs the sub-command.
//!
//! The node starts only after the arguments and both configuration files have been validated.

use std::ffi::OsString;

use crate::config::operator::OperatorConfig;
use crate::config::platform::PlatformConfig;
use crate::config::ConfigError;
use crate::observability::logging;
use crate::serve::{self, ServeError};

const USAGE: &str =
    "usage: applewall serve | check [--operator FILE] | schema [operator | registry] | version | help";

/// Error in the command line.
#[derive(Debug, thiserror::Error)]
pub(crate) enum UsageError {
    /// No argument is a sub-command, `--help` or `--version`.
    #[error("{USAGE}")]
    NoCommand,
    /// The first argument is not a sub-command.
    #[error("unknown sub-command '{}'; {USAGE}", .0.to_string_lossy())]
    UnknownCommand(OsString),
    /// The sub-command does not take this argument.
    #[error("{0}; {USAGE}")]
    UnexpectedArgument(#[source] lexopt::Error),
    /// An argument or its value is malformed.
    #[error(transparent)]
    Malformed(#[from] lexopt::Error),
}

/// Error of a sub-command.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    /// The command line is not valid.
    #[error(transparent)]
    Usage(#[from] UsageError),
    /// `check` found the configuration invalid.
    #[error(transparent)]
    Check(#[from] ConfigError),
    /// The node could not start, or ended without a stop signal.
    #[error(transparent)]
    Serve(#[from] ServeError),
}

/// The format for which `schema` prints the JSON Schema.
enum SchemaSubject {
    OperatorFile,
    RegistryValue,
}

/// A sub-command.
enum Command {
    Serve,
    Check,
    Schema(SchemaSubject),
    Version,
    Help,
}

struct Arguments {
    command: Command,
    /// The path of the operator's file, if given.
    operator_path: Option<String>,
}

impl Arguments {
    fn parse() -> Result<Self, UsageError> {
        use lexopt::prelude::{Long, Short, Value};
        let mut parser = lexopt::Parser::from_env();
        let (mut command, mut operator_path) = (None, None);
        while let Some(argument) = parser.next()? {
            let next = match argument {
                Long("help") | Short('h') => Command::Help,
                Long("version") | Short('V') => Command::Version,
                Long("operator") if operator_path.is_none() => {
                    let path = parser.value().and_then(lexopt::ValueExt::string)?;
                    operator_path = Some(path);
                    continue;
                }
                Value(name) if command.is_none() => parse_command(name)?,
                Value(name)
                    if matches!(command, Some(Command::Schema(_))) && name == "operator" =>
                {
                    Command::Schema(SchemaSubject::OperatorFile)
                }
                Value(name)
                    if matches!(command, Some(Command::Schema(_))) && name == "registry" =>
                {
                    Command::Schema(SchemaSubject::RegistryValue)
                }
                other => return Err(UsageError::UnexpectedArgument(other.unexpected())),
            };
            command = Some(next);
        }
        let command = command.ok_or(UsageError::NoCommand)?;
        Ok(Arguments {
            command,
            operator_path,
        })
    }
}

fn parse_command(name: OsString) -> Result<Command, UsageError> {
    match name.to_str() {
        Some("serve") => Ok(Command::Serve),
        Some("check") => Ok(Command::Check),
        Some("schema") => Ok(Command::Schema(SchemaSubject::OperatorFile)),
        Some("version") => Ok(Command::Version),
        Some("help") => Ok(Command::Help),
        _ => Err(UsageError::UnknownCommand(name)),
    }
}

/// Parses the command line and runs the sub-command.
///
/// # Errors
///
/// The command line or the configuration is not valid, or the node failed.
pub(crate) fn run() -> Result<(), CommandError> {
    let Arguments {
        command,
        operator_path,
    } = Arguments::parse()?;
    match command {
        Command::Serve => serve(operator_path)?,
        Command::Check => check(operator_path.as_deref())?,
        Command::Schema(SchemaSubject::OperatorFile) => println!("{}", OperatorConfig::schema()),
        Command::Schema(SchemaSubject::RegistryValue) => {
            println!("{}", applewall_membership::schema());
        }
        Command::Version => println!("applewall {}", env!("CARGO_PKG_VERSION")),
        Command::Help => print_help(),
    }
    Ok(())
}

/// Reads the configuration and runs the node. The operator's file determines the format of the log.
fn serve(operator_path: Option<String>) -> Result<(), ServeError> {
    let operator_config = OperatorConfig::read(operator_path.as_deref())?;
    logging::init(operator_config.log.format);
    let platform_config = PlatformConfig::from_env()?;
    serve::serve(platform_config, operator_config, operator_path)
}

/// Reads the configuration and prints a summary of it.
fn check(operator_path: Option<&str>) -> Result<(), ConfigError> {
    let operator_config = OperatorConfig::read(operator_path)?;
    println!("{}", PlatformConfig::from_env()?.summary());
    if let Some(path) = operator_path {
        println!("{path}: {} on", operator_config.summary());
    }
    Ok(())
}

fn print_help() {
    println!("{USAGE}\n\nserve    run the ingress configured by GW_CONFIG until SIGTERM");
    println!("check    validate the configuration and print a summary of it");
    println!("schema   print the JSON Schema of the operator's file or of the registry's values");
    println!("version  print the version");
}
