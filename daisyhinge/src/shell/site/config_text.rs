//! The text of the configuration that operators read.

use bytes::Bytes;
use parking_lot::Mutex;

use crate::prelude::*;
use crate::vocabulary::site::SiteDocument;

/// The text of a configuration, unpacked once for all who read it.
#[derive(Debug, Default)]
pub struct ConfigText {
    newest: Mutex<Option<(SiteDocument, Bytes)>>,
}

impl ConfigText {
    /// Returns the text of `document`.
    ///
    /// # Errors
    /// Those of [`SiteDocument::unpack`].
    pub fn find(&self, document: &SiteDocument) -> Result<Bytes, ResultCode> {
        let mut newest = self.newest.lock();
        if let Some((known, text)) = &*newest
            && known == document
        {
            return Ok(text.clone());
        }
        let text = Bytes::from(document.unpack()?);
        *newest = Some((document.clone(), text.clone()));
        Ok(text)
    }
}
