//! Naive configuration distribution for comparison: every node watches the store and reads a full
//! copy of each version.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use sequoiagw_config::MeshConfig;
use sequoiagw_distribution::StoreKeys;
use sequoiagw_distribution::HEAD_KEY;
use sequoiagw_standin::InProcessFleet;
use sequoiagw_standin::MemoryStore;
use sequoiagw_store::PlatformStore;
use sequoiagw_store::StoreReply;
use sequoiagw_store::StoreRequest;
use sequoiagw_store::WatchUpdate;

/// Interval between two changes.
const CHANGE_INTERVAL: Duration = Duration::from_secs(8);

/// Costs of naive distribution.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct NaiveWatchCosts {
    /// Number of watches that are open at the store.
    pub(crate) watches: u64,
    /// Number of reads that reach the store at once after each change.
    pub(crate) reads_per_change: u64,
    /// Bytes that each node receives for each change.
    pub(crate) bytes_per_change: u64,
}

/// Runs `nodes` watchers of the store through a number of changes and measures the costs.
///
/// Errors: a configuration is invalid, or the store refuses a change.
pub(crate) async fn measure_naive_watch<BuildConfig>(
    nodes: usize,
    changes: u64,
    mesh_config_for_change: BuildConfig,
) -> eyre::Result<NaiveWatchCosts>
where
    BuildConfig: Fn(u64) -> eyre::Result<MeshConfig>,
{
    let store = MemoryStore::new(1);
    let bytes_received = Rc::new(Cell::new(0));
    for _ in 0..nodes {
        tokio::task::spawn_local(watch_and_read(store.client(), Rc::clone(&bytes_received)));
    }
    tokio::time::sleep(CHANGE_INTERVAL).await;
    let read_count = |store: &MemoryStore| store.counts().get("range").copied().unwrap_or(0);
    let reads_before = read_count(&store);
    for change in 1..=changes {
        InProcessFleet::write_config_to(
            &store,
            mesh_config_for_change(change)?,
            &format!("change-{change}"),
        )
        .await?;
        tokio::time::sleep(CHANGE_INTERVAL).await;
    }
    let watches = store.counts().get("watch").copied().unwrap_or(0);
    Ok(NaiveWatchCosts {
        watches,
        reads_per_change: (read_count(&store) - reads_before) / changes,
        bytes_per_change: bytes_received.get() / changes / nodes as u64,
    })
}

async fn watch_and_read(store: MemoryStore, bytes_received: Rc<Cell<u64>>) {
    let mut updates = store.watch(HEAD_KEY, 1);
    while let Some(Ok(update)) = updates.recv().await {
        let WatchUpdate::Changed(_) = update else {
            continue;
        };
        let request = StoreRequest::Read {
            key: StoreKeys::current(),
        };
        if let Ok(StoreReply::Entries { entries, .. }) = store.call(request).await {
            let length: usize = entries.iter().map(|entry| entry.value.len()).sum();
            bytes_received.set(bytes_received.get() + length as u64);
        }
    }
}
