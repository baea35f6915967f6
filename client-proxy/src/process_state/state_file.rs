//! The state file on disk. Every call here may block for as long as the disk does, so all of them are made on
//! a thread of their own, one at a time. A change is written beside the file, synced, renamed over it, and
//! the folder synced.

use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, ErrorKind, Write};
use std::os::unix::fs::MetadataExt;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use super::{State, VERSION};
use crate::clock::Clock;

/// For how long, and how often, a lock that the other process holds is tried.
const LOCK_TIMEOUT: Duration = Duration::from_millis(300);
const LOCK_RETRY: Duration = Duration::from_millis(2);
/// The pause before a rollback that failed is tried again.
const ROLLBACK_RETRY: Duration = Duration::from_millis(100);

/// Why the file was not read or not changed.
#[derive(Debug, thiserror::Error)]
pub enum StateFileError {
    /// A call to the system failed.
    #[error("{step}: {source}")]
    System {
        /// What was being done.
        step: &'static str,
        /// What the system said.
        source: io::Error,
    },
    /// The other process has kept its lock for too long.
    #[error("another process holds the lock")]
    Locked,
    /// The caller has stopped waiting.
    #[error("the folder has not answered in time")]
    TimedOut,
}

/// Names the step at which a call to the system failed.
fn failed_at(step: &'static str) -> impl Fn(io::Error) -> StateFileError {
    move |source| StateFileError::System { step, source }
}

/// What was found where the file belongs.
pub enum Contents {
    Missing,
    /// Spoilt, of another version or of another client proxy; says which.
    Unusable(String),
    State(State),
}

/// Tells one file at the path from the next; a rename puts another one there.
pub type Fingerprint = (u64, i64, i64, u64);

/// Decides once whether a change holds: between the thread that writes it and the caller that may stop
/// waiting.
#[derive(Default)]
pub struct CommitDecision(AtomicU8);

impl CommitDecision {
    const OPEN: u8 = 0;
    const COMMITTED: u8 = 1;
    const ABANDONED: u8 = 2;

    /// The change is durable; false if the caller has been told otherwise already.
    fn commit(&self) -> bool {
        self.decide(CommitDecision::COMMITTED)
    }

    /// Nobody waits for the change any more; false if it is durable already.
    pub fn abandon(&self) -> bool {
        self.decide(CommitDecision::ABANDONED)
    }

    fn decide(&self, decision: u8) -> bool {
        self.0.compare_exchange(CommitDecision::OPEN, decision, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }

    fn is_abandoned(&self) -> bool {
        self.0.load(Ordering::Acquire) == CommitDecision::ABANDONED
    }
}

/// A change that did not come about.
#[derive(Debug)]
pub struct FailedChange {
    pub error: StateFileError,
    /// What has to be taken back, if the change may have reached the disk.
    pub rollback: Option<Box<Rollback>>,
}

impl From<StateFileError> for FailedChange {
    fn from(error: StateFileError) -> FailedChange {
        FailedChange { error, rollback: None }
    }
}

/// The state before a change that must not hold. The lock keeps the other process from reading the change
/// meanwhile.
#[derive(Debug)]
pub struct Rollback {
    before: State,
    folder: File,
    _lock: File,
}

/// The path of the file, and whose it is.
pub struct StateFile {
    pub path: PathBuf,
    /// The client proxy and its deployment.
    pub owner: String,
    /// Of the times at which operators put endpoints back.
    pub clock: Clock,
    /// The boot that the clock counts from, where the system says.
    pub boot_id: Option<String>,
}

impl StateFile {
    /// What the file holds, with its times as they hold for this process, which has `known` before.
    pub fn read(&self, known: &State) -> Result<Contents, StateFileError> {
        let bytes = match fs::read(&self.path) {
            Ok(bytes) => bytes,
            Err(error) => match error.kind() {
                ErrorKind::NotFound | ErrorKind::NotADirectory => return Ok(Contents::Missing),
                ErrorKind::IsADirectory => return Ok(Contents::Unusable(error.to_string())),
                _ => return Err(failed_at("reading it")(error)),
            },
        };
        let mut state: State = match serde_json::from_slice(&bytes) {
            Ok(state) => state,
            Err(error) => return Ok(Contents::Unusable(error.to_string())),
        };
        Ok(match &state.owner {
            _ if state.version != VERSION => {
                Contents::Unusable(format!("it is of version {}, not {VERSION}", state.version))
            }
            Some(owner) if *owner != self.owner => Contents::Unusable(format!("it belongs to {owner}")),
            _ => {
                let known = (&known.enabled_unix_ms, &known.enabled_at);
                state.enabled_at.reconcile(
                    &state.enabled_unix_ms,
                    known,
                    self.boot_id.as_deref(),
                    self.clock.now(),
                );
                Contents::State(state)
            }
        })
    }

    /// What the file holds, if it is another file than the one that was `seen` last.
    ///
    /// Guards against reading a change that is not acknowledged yet, or is about to be taken back: it waits
    /// for the lock. Who `insists` reads without it in the end, since an acknowledged change must not be
    /// missed either.
    pub fn read_newer(
        &self,
        last_fingerprint: Option<Fingerprint>,
        must_read: bool,
        known: &State,
    ) -> Result<Option<(Option<Fingerprint>, Contents)>, StateFileError> {
        if self.fingerprint()? == last_fingerprint && !must_read {
            return Ok(None);
        }
        let lock = match File::open(self.lock_path()) {
            Ok(lock) => acquire_lock(|| lock.try_lock_shared()).map(|()| Some(lock)),
            // Nobody has changed the file under a lock; or there is no locking, and a rename is whole all the
            // same.
            Err(_) => Ok(None),
        };
        if matches!(lock, Err(StateFileError::Locked)) && !must_read {
            return Err(StateFileError::Locked);
        }
        // Before the contents: if the file is replaced in between, it is read once more.
        let fingerprint = self.fingerprint()?;
        Ok(Some((fingerprint, self.read(known)?)))
    }

