//! Many balancers together: what cold endpoints bear of all of them.

mod common;

use std::collections::BTreeMap;

use balancer::*;
use common::fleet::*;
use common::*;

const FLEETS: [(u32, bool); 7] =
    [(1, false), (4, false), (4, true), (30, false), (30, true), (300, false), (300, true)];

/// Guards against cold endpoints that fall under the sum of what all send: where none was ever warm each
/// balancer has one request to try each endpoint with.
#[test]
fn endpoints_that_are_all_cold_are_not_pushed_over_by_the_sum() {
    for (count, skewed) in FLEETS {
        let mut fleet = Fleet::new(count, skewed, (1..=4).map(|id| cold(id, 1000.0)).collect());
        fleet.run(7000.0, 300.0);
        for id in 1..=4 {
            let worst = fleet.worst(EndpointId(id), 0.0);
            assert!(worst <= 1.0, "{count} balancers, skewed {skewed}: {worst} times what host {id} bears");
        }
        assert!(fleet.served > 150, "{count} balancers, skewed {skewed}: {} served", fleet.served);
    }
}

/// Guards against what all have saved up: the warm endpoints go at once, and a cold one is all that is left;
/// then most of the balancers are started anew in the middle of its ramp.
#[test]
fn a_cold_endpoint_that_is_left_alone_is_not_pushed_over_by_the_sum() {
    for (count, skewed) in FLEETS {
        let warm = |n: u32| (1..=n).map(endpoint).collect::<Vec<_>>();
        let mut fleet = Fleet::new(count, skewed, warm(6));
        fleet.run(3000.0, 80.0);
        let (now, mut list) = (fleet.now(), warm(6));
        list.push(cold(9, now));
        fleet.tell(list.clone());
        fleet.run(2000.0, 80.0);
        fleet.tell(list.split_off(6));
        fleet.run(1500.0, 300.0);
        fleet.restart(|me| me % 10 < 7);
        fleet.run(1500.0, 300.0);
        let worst = fleet.worst(EndpointId(9), now);
        assert!(worst <= 1.0, "{count} balancers, skewed {skewed}: {worst} times what it bears");
    }
}

/// Guards against what all have saved up over a long time: a cold endpoint that could not be used for most of
/// its ramp, while others like it were, is then all that is left.
#[test]
fn savings_for_a_cold_endpoint_that_was_out_of_use_are_not_spent_together() {
    let mut s = settings();
    (s.contract.warm_up, s.contract.overload_window, s.contract.overload_multiple) = (20_000.0, 1000.0, 4.0);
    for count in [30, 300] {
        let warm: Vec<EndpointEntry> = (1..=6).map(endpoint).collect();
        let mut fleet = Fleet::under(s.clone(), count, false, warm.clone());
        fleet.run(2000.0, 140.0);
        let unused = EndpointEntry { state: EndpointState::Draining, ..cold(9, fleet.now()) };
        fleet.tell(warm.into_iter().chain([unused.clone()]).collect());
        fleet.run(15_000.0, 140.0);
        fleet.tell(vec![EndpointEntry { state: EndpointState::Up, ..unused }]);
        fleet.run(1500.0, 2000.0);
        let worst = fleet.worst(EndpointId(9), 0.0);
        assert!(worst <= 1.0, "{count} balancers: {worst} times what it bears");
    }
}

/// The endpoints that are there before, and one that joins them.
const WARM: [u32; 6] = [1, 2, 3, 4, 5, 6];
const NEW: u32 = 9;
/// Requests a second: little, a usual load for the warm ones, twice what they can do.
const LITTLE: f64 = 3.0;
const USUAL: f64 = 120.0;
const BURST: f64 = 300.0;
/// What keeps a request waiting at each balancer, also where many share it.
const HEAVY: f64 = 1200.0;
/// Times what balancers take a request to need before the first answer.
const HARD_WORK: f64 = 4.0 * WORK;

/// Colder and slower, with a shorter window.
fn colder() -> Settings {
    let mut s = settings();
    (s.contract.initial_capacity, s.contract.warm_up) = (0.12, 20_000.0);
    (s.contract.overload_window, s.contract.overload_multiple) = (1000.0, 4.0);
    s
}

/// The traffic's parts: equal ones, and one that has half.
fn shapes(count: u32) -> Vec<Vec<f64>> {
    let equal = vec![1.0; count as usize];
    let mut half = equal.clone();
    half[count as usize / 2] = f64::from(count - 1);
    if count > 1 { vec![equal, half] } else { vec![equal] }
}

