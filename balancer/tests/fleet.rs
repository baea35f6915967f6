//! Slow start in a fleet: all balancers together must not overload an endpoint in slow start, though they do
//! not communicate.

mod common;

use std::collections::BTreeMap;

use balancer::*;
use common::fleet::*;
use common::*;

/// Number of balancers, and whether one in ten of them gets half of the traffic.
const SIZES_AND_SKEW: [(u32, bool); 7] =
    [(1, false), (4, false), (4, true), (30, false), (30, true), (300, false), (300, true)];

/// When all endpoints are in slow start, no balancer knows their capacity, and each balancer may try each
/// endpoint with one request. The requests of all balancers together must not overload an endpoint.
#[test]
fn starting_fleet_is_not_overloaded() {
    for (count, skewed) in SIZES_AND_SKEW {
        let mut fleet = Fleet::new(count, skewed, (1..=4).map(|id| started_endpoint(id, 1000.0)).collect());
        fleet.run(7000.0, 300.0);
        for id in 1..=4 {
            let peak_load = fleet.peak_load(EndpointId(id), 0.0);
            assert!(
                peak_load <= 1.0,
                "{count} balancers, skewed {skewed}: {peak_load} times the capacity of endpoint {id}"
            );
        }
        assert!(fleet.served > 150, "{count} balancers, skewed {skewed}: {} served", fleet.served);
    }
}

/// All warmed-up endpoints are removed at once, and only one in slow start remains. Then most balancers are
/// restarted in the middle of its slow start. The budgets that all balancers have accumulated for it must not
/// be spent together.
#[test]
fn last_endpoint_in_slow_start_is_not_overloaded() {
    for (count, skewed) in SIZES_AND_SKEW {
        let warmed_up = |n: u32| (1..=n).map(endpoint).collect::<Vec<_>>();
        let mut fleet = Fleet::new(count, skewed, warmed_up(6));
        fleet.run(3000.0, 80.0);
        let (now, mut endpoint_list) = (fleet.now(), warmed_up(6));
        endpoint_list.push(started_endpoint(9, now));
        fleet.update_endpoints(endpoint_list.clone());
        fleet.run(2000.0, 80.0);
        fleet.update_endpoints(endpoint_list.split_off(6));
        fleet.run(1500.0, 300.0);
        fleet.restart(|index| index % 10 < 7);
        fleet.run(1500.0, 300.0);
        let peak_load = fleet.peak_load(EndpointId(9), now);
        assert!(peak_load <= 1.0, "{count} balancers, skewed {skewed}: {peak_load} times its capacity");
    }
}

/// An endpoint is listed as draining for most of its slow start, while others like it are in use, and then it
/// serves. The budgets that all balancers have accumulated for it over that time must not be spent together.
#[test]
fn unused_budgets_are_not_spent_together() {
    let mut settings = settings();
    (settings.contract.warm_up, settings.contract.overload_window, settings.contract.overload_multiple) =
        (20_000.0, 1000.0, 4.0);
    for count in [30, 300] {
        let warmed_up: Vec<EndpointEntry> = (1..=6).map(endpoint).collect();
        let mut fleet = Fleet::with_settings(settings.clone(), count, false, warmed_up.clone());
        fleet.run(2000.0, 140.0);
        let unused = EndpointEntry { state: EndpointState::Draining, ..started_endpoint(9, fleet.now()) };
        fleet.update_endpoints(warmed_up.into_iter().chain([unused.clone()]).collect());
        fleet.run(15_000.0, 140.0);
        fleet.update_endpoints(vec![EndpointEntry { state: EndpointState::Up, ..unused }]);
        fleet.run(1500.0, 2000.0);
        let peak_load = fleet.peak_load(EndpointId(9), 0.0);
        assert!(peak_load <= 1.0, "{count} balancers: {peak_load} times its capacity");
    }
}

/// Endpoints that exist from the beginning.
const INITIAL_ENDPOINTS: [u32; 6] = [1, 2, 3, 4, 5, 6];
/// An endpoint that starts later.
const NEW_ENDPOINT: u32 = 9;
/// Requests per second, far below the capacity of the warmed-up endpoints.
const LOW_LOAD: f64 = 3.0;
/// Requests per second, 80 % of the capacity of the warmed-up endpoints.
const NORMAL_LOAD: f64 = 120.0;
/// Requests per second, twice the capacity of the warmed-up endpoints.
const OVERLOAD: f64 = 300.0;
/// Requests per second that keep a request waiting at each balancer, even if many balancers share them.
const SUSTAINED_OVERLOAD: f64 = 1200.0;
/// Four times the service time that balancers assume before the first response.
const LONG_SERVICE_TIME_MS: f64 = 4.0 * SERVICE_TIME_MS;