    /// Changes what the file holds, on top of what the other process may have written meanwhile, or else of
    /// what is `known`. Once this returns a state, that state is durable.
    pub fn change(
        &self,
        known: State,
        change: impl FnOnce(&mut State),
        decision: &CommitDecision,
    ) -> Result<State, FailedChange> {
        let folder =
            File::open(self.path.parent().unwrap_or(&self.path)).map_err(failed_at("opening the folder"))?;
        let lock = OpenOptions::new().create(true).append(true).open(self.lock_path());
        let lock = lock.map_err(failed_at("opening the lock"))?;
        acquire_lock(|| lock.try_lock())?;
        let mut before = match self.read(&known)? {
            Contents::State(state) => state,
            Contents::Missing | Contents::Unusable(_) => known,
        };
        (before.version, before.owner) = (VERSION, Some(self.owner.clone()));
        let mut after = before.clone();
        change(&mut after);
        self.write_temporary(&after)?;
        // Guards against a change that comes into force after its caller has been told that it does not.
        if decision.is_abandoned() {
            self.remove_temporary();
            return Err(StateFileError::TimedOut.into());
        }
        if let Err(error) = fs::rename(self.temporary_path(), &self.path) {
            self.remove_temporary();
            return Err(failed_at("renaming it")(error).into());
        }
        // Prevents a change that was refused meanwhile from being in force until the folder is synced, which
        // may take for longer than this process lives.
        let synced =
            if decision.is_abandoned() { Err(StateFileError::TimedOut) } else { sync_folder(&folder) };
        let error = match synced {
            Ok(()) if decision.commit() => return Ok(after),
            Ok(()) => StateFileError::TimedOut,
            Err(error) => error,
        };
        let rollback = Rollback { before, folder, _lock: lock };
        Err(FailedChange { error, rollback: Some(Box::new(rollback)) })
    }

    /// Puts back what was before a change that failed late, and tries until that holds.
    pub fn roll_back(&self, rollback: &Rollback) {
        while self.replace(rollback).is_err() {
            thread::sleep(ROLLBACK_RETRY);
        }
    }

    fn replace(&self, rollback: &Rollback) -> Result<(), StateFileError> {
        self.write_temporary(&rollback.before)?;
        fs::rename(self.temporary_path(), &self.path).map_err(failed_at("renaming it"))?;
        sync_folder(&rollback.folder)
    }

    /// Writes the next file, durably, in place of one that a process left when it was killed.
    fn write_temporary(&self, state: &State) -> Result<(), StateFileError> {
        let result =
            File::create(self.temporary_path()).map_err(failed_at("opening it")).and_then(|mut file| {
                let bytes =
                    serde_json::to_vec(state).map_err(|error| failed_at("writing it")(error.into()))?;
                file.write_all(&bytes).map_err(failed_at("writing it"))?;
                file.sync_all().map_err(failed_at("syncing it"))
            });
        if result.is_err() {
            self.remove_temporary();
        }
        result
    }

    /// Gives the space back. One that stays is overwritten by the next change.
    fn remove_temporary(&self) {
        let _ = fs::remove_file(self.temporary_path());
    }

    fn fingerprint(&self) -> Result<Option<Fingerprint>, StateFileError> {
        match fs::metadata(&self.path) {
            Ok(metadata) => {
                Ok(Some((metadata.ino(), metadata.mtime(), metadata.mtime_nsec(), metadata.len())))
            }
            Err(error) if matches!(error.kind(), ErrorKind::NotFound | ErrorKind::NotADirectory) => Ok(None),
            Err(error) => Err(failed_at("looking at it")(error)),
        }
    }

    fn temporary_path(&self) -> PathBuf {
        self.path.with_extension("new")
    }

    fn lock_path(&self) -> PathBuf {
        self.path.with_extension("lock")
    }
}

/// Waits for the other process to be done; the lock goes with the descriptor, also with that of a killed
/// process.
fn acquire_lock(try_lock: impl Fn() -> Result<(), TryLockError>) -> Result<(), StateFileError> {
    let deadline = Instant::now() + LOCK_TIMEOUT;
    loop {
        match try_lock() {
            Ok(()) => return Ok(()),
            Err(TryLockError::Error(error)) if error.kind() != ErrorKind::Interrupted => {
                return Err(failed_at("locking it")(error));
            }
            Err(_) if Instant::now() >= deadline => return Err(StateFileError::Locked),
            Err(_) => thread::sleep(LOCK_RETRY),
        }
    }
}

/// A rename lasts once its folder is synced. File systems that know no sync of a folder do not outlast a
/// crash anyway.
fn sync_folder(folder: &File) -> Result<(), StateFileError> {
    match folder.sync_all() {
        Err(error) if !matches!(error.kind(), ErrorKind::InvalidInput | ErrorKind::Unsupported) => {
            Err(failed_at("syncing the folder")(error))
        }
        _ => Ok(()),
    }
}
