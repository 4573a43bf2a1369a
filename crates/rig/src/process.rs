//! What a process has used, as the system tells it.

/// Processor time that a process has used, in nanoseconds; 0 where there is no such process.
pub fn used(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/schedstat")).unwrap_or_default();
    text.split(' ').next().and_then(|n| n.parse().ok()).unwrap_or_default()
}

/// Resident memory of a process, in bytes; 0 where there is no such process.
pub fn resident(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/statm")).unwrap_or_default();
    let pages: u64 = text.split(' ').nth(1).and_then(|n| n.parse().ok()).unwrap_or_default();
    pages * rustix::param::page_size() as u64
}
