//! Deliberate faults: with each, tests of the proxy must fail that pass without.

/// Which faults a proxy has. None but in tests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// What may not be repeated is sent again after its connection broke.
    pub repeat_after_reset: bool,
    /// An answer is taken for the request that waits on its connection, whatever id it has.
    pub ignore_answer_ids: bool,
}
