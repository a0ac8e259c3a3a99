//! Keeps the node's own registration in the platform's store, under a lease.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use sequoiagw_store::EraAnswer;
use sequoiagw_store::LeaseId;
use sequoiagw_store::PollingStore;
use sequoiagw_store::PutEntry;
use sequoiagw_store::StoreEra;
use sequoiagw_store::StoreError;
use sequoiagw_store::StoreReply;
use sequoiagw_store::StoreRequest;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;
use tokio::time::Instant;
use tracing::info;

use crate::store_client::StoreClient;
use crate::store_follower::NODES_PREFIX;
use crate::MeshCore;
use crate::MeshHandle;
use crate::NodeRegistration;
use crate::RegistrationChange;
use crate::StoreHealth;

/// Time after which a registration expires unless its lease is renewed.
const LEASE_TTL_S: u64 = 10;
/// Time between renewals, which also show whether the store answers.
const RENEW_INTERVAL: Duration = Duration::from_secs(2);
/// Time between a watcher's renewals, so that it learns soon that the store is lost: the other
/// nodes of its data centre rely on what it sends.
const WATCHER_RENEW_INTERVAL: Duration = Duration::from_millis(500);
/// Time without an answer to a renewal after which the store counts as lost.
const ANSWER_DELAY_LIMIT: Duration = Duration::from_millis(700);
/// Longest time that a starting process waits for its backend server's first heartbeat.
const FIRST_HEARTBEAT_WAIT: Duration = Duration::from_millis(1500);
/// Longest wait for the first heartbeat when the whole fleet starts for the first time, since
/// the backend servers start at the same time.
const FIRST_FLEET_HEARTBEAT_WAIT: Duration = Duration::from_secs(3);
/// Pause after a failed call to the store.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// A lease, which belongs to the era in which the store granted it. In later eras the store may give
/// the same identifier to another node.
#[derive(Clone, Copy, Debug)]
struct GrantedLease {
    id: LeaseId,
    era: StoreEra,
}

/// Writes one node's registration to the store and renews its lease.
pub struct NodeRegistrar {
    handle: MeshHandle,
    client: StoreClient,
    health: StoreHealth,
    lease: Option<GrantedLease>,
    /// Registration written under the lease.
    written: Option<NodeRegistration>,
    /// Time of the latest grant or renewal.
    last_renewal: Instant,
}

impl NodeRegistrar {
    /// Creates a registrar that hasn't written a registration yet.
    pub fn new(handle: MeshHandle, store: Rc<dyn PollingStore>, health: StoreHealth) -> Self {
        Self {
            client: StoreClient::new(handle.clone(), store, health.clone()),
            handle,
            health,
            lease: None,
            written: None,
            last_renewal: Instant::now(),
        }
    }

