//! The processor time and memory of a process, from `/proc`.

/// Returns the processor time used by the main thread of a process, in nanoseconds; 0 if there is no such process.
pub fn used(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/schedstat")).unwrap_or_default();
    text.split(' ').next().and_then(|n| n.parse().ok()).unwrap_or_default()
}

/// Returns the resident memory of a process, in bytes; 0 if there is no such process.
pub fn resident(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/statm")).unwrap_or_default();
    let pages: u64 = text.split(' ').nth(1).and_then(|n| n.parse().ok()).unwrap_or_default();
    pages * rustix::param::page_size() as u64
}
