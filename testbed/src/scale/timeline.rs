//! Virtual time: an event queue whose clock jumps from one event to the next.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use balancer::Millis;

struct Scheduled<T> {
    at: Millis,
    /// Orders events of the same time by when they were scheduled.
    sequence: u64,
    event: T,
}

impl<T> Ord for Scheduled<T> {
    /// Reversed, since `BinaryHeap` pops the greatest element: the earliest event is the greatest.
    fn cmp(&self, other: &Scheduled<T>) -> Ordering {
        other.at.total_cmp(&self.at).then(other.sequence.cmp(&self.sequence))
    }
}

impl<T> PartialOrd for Scheduled<T> {
    fn partial_cmp(&self, other: &Scheduled<T>) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> PartialEq for Scheduled<T> {
    fn eq(&self, other: &Scheduled<T>) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<T> Eq for Scheduled<T> {}

/// An event queue and its clock.
pub struct Timeline<T> {
    now: Millis,
    sequence: u64,
    queue: BinaryHeap<Scheduled<T>>,
}

impl<T> Default for Timeline<T> {
    fn default() -> Timeline<T> {
        Timeline { now: 0.0, sequence: 0, queue: BinaryHeap::new() }
    }
}

impl<T> Timeline<T> {
    /// Milliseconds since the beginning.
    pub fn now(&self) -> Millis {
        self.now
    }

    /// Schedules an event for time `at`, or for now if that time has passed.
    pub fn schedule_at(&mut self, at: Millis, event: T) {
        self.sequence += 1;
        self.queue.push(Scheduled { at, sequence: self.sequence, event });
    }

    /// Schedules an event after a delay.
    pub fn schedule_after(&mut self, delay: Millis, event: T) {
        self.schedule_at(self.now + delay, event);
    }

    /// Returns the next event due by `until` and advances the clock to it. Without one, advances the clock to
    /// `until`.
    pub fn next(&mut self, until: Millis) -> Option<T> {
        if self.queue.peek().is_none_or(|next| next.at > until) {
            self.now = until.max(self.now);
            return None;
        }
        let Scheduled { at, event, .. } = self.queue.pop()?;
        self.now = at.max(self.now);
        Some(event)
    }

    /// Removes the scheduled events for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&T) -> bool) {
        self.queue.retain(|scheduled| keep(&scheduled.event));
    }
}

#[cfg(test)]
mod tests;
