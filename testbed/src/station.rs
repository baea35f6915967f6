//! Queueing model of an order server: cores, slots, a bounded queue, slowdown under concurrency, warm-up and
//! pauses. It does no I/O and reads no clock; the caller passes the time.
//!
//! Running requests share the cores evenly. With as many slots as cores it is an M/M/c queue, against whose
//! formula it is tested.

use std::collections::VecDeque;

/// Seconds on the caller's clock, which never runs backwards.
pub type Seconds = f64;

/// Interval for which the speed is taken as constant during the warm-up, in which it rises steadily.
const WARM_UP_STEP: Seconds = 0.02;
/// Remaining work up to which a request counts as done, since sums of floating-point times are inexact. Also
/// the smallest step of the model's clock.
const WORK_EPSILON: Seconds = 1e-9;

/// Capacity of a server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerSpec {
    /// Number of cores: as many requests run at once at full speed.
    pub cores: u32,
    /// Speed of a core, relative to a standard core.
    pub speed: f64,
    /// Maximum number of running requests.
    pub slots: u32,
    /// Maximum number of requests that wait for a slot; further ones are rejected.
    pub queue_capacity: u32,
    /// Number of running and queued requests up to which the server keeps its full speed.
    pub full_speed_concurrency: u32,
    /// Share of the remaining speed that each request beyond `full_speed_concurrency` costs.
    pub slowdown_per_request: f64,
    /// Share of its full speed that the server has when it starts.
    pub initial_speed: f64,
    /// Time from the start until the server has its full speed; the speed rises linearly.
    pub warm_up: Seconds,
}

/// Result of offering a request to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request runs or is queued.
    Accepted,
    /// The queue was full; the request was rejected and never ran.
    Full,
}

struct Job {
    id: u64,
    /// In seconds of a standard core.
    remaining_work: Seconds,
}

/// Queueing model of one order server.
pub struct QueueModel {
    spec: ServerSpec,
    now: Seconds,
    started: Seconds,
    running: Vec<Job>,
    queued: VecDeque<Job>,
    paused_until: Seconds,
    /// Core time used since the start.
    busy: Seconds,
}

impl QueueModel {
    /// Creates an idle server whose process started at `started`.
    pub fn new(spec: ServerSpec, started: Seconds) -> QueueModel {
        QueueModel {
            spec,
            now: started,
            started,
            running: Vec::new(),
            queued: VecDeque::new(),
            paused_until: f64::NEG_INFINITY,
            busy: 0.0,
        }
    }

    /// The current share of its full speed: less than 1 during the warm-up.
    pub fn warm_up_factor(&self) -> f64 {
        let ServerSpec { initial_speed, warm_up, .. } = self.spec;
        let age = if warm_up > 0.0 { (self.now - self.started) / warm_up } else { 1.0 };
        (initial_speed + (1.0 - initial_speed) * age).min(1.0)
    }

    /// Number of running and of queued requests.
    pub fn queue_lengths(&self) -> (usize, usize) {
        (self.running.len(), self.queued.len())
    }

    /// Core time used since the start, in seconds.
    pub fn busy(&self) -> Seconds {
        self.busy
    }

    /// Work that it can currently do per second, in seconds of a standard core.
    pub fn capacity(&self) -> f64 {
        f64::from(self.spec.cores) * self.spec.speed * self.warm_up_factor()
    }

    /// Sets the speed of its cores. Call [`QueueModel::advance`] first.
    pub fn set_speed(&mut self, speed: f64) {
        self.spec.speed = speed;
    }

    /// Stops all work until `until`.
    pub fn pause(&mut self, until: Seconds) {
        self.paused_until = self.paused_until.max(until);
    }

    /// Offers a request with `work` in seconds of a standard core. Call [`QueueModel::advance`] first.
    pub fn offer(&mut self, id: u64, work: Seconds) -> Admission {
        let job = Job { id, remaining_work: work };
        if self.running.len() < self.spec.slots as usize {
            self.running.push(job);
        } else if self.queued.len() < self.spec.queue_capacity as usize {
            self.queued.push_back(job);
        } else {
            return Admission::Full;
        }
        Admission::Accepted
    }

    /// Cancels a request. Returns whether it was still running or queued.
    pub fn cancel(&mut self, id: u64) -> bool {
        let before = self.running.len() + self.queued.len();
        self.running.retain(|job| job.id != id);
        self.queued.retain(|job| job.id != id);
        self.fill_slots();
        before > self.running.len() + self.queued.len()
    }

    /// Advances the clock to `now`. Returns the requests that completed meanwhile, in order, with their
    /// times.
    pub fn advance(&mut self, now: Seconds) -> Vec<(u64, Seconds)> {
        let mut done = Vec::new();
        while self.now < now {
            let until = self.next_event().map_or(now, |next| next.min(now));
            self.run_until(until);
            let finished: Vec<u64> = self
                .running
                .iter()
                .filter(|job| job.remaining_work <= WORK_EPSILON)
                .map(|job| job.id)
                .collect();
            self.running.retain(|job| job.remaining_work > WORK_EPSILON);
            done.extend(finished.into_iter().map(|id| (id, until)));
            self.fill_slots();
        }
        done
    }

    /// When the state next changes without a call; `None` while there is no work.
    pub fn next_event(&self) -> Option<Seconds> {
        if self.running.is_empty() {
            return None;
        }
        if self.now < self.paused_until {
            return Some(self.paused_until);
        }
        let min_remaining = self.running.iter().map(|job| job.remaining_work).fold(f64::INFINITY, f64::min);
        // At least one step: remaining work that rounding loses when it is added to the clock would otherwise
        // make `advance` loop forever.
        let completes_at = (self.now + min_remaining / self.rate()).max(self.now + WORK_EPSILON);
        Some(if self.warm_up_factor() < 1.0 {
            completes_at.min(self.now + WARM_UP_STEP)
        } else {
            completes_at
        })
    }

    /// Speed at which each running request is processed, relative to a standard core.
    fn rate(&self) -> f64 {
        let ServerSpec { cores, speed, full_speed_concurrency, slowdown_per_request, .. } = self.spec;
        let running = self.running.len() as f64;
        let excess = (self.running.len() + self.queued.len()).saturating_sub(full_speed_concurrency as usize);
        let concurrency_factor = (1.0 - slowdown_per_request).powi(excess.min(10_000) as i32).max(0.05);
        speed * concurrency_factor * self.warm_up_factor() * (f64::from(cores) / running).min(1.0)
    }

    fn run_until(&mut self, until: Seconds) {
        let elapsed = until - self.now;
        if !self.running.is_empty() && self.now >= self.paused_until {
            let work_done = elapsed * self.rate();
            for job in &mut self.running {
                job.remaining_work -= work_done;
            }
            self.busy += elapsed * f64::from(self.spec.cores).min(self.running.len() as f64);
        }
        self.now = until;
    }

    fn fill_slots(&mut self) {
        while self.running.len() < self.spec.slots as usize
            && let Some(job) = self.queued.pop_front()
        {
            self.running.push(job);
        }
    }
}

#[cfg(test)]
mod tests;
