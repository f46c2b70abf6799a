//! Resource usage of local processes, read from `/proc`.

/// Peak resident memory of a process in bytes, or `None` if there is no such process.
pub fn peak_memory_bytes(process_id: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process_id}/status")).ok()?;
    let peak = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))?;
    let peak_kib: u64 = peak.split_whitespace().next()?.parse().ok()?;
    Some(peak_kib * 1024)
}
