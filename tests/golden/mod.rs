//! Golden files with the bytes that version 0.2.0 wrote before identifiers were renamed, and the comparison with what is
//! written now.
#![allow(dead_code, reason = "no test program uses all of it")]
#![expect(clippy::unwrap_used, reason = "a test may panic")]

use std::path::{Path, PathBuf};

/// The path of a golden file.
pub(crate) fn path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name)
}

/// The bytes of a golden file; a missing one is empty, and equal to nothing.
pub(crate) fn bytes(name: &str) -> Vec<u8> {
    std::fs::read(path(name)).unwrap_or_default()
}

/// The text of a golden file.
pub(crate) fn text(name: &str) -> String {
    String::from_utf8(bytes(name)).unwrap()
}

/// Fails unless the bytes are those of the golden file; writes the differing bytes to the target folder.
pub(crate) fn assert_same(name: &str, written: &[u8]) {
    let golden = bytes(name);
    if golden.is_empty() || golden != written {
        let copy = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("golden-{name}"));
        std::fs::write(&copy, written).unwrap();
        let first_difference = golden
            .iter()
            .zip(written)
            .take_while(|(golden, written)| golden == written)
            .count();
        panic!(
            "{name} differs from byte {first_difference} on: {} bytes written, {} expected; see {}",
            written.len(),
            golden.len(),
            copy.display()
        );
    }
}
