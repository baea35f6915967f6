use rand_core::SeedableRng;
use rand_pcg::Pcg32;

use super::*;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn sources(near: u16, far: u16, rng: &mut Pcg32) -> Sources {
    let near: Vec<SocketAddr> = (1..=near).map(address).collect();
    let far: Vec<SocketAddr> = (101..101 + far).map(address).collect();
    Sources::new(&near, &far, rng).expect("at least one source")
}

/// All clients of a relay see it fail at the same moment. If they all went to the same relay, or at the same
/// moment, they would overload it.
#[test]
fn clients_of_failed_source_spread_out() {
    let rng = &mut Pcg32::seed_from_u64(1);
    let mut clients_by_source = std::collections::BTreeMap::<SocketAddr, usize>::new();
    let mut clients_by_delay = [0; 5];
    for _ in 0..2000 {
        let mut client = sources(5, 2, rng);
        while client.address() != address(1) {
            client = sources(5, 2, rng);
        }
        let Fallback::NextSource(delay) = client.on_failure(Duration::ZERO, rng) else {
            panic!("other sources are left")
        };
        assert!(delay < FAILOVER_SPREAD);
        clients_by_delay[(delay.as_millis() / 100) as usize] += 1;
        *clients_by_source.entry(client.address()).or_default() += 1;
    }
    assert_eq!(clients_by_source.len(), 4, "the other near sources and no far one: {clients_by_source:?}");
    assert!(clients_by_source.values().all(|count| (400..600).contains(count)), "{clients_by_source:?}");
    assert!(clients_by_delay.iter().all(|count| (300..500).contains(count)), "{clients_by_delay:?}");
}

/// A client must not report `AllFailed` while there is a source that it has not tried. Once it has tried all,
/// it has to report it, so that the caller backs off.
#[test]
fn each_source_is_tried_once_before_all_failed() {
    let rng = &mut Pcg32::seed_from_u64(2);
    let mut client = sources(2, 3, rng);
    let mut tried = Vec::new();
    for attempt in 1..=5 {
        tried.push(client.address());
        let fallback = client.on_failure(Duration::ZERO, rng);
        assert_eq!(fallback == Fallback::AllFailed, attempt == 5, "after {attempt}: {fallback:?}");
    }
    assert!(tried[..2].iter().all(|address| address.port() < 100), "near ones first: {tried:?}");
    tried.sort();
    tried.dedup();
    assert_eq!(tried.len(), 5);
    let mut single = sources(1, 0, rng);
    assert!(single.is_single());
    assert_eq!(single.on_failure(Duration::ZERO, rng), Fallback::AllFailed);
}

/// A client that failed over to a far source must return to a near one eventually, but not while that one is
/// still in quarantine.
#[test]
fn client_of_far_source_fails_back_to_near() {
    let rng = &mut Pcg32::seed_from_u64(3);
    let mut client = sources(1, 1, rng);
    assert_eq!(client.address(), address(1));
    client.on_failure(Duration::ZERO, rng);
    client.on_response();
    assert_eq!(client.address(), address(101));
    assert!(!client.fail_back(FAILBACK_AFTER.mul_f64(0.4), rng), "too early");
    assert!(client.fail_back(FAILBACK_AFTER, rng));
    assert_eq!(client.address(), address(1));
    assert!(!client.fail_back(2 * FAILBACK_AFTER, rng), "already near");
}

/// A source that fails each time must be polled less and less often, while healthy sources are available.
#[test]
fn quarantine_grows_while_source_keeps_failing() {
    let rng = &mut Pcg32::seed_from_u64(4);
    let mut client = sources(3, 0, rng);
    let (mut now, mut failures) = (Duration::ZERO, 0);
    while now < Duration::from_secs(600) {
        if client.address() == address(1) {
            failures += 1;
            client.on_failure(now, rng);
        } else {
            client.on_response();
            // Each second one poll of a healthy source fails, so that every source out of quarantine is
            // tried.
            client.on_failure(now, rng);
        }
        now += Duration::from_secs(1);
    }
    assert!((8..100).contains(&failures), "{failures} of 600");
}
