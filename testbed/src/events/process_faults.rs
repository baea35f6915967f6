//! Faults of the client proxies' processes and of their state folders.

use std::rc::Rc;
use std::time::Duration;

use rand_pcg::Pcg32;
use rustix::process::Signal;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::Environment;
use crate::fleet::FleetError;
use crate::ledger::Rule;
use crate::scenario::{Selector, StateFolder};

/// Upper bound on a client proxy's exit after SIGTERM: it takes the longest deadline plus 0.7 s; beyond this
/// bound it counts as hanging.
const EXIT_TIMEOUT: Duration = Duration::from_secs(10);

impl Environment {
    pub(super) async fn kill(
        self: &Rc<Self>,
        proxies: &Selector,
        restart_after: Option<Duration>,
        folder: StateFolder,
        rng: &mut Pcg32,
    ) {
        let proxies = self.proxies(proxies, rng);
        self.record_fault(format!("kill {} client proxies", proxies.len()));
        for &n in &proxies {
            self.beside[n].fault_started(self.play.now());
            self.proxies[n].signal(Signal::KILL);
        }
        if let Some(pause) = restart_after {
            sleep(pause).await;
            let mut starts = Vec::new();
            for n in proxies {
                self.proxies[n].prepare_state_folder(folder, rng);
                starts.push(spawn_local(Rc::clone(self).restart(n)));
            }
            for start in starts {
                let _ = start.await;
            }
        }
    }

    pub(super) async fn stop(&self, proxies: &Selector, lasts: Duration, rng: &mut Pcg32) {
        let proxies = self.proxies(proxies, rng);
        self.record_fault(format!("stop {} client proxies", proxies.len()));
        for &n in &proxies {
            self.beside[n].fault_started(self.play.now());
            self.proxies[n].signal(Signal::STOP);
        }
        sleep(lasts).await;
        for &n in &proxies {
            self.proxies[n].signal(Signal::CONT);
            self.beside[n].fault_ended(self.play.now());
        }
    }

    pub(super) async fn upgrade(&self, proxies: &Selector, rng: &mut Pcg32) {
        let proxies = self.proxies(proxies, rng);
        self.record_fault(format!("upgrade {} client proxies", proxies.len()));
        for n in proxies {
            if let Err(error) = self.proxies[n].upgrade(EXIT_TIMEOUT).await {
                self.failed_to_start(&error);
            }
        }
    }

    pub(super) async fn roll(self: &Rc<Self>, proxies: &Selector, folder: StateFolder, rng: &mut Pcg32) {
        let proxies = self.proxies(proxies, rng);
        self.record_fault(format!("roll {} client proxies", proxies.len()));
        for n in proxies {
            self.beside[n].fault_started(self.play.now());
            self.proxies[n].signal(Signal::TERM);
            if !self.proxies[n].wait_for_exit(EXIT_TIMEOUT).await {
                self.proxies[n].signal(Signal::KILL);
            }
            self.proxies[n].prepare_state_folder(folder, rng);
            Rc::clone(self).restart(n).await;
        }
    }

    pub(super) async fn fill_disk(&self, proxies: &Selector, lasts: Duration, rng: &mut Pcg32) {
        let proxies = self.proxies(proxies, rng);
        self.record_fault(format!("no room for {} client proxies", proxies.len()));
        proxies.iter().for_each(|&n| self.proxies[n].disk_full(true));
        sleep(lasts).await;
        proxies.iter().for_each(|&n| self.proxies[n].disk_full(false));
    }

    pub(super) async fn move_state_folder(&self, proxies: &Selector, lasts: Duration, rng: &mut Pcg32) {
        let proxies = self.proxies(proxies, rng);
        self.record_fault(format!("no folder for {} client proxies", proxies.len()));
        let mut results: Vec<_> = proxies.iter().map(|&n| self.proxies[n].disk_gone(true)).collect();
        sleep(lasts).await;
        results.extend(proxies.iter().map(|&n| self.proxies[n].disk_gone(false)));
        for error in results.into_iter().filter_map(Result::err) {
            self.record_fault(format!("a folder cannot be moved: {error}"));
        }
    }

    async fn restart(self: Rc<Self>, n: usize) {
        match self.proxies[n].start().await {
            Ok(()) => self.beside[n].fault_ended(self.play.now()),
            Err(error) => self.failed_to_start(&error),
        }
    }

    fn failed_to_start(&self, error: &FleetError) {
        let now = self.play.now();
        self.play.ledger.borrow_mut().record_violation(Rule::Crash, now, &error.to_string());
    }
}
