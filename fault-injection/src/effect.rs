//! Applies a rule to a call.

use std::time::Duration;

use libc::{c_int, size_t};

use crate::plan::{Call, Rule};
use crate::state::{Target, match_rule};
use crate::{errno, waits};

/// The part of a rule that applies to a call while it is made, and after it.
#[derive(Default)]
pub struct Effect {
    short: Option<usize>,
    kill: bool,
}

/// Applies the part of a rule that comes before the call. `None` means that the call fails: `errno` is set,
/// and the call must not be made.
pub fn before_call(call: Call, target: &Target<'_>) -> Option<Effect> {
    let Some(Rule { error, short, delay_ms, kill, .. }) = match_rule(call, target) else {
        return Some(Effect::default());
    };
    if delay_ms > 0 {
        std::thread::sleep(Duration::from_millis(delay_ms));
    }
    if kill && short.is_none() {
        kill_self();
    }
    if let Some(error) = error {
        errno::set(error.0);
        return None;
    }
    Some(Effect { short: short.map(Into::into), kill })
}

impl Effect {
    /// Whether the call may transfer fewer bytes than the caller requested.
    pub fn is_short(&self) -> bool {
        self.short.is_some()
    }

    /// The number of bytes to transfer, of `length` requested ones.
    pub fn limit(&self, length: size_t) -> size_t {
        self.short.map_or(length, |max| max.min(length))
    }

    /// Applies the part of a rule that comes after the call.
    pub fn after_call(&self, descriptor: c_int) {
        if self.kill {
            kill_self();
        }
        if self.is_short() {
            waits::rearm(descriptor);
        }
    }
}

fn kill_self() {
    // SAFETY: sending a signal has no preconditions.
    unsafe { libc::kill(libc::getpid(), libc::SIGKILL) };
}
