//! A library for `LD_PRELOAD` that injects faults into a program under test: system calls fail, transfer
//! fewer bytes, are delayed or kill the process, and the wall clock is offset. The plan is a JSON file named
//! by `FAULT_INJECTION_PLAN`.
//!
//! A plan can be replaced at any time by renaming another file over it. It takes effect with the next call,
//! with all counts reset. The number of times each rule was applied is written to `<plan>.counts`, or to the
//! file named by the plan's `counts`, one line per rule. An invalid plan injects nothing and is reported
//! there and on standard error. If `FAULT_INJECTION_PROGRAM` is set, only the program with that file name is
//! affected, not a shell that starts it.
//!
//! This is the only package of the workspace with `unsafe` code, since it replaces C functions.
#![warn(missing_docs)]
#![deny(unsafe_op_in_unsafe_fn)]

mod clock;
mod effect;
mod errno;
mod files;
mod next;
mod plan;
mod sockets;
mod state;
mod transfers;
mod waits;
