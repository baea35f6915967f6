//! Access to the C library's functions that this library replaces.

use std::ffi::CStr;
use std::ptr;
use std::sync::atomic::{AtomicPtr, Ordering};

use libc::c_void;

/// Returns the address of the next definition of a symbol after this library's own, or null if there is none.
/// `cached` keeps the address for later calls.
pub fn resolve(cached: &AtomicPtr<c_void>, name: &CStr) -> *mut c_void {
    let mut address = cached.load(Ordering::Acquire);
    if address.is_null() {
        // SAFETY: the name ends with a zero byte, which is the only precondition of a symbol lookup.
        address = unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) };
        cached.store(address, Ordering::Release);
    }
    address
}

/// A cache for [`resolve`] without an address.
pub const fn unresolved() -> AtomicPtr<c_void> {
    AtomicPtr::new(ptr::null_mut())
}

/// Calls the C library's own function of this name. Fails with `ENOSYS` if it has none.
macro_rules! call_next {
    ($name:ident($($argument:ident: $type:ty),*) -> $result:ty) => {{
        static ADDRESS: std::sync::atomic::AtomicPtr<libc::c_void> = $crate::next::unresolved();
        const NAME: &str = concat!(stringify!($name), "\0");
        let name = std::ffi::CStr::from_bytes_with_nul(NAME.as_bytes()).unwrap_or_default();
        let address = $crate::next::resolve(&ADDRESS, name);
        // SAFETY: the symbol is this function of the C library, with the signature in its manual; null
        // becomes `None`.
        let next = unsafe {
            std::mem::transmute::<*mut libc::c_void, Option<unsafe extern "C" fn($($type),*) -> $result>>(address)
        };
        match next {
            // SAFETY: the arguments are the caller's, who has to keep to the function's contract.
            Some(next) => unsafe { next($($argument),*) },
            None => {
                $crate::errno::set(libc::ENOSYS);
                -1
            }
        }
    }};
}

/// Defines a replacement for a C function that applies the plan's rule for this call, if any, and otherwise
/// calls the C library's own function.
macro_rules! interpose {
    ($call:ident, $target:expr, $name:ident($($argument:ident: $type:ty),*) -> $result:ty) => {
        #[doc = concat!("Replaces `", stringify!($name), "`.")]
        ///
        /// # Safety
        /// Same as for the function of the C library.
        #[unsafe(no_mangle)]
        pub unsafe extern "C" fn $name($($argument: $type),*) -> $result {
            match $crate::effect::before_call($crate::plan::Call::$call, &$target) {
                Some(_) => call_next!($name($($argument: $type),*) -> $result),
                None => -1,
            }
        }
    };
}

pub(crate) use {call_next, interpose};
