//! Large values in the form in which nodes transfer them.

use std::sync::Arc;

use anyhow::ensure;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Serialize};

use crate::delta_codec;
use crate::large::Notice;
use crate::message;
use crate::platform::Item;
use fescuerack_core::gateway::position::Position;

/// A value, encoded as a delta against an earlier one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Key, revision, length and digest of the encoded value.
    pub notice: Notice,
    /// Revision of the base, the value that it was encoded against; zero for none.
    pub base: Position,
    /// The frame of [`delta_codec`], in base64.
    pub frame: Arc<str>,
}

impl Delta {
    /// Encodes `item` as a delta against `base`, its value at `base_revision`.
    ///
    /// # Errors
    ///
    /// When the item was removed, is small, or cannot be encoded.
    pub fn new(item: &Item, base: &str, base_revision: Position) -> anyhow::Result<Self> {
        let notice = Notice::new(item);
        let notice = notice.ok_or_else(|| anyhow::anyhow!("{} is not large", item.key))?;
        let value = item.value.as_deref().unwrap_or_default();
        let frame = delta_codec::encode(base, value)?;
        Ok(Self {
            notice,
            base: base_revision,
            frame: STANDARD.encode(frame).into(),
        })
    }

    /// Reconstructs the `wanted` item, or a newer one. `base` is the value that this node has at the
    /// base revision, if any.
    ///
    /// # Errors
    ///
    /// When the delta is for another key, is older or damaged, or its base is missing on this node.
    pub fn apply(&self, wanted: &Notice, base: Option<&str>) -> anyhow::Result<Item> {
        let Notice {
            key,
            revision,
            length,
            digest,
        } = &self.notice;
        ensure!(
            *key == wanted.key,
            "delta is for key {key}, not {}",
            wanted.key
        );
        ensure!(
            *revision >= wanted.revision,
            "delta is for revision {revision}, older than {}",
            wanted.revision
        );
        ensure!(
            *revision > wanted.revision || self.notice == *wanted,
            "delta has another value for revision {revision}"
        );
        ensure!(
            *length <= message::MAX_BYTES,
            "value has {length} bytes, more than {}",
            message::MAX_BYTES
        );
        ensure!(
            self.base.is_origin() || base.is_some(),
            "value of base revision {} is not kept",
            self.base
        );
        let frame = STANDARD.decode(&*self.frame)?;
        let value = delta_codec::decode(base.unwrap_or_default(), &frame, *length, *digest)?;
        Ok(Item {
            key: key.clone(),
            value: Some(value),
            revision: *revision,
        })
    }
}
