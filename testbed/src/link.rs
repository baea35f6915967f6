//! Simulated network links. Delay, loss and partitions are set for each direction of a link. A [`LinkStream`]
//! is an accepted connection to which these faults are applied; a [`LinkListener`] accepts the connections of
//! one link.

mod listener;
mod stream;

pub use self::listener::LinkListener;
pub use self::stream::LinkStream;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::task::{Context, Waker};
use std::time::Duration;

use rand_pcg::Pcg32;
use tokio::sync::Notify;

/// One direction of a link.
#[derive(Default)]
pub struct LinkDirection {
    cut: Cell<bool>,
    delay: Cell<Duration>,
    /// Added to `delay` while a fault is active.
    extra_delay: Cell<Duration>,
    /// Share of the chunks that are lost and arrive only after a retransmission.
    loss: Cell<f64>,
}

impl LinkDirection {
    fn total_delay(&self) -> Duration {
        self.delay.get() + self.extra_delay.get()
    }
}

/// The link between two parties.
pub struct Link {
    /// From the connecting side to the accepting side.
    pub forward: LinkDirection,
    /// From the accepting side to the connecting side.
    pub reverse: LinkDirection,
    /// Number of resets so far; a connection that was made before the last one is reset.
    resets: Cell<u64>,
    /// New connections are refused, as if nothing listened on the port.
    refused: Cell<bool>,
    rng: RefCell<Pcg32>,
    wakers: RefCell<Vec<Waker>>,
    changed: Notify,
}

impl Link {
    /// Creates a link without delay or faults. Losses that are set later are drawn from `rng`.
    pub fn new(rng: Pcg32) -> Rc<Link> {
        let (forward, reverse, resets, refused) = Default::default();
        let (wakers, changed) = Default::default();
        Rc::new(Link { forward, reverse, resets, refused, rng: RefCell::new(rng), wakers, changed })
    }

    /// Sets the delay that a fault adds to the normal delay of each direction.
    pub fn slow(&self, forward: Duration, reverse: Duration) {
        self.forward.extra_delay.set(forward);
        self.reverse.extra_delay.set(reverse);
        self.wake_all();
    }

    /// Sets the share of chunks that are lost in each direction. A lost chunk arrives one or more
    /// retransmissions later, and all chunks behind it wait for it.
    pub fn lose(&self, forward: f64, reverse: f64) {
        self.forward.loss.set(forward);
        self.reverse.loss.set(reverse);
    }

    /// Sets whether new connections are refused.
    pub fn refuse(&self, refused: bool) {
        self.refused.set(refused);
        self.wake_all();
    }

    /// Sets the normal delay of each direction, for data and for new connections.
    pub fn delay(&self, forward: Duration, reverse: Duration) {
        self.forward.delay.set(forward);
        self.reverse.delay.set(reverse);
        self.wake_all();
    }

    /// The current delays of the forward and of the reverse direction, faults included.
    pub fn delays(&self) -> (Duration, Duration) {
        (self.forward.total_delay(), self.reverse.total_delay())
    }

    /// Cuts or restores each direction. Data sent while a direction is cut arrives once it is restored.
    pub fn cut(&self, forward: bool, reverse: bool) {
        self.forward.cut.set(forward);
        self.reverse.cut.set(reverse);
        self.wake_all();
    }

    /// Resets all open connections.
    pub fn reset(&self) {
        self.resets.set(self.resets.get() + 1);
        self.wake_all();
    }

    fn wake_all(&self) {
        self.wakers.take().into_iter().for_each(Waker::wake);
        self.changed.notify_waiters();
    }

    fn register(&self, cx: &Context<'_>) {
        let mut wakers = self.wakers.borrow_mut();
        if !wakers.iter().any(|waker| waker.will_wake(cx.waker())) {
            wakers.push(cx.waker().clone());
        }
    }
}

#[cfg(test)]
mod tests;
