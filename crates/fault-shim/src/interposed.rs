//! Replacements of C library functions. Each calls the original function unless a fault is set.

#![expect(unreachable_pub, reason = "the dynamic linker finds these by name")]

use std::ffi::{c_char, c_int, c_void, CStr};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::OnceLock;

use crate::control::{current_value, Fault};

const NANOS_PER_SECOND: i64 = 1_000_000_000;
/// Injected errors of `accept4`, used in turn.
const ACCEPT_ERRORS: [c_int; 5] = [
    libc::ECONNABORTED,
    libc::ENFILE,
    libc::ENOBUFS,
    libc::EMFILE,
    libc::EINTR,
];
/// Injected errors of `connect`, used in turn.
const CONNECT_ERRORS: [c_int; 3] = [libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::EHOSTUNREACH];
/// Injected errors of `socket`, used in turn.
const SOCKET_ERRORS: [c_int; 3] = [libc::ENFILE, libc::ENOBUFS, libc::EMFILE];
/// Prefix of the names of state files.
const STATE_FILE_PREFIX: &[u8] = b"applewall-";

/// The C library's function of this name, looked up at the first use.
macro_rules! original {
    ($name:literal, $type:ty) => {{
        static ADDRESS: OnceLock<usize> = OnceLock::new();
        let address = *ADDRESS.get_or_init(|| {
            let name: &CStr = $name;
            // The macro expands only inside unsafe blocks.
            libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) as usize
        });
        // `$type` is the type of the C library's function of this name.
        std::mem::transmute::<usize, $type>(address)
    }};
}

/// Sets `errno` and returns -1, as a failed system call does.
fn fail(error: c_int) -> c_int {
    // SAFETY: the pointer to `errno` of this thread is always valid.
    unsafe { *libc::__errno_location() = error };
    -1
}

/// Counts a call, and returns the error to inject if this is a call that has to fail: every `n`th one, where `n` is the
/// value of the fault.
fn injected_error(fault: Fault, calls: &AtomicUsize, errors: &[c_int]) -> Option<c_int> {
    let interval = usize::try_from(current_value(fault))
        .ok()
        .filter(|interval| *interval > 0)?;
    let call = calls.fetch_add(1, Ordering::Relaxed) + 1;
    call.is_multiple_of(interval)
        .then(|| errors[call / interval % errors.len()])
}

/// Adds the offset to the wall clock. Other clocks are unchanged.
///
/// # Safety
///
/// See clock_gettime(2).
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, time: *mut libc::timespec) -> c_int {
    type Function = unsafe extern "C" fn(libc::clockid_t, *mut libc::timespec) -> c_int;
    let result = unsafe { original!(c"clock_gettime", Function)(clock, time) };
    if clock == libc::CLOCK_REALTIME && result == 0 {
        let time = unsafe { &mut *time };
        let stepped = time.tv_sec * NANOS_PER_SECOND + time.tv_nsec + wall_clock_offset_ns();
        time.tv_sec = stepped.div_euclid(NANOS_PER_SECOND);
        time.tv_nsec = stepped.rem_euclid(NANOS_PER_SECOND);
    }
    result
}

fn wall_clock_offset_ns() -> i64 {
    current_value(Fault::WallClockOffsetNs)
}

/// On state files, writes only half of the bytes; fails if there is at most one byte to write.
///
/// # Safety
///
/// See write(2).
#[no_mangle]
pub unsafe extern "C" fn write(file: c_int, bytes: *const c_void, length: usize) -> isize {
    type Function = unsafe extern "C" fn(c_int, *const c_void, usize) -> isize;
    let original = unsafe { original!(c"write", Function) };
    let error = current_value(Fault::FileError) as c_int;
    if error == 0 || !is_state_file(file) {
        return unsafe { original(file, bytes, length) };
    }
    if length > 1 {
        return unsafe { original(file, bytes, length / 2) };
    }
    fail(error) as isize
}

/// Fails on state files.
///
/// # Safety
///
/// See fsync(2).
#[no_mangle]
pub unsafe extern "C" fn fsync(file: c_int) -> c_int {
    type Function = unsafe extern "C" fn(c_int) -> c_int;
    let error = current_value(Fault::FileError) as c_int;
    if error != 0 && is_state_file(file) {
        return fail(error);
    }
    unsafe { original!(c"fsync", Function)(file) }
}

/// Fails if the new name is that of a state file.
///
/// # Safety
///
/// See rename(2).
#[no_mangle]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    type Function = unsafe extern "C" fn(*const c_char, *const c_char) -> c_int;
    let error = current_value(Fault::FileError) as c_int;
    let is_state = unsafe { CStr::from_ptr(to) }
        .to_bytes()
        .ends_with(b".state");
    if error != 0 && is_state {
        return fail(error);
    }
    unsafe { original!(c"rename", Function)(from, to) }
}

/// Fails every `n`th time, as set, with errors that accept(2) lists.
///
/// # Safety
///
/// See accept4(2).
#[no_mangle]
pub unsafe extern "C" fn accept4(
    socket: c_int,
    address: *mut libc::sockaddr,
    length: *mut libc::socklen_t,
    flags: c_int,
) -> c_int {
    type Function =
        unsafe extern "C" fn(c_int, *mut libc::sockaddr, *mut libc::socklen_t, c_int) -> c_int;
    static CALLS: AtomicUsize = AtomicUsize::new(0);
    if let Some(error) = injected_error(Fault::AcceptFailsOneIn, &CALLS, &ACCEPT_ERRORS) {
        return fail(error);
    }
    unsafe { original!(c"accept4", Function)(socket, address, length, flags) }
}

/// Fails every `n`th time, as set, with errors that connect(2) lists.
///
/// # Safety
///
/// See connect(2).
#[no_mangle]
pub unsafe extern "C" fn connect(
    socket: c_int,
    address: *const libc::sockaddr,
    length: libc::socklen_t,
) -> c_int {
    type Function = unsafe extern "C" fn(c_int, *const libc::sockaddr, libc::socklen_t) -> c_int;
    static CALLS: AtomicUsize = AtomicUsize::new(0);
    if let Some(error) = injected_error(Fault::ConnectFailsOneIn, &CALLS, &CONNECT_ERRORS) {
        return fail(error);
    }
    unsafe { original!(c"connect", Function)(socket, address, length) }
}

/// Fails every `n`th time, as set, with errors that socket(2) lists.
///
/// # Safety
///
/// See socket(2).
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    type Function = unsafe extern "C" fn(c_int, c_int, c_int) -> c_int;
    static CALLS: AtomicUsize = AtomicUsize::new(0);
    if let Some(error) = injected_error(Fault::SocketFailsOneIn, &CALLS, &SOCKET_ERRORS) {
        return fail(error);
    }
    unsafe { original!(c"socket", Function)(domain, kind, protocol) }
}

/// Returns true if a descriptor refers to a file whose name begins with [`STATE_FILE_PREFIX`].
fn is_state_file(file: c_int) -> bool {
    let link = format!("/proc/self/fd/{file}\0");
    let mut target = [0_u8; libc::PATH_MAX as usize];
    // SAFETY: the path is terminated by a zero byte, and the buffer has the given length.
    let length = unsafe {
        libc::readlink(
            link.as_ptr().cast(),
            target.as_mut_ptr().cast(),
            target.len(),
        )
    };
    let target = &target[..usize::try_from(length).unwrap_or(0)];
    let name = target.rsplit(|byte| *byte == b'/').next().unwrap_or(target);
    name.starts_with(STATE_FILE_PREFIX)
}
