//! State that a process of this client proxy leaves for the next one: a small file in `$TMPDIR`, replaced
//! atomically by a rename. During an upgrade two processes use it at once. Each read or write runs on a
//! thread of its own, so a folder that hangs blocks neither the event loop nor any response.

mod state_file;

mod enabled_times;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::{fs, io};

use balancer::Millis;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::{Mutex, OwnedMutexGuard, oneshot};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

pub use self::enabled_times::EnabledTimes;
use self::state_file::{CommitDecision, Contents, FailedChange, Fingerprint, StateFile, StateFileError};
use crate::clock::{Clock, boot_id};
use crate::names::Names;

/// Prefix of the file names. Earlier versions use it, and the two processes of an upgrade, which may be of
/// different versions, have to share the files.
const STATE_FILE_PREFIX: &str = "martensill";
/// Format version of the file. Files of other versions are not read.
const VERSION: u32 = 1;
/// How long a caller waits for its change. Operators have to get their reply within a second.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(700);
/// Backoff before a failed initial read is repeated.
const READ_RETRY: Duration = Duration::from_millis(100);

/// Contents of the file.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct State {
    version: u32,
    /// The client proxy that the file belongs to. Earlier versions of the program do not write it.
    #[serde(default)]
    owner: Option<String>,
    /// Endpoints that operators have disabled.
    #[serde(default)]
    #[serde(rename = "out")]
    pub disabled: BTreeSet<String>,
    /// When operators enabled endpoints that may still be in slow start, in Unix milliseconds. Earlier
    /// versions of the program read this. A step of the wall clock makes it wrong, so here it only serves to
    /// tell whether an endpoint was enabled again.
    #[serde(default)]
    #[serde(rename = "back")]
    pub enabled_unix_ms: BTreeMap<String, f64>,
    /// The same times on the machine's monotonic clock.
    #[serde(default)]
    #[serde(rename = "back_monotonic")]
    pub enabled_at: EnabledTimes,
    /// The last endpoint list, in the format in which the configuration gives it.
    #[serde(default)]
    #[serde(rename = "list")]
    pub endpoint_list: Option<Value>,
    /// ID of the process that received the list from discovery. Earlier versions of the program do not write it.
    #[serde(default)]
    list_owner: Option<u32>,
    /// IDs of the processes that use the file; some may have exited.
    #[serde(default)]
    processes: BTreeSet<u32>,
    /// Ports of the links between these processes, by ID.
    #[serde(default)]
    peer_ports: BTreeMap<u32, u16>,
}

/// An endpoint list from before the start of this process.
#[derive(Clone, Debug, PartialEq)]
pub struct CachedList {
    /// In discovery's format.
    pub list: Value,
    /// Whether another running process of this client proxy follows it, so that it is as current as a list that
    /// this process had received itself.
    pub is_followed: bool,
}

impl State {
    /// Removes endpoints that were enabled before `at` on the monotonic clock.
    pub fn forget_enabled_before(&mut self, at: Millis) {
        self.enabled_at.forget_before(at);
        self.enabled_unix_ms.retain(|name, _| self.enabled_at.get(name).is_some());
    }
}

/// Permission to access the file. An operation keeps it until its result has been stored in [`ProcessState`].
type FilePermit = OwnedMutexGuard<()>;

/// The state file, and the last known contents.
pub struct ProcessState {
    /// `None` without `$TMPDIR`: then no state outlives this process.
    file: Option<Arc<StateFile>>,
    permit: Arc<Mutex<()>>,
    state: RefCell<State>,
    clock: Clock,
    /// Identifies the file that was read last.
    last_fingerprint: Cell<Option<Fingerprint>>,
    /// A change was merged with what the other process may have written, so the result has to be applied
    /// here.
    has_unapplied_change: Cell<bool>,
    /// The last read failed; only the first failure in a row is logged.
    read_failed: Cell<bool>,
    /// The newest list still to be written, and whether a task is writing.
    pending_list: RefCell<Option<Value>>,
    is_writing_list: Cell<bool>,
    /// The last list could not be written; only the first failure in a row is logged.
    list_write_failed: Cell<bool>,
}

