//! The current plan, and how often each of its rules was applied.

use std::cell::Cell;
use std::ffi::{CStr, OsString};
use std::fs::{self, Metadata};
use std::io::Write;
use std::os::unix::ffi::OsStrExt;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};

use libc::c_int;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;

use crate::errno;
use crate::plan::{Call, Plan, PlanError, Rule};

/// Environment variable with the path of the plan.
const PLAN_VARIABLE: &str = "FAULT_INJECTION_PLAN";
/// Environment variable with the file name of the only program that is affected. If unset, every program is.
const PROGRAM_VARIABLE: &str = "FAULT_INJECTION_PROGRAM";

/// The object of a call, for rules with a path.
pub enum Target<'a> {
    /// An object without a path.
    None,
    /// The file that the descriptor refers to.
    Descriptor(c_int),
    /// The paths in the call's arguments.
    Paths(&'a [&'a CStr]),
}

thread_local! {
    // A `Cell<bool>` has no destructor, so it stays usable while the thread's other thread-locals are
    // destroyed.
    static INTERCEPTING: Cell<bool> = const { Cell::new(false) };
}

/// Marks the current thread as running this library's own code, whose system calls are not intercepted. The
/// same holds for a signal handler that interrupts this code: it would deadlock on the lock of the state.
pub struct ReentryGuard;

impl ReentryGuard {
    /// Returns `None` if this thread already runs this library's code.
    pub fn enter() -> Option<ReentryGuard> {
        let acquired = INTERCEPTING.try_with(|intercepting| !intercepting.replace(true)).unwrap_or(false);
        acquired.then(|| ReentryGuard)
    }
}

impl Drop for ReentryGuard {
    fn drop(&mut self) {
        let _ = INTERCEPTING.try_with(|intercepting| intercepting.set(false));
    }
}

/// Identifies the file that was read last, by inode, modification time and size. A rename puts another inode
/// there.
type FileVersion = (u64, i64, i64, u64);

struct State {
    path: PathBuf,
    file_version: Option<FileVersion>,
    plan: Plan,
    /// For each rule the number of matching calls, and the number of calls to which it was applied.
    rule_counts: Vec<(u64, u64)>,
    rng: Pcg32,
}

/// Returns the rule that applies to this call, if any, and counts it.
pub fn match_rule(call: Call, target: &Target<'_>) -> Option<Rule> {
    let _guard = ReentryGuard::enter()?;
    let errno = errno::get();
    let applied = lock_current_state().and_then(|mut state| state.match_rule(call, target));
    errno::set(errno);
    applied
}

/// Milliseconds to add to the wall clock.
pub fn realtime_offset_ms() -> i64 {
    let Some(_guard) = ReentryGuard::enter() else { return 0 };
    let errno = errno::get();
    let offset = lock_current_state().map_or(0, |state| state.plan.realtime_offset_ms);
    errno::set(errno);
    offset
}

/// Locks the state, after reloading the plan if its file has changed. `None` if this program has no plan. The
/// calling thread must hold a [`ReentryGuard`].
fn lock_current_state() -> Option<MutexGuard<'static, State>> {
    static STATE: OnceLock<Option<Mutex<State>>> = OnceLock::new();
    let state = STATE.get_or_init(|| plan_path().map(|path| Mutex::new(State::new(path)))).as_ref()?;
    let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
    state.reload_if_changed();
    Some(state)
}

fn plan_path() -> Option<PathBuf> {
    let path = std::env::var_os(PLAN_VARIABLE)?;
    let Some(program) = std::env::var_os(PROGRAM_VARIABLE) else { return Some(path.into()) };
    let executable = std::env::current_exe().ok()?;
    (executable.file_name() == Some(&program)).then(|| path.into())
}

impl State {
    fn new(path: PathBuf) -> State {
        State {
            path,
            file_version: None,
            plan: Plan::default(),
            rule_counts: Vec::new(),
            rng: Pcg32::seed_from_u64(0),
        }
    }

    /// Reloads the plan if its file has been replaced. Keeps the current one if the file's metadata cannot be
    /// read.
    fn reload_if_changed(&mut self) {
        let Ok(metadata) = fs::metadata(&self.path) else { return };
        let file_version = Some(file_version(&metadata));
        if file_version == self.file_version {
            return;
        }
        let parsed = fs::read(&self.path).map_err(PlanError::from).and_then(|text| Plan::parse(&text));
        self.file_version = file_version;
        let error = parsed.as_ref().err().map(ToString::to_string);
        self.plan = parsed.unwrap_or_default();
        self.rule_counts = vec![(0, 0); self.plan.rules.len()];
        self.rng = Pcg32::seed_from_u64(self.plan.seed);
        match error {
            None => self.write_counts(),
            Some(error) => {
                let _ = writeln!(std::io::stderr(), "fault-injection: {}: {error}", self.path.display());
                self.replace_counts_file(&format!("error: {error}\n"));
            }
        }
    }

    fn match_rule(&mut self, call: Call, target: &Target<'_>) -> Option<Rule> {
        let State { plan, rule_counts, rng, .. } = self;
        let applied = plan.rules.iter().zip(rule_counts).find_map(|(rule, (matching, applied))| {
            if rule.call != call || !matches(rule, target) {
                return None;
            }
            *matching += 1;
            let exhausted = rule.count.is_some_and(|count| *applied >= count);
            if *matching <= rule.skip || exhausted || !is_chosen(rng, rule.probability) {
                return None;
            }
            *applied += 1;
            Some(rule.clone())
        });
        if applied.is_some() {
            self.write_counts();
        }
        applied
    }

    fn write_counts(&self) {
        let lines: String = self.rule_counts.iter().map(|(_, applied)| format!("{applied}\n")).collect();
        self.replace_counts_file(&lines);
    }

    /// Replaces the file with the counts by a rename, so that readers never see a partially written one.
    fn replace_counts_file(&self, text: &str) {
        let path = self.plan.counts.clone().unwrap_or_else(|| with_suffix(&self.path, ".counts"));
        let temporary = with_suffix(&path, &format!(".{}", std::process::id()));
        if fs::write(&temporary, text).is_ok() {
            let _ = fs::rename(&temporary, &path);
        }
    }
}

fn with_suffix(path: &Path, suffix: &str) -> PathBuf {
    let mut name: OsString = path.as_os_str().to_owned();
    name.push(suffix);
    name.into()
}

fn file_version(metadata: &Metadata) -> FileVersion {
    (metadata.ino(), metadata.mtime(), metadata.mtime_nsec(), metadata.size())
}

fn is_chosen(rng: &mut Pcg32, probability: f64) -> bool {
    probability >= 1.0 || f64::from(rng.next_u32()) / (f64::from(u32::MAX) + 1.0) < probability
}

fn matches(rule: &Rule, target: &Target<'_>) -> bool {
    let Some(fragment) = rule.path.as_deref() else { return true };
    let contains =
        |path: &[u8]| path.windows(fragment.len().max(1)).any(|window| window == fragment.as_bytes());
    match target {
        Target::None => false,
        Target::Descriptor(descriptor) => fs::read_link(format!("/proc/self/fd/{descriptor}"))
            .is_ok_and(|path| contains(path.as_os_str().as_bytes())),
        Target::Paths(paths) => paths.iter().any(|path| contains(path.to_bytes())),
    }
}
