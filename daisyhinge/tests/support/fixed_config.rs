//! Configuration of property tests.

use proptest::test_runner::{Config, RngSeed};

/// Configuration with a fixed seed, so that every run uses the same cases. `PROPTEST_RNG_SEED`
/// overrides the seed, `PROPTEST_CASES` the number of cases.
pub fn fixed_config() -> Config {
    let config = Config::default();
    let rng_seed = match config.rng_seed {
        RngSeed::Random => RngSeed::Fixed(1),
        seed @ RngSeed::Fixed(_) => seed,
    };
    Config {
        rng_seed,
        failure_persistence: None,
        ..config
    }
}
