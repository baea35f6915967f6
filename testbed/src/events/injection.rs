//! Injects one fault of a scenario.

use std::rc::Rc;

use rand_pcg::Pcg32;

use super::Environment;
use crate::scenario::Fault;
use crate::servers::ResponseMode;

impl Environment {
    /// Injects a fault and waits until it is over. All random choices are drawn from `rng`.
    pub(super) async fn inject(self: &Rc<Self>, fault: Fault, mut rng: Pcg32) {
        let rng = &mut rng;
        match fault {
            Fault::Kill { proxies, restart_after, folder } => {
                self.kill(&proxies, restart_after, folder, rng).await;
            }
            Fault::Stop { proxies, lasts } => self.stop(&proxies, lasts, rng).await,
            Fault::Upgrade { proxies } => self.upgrade(&proxies, rng).await,
            Fault::Roll { proxies, folder } => self.roll(&proxies, folder, rng).await,
            Fault::DiskFull { proxies, lasts } => self.fill_disk(&proxies, lasts, rng).await,
            Fault::DiskGone { proxies, lasts } => self.move_state_folder(&proxies, lasts, rng).await,
            Fault::Silent { servers, lasts } => {
                self.set_response_mode(&servers, ResponseMode::Silent, lasts, rng).await;
            }
            Fault::Error { servers, lasts } => {
                self.set_response_mode(&servers, ResponseMode::Error, lasts, rng).await;
            }
            Fault::Slow { servers, times, lasts } => self.slow_down(&servers, times, lasts, rng).await,
            Fault::Pause { servers, lasts } => self.pause(&servers, lasts, rng),
            Fault::Lose { servers, known_after, lasts } => {
                self.lose(&servers, known_after, lasts, rng).await;
            }
            Fault::Drain { servers } => self.drain(&servers, rng).await,
            Fault::OperatorOverride { servers, proxies, lasts } => {
                self.override_by_operator(&servers, &proxies, lasts, rng).await;
            }
            Fault::Cut { links, lasts } => self.cut(&links, lasts, rng).await,
            Fault::Delay { links, by, lasts } => self.delay(&links, by, lasts, rng).await,
            Fault::Loss { links, part, lasts } => self.lose_packets(&links, part, lasts, rng).await,
            Fault::Duplicate { links, part, lasts } => self.duplicate(&links, part, lasts, rng).await,
            Fault::Reorder { links, part, by, lasts } => {
                self.reorder(&links, part, by, lasts, rng).await;
            }
            Fault::Refuse { links, lasts } => self.refuse(&links, lasts, rng).await,
            Fault::Reset { links } => self.reset(&links, rng),
            Fault::DiscoveryDown { lasts } => self.take_discovery_down(lasts).await,
            Fault::DiscoverySilent { lasts } => self.silence_discovery(lasts).await,
            Fault::DiscoverySlow { by, lasts } => self.slow_discovery_down(by, lasts).await,
            Fault::DiscoveryLies { lie, lasts } => self.let_discovery_lie(lie, lasts).await,
            Fault::DiscoveryStale { by, lasts } => self.make_discovery_stale(by, lasts).await,
            Fault::DiscoveryMoved {} => self.move_discovery().await,
        }
    }
}
