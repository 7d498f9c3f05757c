//! A large value on its way between two nodes.

use std::sync::Arc;

use anyhow::ensure;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Serialize};

use crate::difference;
use crate::large::Notice;
use crate::message;
use crate::platform::Item;

/// A value as its difference from another one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// What it gives.
    pub notice: Notice,
    /// Revision of the value that it refers to; zero for none.
    pub base: u64,
    /// The difference, in base64.
    pub frame: Arc<str>,
}

impl Piece {
    /// Writes `item` as its difference from the value `base`, which it had at `base_revision`.
    ///
    /// # Errors
    ///
    /// When the item was removed, is small, or cannot be written.
    pub fn new(item: &Item, base: &str, base_revision: u64) -> anyhow::Result<Self> {
        let notice = Notice::new(item);
        let notice = notice.ok_or_else(|| anyhow::anyhow!("{} is not large", item.key))?;
        let value = item.value.as_deref().unwrap_or_default();
        let frame = difference::encode(base, value)?;
        Ok(Self {
            notice,
            base: base_revision,
            frame: STANDARD.encode(frame).into(),
        })
    }

    /// Puts the item together that was `wanted`, or a newer one; `base` is the value that this
    /// node has at the piece's base revision, if any.
    ///
    /// # Errors
    ///
    /// When it is of another key or older, is damaged, or refers to a value that this node has not.
    pub fn item(&self, wanted: &Notice, base: Option<&str>) -> anyhow::Result<Item> {
        let Notice {
            key,
            revision,
            length,
            digest,
        } = &self.notice;
        ensure!(*key == wanted.key, "it is of {key}");
        ensure!(*revision >= wanted.revision, "it is of revision {revision}");
        ensure!(
            *revision > wanted.revision || self.notice == *wanted,
            "it is another value of the same revision"
        );
        ensure!(*length <= message::MOST, "it has {length} bytes");
        ensure!(
            self.base == 0 || base.is_some(),
            "it refers to revision {}, which is not kept",
            self.base
        );
        let frame = STANDARD.decode(&*self.frame)?;
        let value = difference::decode(base.unwrap_or_default(), &frame, *length, *digest)?;
        Ok(Item {
            key: key.clone(),
            value: Some(value),
            revision: *revision,
        })
    }
}
