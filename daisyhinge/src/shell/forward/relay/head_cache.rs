//! Head caches at both ends of a link, so that the parts of one request share one transfer.

use std::collections::VecDeque;

use bytes::Bytes;

use super::HeadRef;

/// Number of request heads that the receiving entry stores for each link.
const RECEIVED_MAX: usize = 32;
/// Number of heads that the sender assumes to be stored. Lower than [`RECEIVED_MAX`], since calls
/// may overtake one another.
const SENT_MAX: usize = 16;

/// Numbers of the requests whose heads were sent on a link.
#[derive(Debug, Default)]
pub struct SentHeads {
    numbers: VecDeque<u64>,
}

impl SentHeads {
    /// Returns the complete head for the first part of a request, and a reference for later parts.
    pub fn head_ref(&mut self, number: u64, text: impl FnOnce() -> Bytes) -> HeadRef {
        if self.numbers.contains(&number) {
            return HeadRef::Known(number);
        }
        if self.numbers.len() == SENT_MAX {
            self.numbers.pop_front();
        }
        self.numbers.push_back(number);
        HeadRef::Whole {
            number,
            text: text(),
        }
    }
}

/// Recently received request heads of a link, by request number.
#[derive(Debug, Default)]
pub struct ReceivedHeads {
    heads: VecDeque<(u64, Bytes)>,
}

impl ReceivedHeads {
    /// Resolves a head. Returns `None` if it is no longer stored.
    pub fn find(&mut self, head: HeadRef) -> Option<Bytes> {
        match head {
            HeadRef::Known(number) => {
                let known = self.heads.iter().find(|(stored, _)| *stored == number);
                known.map(|(_, text)| text.clone())
            }
            HeadRef::Whole { number, text } => {
                if self.heads.len() == RECEIVED_MAX {
                    self.heads.pop_front();
                }
                self.heads.push_back((number, text.clone()));
                Some(text)
            }
        }
    }
}
