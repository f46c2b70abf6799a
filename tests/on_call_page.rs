//! The tables of events in docs/on-call.md have every event that the program logs, with its level, and no other.

use std::collections::BTreeSet;
use std::fmt;
use std::fs;
use std::path::{Path, PathBuf};

const PAGE: &str = include_str!("../docs/on-call.md");
/// Heading of the page's section of events.
const EVENTS_HEADING: &str = "## All events";
/// Heading of the page's table of events whose message has variable text, since other programs read these lines.
const FIXED_FORM_HEADING: &str = "### Lines whose form others read";
const LEVELS: [&str; 4] = ["error", "warn", "info", "debug"];
/// Crates that are not part of the daemon.
const TOOLS: [&str; 3] = ["fakes", "fault-testbed", "fault-shim"];

/// An event in the code or on the page. Variable text in a message is `…`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LoggedEvent {
    level: String,
    message: String,
}

impl fmt::Display for LoggedEvent {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} `{}`", self.level, self.message)
    }
}

fn event(level: &str, message: &str) -> LoggedEvent {
    LoggedEvent {
        level: level.to_string(),
        message: message.to_string(),
    }
}

/// Splits the arguments of a macro call at top-level commas; `text` begins after the opening parenthesis.
fn macro_arguments(text: &str) -> Vec<String> {
    let (mut arguments, mut argument) = (Vec::new(), String::new());
    let (mut depth, mut in_string, mut is_escaped) = (0, false, false);
    for char in text.chars() {
        if in_string {
            in_string = is_escaped || char != '"';
            is_escaped = !is_escaped && char == '\\';
            argument.push(char);
            continue;
        }
        match char {
            ')' if depth == 0 => break,
            ',' if depth == 0 => {
                arguments.push(std::mem::take(&mut argument));
                continue;
            }
            '(' | '[' | '{' => depth += 1,
            ')' | ']' | '}' => depth -= 1,
            '"' => in_string = true,
            _ => {}
        }
        argument.push(char);
    }
    arguments.push(argument);
    arguments
        .iter()
        .map(|argument| argument.trim().to_string())
        .collect()
}

/// Replaces each `{placeholder}` of a message by `…`.
fn without_placeholders(message: &str) -> String {
    let mut parts = message.split('{');
    let first = parts.next().unwrap_or_default().to_string();
    parts.fold(first, |text, part| {
        let rest = part.split_once('}').map_or("", |(_, rest)| rest);
        format!("{text}…{rest}")
    })
}

/// The message of a call of a `tracing` macro: its only top-level argument that is a string literal.
fn message(arguments: &[String]) -> Option<String> {
    let literal = arguments
        .iter()
        .find_map(|argument| argument.strip_prefix('"')?.strip_suffix('"'))?;
    Some(without_placeholders(literal))
}

/// Removes lines that are comments.
fn without_comments(source: &str) -> String {
    let is_code = |line: &&str| !line.trim_start().starts_with("//");
    source
        .lines()
        .filter(is_code)
        .collect::<Vec<_>>()
        .join("\n")
}

/// The events that a source file logs.
///
/// # Panics
///
/// An event has no message.
fn events_in_source(source: &str) -> BTreeSet<LoggedEvent> {
    let code = without_comments(source);
    let mut events = BTreeSet::new();
    for level in LEVELS {
        let call = format!("{level}!(");
        for (start, _) in code.match_indices(&call) {
            let is_other_macro =
                code[..start].ends_with(|char: char| char.is_alphanumeric() || char == '_');
            if is_other_macro {
                continue;
            }
            let arguments = macro_arguments(&code[start + call.len()..]);
            let message = message(&arguments);
            let message =
                message.unwrap_or_else(|| panic!("no message in {level}!({arguments:?})"));
            events.insert(event(level, &message));
        }
    }
    events
}

