//! What the next process of this client proxy has to know of this one: one small file in `$TMPDIR`, replaced
//! whole by a rename. Two processes may use it at once while one takes over from the other. The file is read
//! and written on a thread that lives for one operation, so the event loop only ever waits; a folder that
//! hangs delays no answer.

mod state_file;

mod put_back;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use balancer::Millis;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::{Mutex, OwnedMutexGuard, oneshot};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

pub use self::put_back::EnabledTimes;
use self::state_file::{CommitDecision, Contents, FailedChange, Fingerprint, StateFile, StateFileError};
use crate::clock::{Clock, boot_id};
use crate::names::Names;

/// With what the names of the stored files begin, on behalf of earlier versions: two processes of an upgrade share the files, and
/// the older one knows them by this name alone.
const STATE_FILE_PREFIX: &str = "martensill";
/// The form of the file. Another one is not read.
const VERSION: u32 = 1;
/// How long a caller waits for its change. Operators are owed their answer within a second.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(700);
/// The pause before a read at start that failed is tried again.
const READ_RETRY: Duration = Duration::from_millis(100);

/// What the file holds.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct State {
    version: u32,
    /// Whose file it is; not said by earlier versions of the program.
    #[serde(default)]
    owner: Option<String>,
    /// Endpoints that operators have taken out.
    #[serde(default)]
    #[serde(rename = "out")]
    pub disabled: BTreeSet<String>,
    /// Those that were put back and may still be cold: when, in Unix milliseconds. Earlier versions of the
    /// program read this; a stepped wall clock spoils it, so that it only tells one time from another here.
    #[serde(default)]
    #[serde(rename = "back")]
    pub enabled_unix_ms: BTreeMap<String, f64>,
    /// The same by the machine's monotonic clock.
    #[serde(default)]
    #[serde(rename = "back_monotonic")]
    pub enabled_at: EnabledTimes,
    /// The list as discovery last told it, in the form that the configuration has it in.
    #[serde(default)]
    #[serde(rename = "list")]
    pub endpoint_list: Option<Value>,
    /// The processes that use the file; some may have ended.
    #[serde(default)]
    processes: BTreeSet<u32>,
}

impl State {
    /// Forgets those that were put back before `at` on the monotonic clock.
    pub fn forget_enabled_before(&mut self, at: Millis) {
        self.enabled_at.forget_before(at);
        self.enabled_unix_ms.retain(|name, _| self.enabled_at.get(name).is_some());
    }
}

/// The one permit to touch the file. It is held until what an operation found or wrote is taken in here.
type FilePermit = OwnedMutexGuard<()>;

/// The file and what is known of it.
pub struct ProcessState {
    /// `None` where there is no `$TMPDIR`: then nothing outlives this process.
    file: Option<Arc<StateFile>>,
    permit: Arc<Mutex<()>>,
    state: RefCell<State>,
    clock: Clock,
    /// Of the file that was read last.
    last_fingerprint: Cell<Option<Fingerprint>>,
    /// A change was made on top of what the other process may have written.
    has_unapplied_change: Cell<bool>,
    /// The read before this one failed; that is said once.
    read_failed: Cell<bool>,
    /// The newest list that is to be written, and whether a task is at it.
    pending_list: RefCell<Option<Value>>,
    is_writing_list: Cell<bool>,
    /// The last list could not be written; that is said once.
    list_write_failed: Cell<bool>,
}

impl ProcessState {
    /// The file of this client proxy in `dir`. Nothing is read yet.
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

    /// The clock of [`State::back_monotonic`].
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// What is known of it at present.
    pub fn state(&self) -> State {
        self.state.borrow().clone()
    }

    /// Reads what an earlier process has left, and tries until it is known what that is. A file that is no
    /// good is reported and counts as none; so does one of another client proxy, or of another deployment,
    /// which has other names.
    pub async fn read_at_start(&self) {
        while self.read(true).await.is_err() {
            sleep(READ_RETRY).await;
        }
    }

