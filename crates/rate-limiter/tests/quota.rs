//! Tenant quotas, with scripted events: token buckets, shares of the quota, counter totals, the correction of
//! units, and the hard rate limit.
mod common;
use common::*;
use rate_limiter::*;

/// Submits a tenant's requests for 17 s, and responds to the counter calls with totals of all limiters: for
/// each unit of demand at this limiter, `demand_ratio` units of demand, of which `admitted_ratio` units were
/// admitted. Returns the last total.
fn run_with_totals(host: &mut Host, tenant: &str, demand_ratio: f64, admitted_ratio: f64) -> f64 {
    let (mut counter_name, mut total_rejected, mut total_admitted) = (String::new(), 0.0f64, 0.0f64);
    for _ in 0..170 {
        host.now += 0.1;
        host.serve(tenant, "plain", 1.0);
        for (name, amount) in std::mem::take(&mut host.pending_calls) {
            if name != counter_name {
                (counter_name, total_rejected, total_admitted) = (name.clone(), 0.0, 0.0);
            }
            let (own_admitted, own_rejected) = (amount % PACKING_BASE, (amount / PACKING_BASE).floor());
            let own_demand = own_admitted + own_rejected;
            let others_admitted =
                (own_demand * admitted_ratio - own_admitted).clamp(0.0, own_demand * (demand_ratio - 1.0));
            total_admitted += own_admitted + others_admitted;
            total_rejected += own_rejected + own_demand * (demand_ratio - 1.0) - others_admitted;
            let total = total_rejected.round() * PACKING_BASE + total_admitted.round();
            host.handle(Event::CounterResponse(CounterResponse {
                name,
                outcome: Outcome::Completed,
                total,
                elapsed: 0.001,
            }));
        }
    }
    total_rejected.round() * PACKING_BASE + total_admitted.round()
}

/// Returns this limiter's share of a tenant's quota in units per second, measured by draining the bucket and
/// refilling it for one second.
fn measure_share(host: &mut Host, tenant: &str) -> u32 {
    host.serve_until_rejected(tenant, "plain");
    host.now += 1.0;
    host.serve_until_rejected(tenant, "plain")
}

#[test]
fn new_tenants_have_a_full_bucket_of_an_even_share() {
    let mut host = Host::new(settings());
    // A quota of 10 units/s with a burst of 20, over two limiters: an even share is 5 units/s with a burst of
    // 10.
    assert_eq!(host.serve_until_rejected("c", "plain"), 10);
    host.now += 1.0;
    assert_eq!(host.serve_until_rejected("c", "plain"), 5);
}

#[test]
fn the_share_is_proportional_to_demand_when_the_quota_is_used() {
    let mut host = Host::new(settings()).with_quick_counter();
    run_with_totals(&mut host, "c", 4.0, 4.0);
    // The quota is completely used, and this limiter has a quarter of the demand: 10 / 4, not raised.
    let share = measure_share(&mut host, "c");
    assert!((2..=3).contains(&share), "{share}");
    let mut host = Host::new(settings()).with_quick_counter();
    run_with_totals(&mut host, "c", 1.25, 1.0);
    // Four fifths of the demand: more than an even share, in proportion to demand alone.
    let share = measure_share(&mut host, "c");
    assert!((7..=8).contains(&share), "{share}");
}

#[test]
fn unused_quota_raises_a_small_share_to_an_even_share_at_most() {
    let mut host = Host::new(settings()).with_quick_counter();
    run_with_totals(&mut host, "c", 4.0, 0.2);
    assert!((4..=5).contains(&measure_share(&mut host, "c")));
}

#[test]
fn tokens_are_kept_when_the_share_shrinks() {
    let mut host = Host::new(settings()).with_quick_counter();
    assert!(host.serve("c", "plain", 1.0));
    host.now += 0.2;
    // The other limiters have a hundred times the demand. The share shrinks to a hundredth at once, and the
    // tokens are kept.
    assert_eq!(
        host.respond_to_counter_calls(|amount| (Outcome::Completed, amount + amount * 100.0 * PACKING_BASE)),
        1
    );
    assert!(host.serve_until_rejected("c", "plain") >= 9);
}

#[test]
fn corrected_units_may_make_the_bucket_negative() {
    let mut host = Host::new(Settings { post_paid: true, ..settings() });
    let (id, _) = host.submit("c", "plain", "read", 1.0);
    host.end_attempt(id, 0, Outcome::Completed, Some(14.0));
    assert!(!host.serve("c", "plain", 1.0));
    host.now += 0.9; // The bucket holds -4 + 4.5 units, which is less than 1.
    assert!(!host.serve("c", "plain", 1.0));
    host.now += 0.2;
    assert!(host.serve("c", "plain", 1.0));
}