fn source_files(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        let name = path.file_stem().and_then(|name| name.to_str());
        if matches!(name, Some("tests" | "golden")) {
            continue;
        }
        if path.is_dir() {
            files.extend(source_files(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
    files
}

/// The events of the daemon and of its crates.
fn events_in_code() -> BTreeSet<LoggedEvent> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let crates = fs::read_dir(root.join("crates")).expect("a folder");
    let crates = crates.map(|entry| entry.expect("an entry").path());
    let is_tool = |path: &PathBuf| TOOLS.iter().any(|tool| path.ends_with(tool));
    let mut folders: Vec<PathBuf> = crates
        .filter(|path| !is_tool(path))
        .map(|path| path.join("src"))
        .collect();
    folders.push(root.join("src"));
    let files = folders.iter().flat_map(|folder| source_files(folder));
    let sources = files.map(|file| fs::read_to_string(file).expect("UTF-8"));
    sources
        .flat_map(|source| events_in_source(&source))
        .collect()
}

/// The rows of events in a page's text, `| level | `message` | ...`, in order.
fn rows(text: &str) -> Vec<LoggedEvent> {
    let row = |line: &str| {
        let mut cells = line.strip_prefix("| ")?.split(" | ");
        let level = cells.next().filter(|level| LEVELS.contains(level))?;
        let message = cells.next()?.strip_prefix('`')?.strip_suffix('`')?;
        Some(event(level, message))
    };
    text.lines().filter_map(row).collect()
}

/// The page's text from a heading to the next one of the same or a higher level.
fn section<'a>(page: &'a str, heading: &str) -> &'a str {
    let (_, section) = page
        .split_once(&format!("\n{heading}\n"))
        .unwrap_or_else(|| panic!("the page has no '{heading}'"));
    let marks = heading.find(' ').expect("a heading");
    let ends = (1..=marks).filter_map(|marks| section.find(&format!("\n{} ", "#".repeat(marks))));
    &section[..ends.min().unwrap_or(section.len())]
}

fn list<'a>(events: impl Iterator<Item = &'a LoggedEvent>) -> String {
    events.map(|event| format!("\n  {event}")).collect()
}

#[test]
fn page_has_a_row_for_each_event_and_an_event_for_each_row() {
    let code = events_in_code();
    let page: BTreeSet<LoggedEvent> = rows(section(PAGE, EVENTS_HEADING)).into_iter().collect();
    let (without_row, without_event) = (list(code.difference(&page)), list(page.difference(&code)));
    assert!(
        without_row.is_empty() && without_event.is_empty(),
        "events without a row:{without_row}\nrows without an event:{without_event}"
    );
}

#[test]
fn page_has_each_event_once() {
    let mut seen = BTreeSet::new();
    let rows = rows(section(PAGE, EVENTS_HEADING));
    let repeated = rows.iter().filter(|row| !seen.insert(row.message.clone()));
    assert_eq!(list(repeated), "", "events with more than one row");
}

#[test]
fn messages_with_variable_text_are_those_listed_as_read_by_other_programs() {
    let listed = rows(section(PAGE, FIXED_FORM_HEADING));
    let listed: BTreeSet<LoggedEvent> = listed.into_iter().collect();
    let has_variable_text = |event: &LoggedEvent| event.message.contains('…');
    let variable: BTreeSet<LoggedEvent> = events_in_code()
        .into_iter()
        .filter(has_variable_text)
        .collect();
    assert_eq!(list(variable.iter()), list(listed.iter()));
}

#[test]
fn events_are_found_in_each_form_of_the_macros() {
    let source = r#"
        // tracing::warn!("in a comment");
        tracing::warn!(%error, path = %path.display(), "with, fields (and) \"quotes\"");
        info!("alone");
        tracing::debug!(
            reason = ?reason,
            text = format!("{} x", "not the message"),
            "on lines of its own"
        );
        my_error!("of another macro");
        tracing::error!("variable {name} and {:?}", value);
    "#;
    let expected = [
        event("debug", "on lines of its own"),
        event("error", "variable … and …"),
        event("info", "alone"),
        event("warn", r#"with, fields (and) \"quotes\""#),
    ];
    assert_eq!(events_in_source(source), BTreeSet::from(expected));
}

#[test]
#[should_panic(expected = "no message in warn!")]
fn event_without_a_message_is_reported() {
    events_in_source("tracing::warn!(%error);");
}

#[test]
fn rows_are_read_from_their_section_only() {
    let page = "\n## A\n| warn | `a` | x |\n### B\n| info | `b` | x |\n## C\n| info | `c` | x |\n";
    assert_eq!(
        rows(section(page, "## A")),
        [event("warn", "a"), event("info", "b")]
    );
    assert_eq!(rows(section(page, "### B")), [event("info", "b")]);
    assert_eq!(
        rows("| level | message |\n| --- | --- |\n| warn | no code |"),
        []
    );
}