/// Less initial capacity, a longer slow start, and a shorter overload window.
fn slower_warm_up() -> Settings {
    let mut settings = settings();
    (settings.contract.initial_capacity, settings.contract.warm_up) = (0.12, 20_000.0);
    (settings.contract.overload_window, settings.contract.overload_multiple) = (1000.0, 4.0);
    settings
}

/// Relative shares of the traffic: all equal, and one balancer with half of all traffic.
fn traffic_shares(count: u32) -> Vec<Vec<f64>> {
    let equal = vec![1.0; count as usize];
    let mut half = equal.clone();
    half[count as usize / 2] = f64::from(count - 1);
    if count > 1 { vec![equal, half] } else { vec![equal] }
}

/// Runs a scenario with fleets of several sizes, seeds and settings, and for each entry of `queues` with or
/// without queues at the endpoints. The scenario returns an endpoint and the time from which this endpoint
/// must not be overloaded.
fn assert_no_overload(queues: &[bool], scenario: impl Fn(&mut Fleet) -> (u32, f64)) {
    for (count, seeds) in [(1, 4), (2, 4), (5, 4), (30, 3), (300, 1)] {
        for (shares, settings) in traffic_shares(count)
            .into_iter()
            .flat_map(|shares| [(shares.clone(), settings()), (shares, slower_warm_up())])
        {
            for (seed, queue) in (0..seeds).flat_map(|seed| queues.iter().map(move |queue| (seed, *queue))) {
                let mut fleet = Fleet::with_seed(settings.clone(), shares.clone(), endpoints(6), seed);
                fleet.queue_ends = queue.then(BTreeMap::new);
                let (id, from) = scenario(&mut fleet);
                let (peak_load, max_share) =
                    (fleet.peak_load(EndpointId(id), from), shares.iter().fold(0.0, |a: f64, b| a.max(*b)));
                assert!(
                    peak_load <= 1.0,
                    "{count} balancers, max share {max_share}, seed {seed}, queue {queue}: load {peak_load}"
                );
            }
        }
    }
}

#[test]
fn slow_start_limits_any_load() {
    for load in [LOW_LOAD, NORMAL_LOAD, OVERLOAD] {
        assert_no_overload(&[false, true], |fleet| {
            fleet.run(4000.0, load);
            let from = fleet.start_endpoints(&[NEW_ENDPOINT]);
            fleet.run(4000.0, load);
            (NEW_ENDPOINT, from)
        });
    }
}

#[test]
fn slow_start_limits_burst_after_low_load() {
    for low_load in [0.0, 1.0, 40.0] {
        assert_no_overload(&[false, true], |fleet| {
            fleet.run(4000.0, NORMAL_LOAD);
            fleet.run(10_000.0, low_load);
            let from = fleet.start_endpoints(&[NEW_ENDPOINT]);
            fleet.run(3000.0, low_load);
            fleet.run(2000.0, 2.0 * OVERLOAD);
            (NEW_ENDPOINT, from)
        });
    }
}

/// The only warmed-up endpoint is overloaded. What it is sent is no measure of what an endpoint can serve.
#[test]
fn slow_start_limits_beside_overloaded_endpoint() {
    assert_no_overload(&[true], |fleet| {
        fleet.run(4000.0, NORMAL_LOAD);
        fleet.keep_only(&[6]);
        fleet.run(1000.0, OVERLOAD);
        let from = fleet.start_endpoints(&[NEW_ENDPOINT]);
        fleet.run(4000.0, OVERLOAD);
        (NEW_ENDPOINT, from)
    });
}

/// Errors and rejections come at once and cause retries. They show nothing of what a warmed-up endpoint can
/// serve, and retries are counted against the budget of an endpoint in slow start.
#[test]
fn slow_start_limits_retries() {
    for (fault, load) in [(Fault::Fails, NORMAL_LOAD), (Fault::Fails, OVERLOAD), (Fault::Rejects, OVERLOAD)] {
        assert_no_overload(&[false, true], |fleet| {
            fleet.run(4000.0, NORMAL_LOAD);
            let from = fleet.start_endpoints(&[NEW_ENDPOINT]);
            fleet.inject_fault(&INITIAL_ENDPOINTS, fault);
            fleet.run(4000.0, load);
            assert!(fleet.retries > 10, "{} retries", fleet.retries);
            (NEW_ENDPOINT, from)
        });
    }
}

