//! The language of recorded exchanges: one step per line, performed in order. Lines that begin with `#` are comments.
//!
//! - `set KEY VALUE`: changes the configuration (`tests/exchanges/config.json`); KEY is a JSON pointer;
//! - `start`: starts the program; it knows the endpoint `s1`, which is listening already;
//! - `deaf NAME`: closes the listener NAME;
//! - `NAME accept FROM`: accepts the next connection at FROM (`s1`, `discovery`, `discovery2`) as NAME;
//! - `NAME fills`: connects to NAME until its backlog is full; `NAME dialled`: waits until the backlog blocks a connection
//!   attempt of the program; `NAME frees`: accepts and closes the connections of `fills`, so that the program's next
//!   attempt is established;
//! - `NAME connect`: opens a client connection NAME;
//! - `NAME asks ID`: sends the default request with that id; `NAME asks ID HEADER: VALUE`: with that header replaced or
//!   added;
//! - `NAME*N STEP`: performs STEP for each of NAME0 to NAME(N-1);
//! - `NAME sends`: sends the lines below that begin with `| `, each with CRLF (`|=TEXT` is a body preceded by its length,
//!   `|*N TEXT` a body of N times TEXT; @NAME is replaced by an address);
//! - `NAME gets`: reads and records one message, or the end of the connection;
//! - `NAME ends`: closes the connection; `NAME resets`: resets it; `NAME shuts`: shuts down its sending half;
//! - `NAME throws TEXT`, `NAME catches`: sends a datagram from `peer0`, `peer1` or `stranger`, or receives one there;
//! - `log TEXT`: reads the log up to a line that contains TEXT, and records it; `exit`: records the exit status;
//! - `operator LINE`: sends an admin command and records its response; `operator-raw BYTES`: the same with these bytes,
//!   where \r, \n and \xHH are escapes and `*N TEXT` is N times TEXT; `operator-bytes`: the same, one byte at a time;
//!   `NAME holds TEXT`: opens an admin connection, sends TEXT and keeps it open; `NAME leaves BYTES`: closes one before its
//!   response;
//! - `inherit`: opens the listening socket for clients; each program started from now on inherits it as descriptor 7
//!   (`GW_FD`), with the same folder as `$TMPDIR`;
//! - `nowhere`: removes that folder;
//! - `upgrade`: starts a second program; the first one is `old` from now on: `old term`, `old log TEXT`, `old exit`,
//!   `old operator LINE`; `kill`: sends SIGKILL;
//! - `NAME greets`: connects to the hot-restart socket and sends the first line of a new process;
//! - `NAME takes`: does the same unless NAME is connected, and reads the snapshot; `NAME says TEXT`: sends a line on such a
//!   connection; `NAME hears N`: reads and records N lines there;
//! - `state TEXT`: writes the state file; `ledger`: records its content; `stale`: leaves a hot-restart socket without a
//!   listener;
//! - `term`: sends SIGTERM; `hup`: writes the configuration file as set by now and sends SIGHUP; `hup TEXT`: the same, but
//!   writes TEXT to the file.

/// One step of an exchange.
#[derive(Debug)]
pub(crate) struct Step {
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

/// Expands `NAME*N STEP` to its lines; returns any other line itself.
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

/// The bytes of a text with escapes.
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

/// Expands `*N TEXT` to N times TEXT; TEXT ends before the first backslash.
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
