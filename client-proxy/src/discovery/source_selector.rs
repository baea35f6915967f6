//! Selects where polls go: the address of discovery that the platform configures, or one of several relays.

use std::net::SocketAddr;
use std::time::Duration;

use discovery_proto::{Fallback, Sources};
use hyper::header::HeaderValue;
use rand_core::SeedableRng;
use rand_pcg::Pcg32;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::fleet_config::Relays;

/// Selects the address of the next poll.
pub struct SourceSelector {
    /// Address of discovery; updated by each reload that names one.
    address: watch::Receiver<SocketAddr>,
    /// Relays that are polled instead, with the authority of the list.
    relays: Option<(Sources, HeaderValue)>,
    rng: Pcg32,
    started_at: Instant,
}

impl SourceSelector {
    /// Polls `relays` if there are any, else the current value of `address`.
    pub fn new(address: watch::Receiver<SocketAddr>, relays: Option<Relays>, seed: u64) -> SourceSelector {
        // Independent of the generators of the balancer and of the poll backoff.
        let mut rng = Pcg32::seed_from_u64(!seed);
        let relays = relays.and_then(|Relays { near, far, authority }| {
            Some((Sources::new(&near, &far, &mut rng)?, HeaderValue::from_str(&authority).ok()?))
        });
        SourceSelector { address, relays, rng, started_at: Instant::now() }
    }

    /// Whether the next poll goes to another address than the last one. To be called before each poll.
    pub fn has_moved(&mut self) -> bool {
        match &mut self.relays {
            Some((sources, _)) => sources.fail_back(self.started_at.elapsed(), &mut self.rng),
            None => self.address.has_changed().unwrap_or(false),
        }
    }

    /// Address of the next poll, and the authority to request.
    pub fn next_source(&mut self) -> (SocketAddr, HeaderValue) {
        let address = *self.address.borrow_and_update();
        match &self.relays {
            Some((sources, authority)) => (sources.address(), authority.clone()),
            None => {
                let endpoint = address.to_string().parse();
                (address, endpoint.expect("a socket address is a valid header value"))
            }
        }
    }

    /// Completes when the address of discovery changes; never if relays are polled.
    pub async fn wait_for_move(&mut self) {
        if self.relays.is_some() || self.address.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
        self.address.mark_changed();
    }

    /// Records that the last poll succeeded.
    pub fn record_success(&mut self) {
        if let Some((sources, _)) = &mut self.relays {
            sources.on_response();
        }
    }

    /// Records that the last poll failed. Returns the backoff before it is repeated at another relay, if one
    /// is left.
    pub fn record_failure(&mut self) -> Option<Duration> {
        let (sources, _) = self.relays.as_mut()?;
        match sources.on_failure(self.started_at.elapsed(), &mut self.rng) {
            Fallback::NextSource(backoff) => Some(backoff),
            Fallback::AllFailed => None,
        }
    }

    /// Whether all client proxies poll the same discovery, where polls may have to queue.
    pub fn is_shared(&self) -> bool {
        self.relays.is_none()
    }
}
