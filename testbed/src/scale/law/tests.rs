use super::*;

/// Guards against a fleet of another size than the one asked for.
#[test]
fn the_sizes_are_skewed_and_add_up() {
    let sizes = sizes();
    assert_eq!((sizes.len(), sizes.iter().sum::<u32>()), (SERVICES, ENDPOINTS));
    assert!(sizes.is_sorted_by(|larger, smaller| larger >= smaller) && sizes[SERVICES - 1] >= 1);
    let expected = f64::from(sizes[0]) / 100f64.powf(SKEW);
    assert!((f64::from(sizes[99]) - expected).abs() < 2.0, "{} {expected}", sizes[99]);
}

/// Guards against a mean that is off what the operators have said, and against a service that calls itself.
#[test]
fn a_client_proxy_calls_about_340_endpoints() {
    let (fleet, again) = (Fleet::draw(3), Fleet::draw(3));
    assert_eq!(fleet.calls, again.calls);
    assert_ne!(fleet.calls, Fleet::draw(4).calls);
    for (caller, calls) in fleet.calls.iter().enumerate() {
        assert!(!calls.contains(&caller) && CALLS.contains(&(calls.len() as u32)));
    }
    let held: Vec<(u32, u32)> = (0..SERVICES).map(|s| (fleet.held_by(s), 1)).collect();
    assert!((300.0..380.0).contains(&mean(&held)), "{}", mean(&held));
    assert!(held.iter().all(|(held, _)| *held < fleet.worst()));
}

/// Guards against endpoints counted as concerned that are not: both sides count the same pairs of caller and called.
#[test]
fn who_is_concerned_mirrors_who_calls() {
    let fleet = Fleet::draw(1);
    let pairs = |of: u32, by: u32| u64::from(of) * u64::from(by);
    let held: u64 = (0..SERVICES).map(|s| pairs(fleet.held_by(s), fleet.sizes[s])).sum();
    let concerned: u64 = fleet.concerned().into_iter().zip(&fleet.sizes).map(|(c, &s)| pairs(c, s)).sum();
    assert_eq!(held, concerned);
}

#[test]
fn a_percentile_goes_by_weight() {
    let mut values = [(10, 1), (30, 1), (20, 98)];
    assert_eq!([1.0, 2.0, 99.0, 100.0].map(|p| percentile(&mut values, p)), [10, 20, 20, 30]);
}