impl ProcessState {
    /// Uses the file of this client proxy in `dir`. Does not read it yet.
    pub fn open(dir: Option<PathBuf>, name: &str, names: &Names) -> ProcessState {
        let sanitized = |c: char| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' };
        let file = format!("{STATE_FILE_PREFIX}-{}.json", name.chars().map(sanitized).collect::<String>());
        let Names { classes, tenants, zones, kinds } = names;
        let owner = json!([name, classes, tenants, zones, kinds]).to_string();
        let clock = Clock::new();
        let file =
            dir.map(|dir| Arc::new(StateFile { path: dir.join(file), owner, clock, boot_id: boot_id() }));
        ProcessState {
            file,
            clock,
            permit: Arc::default(),
            state: RefCell::default(),
            last_fingerprint: Cell::default(),
            has_unapplied_change: Cell::default(),
            read_failed: Cell::default(),
            pending_list: RefCell::default(),
            is_writing_list: Cell::default(),
            list_write_failed: Cell::default(),
        }
    }

    /// The clock of [`State::enabled_at`].
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// The last known contents.
    pub fn state(&self) -> State {
        self.state.borrow().clone()
    }

    /// Loads what an earlier process has left, retrying until the read succeeds. A file that is invalid, or
    /// belongs to another client proxy or to a deployment with other names, is logged and ignored.
    pub async fn read_at_start(&self) {
        while self.read(true).await.is_err() {
            sleep(READ_RETRY).await;
        }
    }

    /// Reads the file again if it has been replaced. Returns whether the contents have changed since the last
    /// call.
    pub async fn refresh(&self) -> bool {
        // After a failure the file is read at the next call.
        let changed = self.read(false).await.unwrap_or(false);
        self.has_unapplied_change.take() || changed
    }

    async fn read(&self, must_read: bool) -> Result<bool, StateFileError> {
        let Some(file) = self.file.clone() else { return Ok(false) };
        let last_fingerprint = self.last_fingerprint.get();
        let permit = Arc::clone(&self.permit).lock_owned().await;
        let known = self.state();
        let read_result = on_thread(move |reply| {
            let read_result = file.read_newer(last_fingerprint, must_read, &known);
            let _ = reply.send((read_result, permit));
        });
        let (read_result, _permit) = read_result.await?;
        let newer = read_result.inspect_err(|error| {
            // A lock that the other process holds is not an error.
            if !matches!(error, StateFileError::Locked) && !self.read_failed.replace(true) {
                tracing::info!("cannot read the state file: {error}");
            }
        })?;
        self.read_failed.set(false);
        let Some((last_fingerprint, contents)) = newer else { return Ok(false) };
        self.last_fingerprint.set(last_fingerprint);
        Ok(match contents {
            Contents::State(state) => self.state.replace(state.clone()) != state,
            Contents::Missing => false,
            Contents::Unusable(reason) => {
                tracing::info!("state file ignored: {reason}");
                false
            }
        })
    }

    /// The stored list or `known`, whichever is newer.
    pub fn newer_list(&self, known: Option<Value>) -> Option<CachedList> {
        let index = |list: &Value| list.get("index").and_then(Value::as_u64);
        let stored = self.state().endpoint_list;
        if let Some(list) = stored
            && known.as_ref().is_none_or(|known| index(&list) >= index(known))
        {
            return Some(CachedList { list, is_followed: self.is_list_followed() });
        }
        known.map(|list| CachedList { list, is_followed: false })
    }

    /// Whether another running process received the stored list from discovery.
    fn is_list_followed(&self) -> bool {
        match self.state.borrow().list_owner {
            Some(owner) => owner != std::process::id() && is_running(owner),
            // An earlier version of the program wrote the list.
            None => self.processes() > 1,
        }
    }

    /// Stores the list for the next process without waiting for it. A failure matters only if there is a next
    /// process, and the next update from discovery repeats the write.
    pub fn publish_list(self: &Rc<Self>, list: Value) {
        self.pending_list.replace(Some(list));
        if !self.is_writing_list.replace(true) {
            spawn_local(Rc::clone(self).write_pending_lists());
        }
    }

    async fn write_pending_lists(self: Rc<Self>) {
        while let Some(list) = self.pending_list.take() {
            if self.is_stored(&list) {
                continue;
            }
            let written = self
                .change(move |state| {
                    (state.endpoint_list, state.list_owner) = (Some(list), Some(std::process::id()));
                })
                .await;
            let failed_before = self.list_write_failed.replace(written.is_err());
            if let Err(error) = written
                && !failed_before
            {
                tracing::info!("cannot write the endpoint list to the state file: {error}");
            }
        }
        self.is_writing_list.set(false);
    }

