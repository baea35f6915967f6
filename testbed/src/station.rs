//! The queueing model of an order server, without I/O or a clock: cores, slots, a waiting room, crowding, warm-up and
//! pauses. Requests in, and later out, at times that the caller tells.
//!
//! Requests in work share the cores evenly. With as many slots as cores it is the M/M/c queue of the textbooks, against
//! which it is tested.

use std::collections::VecDeque;

/// Seconds on the caller's clock, which never runs backwards.
pub type Seconds = f64;

/// While a server warms up its speed changes all the time; it is taken as constant for so long.
const WARM_STEP: Seconds = 0.02;
/// Work below this is done: sums of times are not exact.
const NOTHING: Seconds = 1e-9;

/// What a server can do.
#[derive(Clone, Debug, PartialEq)]
pub struct Shape {
    /// Requests that are worked on at full speed at once.
    pub cores: u32,
    /// Work that a core does in a second, in seconds of a standard core.
    pub speed: f64,
    /// Requests in work at once.
    pub slots: u32,
    /// Requests that wait for a slot. Those beyond are turned away.
    pub waiting: u32,
    /// So many requests in work and waiting are borne without loss ...
    pub crowded_from: u32,
    /// ... and each one beyond takes this part of what is left of the speed.
    pub crowding: f64,
    /// The part of its speed that it has when it starts, and how long until it has all of it.
    pub cold: f64,
    /// See `cold`.
    pub warm_up: Seconds,
}

/// What becomes of a request that comes to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// It is in work or waits.
    Taken,
    /// It was turned away, and never ran.
    Full,
}

struct Job {
    id: u64,
    /// Seconds of a standard core that are left.
    left: Seconds,
}

/// An order server.
pub struct Station {
    shape: Shape,
    now: Seconds,
    started: Seconds,
    working: Vec<Job>,
    waiting: VecDeque<Job>,
    paused_until: Seconds,
    /// Core time in use since the start.
    busy: Seconds,
}

impl Station {
    /// A server that started at `started`, with nothing to do.
    pub fn new(shape: Shape, started: Seconds) -> Station {
        Station {
            shape,
            now: started,
            started,
            working: Vec::new(),
            waiting: VecDeque::new(),
            paused_until: f64::NEG_INFINITY,
            busy: 0.0,
        }
    }

    /// The part of its speed that it has: less than 1 while it is cold.
    pub fn warmth(&self) -> f64 {
        let Shape { cold, warm_up, .. } = self.shape;
        let age = if warm_up > 0.0 { (self.now - self.started) / warm_up } else { 1.0 };
        (cold + (1.0 - cold) * age).min(1.0)
    }

    /// Requests in work, and those that wait.
    pub fn held(&self) -> (usize, usize) {
        (self.working.len(), self.waiting.len())
    }

    /// Core time in use since the start, in seconds.
    pub fn busy(&self) -> Seconds {
        self.busy
    }

    /// Work that it can do in a second at present, in seconds of a standard core.
    pub fn capacity(&self) -> f64 {
        f64::from(self.shape.cores) * self.shape.speed * self.warmth()
    }

    /// Its cores have this speed from now on. [`Station::advance`] comes first.
    pub fn set_speed(&mut self, speed: f64) {
        self.shape.speed = speed;
    }

    /// Does no work until then.
    pub fn pause(&mut self, until: Seconds) {
        self.paused_until = self.paused_until.max(until);
    }

    /// A request with so much work, in seconds of a standard core, comes now. [`Station::advance`] comes first.
    pub fn offer(&mut self, id: u64, work: Seconds) -> Offer {
        let job = Job { id, left: work };
        if self.working.len() < self.shape.slots as usize {
            self.working.push(job);
        } else if self.waiting.len() < self.shape.waiting as usize {
            self.waiting.push_back(job);
        } else {
            return Offer::Full;
        }
        Offer::Taken
    }

    /// Takes a request back that nobody waits for any more; true if it was still here.
    pub fn cancel(&mut self, id: u64) -> bool {
        let before = self.working.len() + self.waiting.len();
        self.working.retain(|job| job.id != id);
        self.waiting.retain(|job| job.id != id);
        self.fill();
        before > self.working.len() + self.waiting.len()
    }

    /// Lets time pass; the requests that were done meanwhile, in order, each with when.
    pub fn advance(&mut self, now: Seconds) -> Vec<(u64, Seconds)> {
        let mut done = Vec::new();
        while self.now < now {
            let until = self.next().map_or(now, |next| next.min(now));
            self.work(until);
            let over: Vec<u64> = self.working.iter().filter(|j| j.left <= NOTHING).map(|j| j.id).collect();
            self.working.retain(|job| job.left > NOTHING);
            done.extend(over.into_iter().map(|id| (id, until)));
            self.fill();
        }
        done
    }

    /// When something happens by itself next; nothing while it has no work.
    pub fn next(&self) -> Option<Seconds> {
        if self.working.is_empty() {
            return None;
        }
        if self.now < self.paused_until {
            return Some(self.paused_until);
        }
        let least = self.working.iter().map(|job| job.left).fold(f64::INFINITY, f64::min);
        // Never no time at all, where the work left is lost in the rounding of the clock.
        let ends = (self.now + least / self.rate()).max(self.now + NOTHING);
        Some(if self.warmth() < 1.0 { ends.min(self.now + WARM_STEP) } else { ends })
    }