#[test]
fn totals_are_missing_after_the_counter_lost_its_numbers() {
    let mut host = Host::new(settings()).with_quick_counter();
    let last = run_with_totals(&mut host, "c", 4.0, 4.0);
    host.now += 1.2;
    host.serve("c", "plain", 1.0);
    // The total has not even grown by this limiter's own units, so the even share of 5 applies.
    assert_eq!(host.respond_to_counter_calls(|_| (Outcome::Completed, last)), 1);
    assert_eq!(measure_share(&mut host, "c"), 5);
}

#[test]
fn a_report_is_repeated_after_a_rejection_but_not_after_a_timeout() {
    for (outcome, repeated_amount) in [(Outcome::Timeout, 0.0), (Outcome::Rejected, 1.0)] {
        let mut host = Host::new(settings()).with_quick_counter();
        host.serve("c", "plain", 1.0);
        assert_eq!(host.respond_to_counter_calls(|_| (outcome, 0.0)), 1);
        host.now += 1.2;
        while host.pending_calls.is_empty() {
            host.serve("c", "plain", 0.0);
        }
        assert_eq!(host.pending_calls[0].1 % PACKING_BASE, repeated_amount, "{outcome:?}");
    }
}

#[test]
fn an_unresponsive_counter_is_called_rarely_and_even_shares_apply() {
    let mut host = Host::new(settings()).with_quick_counter();
    for n in 0..50 {
        host.serve(&format!("c{n}"), "plain", 1.0);
    }
    assert_eq!(host.respond_to_counter_calls(|_| (Outcome::Timeout, 0.0)), 50);
    let mut calls = 0;
    for _ in 0..100 {
        host.now += 0.1;
        for n in 0..50 {
            host.serve(&format!("c{n}"), "plain", 0.01);
        }
        calls += host.respond_to_counter_calls(|_| (Outcome::Timeout, 0.0));
    }
    assert!((8..=24).contains(&calls), "{calls} calls in twenty report intervals without a response");
    assert_eq!(measure_share(&mut host, "c1"), 5);
    // When the counter responds again, the limiter calls it often and gets totals.
    let calls: usize = (0..400)
        .map(|n| {
            host.now += 0.1;
            host.serve(&format!("c{}", n % 50), "plain", 1.0);
            host.respond_to_counter_calls(|amount| (Outcome::Completed, amount * 3.0))
        })
        .sum();
    assert!(calls > 100, "{calls} calls after the counter recovered");
}

#[test]
fn a_slow_counter_is_called_for_few_requests_and_a_quick_one_for_most_again() {
    // Guards against an overload of the counter by hundreds of limiters, each with many tenants that send few
    // requests.
    let mut host = Host::new(settings()).with_quick_counter();
    let calls = |host: &mut Host, from: u32, elapsed: f64| {
        let mut made = 0;
        for n in from..from + 400 {
            host.now += 0.05;
            host.serve(&format!("c{n}"), "plain", 1.0);
            for (name, total) in std::mem::take(&mut host.pending_calls) {
                made += 1;
                host.handle(Event::CounterResponse(CounterResponse {
                    name,
                    outcome: Outcome::Completed,
                    total,
                    elapsed,
                }));
            }
        }
        made
    };
    calls(&mut host, 0, 0.04);
    let slow = calls(&mut host, 400, 0.04);
    assert!((1..=40).contains(&slow), "{slow} of 400 requests call a slow counter");
    for round in 0..10 {
        calls(&mut host, 1000 + 400 * round, 0.001);
    }
    assert!(calls(&mut host, 9000, 0.001) > 300, "a quick counter is called for most requests again");
}

