//! Processor time and memory of processes, as reported by Linux in `/proc`.

use std::time::Duration;

/// Unit of the processor times in `/proc/{pid}/stat`: clock ticks of 10 ms.
const CLOCK_TICK: Duration = Duration::from_millis(10);
/// Positions of user and system time among the fields of `/proc/{pid}/stat` after the process name.
const STAT_CPU_TIME_FIELDS: [usize; 2] = [11, 12];

/// Processor time and resident memory of a process.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ProcessUsage {
    /// User and system time since the start of the process.
    pub(crate) cpu: Duration,
    /// Resident memory in kibibytes, as reported by `VmRSS`.
    pub(crate) resident_kb: u64,
}

impl ProcessUsage {
    /// Reads the usage of a process. Returns `None` if the process has ended or its files can't be
    /// parsed.
    pub(crate) fn read(pid: u32) -> Option<Self> {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks: u32 = STAT_CPU_TIME_FIELDS
            .iter()
            .filter_map(|field| fields.get(*field)?.parse::<u32>().ok())
            .sum();
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        let resident_kb = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(Self {
            cpu: CLOCK_TICK * ticks,
            resident_kb,
        })
    }

    /// Reads the usage of the current process.
    pub(crate) fn of_current_process() -> Self {
        Self::read(std::process::id()).unwrap_or_default()
    }
}
