//! Watches that no node of a fleet goes back to an older version.

use std::collections::BTreeMap;
use std::time::Duration;

use sequoiagw_standin::InProcessFleet;

/// Highest version seen at each node, whatever process ran there.
#[derive(Default)]
pub struct VersionWatch {
    highest: BTreeMap<String, u64>,
}

impl VersionWatch {
    pub fn look(&mut self, fleet: &InProcessFleet) {
        for (name, version) in fleet.versions() {
            let highest = self.highest.entry(name.clone()).or_default();
            // A fresh process without a version in force yet acts on none.
            assert!(
                version == 0 || version >= *highest,
                "{name} went back to {version}"
            );
            *highest = version.max(*highest);
        }
    }

    pub async fn look_for(&mut self, fleet: &InProcessFleet, time: Duration) {
        let end = tokio::time::Instant::now() + time;
        while tokio::time::Instant::now() < end {
            tokio::time::sleep(Duration::from_millis(20)).await;
            self.look(fleet);
        }
    }
}