    /// Whether the file has this list, from this process or from another one that runs.
    fn is_stored(&self, list: &Value) -> bool {
        let state = self.state.borrow();
        state.endpoint_list.as_ref() == Some(list) && state.list_owner.is_some_and(is_running)
    }

    /// Registers this process as a user of the file, with the port of its link if it has one.
    ///
    /// # Errors
    /// As for [`ProcessState::change`].
    pub async fn register_process(&self, port: Option<u16>) -> Result<(), StateFileError> {
        self.change(move |state| {
            state.processes.retain(|id| is_running(*id));
            state.processes.insert(std::process::id());
            state.peer_ports.retain(|id, _| is_running(*id));
            state.peer_ports.extend(port.map(|port| (std::process::id(), port)));
        })
        .await
    }

    /// Ports of the links of other running processes.
    pub fn peer_ports(&self) -> Vec<u16> {
        let own_pid = std::process::id();
        let state = self.state.borrow();
        let others = state.peer_ports.iter().filter(|(id, _)| **id != own_pid && is_running(**id));
        others.map(|(_, port)| *port).collect()
    }

    /// Number of running processes that use the file, including this one.
    pub fn processes(&self) -> usize {
        let own_pid = std::process::id();
        let state = self.state.borrow();
        1 + state.processes.iter().filter(|id| **id != own_pid && is_running(**id)).count()
    }

    /// Applies a change on top of what the other process may have written meanwhile. After `Ok` the change is
    /// durable. A caller that drops the future does not learn the result.
    ///
    /// # Errors
    /// What failed, or that it took too long; then the change is not in effect and never will be.
    pub async fn change(
        &self,
        change: impl FnOnce(&mut State) + Send + 'static,
    ) -> Result<(), StateFileError> {
        let Some(file) = self.file.clone() else {
            change(&mut self.state.borrow_mut());
            return Ok(());
        };
        let decision = Arc::new(CommitDecision::default());
        let mut outcome = std::pin::pin!(self.write(file, change, Arc::clone(&decision)));
        match timeout(CHANGE_TIMEOUT, &mut outcome).await {
            Ok(outcome) => outcome,
            Err(_) if decision.abandon() => Err(StateFileError::TimedOut),
            // The change is durable already, and its result is about to arrive.
            Err(_) => outcome.await,
        }
    }

    async fn write(
        &self,
        file: Arc<StateFile>,
        change: impl FnOnce(&mut State) + Send + 'static,
        decision: Arc<CommitDecision>,
    ) -> Result<(), StateFileError> {
        let permit = Arc::clone(&self.permit).lock_owned().await;
        let known = self.state();
        let written = on_thread(move |reply| match file.change(known, change, &decision) {
            Ok(state) => drop(reply.send(Ok((state, permit)))),
            Err(FailedChange { error, rollback }) => {
                let _ = reply.send(Err(error));
                // The permit is kept until the rollback is complete, so that no other operation reads or
                // changes the state that is being undone.
                if let Some(rollback) = rollback {
                    file.roll_back(&rollback);
                }
                drop(permit);
            }
        });
        let (state, _permit): (State, FilePermit) = written.await??;
        // The file may contain an override that the other process wrote. This write has read and kept it, so
        // the file will not look changed at the next refresh, although the override has not been applied in
        // this process.
        self.has_unapplied_change.set(true);
        self.state.replace(state);
        Ok(())
    }
}

/// Runs `work` on a new thread and returns its reply.
async fn on_thread<T: Send + 'static>(
    work: impl FnOnce(oneshot::Sender<T>) + Send + 'static,
) -> Result<T, StateFileError> {
    let (reply, reply_receiver) = oneshot::channel();
    let error_from = |source| StateFileError::System { step: "starting a thread", source };
    thread::Builder::new().name("state-file".to_owned()).spawn(move || work(reply)).map_err(error_from)?;
    reply_receiver.await.map_err(|_| error_from(io::Error::other("it ended without a word")))
}

/// Whether a process uses anything: one that has ended, and whose parent has not asked for its status, does not.
fn is_running(pid: u32) -> bool {
    let folder = Path::new("/proc").join(pid.to_string());
    match fs::read_to_string(folder.join("stat")) {
        // The state follows the name, which may contain anything.
        Ok(stat) => stat.rsplit_once(") ").is_none_or(|(_, rest)| !rest.starts_with(['Z', 'X'])),
        // The failure may be one of this process, as without a free descriptor.
        Err(_) => folder.exists(),
    }
}

#[cfg(test)]
mod tests;
