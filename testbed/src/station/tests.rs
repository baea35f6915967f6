use rand_pcg::Pcg32;
use rand_pcg::rand_core::{Rng, SeedableRng};

use super::*;

fn spec(cores: u32, slots: u32) -> ServerSpec {
    ServerSpec {
        cores,
        speed: 1.0,
        slots,
        queue_capacity: u32::MAX,
        full_speed_concurrency: u32::MAX,
        slowdown_per_request: 0.0,
        initial_speed: 1.0,
        warm_up: 0.0,
    }
}

fn exponential(rng: &mut Pcg32, mean: f64) -> f64 {
    -mean * ((f64::from(rng.next_u32()) + 1.0) / (f64::from(u32::MAX) + 1.0)).ln()
}

/// Mean response time with Poisson arrivals and exponential work, at `load` as a share of the capacity of all
/// cores.
fn mean_response_time(cores: u32, slots: u32, load: f64) -> f64 {
    let (mut rng, mut model) = (Pcg32::seed_from_u64(7), QueueModel::new(spec(cores, slots), 0.0));
    let (mut now, mut arrived_at, mut sum, mut completed) = (0.0, std::collections::HashMap::new(), 0.0, 0.0);
    for id in 0..400_000 {
        now += exponential(&mut rng, 1.0 / (load * f64::from(cores)));
        for (id, at) in model.advance(now) {
            sum += at - arrived_at.remove(&id).expect("request was offered before");
            completed += 1.0;
        }
        arrived_at.insert(id, now);
        assert_eq!(model.offer(id, exponential(&mut rng, 1.0)), Admission::Accepted);
    }
    sum / completed
}

/// Probability that all cores are busy when a request arrives, by the Erlang C formula.
fn erlang_c(cores: u32, load: f64) -> f64 {
    let offered_load = load * f64::from(cores);
    let blocking_probability = (1..=cores)
        .fold(1.0, |blocking, busy| offered_load * blocking / (f64::from(busy) + offered_load * blocking));
    blocking_probability / (1.0 - load * (1.0 - blocking_probability))
}

/// The mean waiting time is that of an M/M/c queue, within 5 %. With a wrong model, latencies of a run would
/// mean nothing.
#[test]
fn waiting_time_matches_queueing_theory() {
    for (cores, load) in [(1, 0.7), (2, 0.8), (8, 0.9)] {
        let wait = mean_response_time(cores, cores, load) - 1.0;
        let expected = erlang_c(cores, load) / (f64::from(cores) * (1.0 - load));
        assert!(
            (wait / expected - 1.0).abs() < 0.05,
            "{cores} cores at {load}: mean wait {wait}, expected {expected}"
        );
    }
    // Processor sharing on one core has the same mean response time as first come, first served.
    let response_time = mean_response_time(1, u32::MAX, 0.7);
    assert!((response_time * 0.3 - 1.0).abs() < 0.05, "{response_time}");
}

/// A server with one slot and a queue of one rejects the third request. When the running request is
/// cancelled, the queued one takes its slot.
#[test]
fn full_queue_rejects_and_freed_slot_is_filled() {
    let mut model = QueueModel::new(ServerSpec { queue_capacity: 1, ..spec(1, 1) }, 0.0);
    assert_eq!(
        [1, 2, 3].map(|id| model.offer(id, 1.0)),
        [Admission::Accepted, Admission::Accepted, Admission::Full]
    );
    assert!(model.cancel(1) && !model.cancel(1));
    assert_eq!(model.queue_lengths(), (1, 0));
    assert_eq!(model.advance(1.0), [(2, 1.0)]);
    assert_eq!(model.next_event(), None);
}

/// During the warm-up, beyond the full-speed concurrency and during a pause, requests take exactly as much
/// longer as the specification says.
#[test]
fn warm_up_crowding_and_pause_reduce_speed() {
    let mut warming = QueueModel::new(ServerSpec { initial_speed: 0.5, warm_up: 10.0, ..spec(1, 1) }, 0.0);
    warming.offer(1, 5.0);
    let at = warming.advance(20.0)[0].1;
    // The speed grows from 0.5 by 0.05 per second, so 0.5 t + 0.025 t^2 of work is done after t seconds.
    assert!((0.5 * at + 0.025 * at * at - 5.0).abs() < 0.01, "{at}");
    let mut crowded = QueueModel::new(
        ServerSpec { full_speed_concurrency: 1, slowdown_per_request: 0.1, ..spec(2, 2) },
        0.0,
    );
    assert_eq!([1, 2].map(|id| crowded.offer(id, 0.9)), [Admission::Accepted; 2]);
    let both = crowded.advance(2.0);
    assert!(both.len() == 2 && both.iter().all(|(_, at)| (at - 1.0).abs() < 1e-6), "{both:?}");
    let mut paused = QueueModel::new(spec(1, 1), 0.0);
    paused.pause(3.0);
    paused.offer(1, 1.0);
    assert_eq!((paused.advance(3.5), paused.queue_lengths()), (vec![], (1, 0)));
    assert_eq!(paused.advance(4.0), [(1, 4.0)]);
}
