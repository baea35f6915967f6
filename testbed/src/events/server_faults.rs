//! Faults of order servers, and order servers that operators take out.

use std::rc::Rc;
use std::time::Duration;

use rand_pcg::Pcg32;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::Environment;
use crate::scenario::Selector;
use crate::servers::ResponseMode;

/// Time from the start of a drain until discovery removes the order server.
const DRAINED_SERVER_REMOVAL_DELAY: Duration = Duration::from_secs(5);

impl Environment {
    pub(super) async fn set_response_mode(
        &self,
        servers: &Selector,
        mode: ResponseMode,
        lasts: Duration,
        rng: &mut Pcg32,
    ) {
        let servers = self.servers(servers, rng);
        self.record_fault(format!("{} servers {mode:?}", servers.len()));
        servers.iter().for_each(|&n| self.servers[n].set_response_mode(mode));
        sleep(lasts).await;
        servers.iter().for_each(|&n| self.servers[n].set_response_mode(ResponseMode::Well));
    }

    pub(super) async fn slow_down(&self, servers: &Selector, times: f64, lasts: Duration, rng: &mut Pcg32) {
        let servers = self.servers(servers, rng);
        self.record_fault(format!("{} servers {times} times slower", servers.len()));
        servers.iter().for_each(|&n| self.servers[n].slow(times));
        sleep(lasts).await;
        servers.iter().for_each(|&n| self.servers[n].slow(1.0));
    }

    pub(super) fn pause(&self, servers: &Selector, lasts: Duration, rng: &mut Pcg32) {
        let servers = self.servers(servers, rng);
        self.record_fault(format!("{} servers pause", servers.len()));
        servers.iter().for_each(|&n| self.servers[n].pause(lasts));
    }

    pub(super) async fn lose(
        &self,
        servers: &Selector,
        known_after: Duration,
        lasts: Duration,
        rng: &mut Pcg32,
    ) {
        let servers = self.servers(servers, rng);
        self.record_fault(format!("lose {} servers", servers.len()));
        servers.iter().for_each(|&n| self.links.iter().for_each(|links| links[n].cut(true, true)));
        sleep(known_after.min(lasts)).await;
        servers.iter().for_each(|&n| self.discovery.set_removed(n, true));
        sleep(lasts.saturating_sub(known_after)).await;
        self.record_fault(format!("{} servers return cold", servers.len()));
        for &n in &servers {
            self.servers[n].restart();
            for links in &self.links {
                links[n].reset();
                links[n].cut(false, false);
            }
            self.discovery.set_removed(n, false);
        }
    }

    pub(super) async fn drain(&self, servers: &Selector, rng: &mut Pcg32) {
        let servers = self.servers(servers, rng);
        self.record_fault(format!("drain {} servers", servers.len()));
        servers.iter().for_each(|&n| self.servers[n].drain());
        self.discovery.refresh();
        let (discovery, drained) = (Rc::clone(&self.discovery), servers.clone());
        spawn_local(async move { discovery.assume_notified(&drained).await });
        sleep(DRAINED_SERVER_REMOVAL_DELAY).await;
        servers.iter().for_each(|&n| self.discovery.set_removed(n, true));
    }

    pub(super) async fn override_by_operator(
        self: &Rc<Self>,
        servers: &Selector,
        proxies: &Selector,
        lasts: Duration,
        rng: &mut Pcg32,
    ) {
        let (servers, proxies) = (self.servers(servers, rng), self.proxies(proxies, rng));
        self.record_fault(format!("{} servers out by hand at {}", servers.len(), proxies.len()));
        self.set_operator_override(&servers, &proxies, true).await;
        // Operators restart the machine only after its requests in flight have finished.
        sleep(lasts.mul_f64(0.8)).await;
        for &n in &servers {
            self.servers[n].restart();
            self.links.iter().for_each(|links| links[n].reset());
        }
        self.discovery.refresh();
        sleep(lasts.mul_f64(0.2)).await;
        self.record_fault(format!("{} servers put back", servers.len()));
        self.set_operator_override(&servers, &proxies, false).await;
    }

    /// Disables order servers by operator override, or enables them again, at all given client proxies
    /// concurrently. Once a client proxy has confirmed that a server is disabled, the server counts as
    /// draining there.
    async fn set_operator_override(self: &Rc<Self>, servers: &[usize], proxies: &[usize], disabled: bool) {
        let calls = proxies.iter().map(|&n| {
            let (environment, servers) = (Rc::clone(self), servers.to_vec());
            spawn_local(async move {
                let mut rejected = 0;
                for m in servers {
                    let accepted = environment.proxies[n]
                        .set_operator_override(&environment.servers[m].traits.name, disabled)
                        .await;
                    if accepted {
                        environment.servers[m].set_operator_override(n, disabled);
                    } else {
                        rejected += 1;
                    }
                }
                rejected
            })
        });
        let calls: Vec<_> = calls.collect();
        let mut rejected = 0;
        for call in calls {
            rejected += call.await.unwrap_or(0);
        }
        if rejected > 0 {
            self.record_fault(format!("{rejected} calls by hand were refused"));
        }
    }
}