#[test]
fn no_demand_overflows_a_packed_counter_total() {
    // Three hundred limiters report one tenant, whose clients retry in masses at each. The admitted steps
    // must stay below the packing base, where they would be read as rejected steps, and the total must not
    // exceed seven digits.
    let tenant_limiters = 300;
    let mut host = Host::new(Settings { limiter_count: tenant_limiters, ..settings() }).with_quick_counter();
    host.tenant_limiters = tenant_limiters;
    let (mut admitted, mut rejected, mut counter_name) = (0.0, 0.0, String::new());
    for _ in 0..3000 {
        host.now += 0.05;
        for _ in 0..20 {
            host.serve("c", "plain", 4.0);
        }
        for (name, amount) in std::mem::take(&mut host.pending_calls) {
            if name != counter_name {
                (admitted, rejected, counter_name) = (0.0, 0.0, name.clone());
            }
            admitted += amount % PACKING_BASE * f64::from(tenant_limiters);
            rejected += (amount / PACKING_BASE).floor() * f64::from(tenant_limiters);
            assert!(
                admitted < PACKING_BASE && rejected + 1.0 < 10_000_000.0 / PACKING_BASE,
                "{admitted} admitted, {rejected} rejected"
            );
            let total = admitted + rejected * PACKING_BASE;
            host.handle(Event::CounterResponse(CounterResponse {
                name,
                outcome: Outcome::Completed,
                total,
                elapsed: 0.001,
            }));
        }
    }
}

#[test]
fn an_idle_tenant_is_evicted_only_when_its_bucket_would_be_full() {
    // The even share is one request in two minutes. If the tenant were evicted sooner, it would get a full
    // bucket again.
    let mut host = Host::new(Settings { limiter_count: 1200, ..settings() });
    host.tenant_limiters = 1200;
    assert!(host.serve("c", "plain", 1.0));
    assert!(!host.serve("c", "plain", 1.0));
    for _ in 0..1600 {
        host.now += 0.05;
        host.handle(Event::Timer { token: 0 });
    }
    assert!(!host.serve("c", "plain", 1.0), "80 s later, at one request per 120 s");
    for _ in 0..1600 {
        host.now += 0.05;
        host.handle(Event::Timer { token: 0 });
    }
    assert!(host.serve("c", "plain", 1.0));
}

#[test]
fn a_bucket_smaller_than_one_request_borrows_from_an_idle_quota() {
    // The burst of an even share is a tenth of a unit, less than one request, and the quota is known to be
    // idle.
    let mut host = Host::new(Settings { limiter_count: 200, ..settings() }).with_quick_counter();
    host.tenant_limiters = 200;
    assert!(host.serve("c", "plain", 2.0));
    host.respond_to_counter_calls(|amount| (Outcome::Completed, amount));
    host.now += 1.0;
    assert!(host.serve("c", "plain", 2.0), "the quota is idle: the bucket borrows");
    let mut host = Host::new(Settings { limiter_count: 200, ..settings() }).with_quick_counter();
    host.tenant_limiters = 200;
    host.now = 210.0;
    assert!(host.serve("c", "plain", 2.0));
    host.respond_to_counter_calls(|amount| (Outcome::Completed, amount + 400.0));
    host.now += 1.0;
    assert!(!host.serve("c", "plain", 2.0), "the quota is used up: the bucket cannot borrow");
}

#[test]
fn totals_of_an_unknown_tenant_are_ignored() {
    let mut host = Host::new(settings());
    let name = "0123456789abcdef.10".to_string();
    assert!(host
        .handle(Event::CounterResponse(CounterResponse {
            name,
            outcome: Outcome::Completed,
            total: 5.0,
            elapsed: 0.001
        }))
        .is_empty());
    host.handle(Event::CounterResponse(CounterResponse {
        name: "no such form".into(),
        outcome: Outcome::Completed,
        total: 5.0,
        elapsed: 0.001,
    }));
}

#[test]
fn the_hard_rate_limit_holds_over_all_limiters_and_a_restart() {
    // The hard rate limit is 4 units/s with a burst of 8 and a slack of 1. One of the two limiters restarts
    // after 5 s.
    let mut hosts = [Host::new(settings()), Host::new(settings())];
    let (mut available, mut min_available) = (8.0f64, f64::MAX);
    for step in 0..1000 {
        let now = 100.0 + f64::from(step) * 0.01;
        available = (available + 0.04).min(8.0);
        if step == 500 {
            hosts[0] = Host::new(settings());
            hosts[0].now = now;
            hosts[0].limiter = Limiter::new(settings(), 8, now);
            let in_service = ServerState::InService;
            hosts[0].handle(Event::ServerList(vec![server_entry(EAST_1, "east", in_service, None)]));
        }
        for host in &mut hosts {
            host.now = now;
            if host.serve("c", "hard", 1.0) {
                available -= 1.0;
                min_available = min_available.min(available);
            }
        }
    }
    assert!(min_available >= -1.0, "{min_available}");
    assert!(min_available < 8.0, "some requests were served");
}