    /// What each request in work gets of a standard core.
    fn rate(&self) -> f64 {
        let Shape { cores, speed, crowded_from, crowding, .. } = self.shape;
        let working = self.working.len() as f64;
        let beyond = (self.working.len() + self.waiting.len()).saturating_sub(crowded_from as usize);
        let sound = (1.0 - crowding).powi(beyond.min(10_000) as i32).max(0.05);
        speed * sound * self.warmth() * (f64::from(cores) / working).min(1.0)
    }

    fn work(&mut self, until: Seconds) {
        let passed = until - self.now;
        if !self.working.is_empty() && self.now >= self.paused_until {
            let each = passed * self.rate();
            for job in &mut self.working {
                job.left -= each;
            }
            self.busy += passed * f64::from(self.shape.cores).min(self.working.len() as f64);
        }
        self.now = until;
    }

    fn fill(&mut self) {
        while self.working.len() < self.shape.slots as usize
            && let Some(job) = self.waiting.pop_front()
        {
            self.working.push(job);
        }
    }
}

#[cfg(test)]
mod tests {
    use rand_pcg::Pcg32;
    use rand_pcg::rand_core::{Rng, SeedableRng};

    use super::*;

    fn shape(cores: u32, slots: u32) -> Shape {
        Shape {
            cores,
            speed: 1.0,
            slots,
            waiting: u32::MAX,
            crowded_from: u32::MAX,
            crowding: 0.0,
            cold: 1.0,
            warm_up: 0.0,
        }
    }

    fn exponential(rng: &mut Pcg32, mean: f64) -> f64 {
        -mean * ((f64::from(rng.next_u32()) + 1.0) / (f64::from(u32::MAX) + 1.0)).ln()
    }

    /// The mean time from coming to being done of requests that come by chance, `load` of what all cores can do.
    fn mean_stay(cores: u32, slots: u32, load: f64) -> f64 {
        let (mut rng, mut station) = (Pcg32::seed_from_u64(7), Station::new(shape(cores, slots), 0.0));
        let (mut now, mut came, mut sum, mut n) = (0.0, std::collections::HashMap::new(), 0.0, 0.0);
        for id in 0..400_000 {
            now += exponential(&mut rng, 1.0 / (load * f64::from(cores)));
            for (id, at) in station.advance(now) {
                sum += at - came.remove(&id).expect("came before");
                n += 1.0;
            }
            came.insert(id, now);
            assert_eq!(station.offer(id, exponential(&mut rng, 1.0)), Offer::Taken);
        }
        sum / n
    }

    /// The chance that all cores are busy when a request comes, by Erlang's formula.
    fn erlang_c(cores: u32, load: f64) -> f64 {
        let offered = load * f64::from(cores);
        let blocked = (1..=cores).fold(1.0, |b, c| offered * b / (f64::from(c) + offered * b));
        blocked / (1.0 - load * (1.0 - blocked))
    }

    /// Guards against a model whose queues are not those of a server: times in it would mean nothing.
    #[test]
    fn waiting_is_that_of_the_textbooks() {
        for (cores, load) in [(1, 0.7), (2, 0.8), (8, 0.9)] {
            let wait = mean_stay(cores, cores, load) - 1.0;
            let known = erlang_c(cores, load) / (f64::from(cores) * (1.0 - load));
            assert!((wait / known - 1.0).abs() < 0.05, "{cores} cores at {load}: {wait} and not {known}");
        }
        // Shared evenly, one core keeps a request for as long on the whole as one after another.
        let stay = mean_stay(1, u32::MAX, 0.7);
        assert!((stay * 0.3 - 1.0).abs() < 0.05, "{stay}");
    }

    /// Guards against a server that takes more than it holds, or forgets who waits when one leaves.
    #[test]
    fn what_finds_no_place_is_turned_away_and_a_place_that_comes_free_is_filled() {
        let mut station = Station::new(Shape { waiting: 1, ..shape(1, 1) }, 0.0);
        assert_eq!([1, 2, 3].map(|id| station.offer(id, 1.0)), [Offer::Taken, Offer::Taken, Offer::Full]);
        assert!(station.cancel(1) && !station.cancel(1));
        assert_eq!(station.held(), (1, 0));
        assert_eq!(station.advance(1.0), [(2, 1.0)]);
        assert_eq!(station.next(), None);
    }

    /// Guards against a cold server that works at full speed, and a paused one that works at all.
    #[test]
    fn cold_crowded_and_paused_servers_do_less() {
        let mut cold = Station::new(Shape { cold: 0.5, warm_up: 10.0, ..shape(1, 1) }, 0.0);
        cold.offer(1, 5.0);
        let at = cold.advance(20.0)[0].1;
        // The speed grows from 0.5 by 0.05 in each second, so after t seconds 0.5 t + 0.025 t^2 is done.
        assert!((0.5 * at + 0.025 * at * at - 5.0).abs() < 0.01, "{at}");
        let mut crowded = Station::new(Shape { crowded_from: 1, crowding: 0.1, ..shape(2, 2) }, 0.0);
        assert_eq!([1, 2].map(|id| crowded.offer(id, 0.9)), [Offer::Taken; 2]);
        let both = crowded.advance(2.0);
        assert!(both.len() == 2 && both.iter().all(|(_, at)| (at - 1.0).abs() < 1e-6), "{both:?}");
        let mut paused = Station::new(shape(1, 1), 0.0);
        paused.pause(3.0);
        paused.offer(1, 1.0);
        assert_eq!((paused.advance(3.5), paused.held()), (vec![], (1, 0)));
        assert_eq!(paused.advance(4.0), [(1, 4.0)]);
    }
}