    /// Reads the file again if it is another one than before; true if what it holds has changed since the
    /// last call.
    pub async fn refresh(&self) -> bool {
        // One that could not be read is read the next time.
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
            // A lock that is held is no trouble: the other process is at it.
            if !matches!(error, StateFileError::Locked) && !self.read_failed.replace(true) {
                eprintln!("client-proxy: the state file is not read: {error}");
            }
        })?;
        self.read_failed.set(false);
        let Some((last_fingerprint, contents)) = newer else { return Ok(false) };
        self.last_fingerprint.set(last_fingerprint);
        Ok(match contents {
            Contents::State(state) => self.state.replace(state.clone()) != state,
            Contents::Missing => false,
            Contents::Unusable(reason) => {
                eprintln!("client-proxy: what an earlier process left is not used: {reason}");
                false
            }
        })
    }

    /// The list that is handed on, unless the one that was `known` before is newer.
    pub fn newer_list(&self, known: Option<Value>) -> Option<Value> {
        let index = |list: &Option<Value>| list.as_ref().and_then(|list| list.get("index")?.as_u64());
        let stored = self.state().endpoint_list;
        if index(&stored) >= index(&known) { stored.or(known) } else { known }
    }

    /// Leaves the list for the next process, without waiting for it. One that cannot be written is only
    /// missed if there is a next process, and the next answer of discovery tries again.
    pub fn publish_list(self: &Rc<Self>, list: Value) {
        self.pending_list.replace(Some(list));
        if !self.is_writing_list.replace(true) {
            spawn_local(Rc::clone(self).write_pending_lists());
        }
    }

    async fn write_pending_lists(self: Rc<Self>) {
        while let Some(list) = self.pending_list.take() {
            if self.state.borrow().endpoint_list.as_ref() == Some(&list) {
                continue;
            }
            let written = self.change(move |state| state.endpoint_list = Some(list)).await;
            let failed_before = self.list_write_failed.replace(written.is_err());
            if let Err(error) = written
                && !failed_before
            {
                eprintln!("client-proxy: the list is not handed on: {error}");
            }
        }
        self.is_writing_list.set(false);
    }

    /// Enters this process among those that use the file.
    ///
    /// # Errors
    /// As for [`ProcessState::change`].
    pub async fn register_process(&self) -> Result<(), StateFileError> {
        self.change(|state| {
            state.processes.retain(|id| is_running(*id));
            state.processes.insert(std::process::id());
        })
        .await
    }

    /// How many processes use the file at present, this one included.
    pub fn processes(&self) -> usize {
        let own_pid = std::process::id();
        let state = self.state.borrow();
        1 + state.processes.iter().filter(|id| **id != own_pid && is_running(**id)).count()
    }

    /// Changes what the file holds, on top of what the other process may have written meanwhile. What this
    /// returns without an error is durable. To be driven to its end: a caller that drops it does not learn
    /// what came of it.
    ///
    /// # Errors
    /// What failed, or that it took too long; then nothing has changed, and nothing will.
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
            // It is durable, and the word of it is on its way.
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
                // The permit stays here until then: nobody reads or changes what must not hold.
                if let Some(rollback) = rollback {
                    file.roll_back(&rollback);
                }
                drop(permit);
            }
        });
        let (state, _permit): (State, FilePermit) = written.await??;
        // Guards against an operator's word to the other process that comes in with a change of this one,
        // such as the list: then the file holds no news, but what it says has not been followed.
        self.has_unapplied_change.set(true);
        self.state.replace(state);
        Ok(())
    }
}

/// Runs `work` on a thread of its own; what it replies.
async fn on_thread<T: Send + 'static>(
    work: impl FnOnce(oneshot::Sender<T>) + Send + 'static,
) -> Result<T, StateFileError> {
    let (reply, reply_receiver) = oneshot::channel();
    let error_from = |source| StateFileError::System { step: "starting a thread", source };
    thread::Builder::new().name("state-file".to_owned()).spawn(move || work(reply)).map_err(error_from)?;
    reply_receiver.await.map_err(|_| error_from(io::Error::other("it ended without a word")))
}

fn is_running(pid: u32) -> bool {
    Path::new("/proc").join(pid.to_string()).exists()
}

#[cfg(test)]
mod tests;
