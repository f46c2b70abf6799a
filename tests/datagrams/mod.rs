//! The recorded datagrams between nodes (`tests/golden/datagrams.txt`), and how each kind is decoded and encoded.

pub(crate) mod samples;

use applewall::gossip::codec;
use applewall_startup_scheduler::{CohortMessage, StatusMessage};
use applewall_zone_failover::ZoneMessage;

use crate::golden;

pub(crate) struct Kind {
    /// Name in the recording.
    pub(crate) name: &'static str,
    /// Tells whether a datagram is of this kind.
    pub(crate) matches: fn(&str) -> bool,
    /// Decodes a datagram and encodes it again.
    pub(crate) recode: fn(&str) -> Option<String>,
    /// First characters of a datagram of another version.
    pub(crate) other_version: &'static str,
}

pub(crate) const KINDS: [Kind; 7] = [
    quota_kind("use", |text| text.starts_with('u'), "v"),
    quota_kind("word", |text| text.starts_with('w'), "W"),
    quota_kind("grant", |text| text.starts_with('g'), "G"),
    quota_kind("pool", |text| text.starts_with('p'), "q"),
    Kind {
        name: "start",
        matches: StatusMessage::matches,
        recode: |text| Some(StatusMessage::decode(text).ok()?.encode()),
        other_version: "T2",
    },
    Kind {
        name: "roll",
        matches: CohortMessage::matches,
        recode: |text| Some(CohortMessage::decode(text).ok()?.encode()),
        other_version: "R2",
    },
    Kind {
        name: "zones",
        matches: ZoneMessage::matches,
        recode: |text| Some(ZoneMessage::decode(text).ok()?.encode()),
        other_version: "Z2",
    },
];

const fn quota_kind(
    name: &'static str,
    matches: fn(&str) -> bool,
    other_version: &'static str,
) -> Kind {
    Kind {
        name,
        matches,
        recode: recode_quota,
        other_version,
    }
}

fn recode_quota(text: &str) -> Option<String> {
    let message = codec::decode(text)?;
    let mut texts = codec::encode(message.incarnation, &message.records);
    // A message without records only shows that its sender is alive; it is encoded as a usage report.
    assert!(
        texts.len() == 1 && (texts[0] == text || message.records.is_empty()),
        "{text} is encoded as {texts:?}"
    );
    texts.pop()
}

pub(crate) struct RecordedDatagram {
    pub(crate) kind: &'static Kind,
    /// Number of its prefixes that are valid datagrams as well.
    pub(crate) valid_prefixes: usize,
    pub(crate) text: String,
}

impl RecordedDatagram {
    /// This datagram with the first characters of another version.
    pub(crate) fn of_other_version(&self) -> String {
        let head = self.kind.other_version;
        format!("{head}{}", &self.text[head.len()..])
    }
}

pub(crate) fn recorded() -> Vec<RecordedDatagram> {
    let datagram = |line: &str| {
        let mut fields = line.splitn(3, '\t');
        let mut field = || fields.next().expect("three fields");
        let name = field();
        let kind = KINDS.iter().find(|kind| kind.name == name);
        RecordedDatagram {
            kind: kind.expect("a known kind"),
            valid_prefixes: field().parse().expect("a number"),
            text: field().to_string(),
        }
    };
    let text = golden::text("datagrams.txt");
    text.lines().map(datagram).collect()
}

pub(crate) fn of_kind(name: &str) -> Vec<String> {
    recorded()
        .into_iter()
        .filter(|datagram| datagram.kind.name == name)
        .map(|datagram| datagram.text)
        .collect()
}
