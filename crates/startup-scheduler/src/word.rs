//! What ingresses tell each other of their start: a line of text, far below a datagram's 256 bytes.
//!
//! The first byte sets it apart from the decision module's own messages, the second names the form: one of another version
//! finds no meaning in it and drops it, as the module does with a kind it does not know.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]

/// First bytes of every word.
const HEAD: &str = "T1";
/// No list service counts so far; a word that says so is foreign.
const REV_MOST: u64 = 1 << 53;
/// Nor is any process that old, in tenths of a second.
const AGE_MOST: u64 = 1 << 40;

/// One ingress's word on itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Word {
    /// True where an answer is wanted: it has just started.
    pub asks: bool,
    /// Since its start, in tenths of a second.
    pub age: u64,
    /// The newest revision that it holds; none without a list.
    pub rev: Option<u64>,
    /// True where the list service told this list in this life.
    pub current: bool,
    /// The list service has turned it away lately.
    pub busy: bool,
    /// Peers that have lately told it that they started.
    pub starting: u32,
}

impl Word {
    /// True for one of the module's own messages' siblings: what begins as a word does.
    pub fn is(text: &str) -> bool {
        text.starts_with(HEAD)
    }

    /// As text.
    pub fn write(&self) -> String {
        let flags = u8::from(self.asks) | u8::from(self.current) << 1 | u8::from(self.busy) << 2;
        let rev = self.rev.map_or(String::from("-"), |rev| rev.to_string());
        format!("{HEAD} {flags} {} {rev} {}", self.age, self.starting)
    }

    /// From text; nothing of one that is torn, foreign or of another version.
    pub fn read(text: &str) -> Option<Self> {
        let mut parts = text.strip_prefix(HEAD)?.strip_prefix(' ')?.split(' ');
        // Digits alone: a sign or a space would be read by the library too.
        let mut number = |most: u64| {
            let part = parts.next()?;
            let digits = !part.is_empty() && part.bytes().all(|b| b.is_ascii_digit());
            part.parse::<u64>().ok().filter(|n| digits && *n <= most)
        };
        let (flags, age) = (number(7)?, number(AGE_MOST)?);
        let rev = match parts.next()? {
            "-" => None,
            text if text.bytes().all(|b| b.is_ascii_digit()) => {
                Some(text.parse().ok().filter(|r| *r <= REV_MOST)?)
            }
            _ => return None,
        };
        let starting: u32 = parts
            .next()
            .filter(|p| p.bytes().all(|b| b.is_ascii_digit()))?
            .parse()
            .ok()?;
        let word = Word {
            asks: flags & 1 > 0,
            age,
            rev,
            current: flags & 2 > 0,
            busy: flags & 4 > 0,
            starting,
        };
        parts.next().is_none().then_some(word)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_word_is_read_as_it_was_written_and_fits_a_datagram() {
        let full = Word {
            asks: true,
            age: AGE_MOST,
            rev: Some(REV_MOST),
            current: true,
            busy: true,
            starting: u32::MAX,
        };
        let bare = Word {
            asks: false,
            age: 0,
            rev: None,
            current: false,
            busy: false,
            starting: 0,
        };
        for word in [full, bare] {
            let text = word.write();
            assert!(text.len() <= 256 && Word::is(&text), "{text}");
            assert_eq!(Word::read(&text), Some(word));
        }
    }

    #[test]
    fn what_is_torn_foreign_or_of_another_version_is_no_word() {
        for text in [
            "",
            "T1",
            "T1 ",
            "T1 0 5 7",
            "T1 0 5 7 1 9",
            "T2 0 5 7 1",
            "T1 8 5 7 1",
            "T1 0 -5 7 1",
            "T1 0 5 x 1",
            "T1 0 5 +7 1",
            "T1 0 5 18446744073709551615 1",
            "T1 0 5 7 99999999999",
            "T1  0 5 7 1",
            "uAAAA",
            "T1 0 5  1",
        ] {
            assert_eq!(Word::read(text), None, "{text:?}");
        }
    }
}
