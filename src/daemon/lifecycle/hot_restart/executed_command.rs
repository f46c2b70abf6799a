//! The command `EXECUTED ID ...`, by which a process tells the other one which requests may have been executed.

use applewall::api::RequestId;

/// First word of the command. The spelling is part of the protocol between versions.
const WORD: &str = "EXECUTED";
/// Maximum number of ids in one command, which bounds the length of its line.
const MAX_IDS: usize = 32;

/// The commands that carry these requests; none if there are no requests.
pub(super) fn commands(requests: &[RequestId]) -> impl Iterator<Item = String> + '_ {
    requests.chunks(MAX_IDS).map(|requests| {
        let ids = requests
            .iter()
            .map(|request| format!(" {:016x}", request.0));
        WORD.to_string() + &ids.collect::<String>()
    })
}

/// The requests of a command; `None` if it is another one, or malformed.
pub(super) fn parse(command: &str) -> Option<Vec<RequestId>> {
    let ids = command.strip_prefix(WORD)?.strip_prefix(' ')?;
    let parse_id = |id: &str| u64::from_str_radix(id, 16).ok().map(RequestId);
    ids.split(' ').map(parse_id).collect()
}

#[cfg(test)]
mod tests;