/// Plays a day with fleets of many sizes and seeds, where endpoints queue and where they do not. A day gives
/// the endpoint and since when it is cold.
fn bears(queues: &[bool], day: impl Fn(&mut Fleet) -> (u32, f64)) {
    for (count, seeds) in [(1, 4), (2, 4), (5, 4), (30, 3), (300, 1)] {
        for (parts, s) in
            shapes(count).into_iter().flat_map(|parts| [(parts.clone(), settings()), (parts, colder())])
        {
            for (seed, queue) in (0..seeds).flat_map(|seed| queues.iter().map(move |queue| (seed, *queue))) {
                let mut fleet = Fleet::seeded(s.clone(), parts.clone(), endpoints(6), seed);
                fleet.queues = queue.then(BTreeMap::new);
                let (id, from) = day(&mut fleet);
                let (worst, most) =
                    (fleet.worst(EndpointId(id), from), parts.iter().fold(0.0, |a: f64, b| a.max(*b)));
                assert!(worst <= 1.0, "{count} balancers, one with {most} parts, {seed}, {queue}: {worst}");
            }
        }
    }
}

#[test]
fn slow_start_binds_under_usual_load_and_overload() {
    for load in [LITTLE, USUAL, BURST] {
        bears(&[false, true], |fleet| {
            fleet.run(4000.0, load);
            let from = fleet.start(&[NEW]);
            fleet.run(4000.0, load);
            (NEW, from)
        });
    }
}

#[test]
fn slow_start_binds_in_a_burst_after_quiet_time() {
    for quiet in [0.0, 1.0, 40.0] {
        bears(&[false, true], |fleet| {
            fleet.run(4000.0, USUAL);
            fleet.run(10_000.0, quiet);
            let from = fleet.start(&[NEW]);
            fleet.run(3000.0, quiet);
            fleet.run(2000.0, 2.0 * BURST);
            (NEW, from)
        });
    }
}

/// The last warm one is jammed by what many sent: what it gets is no measure of what it can do.
#[test]
fn slow_start_binds_beside_a_jammed_endpoint() {
    bears(&[true], |fleet| {
        fleet.run(4000.0, USUAL);
        fleet.keep(&[6]);
        fleet.run(1000.0, BURST);
        let from = fleet.start(&[NEW]);
        fleet.run(4000.0, BURST);
        (NEW, from)
    });
}

/// Errors come at once and draw retries: neither says what a warm endpoint can do, and retries are charged.
#[test]
fn slow_start_binds_for_retries_of_what_failed_elsewhere() {
    for (conduct, load) in [(Conduct::Fails, USUAL), (Conduct::Fails, BURST), (Conduct::Rejects, BURST)] {
        bears(&[false, true], |fleet| {
            fleet.run(4000.0, USUAL);
            let from = fleet.start(&[NEW]);
            fleet.conducts(&WARM, conduct);
            fleet.run(4000.0, load);
            assert!(fleet.retries > 10, "{} retries", fleet.retries);
            (NEW, from)
        });
    }
}

/// The same where some are served: the more an endpoint fails, the more it can be sent.
#[test]
fn slow_start_binds_where_endpoints_fail_some_of_what_they_are_sent() {
    for of_ten in [2, 4, 6, 8] {
        bears(&[false, true], |fleet| {
            fleet.run(4000.0, USUAL);
            let from = fleet.start(&[NEW]);
            fleet.conducts(&WARM, Conduct::FailsSome(of_ten));
            fleet.run(4000.0, BURST);
            (NEW, from)
        });
    }
}

/// A fleet whose warm endpoints all fail is left with the cold one: what they were known to take before still
/// counts.
#[test]
fn a_cold_endpoint_is_used_while_all_warm_ones_fail() {
    let served = |fails: bool| {
        let mut fleet = Fleet::seeded(settings(), vec![1.0; 5], endpoints(6), 0);
        fleet.queues = Some(BTreeMap::new());
        fleet.run(4000.0, USUAL);
        fleet.start(&[NEW]);
        if fails {
            fleet.conducts(&WARM, Conduct::Fails);
        }
        fleet.run(7500.0, USUAL);
        fleet.sent.iter().filter(|(_, endpoint)| *endpoint == EndpointId(NEW)).count()
    };
    let (alone, among_others) = (served(true), served(false));
    assert!(2 * alone > among_others, "{alone} where all others fail, {among_others} where they serve");
}

#[test]
fn slow_start_binds_for_retries_where_no_endpoint_was_ever_warm() {
    bears(&[false, true], |fleet| {
        let from = fleet.start(&WARM);
        fleet.conducts(&[1, 2, 4, 5, 6], Conduct::Fails);
        fleet.run(6000.0, BURST);
        (3, from)
    });
}

/// Requests whose attempt hangs are sent again before the client's time is up.
#[test]
fn slow_start_binds_for_hedged_requests() {
    bears(&[false], |fleet| {
        fleet.run(4000.0, USUAL);
        fleet.conducts(&[1, 2, 3], Conduct::Silent);
        fleet.run(6000.0, USUAL);
        let (from, before) = (fleet.start(&[NEW]), fleet.given_up);
        fleet.conducts(&[4, 5, 6], Conduct::Silent);
        fleet.run(4000.0, USUAL);
        assert!(fleet.given_up > before, "nothing was given up");
        (NEW, from)
    });
}

