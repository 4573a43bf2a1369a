//! Random sampling.

use rand_pcg::Pcg32;
use rand_pcg::rand_core::Rng;

/// Returns up to `most` elements of `of`, chosen at random without replacement.
pub fn sample<T>(rng: &mut Pcg32, mut of: Vec<T>, most: usize) -> Vec<T> {
    let most = most.min(of.len());
    for at in 0..most {
        let other = at + rng.next_u32() as usize % (of.len() - at);
        of.swap(at, other);
    }
    of.truncate(most);
    of
}
