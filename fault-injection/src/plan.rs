//! The format of a plan, and its validation.

use std::num::NonZeroUsize;
use std::path::PathBuf;

use libc::c_int;
use serde::Deserialize;
use thiserror::Error;

use crate::errno;

/// A call in a rule. It includes its variants in the C library: `accept` is `accept4`; `recvfrom` and
/// `recvmsg` are `recv`; `sendto` and `sendmsg` are `send`; `epoll_pwait` is `epoll_wait`; `openat` is
/// `open`; `fdatasync` is `fsync`; `renameat` is `rename`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum Call {
    Accept4,
    Socket,
    Connect,
    Recv,
    Send,
    Read,
    Write,
    Readv,
    Writev,
    EpollWait,
    Open,
    Fsync,
    Rename,
    Flock,
}

impl Call {
    /// Whether the call transfers bytes, so that it can be shortened.
    fn is_transfer(self) -> bool {
        use Call::*;
        matches!(self, Recv | Send | Read | Write | Readv | Writev)
    }

    /// Whether the call is on a file, which has a path.
    fn has_path(self) -> bool {
        use Call::*;
        matches!(self, Read | Write | Readv | Writev | Open | Fsync | Rename | Flock)
    }
}

/// An error number, given by name in a plan.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(try_from = "String")]
pub struct Errno(pub c_int);

impl TryFrom<String> for Errno {
    type Error = PlanError;

    fn try_from(name: String) -> Result<Errno, PlanError> {
        errno::by_name(&name).map(Errno).ok_or(PlanError::UnknownErrno(name))
    }
}

/// Which calls are affected, and how.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// The call.
    pub call: Call,
    /// Restricts the rule to calls with a path, of an argument or of the descriptor, that contains this text.
    pub path: Option<String>,
    /// The call is not made and fails with this error.
    pub error: Option<Errno>,
    /// Maximum number of bytes to transfer.
    pub short: Option<NonZeroUsize>,
    /// Delay before the call, in milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
    /// Kills the process before the call, or after it if `short` is set.
    #[serde(default)]
    pub kill: bool,
    /// Probability that the rule is applied to a matching call.
    #[serde(default = "always")]
    pub probability: f64,
    /// Number of matching calls to skip first.
    #[serde(default)]
    pub skip: u64,
    /// Maximum number of calls to which the rule is applied.
    pub count: Option<u64>,
}

fn always() -> f64 {
    1.0
}

/// A plan. Rules are tried in order; only the first one that applies to a call takes effect.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Seed of the random number generator for `probability`.
    #[serde(default)]
    pub seed: u64,
    /// The rules, in order.
    #[serde(default)]
    pub rules: Vec<Rule>,
    /// Offset of the wall clock in milliseconds. The monotonic clocks are not affected.
    #[serde(default)]
    pub realtime_offset_ms: i64,
    /// File for the counts; `<plan>.counts` if `None`.
    pub counts: Option<PathBuf>,
}

/// Why a plan is invalid.
#[derive(Debug, Error)]
pub enum PlanError {
    /// Linux has no error of this name.
    #[error("unknown Linux error name {0:?}")]
    UnknownErrno(String),
    /// The plan is not valid JSON, or has unknown or missing fields.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The file could not be read.
    #[error(transparent)]
    Unreadable(#[from] std::io::Error),
    /// A rule has a field that does not apply to its call, or a value outside its range.
    #[error("rule {rule}: {reason}")]
    InvalidRule { rule: usize, reason: &'static str },
}

impl Plan {
    /// Parses and validates a plan.
    pub fn parse(text: &[u8]) -> Result<Plan, PlanError> {
        let plan: Plan = serde_json::from_slice(text)?;
        for (rule, entry) in plan.rules.iter().enumerate() {
            if let Some(reason) = rule_problem(entry) {
                return Err(PlanError::InvalidRule { rule, reason });
            }
        }
        Ok(plan)
    }
}

/// Describes what is invalid in a rule, if anything.
fn rule_problem(rule: &Rule) -> Option<&'static str> {
    if rule.short.is_some() && !rule.call.is_transfer() {
        return Some("`short` applies only to calls that transfer bytes");
    }
    if rule.path.is_some() && !rule.call.has_path() {
        return Some("`path` applies only to calls on files");
    }
    if rule.error.is_some() && (rule.short.is_some() || rule.kill) {
        return Some("`error` cannot be combined with `short` or `kill`: the call is not made");
    }
    if !(0.0..=1.0).contains(&rule.probability) {
        return Some("`probability` must be between 0 and 1");
    }
    None
}
