use super::*;

/// Rounding the sizes down loses endpoints; without the remainder being distributed the fleet would be too
/// small.
#[test]
fn service_sizes_are_skewed_and_complete() {
    let sizes = sizes();
    assert_eq!((sizes.len(), sizes.iter().sum::<u32>()), (SERVICES, ENDPOINTS));
    assert!(sizes.is_sorted_by(|larger, smaller| larger >= smaller) && sizes[SERVICES - 1] >= 1);
    let expected = f64::from(sizes[0]) / 100f64.powf(SKEW);
    assert!((f64::from(sizes[99]) - expected).abs() < 2.0, "{} {expected}", sizes[99]);
}

/// The operators state about 340 endpoints for each client proxy; the model has to reproduce that mean. A
/// service that called itself would count its own endpoints.
#[test]
fn client_proxy_calls_about_340_endpoints() {
    let (fleet, same_seed) = (Fleet::draw(3), Fleet::draw(3));
    assert_eq!(fleet.calls, same_seed.calls);
    assert_ne!(fleet.calls, Fleet::draw(4).calls);
    for (caller, calls) in fleet.calls.iter().enumerate() {
        assert!(!calls.contains(&caller) && CALLED_SERVICES.contains(&(calls.len() as u32)));
    }
    let endpoint_counts: Vec<(u32, u32)> =
        (0..SERVICES).map(|service| (fleet.endpoints_called_by(service), 1)).collect();
    assert!((300.0..380.0).contains(&mean(&endpoint_counts)), "{}", mean(&endpoint_counts));
    assert!(endpoint_counts.iter().all(|(count, _)| *count < fleet.twenty_largest()));
}

/// Endpoints called by all client proxies, and client proxies affected by all endpoints, are the same pairs
/// counted from both sides. Different sums mean that one side counts pairs that do not exist.
#[test]
fn affected_proxies_match_callers() {
    let fleet = Fleet::draw(1);
    let pairs = |count: u32, size: u32| u64::from(count) * u64::from(size);
    let endpoint_pairs: u64 =
        (0..SERVICES).map(|service| pairs(fleet.endpoints_called_by(service), fleet.sizes[service])).sum();
    let proxy_pairs: u64 =
        fleet.affected_proxies().into_iter().zip(&fleet.sizes).map(|(count, &size)| pairs(count, size)).sum();
    assert_eq!(endpoint_pairs, proxy_pairs);
}

#[test]
fn percentile_is_weighted() {
    let mut values = [(10, 1), (30, 1), (20, 98)];
    assert_eq!([1.0, 2.0, 99.0, 100.0].map(|percent| percentile(&mut values, percent)), [10, 20, 20, 30]);
}