    /// Keeps the registration up to date, and never returns.
    pub async fn run(mut self) {
        let changed = self.handle.registration_changed();
        // A registration that says nothing of the backend server would be written again after the first
        // heartbeat.
        let backend_known = async {
            while self
                .handle
                .read(MeshCore::own_registration)
                .is_without_backend()
            {
                changed.notified().await;
            }
        };
        let first_fleet_start = self.handle.read(|core| core.settings().first_fleet_start);
        let max_wait = if first_fleet_start {
            FIRST_FLEET_HEARTBEAT_WAIT
        } else {
            FIRST_HEARTBEAT_WAIT
        };
        // The registration is written now, with or without a heartbeat.
        let _ = timeout(max_wait, backend_known).await;
        let mut recovery = self.health.subscribe_recovery();
        loop {
            match self.update_store().await {
                Ok(()) => {
                    tokio::select! {
                        // Also when the node has become a watcher, which renews more often.
                        () = changed.notified() => self.check_directory(),
                        // The store may have come back from an older copy.
                        _ = recovery.changed() => {}
                        () = sleep_until(self.next_check()) => {}
                    }
                }
                Err(error) => {
                    self.health.record_failure(&error);
                    self.handle
                        .with_core(MeshCore::announce_unwritten_departure);
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Schedules another write if the directory holds another registration for this node than
    /// the one written.
    fn check_directory(&mut self) {
        let registered = self.handle.read(|core| {
            let name = &core.settings().name;
            core.directory().registration(name).cloned()
        });
        if registered != self.written {
            self.written = None;
        }
    }

    /// Renews the lease if that is due, and writes the registration if it has changed or the store
    /// has come back from an older copy.
    async fn update_store(&mut self) -> Result<(), StoreError> {
        if self.lease.is_some() && Instant::now() >= self.renewal_time() {
            self.renew().await?;
        }
        loop {
            self.drop_superseded_lease();
            if self.written == Some(self.handle.read(MeshCore::own_registration)) {
                return Ok(());
            }
            let lease = match self.lease {
                Some(lease) => lease,
                None => self.grant().await?,
            };
            let current = self.handle.read(MeshCore::own_registration);
            self.write(current, lease.id).await?;
            if self.lease.is_none() {
                return Ok(());
            }
        }
    }

    /// Gives up the lease, and with it the registration, if it is of an earlier era of the store.
    fn drop_superseded_lease(&mut self) {
        let era = self.health.era();
        if let Some(lease) = self.lease.filter(|lease| lease.era != era) {
            info!(event = "lease_superseded", lease = %lease.id, granted_era = %lease.era, era = %era);
            self.drop_lease();
        }
    }

    fn drop_lease(&mut self) {
        self.lease = None;
        self.written = None;
        self.handle
            .with_core(|core, _| core.on_departure_stored(None));
    }

    async fn grant(&mut self) -> Result<GrantedLease, StoreError> {
        let request = StoreRequest::Grant { ttl_s: LEASE_TTL_S };
        let granted = self.client.call(request).await?;
        let StoreReply::Leased { lease, .. } = granted.answer else {
            return Err(malformed("reply to a lease grant carries no lease"));
        };
        let era = granted.era;
        let lease = GrantedLease { id: lease, era };
        self.lease = Some(lease);
        self.last_renewal = Instant::now();
        Ok(lease)
    }

    async fn renew(&mut self) -> Result<(), StoreError> {
        let Some(lease) = self.lease else {
            return Ok(());
        };
        match self.keep_alive(lease.id).await {
            Ok(_) => {
                self.last_renewal = Instant::now();
                Ok(())
            }
            Err(StoreError::LeaseLapsed { .. }) => {
                info!(event = "lease_lapsed", lease = %lease.id);
                self.drop_lease();
                Ok(())
            }
            Err(error) => Err(error),
        }
    }

    /// Renews a lease. An answer that is late counts as a failure of the store until it arrives.
    async fn keep_alive(&self, lease: LeaseId) -> Result<EraAnswer<StoreReply>, StoreError> {
        let mut renewal = pin!(self.client.call(StoreRequest::KeepAlive { lease }));
        if let Ok(reply) = timeout(ANSWER_DELAY_LIMIT, &mut renewal).await {
            return reply;
        }
        self.health.record_failure(&StoreError::Unavailable {
            detail: format!("no answer to a renewal within {ANSWER_DELAY_LIMIT:?}"),
        });
        renewal.await
    }

    /// Time at which the lease has to be renewed, by the role that the node has now.
    fn renewal_time(&self) -> Instant {
        let interval = if self.handle.read(MeshCore::is_watcher) {
            WATCHER_RENEW_INTERVAL
        } else {
            RENEW_INTERVAL
        };
        self.last_renewal + interval
    }

    /// Time at which something is due without a notice: a renewal, or another attempt to register if
    /// the lease ended before the registration was written.
    fn next_check(&self) -> Instant {
        match self.lease {
            Some(_) => self.renewal_time(),
            None => Instant::now() + RETRY_DELAY,
        }
    }

    async fn write(
        &mut self,
        registration: NodeRegistration,
        lease: LeaseId,
    ) -> Result<(), StoreError> {
        let value =
            serde_json::to_string(&registration).map_err(|error| StoreError::Malformed {
                detail: error.to_string(),
            })?;
        let request = StoreRequest::Commit {
            conditions: Vec::new(),
            puts: vec![PutEntry {
                key: format!("{NODES_PREFIX}{}", registration.name),
                value,
                lease: Some(lease),
            }],
            deletes: Vec::new(),
        };
        match self.client.call(request).await {
            Ok(written) => {
                let number = match written.answer {
                    StoreReply::Committed { revision, .. } => revision,
                    _ => 0,
                };
                let revision = registration.written_at(number);
                let change = [RegistrationChange::Written(registration.clone(), revision)];
                self.handle
                    .with_core(|core, now| core.on_registration_changes(&change, now));
                let departure = registration.leaving.clone();
                self.handle
                    .with_core(|core, _| core.on_departure_stored(departure));
                self.written = Some(registration);
                Ok(())
            }
            Err(StoreError::LeaseLapsed { .. }) => {
                info!(event = "lease_lapsed", lease = %lease);
                self.drop_lease();
                Ok(())
            }
            Err(error) => Err(error),
        }
    }
}

fn malformed(detail: &str) -> StoreError {
    StoreError::Malformed {
        detail: detail.to_owned(),
    }
}
