//! Heads that both ends of a link know, so that the parts of one request send theirs once.

use std::collections::VecDeque;

use bytes::Bytes;

use super::HeadRef;

/// Heads that the receiving end keeps.
const KEPT_MAX: usize = 32;
/// Heads that the sending end takes for kept: fewer, since calls may overtake one another.
const SENT_MAX: usize = 16;

/// What the sending end of a link has sent.
#[derive(Debug, Default)]
pub struct SentHeads {
    numbers: VecDeque<u64>,
}

impl SentHeads {
    /// How a request's head is sent: whole for the first of its parts.
    pub fn refer(&mut self, number: u64, text: impl FnOnce() -> Bytes) -> HeadRef {
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

/// What the receiving end of a link keeps.
#[derive(Debug, Default)]
pub struct KeptHeads {
    heads: VecDeque<(u64, Bytes)>,
}

impl KeptHeads {
    /// The head that is meant; unset if it is not known any more.
    pub fn find(&mut self, head: HeadRef) -> Option<Bytes> {
        match head {
            HeadRef::Known(number) => {
                let known = self.heads.iter().find(|(held, _)| *held == number);
                known.map(|(_, text)| text.clone())
            }
            HeadRef::Whole { number, text } => {
                if self.heads.len() == KEPT_MAX {
                    self.heads.pop_front();
                }
                self.heads.push_back((number, text.clone()));
                Some(text)
            }
        }
    }
}
