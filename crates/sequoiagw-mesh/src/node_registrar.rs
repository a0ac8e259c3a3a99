//! Keeps the node's own entry in the platform's store, under a lease.

use std::rc::Rc;
use std::time::Duration;

use sequoiagw_store::LeaseId;
use sequoiagw_store::PollingStore;
use sequoiagw_store::PutEntry;
use sequoiagw_store::StoreError;
use sequoiagw_store::StoreReply;
use sequoiagw_store::StoreRequest;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;
use tokio::time::Instant;
use tracing::info;

use crate::store_follower::NODES_PREFIX;
use crate::MeshCore;
use crate::MeshHandle;
use crate::NodeRegistration;
use crate::RegistrationChange;
use crate::StoreHealth;

/// Time after which an entry lapses unless its lease is renewed.
const LEASE_SECONDS: u64 = 10;
/// Time between renewals, which also show whether the store answers.
const RENEW_PERIOD: Duration = Duration::from_secs(2);
/// Time for which a process that starts waits for its backend server's first heartbeat.
const FIRST_WAIT: Duration = Duration::from_millis(1500);
/// The same when the whole fleet starts for the first time, and backend servers start too.
const FLEET_WAIT: Duration = Duration::from_secs(3);
/// Pause after a failed call.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);

/// Keeper of one node's entry.
pub struct NodeRegistrar {
    handle: MeshHandle,
    store: Rc<dyn PollingStore>,
    health: StoreHealth,
    lease: Option<LeaseId>,
    written: Option<NodeRegistration>,
    renew_at: Instant,
}

impl NodeRegistrar {
    /// Builds a keeper that has written nothing yet.
    pub fn new(handle: MeshHandle, store: Rc<dyn PollingStore>, health: StoreHealth) -> Self {
        Self {
            handle,
            store,
            health,
            lease: None,
            written: None,
            renew_at: Instant::now(),
        }
    }

    /// Keeps the entry for good.
    pub async fn run(mut self) {
        let changed = self.handle.entry_changed();
        // An entry without slots would be written again as soon as the backend server is heard.
        let offered = async {
            while self.handle.read(MeshCore::own_registration).slots == 0 {
                changed.notified().await;
            }
        };
        let first_fleet_start = self.handle.read(|core| core.settings().first_fleet_start);
        let limit = if first_fleet_start {
            FLEET_WAIT
        } else {
            FIRST_WAIT
        };
        // Whether it was heard or not, the entry is written now.
        let _ = timeout(limit, offered).await;
        loop {
            match self.step().await {
                Ok(()) => {
                    tokio::select! {
                        () = changed.notified() => self.check_listed(),
                        () = sleep_until(self.renew_at) => {}
                    }
                }
                Err(error) => {
                    self.health.record_failure(&error);
                    sleep(FAILURE_PAUSE).await;
                }
            }
        }
    }

    /// The store shows another entry than the one written: it has to be written again.
    fn check_listed(&mut self) {
        let listed = self.handle.read(|core| {
            let name = &core.settings().name;
            core.directory().registration(name).cloned()
        });
        if listed != self.written {
            self.written = None;
        }
    }

    /// Brings the store up to date: lease, entry, renewal.
    async fn step(&mut self) -> Result<(), StoreError> {
        if self.lease.is_some() && Instant::now() >= self.renew_at {
            self.renew().await?;
        }
        let wanted = self.handle.read(MeshCore::own_registration);
        if self.written.as_ref() == Some(&wanted) {
            return Ok(());
        }
        let lease = match self.lease {
            Some(lease) => lease,
            None => self.grant().await?,
        };
        self.write(wanted, lease).await
    }

    async fn grant(&mut self) -> Result<LeaseId, StoreError> {
        let request = StoreRequest::Grant {
            ttl_s: LEASE_SECONDS,
        };
        let StoreReply::Leased { lease, .. } = self.store.call(request).await? else {
            return Err(unexpected("a grant brought no lease"));
        };
        self.lease = Some(lease);
        self.renew_at = Instant::now() + RENEW_PERIOD;
        Ok(lease)
    }

    async fn renew(&mut self) -> Result<(), StoreError> {
        let Some(lease) = self.lease else {
            return Ok(());
        };
        match self.store.call(StoreRequest::KeepAlive { lease }).await {
            Ok(_) => {
                self.health.record_success();
                self.renew_at = Instant::now() + RENEW_PERIOD;
                Ok(())
            }
            Err(StoreError::LeaseLapsed { .. }) => {
                info!(event = "lease_lapsed", lease = %lease);
                self.lease = None;
                self.written = None;
                Ok(())
            }
            Err(error) => Err(error),
        }
    }

    async fn write(&mut self, entry: NodeRegistration, lease: LeaseId) -> Result<(), StoreError> {
        let value = serde_json::to_string(&entry).map_err(|error| StoreError::Malformed {
            detail: error.to_string(),
        })?;
        let request = StoreRequest::Commit {
            conditions: Vec::new(),
            puts: vec![PutEntry {
                key: format!("{NODES_PREFIX}{}", entry.name),
                value,
                lease: Some(lease),
            }],
            deletes: Vec::new(),
        };
        match self.store.call(request).await {
            Ok(reply) => {
                let revision = match reply {
                    StoreReply::Committed { revision, .. } => revision,
                    _ => 0,
                };
                let change = [RegistrationChange::Written(entry.clone(), revision)];
                self.handle
                    .with_core(|core, now| core.on_registration_changes(&change, now));
                self.written = Some(entry);
                Ok(())
            }
            Err(StoreError::LeaseLapsed { .. }) => {
                self.lease = None;
                Ok(())
            }
            Err(error) => Err(error),
        }
    }
}

fn unexpected(detail: &str) -> StoreError {
    StoreError::Malformed {
        detail: detail.to_owned(),
    }
}
