//! Faults of discovery.

use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::sleep;

use super::Environment;
use crate::chance::stream;
use crate::link::Link;
use crate::scenario::Lie;

/// Time after discovery's move at which its old address closes the polls that are still open.
const OLD_ADDRESS_CLOSE_DELAY: Duration = Duration::from_millis(1500);

/// Time after discovery's move within which each client proxy that was notified polls the new address.
const DISCOVERY_MOVE_GRACE: Duration = Duration::from_secs(4);

impl Environment {
    pub(super) async fn take_discovery_down(&self, lasts: Duration) {
        self.record_fault("discovery down".to_owned());
        self.discovery.set_down(true);
        sleep(lasts).await;
        self.discovery.set_down(false);
    }

    pub(super) async fn silence_discovery(&self, lasts: Duration) {
        self.record_fault("discovery silent".to_owned());
        self.discovery.set_stalled(true);
        sleep(lasts).await;
        self.discovery.set_stalled(false);
    }

    pub(super) async fn slow_discovery_down(&self, by: Duration, lasts: Duration) {
        self.record_fault(format!("polls take {by:?} longer"));
        self.discovery.set_delay(by);
        sleep(lasts).await;
        self.discovery.set_delay(Duration::ZERO);
    }

    pub(super) async fn let_discovery_lie(&self, lie: Lie, lasts: Duration) {
        self.record_fault(format!("discovery lies: {lie:?}"));
        self.discovery.set_lie(Some(lie));
        sleep(lasts).await;
        self.discovery.set_lie(None);
    }

    pub(super) async fn make_discovery_stale(&self, by: Duration, lasts: Duration) {
        self.record_fault(format!("discovery {} s old", by.as_secs_f64()));
        self.discovery.set_stale(by.as_secs_f64());
        sleep(lasts).await;
        self.discovery.set_stale(0.0);
    }

    pub(super) async fn move_discovery(&self) {
        self.record_fault("discovery moves".to_owned());
        let mut notified = Vec::new();
        for (n, call) in self.discovery_links.iter().enumerate() {
            let link = Link::new(stream(self.seed, &format!("link {n} discovery moved")));
            let moved = self.discovery.listen(n, Rc::clone(&link));
            match moved.and_then(|address| self.proxies[n].set_discovery(address).map(|()| address)) {
                Ok(address) => notified.push((n, address)),
                Err(error) => self.record_fault(format!("client proxy {n} is not told: {error}")),
            }
            let old = call.replace(link);
            old.refuse(true);
            spawn_local(async move {
                sleep(OLD_ADDRESS_CLOSE_DELAY).await;
                old.reset();
            });
        }
        sleep(DISCOVERY_MOVE_GRACE).await;
        let has_polled = |(n, address): &&(usize, _)| self.discovery.last_polled_at(*n, *address);
        let followed = notified.iter().filter(has_polled).count();
        self.record_fault(format!("{followed} client proxies have followed discovery"));
    }
}
