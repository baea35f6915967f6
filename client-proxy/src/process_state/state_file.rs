//! The state file on disk. All calls here may block for as long as the disk does, so they run on separate
//! threads, one at a time. A change is written to a temporary file, synced and renamed over the state file,
//! then the folder is synced.

use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, ErrorKind, Write};
use std::os::unix::fs::MetadataExt;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use super::{State, VERSION};
use crate::clock::Clock;

/// How long, and at what interval, to retry a lock that the other process holds.
const LOCK_TIMEOUT: Duration = Duration::from_millis(300);
const LOCK_RETRY: Duration = Duration::from_millis(2);
/// Backoff before a failed rollback is retried.
const ROLLBACK_RETRY: Duration = Duration::from_millis(100);

/// Why the file could not be read or changed.
#[derive(Debug, thiserror::Error)]
pub enum StateFileError {
    /// A system call failed.
    #[error("{step}: {source}")]
    System {
        /// The operation that failed.
        step: &'static str,
        /// Error of the system call.
        source: io::Error,
    },
    /// The other process held its lock for too long.
    #[error("another process holds the lock")]
    Locked,
    /// The caller has stopped waiting.
    #[error("the folder has not answered in time")]
    TimedOut,
}

/// Adds the failed operation to an I/O error.
fn failed_at(step: &'static str) -> impl Fn(io::Error) -> StateFileError {
    move |source| StateFileError::System { step, source }
}

/// Result of reading the file.
pub enum Contents {
    Missing,
    /// Invalid, of another version, or of another client proxy; holds the reason.
    Unusable(String),
    State(State),
}

/// Identifies a file by inode, modification time and size; each rename puts another file in place.
pub type Fingerprint = (u64, i64, i64, u64);

/// Decides exactly once whether a change takes effect, between the thread that writes it and the caller,
/// which may stop waiting.
#[derive(Default)]
pub struct CommitDecision(AtomicU8);

impl CommitDecision {
    const OPEN: u8 = 0;
    const COMMITTED: u8 = 1;
    const ABANDONED: u8 = 2;

    /// Commits a durable change; false if the caller has already given up.
    fn commit(&self) -> bool {
        self.decide(CommitDecision::COMMITTED)
    }

    /// Gives up waiting for the change; false if it is already durable.
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

/// A change that did not take effect.
#[derive(Debug)]
pub struct FailedChange {
    pub error: StateFileError,
    /// Set if the change may have reached the disk and has to be undone.
    pub rollback: Option<Box<Rollback>>,
}

impl From<StateFileError> for FailedChange {
    fn from(error: StateFileError) -> FailedChange {
        FailedChange { error, rollback: None }
    }
}

/// The state to restore after a change that must not take effect. The lock keeps the other process from
/// reading that change meanwhile.
#[derive(Debug)]
pub struct Rollback {
    before: State,
    folder: File,
    _lock: File,
}

/// Location and owner of the state file.
pub struct StateFile {
    pub path: PathBuf,
    /// Identifies the client proxy and its deployment.
    pub owner: String,
    /// Clock of the times at which operators enabled endpoints.
    pub clock: Clock,
    /// The boot that the clock counts from, if known.
    pub boot_id: Option<String>,
}

impl StateFile {
    /// Reads the file and converts its times for this process, which knows the state `known` so far.
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
                Contents::Unusable(format!("format version {}, expected {VERSION}", state.version))
            }
            Some(owner) if *owner != self.owner => {
                Contents::Unusable(format!("written by another client proxy or deployment: {owner}"))
            }
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

    /// Reads the file if it is not the one identified by `last_fingerprint`.
    ///
    /// Waits for the lock first: the other process may have written a change that is not yet acknowledged, or
    /// is about to be rolled back. With `must_read` the file is read in the end even without the lock, since
    /// an acknowledged change must not be missed either.
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
            // No process has changed the file under a lock yet, or locks do not work here; a rename is atomic
            // in any case.
            Err(_) => Ok(None),
        };
        if matches!(lock, Err(StateFileError::Locked)) && !must_read {
            return Err(StateFileError::Locked);
        }
        // Taken before the contents: if the file is replaced in between, the next call reads it again.
        let fingerprint = self.fingerprint()?;
        Ok(Some((fingerprint, self.read(known)?)))
    }

    /// Applies a change on top of what the other process may have written meanwhile, or of `known` if there
    /// is no usable file. A state that this returns is durable.
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
        // The caller has been told that the change failed, so it must not take effect.
        if decision.is_abandoned() {
            self.remove_temporary();
            return Err(StateFileError::TimedOut.into());
        }
        if let Err(error) = fs::rename(self.temporary_path(), &self.path) {
            self.remove_temporary();
            return Err(failed_at("renaming it")(error).into());
        }
        // The caller may have given up during the rename. Syncing the folder may take longer than this
        // process lives, and the rejected change would stay in effect until then, so it is rolled back at
        // once.
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

    /// Restores the state before a change, retrying until that succeeds.
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

    /// Writes and syncs the temporary file, replacing one that a killed process may have left.
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

    /// Frees the disk space. If this fails, the next change overwrites the file.
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

/// Waits until the other process releases the lock. The system releases it when its descriptor is closed,
/// also when that process is killed.
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

/// Makes a rename durable. File systems that cannot sync a folder give no such guarantee anyway.
fn sync_folder(folder: &File) -> Result<(), StateFileError> {
    match folder.sync_all() {
        Err(error) if !matches!(error.kind(), ErrorKind::InvalidInput | ErrorKind::Unsupported) => {
            Err(failed_at("syncing the folder")(error))
        }
        _ => Ok(()),
    }
}
