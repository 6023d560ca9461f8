//! Limit on the number of pieces in which a replica's answer arrives.

/// Number of pieces that may be of any size.
const PIECES_MAX: usize = 1_024;
/// Minimum average size of further pieces, in bytes. Each piece costs processor time, however small.
const PIECE_MIN_BYTES: usize = 256;

/// Counts the pieces of an answer and their bytes.
#[derive(Clone, Copy, Debug, Default)]
pub struct PieceLimit {
    pieces: usize,
    received: usize,
}

impl PieceLimit {
    /// Counts a piece. Returns whether the pieces are large enough so far.
    pub fn add(&mut self, bytes: usize) -> bool {
        self.pieces += 1;
        self.received += bytes;
        self.pieces <= PIECES_MAX + self.received / PIECE_MIN_BYTES
    }
}
