//! The language of recorded exchanges: one step a line, done in order. Lines that begin with `#` are comments.
//!
//! - `set KEY VALUE`: changes the configuration (`tests/exchanges/config.json`), by a JSON pointer;
//! - `start`: starts the program; it knows the endpoint `s1`, which listens already;
//! - `deaf NAME`: that party no longer listens;
//! - `NAME accept FROM`: NAME is the next connection that comes in at FROM (`s1`, `discovery`, `discovery2`);
//! - `NAME fills`: connects to NAME until its backlog is full; `NAME dialled`: waits until a connection of the program
//!   waits for that; `NAME frees`: accepts and closes the former, so that the program's next attempt is established;
//! - `NAME connect`: NAME is a new connection of a client;
//! - `NAME asks ID`: a usual request with that id goes out; `NAME asks ID HEADER: VALUE`: with that header in place
//!   of its own, or added;
//! - `NAME*N STEP`: for each of NAME0 to NAME(N-1);
//! - `NAME sends`: the lines below that begin with `| ` go out, each with CRLF (`|=TEXT` is a body
//!   with its length before it, `|*N TEXT` one of N times TEXT; @NAME stands for an address);
//! - `NAME gets`: one message, or the end of the connection, is read and noted;
//! - `NAME ends`: the connection is closed from here; `NAME resets`: it is reset; `NAME shuts`: only its sending half;
//! - `NAME throws TEXT`, `NAME catches`: a datagram from `peer0`, `peer1` or `stranger`, or to them;
//! - `log TEXT`: reads the log up to a line with that in it; `exit`: notes the exit status;
//! - `operator LINE`: one admin command, and its response; `operator-raw BYTES`: these bytes, with \r, \n,
//!   \xHH and `*N TEXT` for N times TEXT; `operator-bytes`: one at a time; `NAME holds TEXT`: an admin connection that
//!   sends that and stays; `NAME leaves BYTES`: one that is closed before its response;
//! - `inherit`: the clients' listening socket is held here, and each program started from now on inherits it as
//!   descriptor 7 (`GW_FD`), with one folder for their `$TMPDIR`;
//! - `nowhere`: that folder is removed;
//! - `upgrade`: starts one more program beside the one that runs, which is `old` from now on: `old term`, `old log TEXT`,
//!   `old exit`, `old operator LINE`; `kill`: SIGKILL;
//! - `NAME greets`: a connection to the hot-restart socket that sends what a new process sends;
//! - `NAME takes`: the same, unless it did, and reads the snapshot;
//!   `NAME says TEXT`: a line on such a connection;
//! - `state TEXT`: writes the file of maintenance states; `ledger`: notes what is in it; `stale`: a hot-restart socket
//!   that nobody listens at;
//! - `term`: SIGTERM; `hup`: the configuration as set by now replaces the file, then SIGHUP; `hup TEXT`: the file
//!   holds that text instead.

/// One step of an exchange.
#[derive(Debug)]
pub(crate) struct Step {
    /// Its line.
    pub(crate) line: String,
    /// The lines below it that begin with `|`.
    pub(crate) below: Vec<String>,
}

/// Parses an exchange.
pub(crate) fn parse(text: &str) -> Vec<Step> {
    let lines: Vec<&str> = text
        .lines()
        .filter(|line| !line.starts_with('#') && !line.is_empty())
        .collect();
    let mut steps = Vec::new();
    for (number, line) in lines.iter().enumerate() {
        if line.starts_with('|') {
            continue;
        }
        let below = lines[number + 1..].iter();
        let below: Vec<_> = below
            .take_while(|line| line.starts_with('|'))
            .map(ToString::to_string)
            .collect();
        steps.extend(repeated(line).into_iter().map(|line| Step {
            line,
            below: below.clone(),
        }));
    }
    steps
}

/// The lines that `NAME*N STEP` stands for; any other line itself.
fn repeated(line: &str) -> Vec<String> {
    let repetition = line.split_once('*');
    let Some((name, rest)) = repetition.filter(|(name, _)| !name.contains(' ')) else {
        return vec![line.to_string()];
    };
    let (count, rest) = rest.split_once(' ').expect("a step after its count");
    let count: u32 = count.parse().expect("a count");
    (0..count)
        .map(|number| format!("{name}{number} {rest}"))
        .collect()
}

/// Bytes as an exchange writes them.
pub(crate) fn unescape(text: &str) -> Vec<u8> {
    let text = repeat_marked(text);
    let (mut bytes, mut characters) = (Vec::new(), text.chars());
    while let Some(character) = characters.next() {
        let escaped = match character {
            '\\' => characters.next(),
            _ => None,
        };
        match escaped {
            Some('r') => bytes.push(b'\r'),
            Some('n') => bytes.push(b'\n'),
            Some('x') => {
                let digits: String = characters.by_ref().take(2).collect();
                bytes.push(u8::from_str_radix(&digits, 16).expect("two hex digits"));
            }
            _ => bytes.extend(character.to_string().bytes()),
        }
    }
    bytes
}

/// `*N TEXT` as N times TEXT; TEXT ends before the first backslash.
fn repeat_marked(text: &str) -> String {
    let Some((before, (count, repeated))) = text
        .split_once('*')
        .and_then(|(before, rest)| Some((before, rest.split_once(' ')?)))
    else {
        return text.to_string();
    };
    let end = repeated.find('\\').unwrap_or(repeated.len());
    let (repeated, end) = repeated.split_at(end);
    let count = count.parse().expect("a count");
    format!("{before}{}{end}", repeated.repeat(count))
}