/// The warmed-up endpoints fail a part of the requests. The more of them fail, the more they can be sent,
/// which must not count as capacity.
#[test]
fn slow_start_limits_with_partial_failures() {
    for tenths in [2, 4, 6, 8] {
        assert_no_overload(&[false, true], |fleet| {
            fleet.run(4000.0, NORMAL_LOAD);
            let from = fleet.start_endpoints(&[NEW_ENDPOINT]);
            fleet.inject_fault(&INITIAL_ENDPOINTS, Fault::FailsTenths(tenths));
            fleet.run(4000.0, OVERLOAD);
            (NEW_ENDPOINT, from)
        });
    }
}

/// All warmed-up endpoints fail, and only the one in slow start is left. Its budget is still derived from
/// what the others were known to serve before they failed.
#[test]
fn slow_start_endpoint_serves_when_others_fail() {
    let attempts_to_new_endpoint = |others_fail: bool| {
        let mut fleet = Fleet::with_seed(settings(), vec![1.0; 5], endpoints(6), 0);
        fleet.queue_ends = Some(BTreeMap::new());
        fleet.run(4000.0, NORMAL_LOAD);
        fleet.start_endpoints(&[NEW_ENDPOINT]);
        if others_fail {
            fleet.inject_fault(&INITIAL_ENDPOINTS, Fault::Fails);
        }
        fleet.run(7500.0, NORMAL_LOAD);
        fleet.attempts.iter().filter(|(_, endpoint)| *endpoint == EndpointId(NEW_ENDPOINT)).count()
    };
    let (alone, among_others) = (attempts_to_new_endpoint(true), attempts_to_new_endpoint(false));
    assert!(2 * alone > among_others, "{alone} attempts if all others fail, {among_others} if they serve");
}

#[test]
fn slow_start_limits_retries_in_starting_fleet() {
    assert_no_overload(&[false, true], |fleet| {
        let from = fleet.start_endpoints(&INITIAL_ENDPOINTS);
        fleet.inject_fault(&[1, 2, 4, 5, 6], Fault::Fails);
        fleet.run(6000.0, OVERLOAD);
        (3, from)
    });
}

/// Attempts to stalled endpoints time out, and their requests are retried before the client's deadline.
#[test]
fn slow_start_limits_early_retries() {
    assert_no_overload(&[false], |fleet| {
        fleet.run(4000.0, NORMAL_LOAD);
        fleet.inject_fault(&[1, 2, 3], Fault::Stalls);
        fleet.run(6000.0, NORMAL_LOAD);
        let (from, before) = (fleet.start_endpoints(&[NEW_ENDPOINT]), fleet.timed_out);
        fleet.inject_fault(&[4, 5, 6], Fault::Stalls);
        fleet.run(4000.0, NORMAL_LOAD);
        assert!(fleet.timed_out > before, "no attempt timed out");
        (NEW_ENDPOINT, from)
    });
}

/// During an upgrade, two processes with the same balancer index send requests.
#[test]
fn slow_start_limits_during_upgrade() {
    for (ids, load) in [(&[NEW_ENDPOINT][..], NORMAL_LOAD), (&INITIAL_ENDPOINTS, OVERLOAD)] {
        assert_no_overload(&[false, true], |fleet| {
            fleet.run(if ids == [NEW_ENDPOINT] { 4000.0 } else { 0.0 }, load);
            let from = fleet.start_endpoints(ids);
            fleet.run(300.0, load);
            fleet.add_second_processes();
            fleet.run(4000.0, load);
            (ids[ids.len() / 2], from)
        });
    }
    assert_no_overload(&[false, true], |fleet| {
        fleet.keep_only(&[]);
        let from = fleet.start_endpoints(&[NEW_ENDPOINT]);
        fleet.run(100.0, OVERLOAD);
        fleet.add_second_processes();
        fleet.run(4000.0, OVERLOAD);
        (NEW_ENDPOINT, from)
    });
}