#[test]
fn a_plan_without_a_rate_has_no_bucket() {
    let mut host = Host::new(settings());
    assert_eq!(host.serve_until_rejected("c", "free"), 200);
}

#[test]
fn tenant_limiters_are_clamped_to_the_number_of_limiters() {
    let mut host = Host::new(settings());
    let request = Request {
        id: 1,
        tenant: "c".into(),
        plan: "plain".into(),
        class: "read".into(),
        units: 9.0,
        tenant_limiters: 50,
        is_retry: false,
        deadline: host.now + 1.0,
    };
    assert!(
        sent_to(&host.handle(Event::Request(request))).is_some(),
        "a bucket of 20 / 2 units, not of 20 / 50"
    );
    assert!(!host.serve("c", "plain", 2.0));
}

#[test]
fn the_effect_of_repeated_additions_ends_with_the_counter_window() {
    let mut host = Host::new(settings()).with_quick_counter();
    let last = run_with_totals(&mut host, "c", 1.25, 1.0);
    host.now += 1.2;
    host.serve("c", "plain", 1.0);
    // The counter added the report 40 times. Until the window ends, this limiter's part of the demand looks
    // too small.
    assert_eq!(host.respond_to_counter_calls(|amount| (Outcome::Completed, last + amount * 40.0)), 1);
    assert!(measure_share(&mut host, "c") < 7);
    run_with_totals(&mut host, "c", 1.25, 1.0);
    let share = measure_share(&mut host, "c");
    assert!((7..=8).contains(&share), "{share}");
}

#[test]
fn a_distant_counter_is_called_as_often_as_a_near_one_and_an_overloaded_one_less() {
    let calls = |elapsed: f64, outcome: Outcome| {
        let mut host = Host::new(settings());
        let mut called = 0;
        for n in 0..400 {
            host.now += 0.6;
            host.serve(&format!("c{}", n % 40), "plain", 1.0);
            for (name, amount) in std::mem::take(&mut host.pending_calls) {
                called += u32::from(n >= 200);
                host.handle(Event::CounterResponse(CounterResponse {
                    name,
                    outcome,
                    total: amount,
                    elapsed,
                }));
            }
        }
        called
    };
    // The counter timeout is 50 ms.
    let (near, far) = (calls(0.002, Outcome::Completed), calls(0.025, Outcome::Completed));
    assert!(near > 190 && far > 190, "{near} and {far} of 200 requests");
    let (overloaded, rejecting) = (calls(0.045, Outcome::Completed), calls(0.002, Outcome::Rejected));
    assert!(
        (1..40).contains(&overloaded) && (1..40).contains(&rejecting),
        "{overloaded} and {rejecting} of 200 requests"
    );
}

/// Returns a host whose limiter is one of 300, all of which receive requests of each tenant.
fn host_among_300_limiters() -> Host {
    let mut host = Host::new(Settings { limiter_count: 300, ..settings() }).with_quick_counter();
    host.tenant_limiters = 300;
    host
}

#[test]
fn none_of_hundreds_of_limiters_admits_a_retry_without_totals() {
    let submit = |host: &mut Host, tenant, is_retry| {
        host.submit_with_retry_mark(tenant, "plain", "read", 1.0, is_retry).1
    };
    let mut host = host_among_300_limiters();
    assert!(sent_to(&submit(&mut host, "a", false)).is_some(), "a new tenant has a full bucket");
    let actions = submit(&mut host, "b", true);
    let retry_after = actions.iter().find_map(|a| match a {
        Action::Reject { retry_after, .. } => Some(*retry_after),
        _ => None,
    });
    assert!(sent_to(&actions).is_none() && retry_after > Some(0.0), "{actions:?}");
    // With only two limiters, the bucket of each holds its part of the burst, so that a retry is admitted.
    host.tenant_limiters = 2;
    assert!(sent_to(&submit(&mut host, "c", true)).is_some());
}

#[test]
fn the_first_totals_of_a_rare_tenant_apply_at_once() {
    // The first totals show that other limiters use more than the quota. If the moving average started at
    // zero, a part of the quota would look idle, and the bucket would borrow it.
    let mut host = host_among_300_limiters();
    host.now = (host.now / 20.0).ceil() * 20.0 + 10.0;
    assert!(host.serve("c", "plain", 2.0));
    // 128 units in the 10 s since the counter window started.
    assert_eq!(host.respond_to_counter_calls(|amount| (Outcome::Completed, amount + 128.0)), 1);
    host.now += 0.6;
    assert!(!host.serve("c", "plain", 2.0), "the quota is used up");
}
