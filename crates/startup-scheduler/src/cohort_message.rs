//! The cohort message: the nodes that the sender knows to be starting, and those among them that have no endpoint list.
//!
//! Format: `R1 FIRST LATEST STARTED WITHOUT`. Both sets are base64-encoded bitmaps over one slice of the fleet, so that 640
//! nodes fit into a datagram of 256 bytes.

use base64::engine::general_purpose::STANDARD_NO_PAD;
use base64::Engine;

use crate::field_reader::{DecodeError, FieldReader};

/// Tag of the format and its version.
const TAG: &str = "R1";
/// Number of nodes that one message covers: two bitmaps of 80 bytes take 214 characters, and 24 are left for the rest.
pub(crate) const SLICE_NODES: u32 = 640;
/// Size of the bitmap of one slice in bytes.
pub(crate) const SLICE_BYTES: usize = SLICE_NODES as usize / 8;
/// Maximum start time, Unix time in milliseconds: thirteen digits.
pub(crate) const MAX_UNIX_MS: u64 = 9_999_999_999_999;

/// One slice of the start cohort. Bit `i` of byte `n` represents the node `first_node + 8 * n + i`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CohortMessage {
    /// Id of the first node of the slice, a multiple of 640.
    pub first_node: u32,
    /// When the last known node of the cohort started, Unix time in milliseconds; 0 if unknown.
    pub last_start_unix_ms: u64,
    /// Bitmap of the nodes that started recently, at most 80 bytes.
    pub started: Vec<u8>,
    /// Bitmap of those among them that started without an endpoint list, of the same length.
    pub without_list: Vec<u8>,
}

impl CohortMessage {
    /// Whether the text begins with the tag of this format and version.
    pub fn matches(text: &str) -> bool {
        text.starts_with(TAG)
    }

    /// Encodes the message as one line of at most 256 bytes, if it covers at most one slice.
    pub fn encode(&self) -> String {
        format!(
            "{TAG} {} {} {} {}",
            self.first_node,
            self.last_start_unix_ms,
            STANDARD_NO_PAD.encode(&self.started),
            STANDARD_NO_PAD.encode(&self.without_list)
        )
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// If the text is truncated, has another format or version, or has a value that is out of range or contradictory.
    pub fn decode(text: &str) -> Result<Self, DecodeError> {
        let mut fields = FieldReader::new(text, TAG)?;
        let first_node = fields.number("first node", u64::from(u32::MAX))? as u32;
        if !first_node.is_multiple_of(SLICE_NODES) {
            return Err(DecodeError::InvalidField("first node"));
        }
        let last_start_unix_ms = fields.number("last start", MAX_UNIX_MS)?;
        let started = decode_bitmap(&mut fields, "started")?;
        let without_list = decode_bitmap(&mut fields, "without list")?;
        fields.finish()?;
        // Nodes without a list must be a subset of the started nodes.
        let mut pairs = started.iter().zip(&without_list);
        let is_subset = pairs.all(|(started, without)| without & !started == 0);
        if started.len() != without_list.len() || !is_subset {
            return Err(DecodeError::Inconsistent);
        }
        Ok(CohortMessage {
            first_node,
            last_start_unix_ms,
            started,
            without_list,
        })
    }
}

fn decode_bitmap(fields: &mut FieldReader<'_>, name: &'static str) -> Result<Vec<u8>, DecodeError> {
    STANDARD_NO_PAD
        .decode(fields.text(name)?)
        .ok()
        .filter(|bytes| bytes.len() <= SLICE_BYTES)
        .ok_or(DecodeError::InvalidField(name))
}