/// Endpoints restart again and again within the overload window, by themselves or by an operator: one
/// endpoint among others that are warmed up, or all endpoints.
#[test]
fn slow_start_limits_repeated_restarts() {
    for (ids, by_operator) in
        [(&[3][..], false), (&[3], true), (&INITIAL_ENDPOINTS, false), (&INITIAL_ENDPOINTS, true)]
    {
        assert_no_overload(&[false, true], |fleet| {
            fleet.run(if ids == [3] { 4000.0 } else { 0.0 }, NORMAL_LOAD);
            let from = fleet.now();
            for _ in 0..8 {
                match by_operator {
                    true => ids.iter().for_each(|id| fleet.restart_by_operator(EndpointId(*id))),
                    false => drop(fleet.start_endpoints(ids)),
                }
                fleet.run(200.0, OVERLOAD);
            }
            fleet.keep_only(&[3]);
            fleet.run(2000.0, OVERLOAD);
            (3, from)
        });
    }
}

/// Balancers that have two processes: none, the middle one, or one in ten.
const SECOND_PROCESSES: [Option<usize>; 3] = [None, Some(usize::MAX), Some(10)];

/// All endpoints are in slow start, and requests take four times as long as balancers assume before the first
/// response has shown otherwise. Balancers whose subset does not include an endpoint must not take turns at
/// it beyond those of its rotation.
#[test]
fn slow_start_limits_unknown_long_requests() {
    for nth in SECOND_PROCESSES {
        assert_no_overload(&[false, true], |fleet| {
            fleet.service_time_ms = LONG_SERVICE_TIME_MS;
            let from = fleet.start_endpoints(&INITIAL_ENDPOINTS);
            fleet.run(300.0, SUSTAINED_OVERLOAD);
            nth.into_iter().for_each(|nth| fleet.add_second_process_each(nth));
            fleet.run(6000.0, SUSTAINED_OVERLOAD);
            fleet.most_loaded(&INITIAL_ENDPOINTS, from)
        });
    }
}

/// The same, with a burst after a time in which most turns were left unused.
#[test]
fn slow_start_limits_burst_of_long_requests() {
    for nth in SECOND_PROCESSES {
        for low_load_ms in [2500.0, 5500.0] {
            assert_no_overload(&[true], |fleet| {
                fleet.service_time_ms = LONG_SERVICE_TIME_MS;
                let from = fleet.start_endpoints(&INITIAL_ENDPOINTS);
                nth.into_iter().for_each(|nth| fleet.add_second_process_each(nth));
                fleet.run(low_load_ms, LOW_LOAD);
                fleet.run(2000.0, SUSTAINED_OVERLOAD);
                fleet.most_loaded(&INITIAL_ENDPOINTS, from)
            });
        }
    }
}

/// All balancers, or one in ten, are restarted without state in the middle of the slow start.
#[test]
fn slow_start_limits_after_balancer_restarts() {
    for nth in [1, 10] {
        assert_no_overload(&[true], |fleet| {
            fleet.service_time_ms = LONG_SERVICE_TIME_MS;
            let from = fleet.start_endpoints(&INITIAL_ENDPOINTS);
            fleet.run(3500.0, SUSTAINED_OVERLOAD);
            fleet.restart(|index| index % nth == 0);
            fleet.run(3000.0, SUSTAINED_OVERLOAD);
            fleet.most_loaded(&INITIAL_ENDPOINTS, from)
        });
    }
}

/// All warmed-up endpoints begin to fail in the middle of a slow start. When the endpoints of a balancer's
/// subset are ejected, an endpoint in slow start that is not in the subset must not replace them.
#[test]
fn slow_start_limits_when_others_fail() {
    for (fault, load) in [(Fault::Fails, OVERLOAD), (Fault::Rejects, OVERLOAD), (Fault::Stalls, NORMAL_LOAD)]
    {
        assert_no_overload(&[false, true], |fleet| {
            fleet.run(4000.0, NORMAL_LOAD);
            let from = fleet.start_endpoints(&[NEW_ENDPOINT]);
            fleet.run(2000.0, NORMAL_LOAD);
            fleet.inject_fault(&INITIAL_ENDPOINTS, fault);
            fleet.run(4000.0, load);
            (NEW_ENDPOINT, from)
        });
    }
}

/// If turns of one balancer at several endpoints came at the same time, only one of them could be used. Turns
/// are spread over time whatever the identifiers of the endpoints.
#[test]
fn slow_start_is_independent_of_endpoint_ids() {
    for (count, skewed) in SIZES_AND_SKEW {
        for first in [1, 5, 9, 40] {
            let mut fleet = Fleet::new(
                count,
                skewed,
                (first..first + 4).map(|id| started_endpoint(id, 1000.0)).collect(),
            );
            fleet.run(7000.0, 300.0);
            assert!(
                fleet.served > 150,
                "{count} balancers, skewed {skewed}, first id {first}: {} served",
                fleet.served
            );
        }
    }
}
