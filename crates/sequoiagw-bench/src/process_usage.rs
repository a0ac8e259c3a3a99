//! Processor time and memory of processes, as the system accounts for them.

use std::time::Duration;

/// Processor time is counted in ticks of 10 ms.
const TICK: Duration = Duration::from_millis(10);
/// Fields of a process's statistics after its name: user and system time.
const TIME_FIELDS: [usize; 2] = [11, 12];

/// Processor time and resident memory of a process.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ProcessUsage {
    /// Processor time so far.
    pub(crate) cpu: Duration,
    /// Resident memory in kilobytes.
    pub(crate) resident_kb: u64,
}

impl ProcessUsage {
    /// Reads the usage of a process; `None` when it is gone.
    pub(crate) fn of(process: u32) -> Option<Self> {
        let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks: u32 = TIME_FIELDS
            .iter()
            .filter_map(|field| fields.get(*field)?.parse::<u32>().ok())
            .sum();
        let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        let resident_kb = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(Self {
            cpu: TICK * ticks,
            resident_kb,
        })
    }

    /// Usage of this process.
    pub(crate) fn own() -> Self {
        Self::of(std::process::id()).unwrap_or_default()
    }
}
