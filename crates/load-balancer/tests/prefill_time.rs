//! How the model of the time to the first byte is fitted to responses.

use quillpulley_load_balancer::PrefillTime;

const BASE_MS: f64 = 35.0;
const TOKEN_MS: f64 = 0.018;

/// Records responses of an engine with this base time and this time per token, to prompts of 200 to 12,000
/// tokens. The times vary randomly by up to 40%.
fn record(model: &mut PrefillTime, random: &mut fastrand::Rng, count: usize, base_ms: f64, token_ms: f64) {
    for _ in 0..count {
        let tokens = 200.0 + 11_800.0 * random.f64().powi(3);
        let noise = 0.6 + 0.8 * random.f64();
        model.record(tokens, (base_ms + token_ms * tokens) * noise);
    }
}

fn assert_near(actual: f64, expected: f64, tolerance: f64) {
    let difference = (actual - expected).abs();
    assert!(difference <= expected * tolerance, "{actual} is not within {tolerance} of {expected}");
}

#[test]
fn before_any_response_a_long_prompt_takes_longer_than_a_short_one() {
    let model = PrefillTime::default();
    assert!(model.first_byte_ms(0.0) > 0.0);
    assert!(model.first_byte_ms(10_000.0) > 5.0 * model.first_byte_ms(0.0));
}

#[test]
fn base_time_and_token_time_are_fitted_to_noisy_responses() {
    let mut model = PrefillTime::default();
    record(&mut model, &mut fastrand::Rng::with_seed(1), 300, BASE_MS, TOKEN_MS);
    for tokens in [1_000.0, 10_000.0, 30_000.0] {
        assert_near(model.first_byte_ms(tokens), BASE_MS + TOKEN_MS * tokens, 0.3);
    }
}

#[test]
fn short_prompts_alone_do_not_predict_slow_long_prompts() {
    let mut model = PrefillTime::default();
    for _ in 0..300 {
        model.record(300.0, 60.0);
    }
    assert_near(model.first_byte_ms(300.0), 60.0, 0.2);
    assert!(model.first_byte_ms(10_000.0) < 400.0, "{}", model.first_byte_ms(10_000.0));
}

#[test]
fn the_model_follows_a_change_of_speed() {
    let mut model = PrefillTime::default();
    let mut random = fastrand::Rng::with_seed(2);
    record(&mut model, &mut random, 300, BASE_MS, TOKEN_MS);
    record(&mut model, &mut random, 200, BASE_MS, 4.0 * TOKEN_MS);
    assert_near(model.first_byte_ms(10_000.0), BASE_MS + 4.0 * TOKEN_MS * 10_000.0, 0.3);
}

#[test]
fn responses_that_contradict_the_model_never_make_long_prompts_free() {
    let mut model = PrefillTime::default();
    for _ in 0..300 {
        model.record(200.0, 5_000.0);
        model.record(10_000.0, 1.0);
    }
    assert!(model.first_byte_ms(10_000.0) > model.first_byte_ms(200.0));
    assert!(model.tokens_within(1e9).is_finite());
}

#[test]
fn tokens_within_is_the_inverse_of_first_byte_ms() {
    let mut model = PrefillTime::default();
    record(&mut model, &mut fastrand::Rng::with_seed(3), 100, BASE_MS, TOKEN_MS);
    let tokens = model.tokens_within(800.0);
    assert_near(model.first_byte_ms(tokens), 800.0, 1e-6);
    assert!(model.tokens_within(0.0) < 0.0);
}
