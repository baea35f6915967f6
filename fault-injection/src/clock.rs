//! Offset of the wall clock.

use libc::{c_int, clockid_t, timespec};

use crate::next::call_next;
use crate::state::realtime_offset_ms;

const NANOS_PER_MS: i64 = 1_000_000;
const NANOS_PER_S: i64 = 1_000_000_000;
const MS_PER_S: i64 = 1000;

/// Replaces `clock_gettime`.
///
/// # Safety
/// Same as for the function of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, now: *mut timespec) -> c_int {
    let result = call_next!(clock_gettime(clock: clockid_t, now: *mut timespec) -> c_int);
    if result != 0 || clock != libc::CLOCK_REALTIME || now.is_null() {
        return result;
    }
    let offset = realtime_offset_ms();
    // SAFETY: not null, and written by the call above.
    let now = unsafe { &mut *now };
    let nanos = now.tv_nsec + offset.rem_euclid(MS_PER_S) * NANOS_PER_MS;
    let seconds = now.tv_sec.saturating_add(offset.div_euclid(MS_PER_S) + nanos / NANOS_PER_S);
    now.tv_sec = seconds;
    now.tv_nsec = nanos % NANOS_PER_S;
    result
}
