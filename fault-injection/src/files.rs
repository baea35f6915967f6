//! Calls on files other than reads and writes.

use std::ffi::CStr;

use libc::{c_char, c_int, c_uint, mode_t};

use crate::next::{call_next, interpose};
use crate::state::Target;

/// The caller's path, empty if it is null.
fn path<'a>(path: *const c_char) -> &'a CStr {
    if path.is_null() {
        return c"";
    }
    // SAFETY: the caller has to pass a C string that is valid for the duration of the call, as the C function
    // requires.
    unsafe { CStr::from_ptr(path) }
}

// In C the mode is a variadic argument, which is passed like a fixed one. It is forwarded even if the caller
// gave none.
interpose!(Open, Target::Paths(&[path(name)]), open(name: *const c_char, flags: c_int, mode: mode_t) -> c_int);
interpose!(Open, Target::Paths(&[path(name)]), open64(name: *const c_char, flags: c_int, mode: mode_t) -> c_int);
interpose!(Open, Target::Paths(&[path(name)]),
    openat(directory: c_int, name: *const c_char, flags: c_int, mode: mode_t) -> c_int);
interpose!(Open, Target::Paths(&[path(name)]),
    openat64(directory: c_int, name: *const c_char, flags: c_int, mode: mode_t) -> c_int);
interpose!(Fsync, Target::Descriptor(file), fsync(file: c_int) -> c_int);
interpose!(Fsync, Target::Descriptor(file), fdatasync(file: c_int) -> c_int);
interpose!(Rename, Target::Paths(&[path(from), path(to)]),
    rename(from: *const c_char, to: *const c_char) -> c_int);
interpose!(Rename, Target::Paths(&[path(from), path(to)]),
    renameat(old: c_int, from: *const c_char, new: c_int, to: *const c_char) -> c_int);
interpose!(Rename, Target::Paths(&[path(from), path(to)]),
    renameat2(old: c_int, from: *const c_char, new: c_int, to: *const c_char, flags: c_uint) -> c_int);
interpose!(Flock, Target::Descriptor(file), flock(file: c_int, operation: c_int) -> c_int);
