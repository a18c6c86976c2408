//! Tests of rendezvous hashing: the choice depends only on the set of candidates, keys are spread evenly, and
//! the removal of a candidate moves only its own keys.

use quickcheck::quickcheck;
use quillpulley_membership::rendezvous::{ranked, score, top};
use std::collections::BTreeMap;

fn names(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("front-{number}")).collect()
}

quickcheck! {
    fn the_order_of_the_candidates_does_not_matter(key: String, candidates: Vec<String>) -> bool {
        let forward = ranked(&key, candidates.iter().map(String::as_str));
        let backward = ranked(&key, candidates.iter().rev().map(String::as_str));
        forward == backward
    }

    fn the_first_have_the_highest_scores(key: String, candidates: Vec<String>) -> bool {
        let ranked = ranked(&key, candidates.iter().map(String::as_str));
        ranked.windows(2).all(|pair| score(&key, pair[0]) >= score(&key, pair[1]))
    }

    fn removing_a_candidate_moves_only_its_own_keys(
        key: String, candidates: Vec<String>, removed: usize
    ) -> bool {
        let all: Vec<&str> = candidates.iter().map(String::as_str).collect();
        let removed = all.get(removed % all.len().max(1)).copied().unwrap_or_default();
        let before = top(&key, all.iter().copied().filter(|candidate| *candidate != removed), 3);
        let expected: Vec<&str> =
            ranked(&key, all).into_iter().filter(|candidate| *candidate != removed).collect();
        before == expected[..expected.len().min(3)]
    }
}

#[test]
fn keys_are_spread_evenly() {
    let candidates = names(20);
    let mut owned: BTreeMap<&str, usize> = BTreeMap::new();
    for key in 0..4000 {
        let first = top(&format!("key-{key}"), candidates.iter().map(String::as_str), 1)[0];
        *owned.entry(first).or_default() += 1;
    }
    assert!(owned.values().all(|count| (150..250).contains(count)), "{owned:?}");
}
