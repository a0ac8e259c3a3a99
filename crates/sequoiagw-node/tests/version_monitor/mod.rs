//! Checks that no node of a fleet activates an older version than before.

use std::collections::BTreeMap;
use std::time::Duration;

use sequoiagw_standin::InProcessFleet;

/// Highest active version seen at each node, across restarts of its process.
#[derive(Default)]
pub struct VersionMonitor {
    highest: BTreeMap<String, u64>,
}

impl VersionMonitor {
    /// Checks the active version of each running node once.
    pub fn check(&mut self, fleet: &InProcessFleet) {
        for (name, version) in fleet.versions() {
            let highest = self.highest.entry(name.clone()).or_default();
            // Version 0 means that a new process has no active version yet.
            assert!(
                version == 0 || version >= *highest,
                "{name} must not go back to {version} from {highest}"
            );
            *highest = version.max(*highest);
        }
    }

    /// Checks the active versions every 20 ms for a time.
    pub async fn check_for(&mut self, fleet: &InProcessFleet, time: Duration) {
        let end = tokio::time::Instant::now() + time;
        while tokio::time::Instant::now() < end {
            tokio::time::sleep(Duration::from_millis(20)).await;
            self.check(fleet);
        }
    }
}