#[test]
fn slow_start_binds_while_two_processes_of_one_number_send() {
    for (started, load) in [(&[NEW][..], USUAL), (&WARM, BURST)] {
        bears(&[false, true], |fleet| {
            fleet.run(if started == [NEW] { 4000.0 } else { 0.0 }, load);
            let from = fleet.start(started);
            fleet.run(300.0, load);
            fleet.double();
            fleet.run(4000.0, load);
            (started[started.len() / 2], from)
        });
    }
    bears(&[false, true], |fleet| {
        fleet.keep(&[]);
        let from = fleet.start(&[NEW]);
        fleet.run(100.0, BURST);
        fleet.double();
        fleet.run(4000.0, BURST);
        (NEW, from)
    });
}

/// Started again and again within the window, by itself or by operators: a warm one among others, or all of
/// them.
#[test]
fn slow_start_binds_over_several_starts_within_its_window() {
    for (started, by_operator) in [(&[3][..], false), (&[3], true), (&WARM, false), (&WARM, true)] {
        bears(&[false, true], |fleet| {
            fleet.run(if started == [3] { 4000.0 } else { 0.0 }, USUAL);
            let from = fleet.now();
            for _ in 0..8 {
                match by_operator {
                    true => started.iter().for_each(|id| fleet.put_back(EndpointId(*id))),
                    false => drop(fleet.start(started)),
                }
                fleet.run(200.0, BURST);
            }
            fleet.keep(&[3]);
            fleet.run(2000.0, BURST);
            (3, from)
        });
    }
}

/// Of the numbers of balancers, one in so many has two processes: none, that in the middle, one in ten.
const DOUBLED: [Option<usize>; 3] = [None, Some(usize::MAX), Some(10)];

/// All are cold, and the work is four times what balancers take it for before an answer has taught them
/// better: turns of balancers whose part an endpoint is not come on top of those that its round has.
#[test]
fn slow_start_binds_where_nothing_is_known_of_heavier_work() {
    for nth in DOUBLED {
        bears(&[false, true], |fleet| {
            fleet.work = HARD_WORK;
            let from = fleet.start(&WARM);
            fleet.run(300.0, HEAVY);
            nth.into_iter().for_each(|nth| fleet.double_each(nth));
            fleet.run(6000.0, HEAVY);
            fleet.worst_of(&WARM, from)
        });
    }
}

/// The same where turns have been left unused until a burst comes.
#[test]
fn slow_start_binds_in_a_burst_of_heavier_work() {
    for nth in DOUBLED {
        for quiet in [2500.0, 5500.0] {
            bears(&[true], |fleet| {
                fleet.work = HARD_WORK;
                let from = fleet.start(&WARM);
                nth.into_iter().for_each(|nth| fleet.double_each(nth));
                fleet.run(quiet, LITTLE);
                fleet.run(2000.0, HEAVY);
                fleet.worst_of(&WARM, from)
            });
        }
    }
}

/// All client proxies at once, or one in ten, know nothing any more in the middle of the ramp.
#[test]
fn slow_start_binds_where_processes_are_replaced_under_heavier_work() {
    for nth in [1, 10] {
        bears(&[true], |fleet| {
            fleet.work = HARD_WORK;
            let from = fleet.start(&WARM);
            fleet.run(3500.0, HEAVY);
            fleet.restart(|me| me % nth == 0);
            fleet.run(3000.0, HEAVY);
            fleet.worst_of(&WARM, from)
        });
    }
}

/// Where the part of a balancer is ejected, an endpoint that is cold makes up for it at none but those whose
/// part it is.
#[test]
fn slow_start_binds_where_all_warm_endpoints_fail_in_the_middle_of_the_ramp() {
    for (conduct, load) in [(Conduct::Fails, BURST), (Conduct::Rejects, BURST), (Conduct::Silent, USUAL)] {
        bears(&[false, true], |fleet| {
            fleet.run(4000.0, USUAL);
            let from = fleet.start(&[NEW]);
            fleet.run(2000.0, USUAL);
            fleet.conducts(&WARM, conduct);
            fleet.run(4000.0, load);
            (NEW, from)
        });
    }
}

/// Turns of one balancer that come at the same time are of use to one request only, however the endpoints are
/// named.
#[test]
fn cold_endpoints_serve_alike_whatever_their_names() {
    for (count, skewed) in FLEETS {
        for first in [1, 5, 9, 40] {
            let mut fleet =
                Fleet::new(count, skewed, (first..first + 4).map(|id| cold(id, 1000.0)).collect());
            fleet.run(7000.0, 300.0);
            assert!(fleet.served > 150, "{count} balancers, skewed {skewed}, from {first}: {}", fleet.served);
        }
    }
}
