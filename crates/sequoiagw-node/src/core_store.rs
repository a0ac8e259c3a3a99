//! Replies and watch updates from the platform's store, and reads of configuration versions.

use sequoiagw_config::AcceptedConfig;
use sequoiagw_distribution::StoreKeys;
use sequoiagw_protocol::NodeAddress;
use sequoiagw_store::StoreError;
use sequoiagw_store::StoreReply;
use sequoiagw_store::StoreRequest;
use sequoiagw_store::WatchUpdate;
use tokio::time::Instant;
use tracing::warn;

use crate::CoreAction;
use crate::NodeCore;
use crate::StoreTag;

impl NodeCore {
    pub(crate) fn on_store_reply(
        &mut self,
        tag: StoreTag,
        request: &StoreRequest,
        reply: Result<StoreReply, StoreError>,
        sent: Instant,
        now: Instant,
    ) {
        if let Err(error) = &reply {
            self.counters.count("store.failed");
            warn!(event = "store_failed", node = %self.identity.name, call = request.kind(), error = %error);
        }
        match tag {
            StoreTag::Holder => self.holder.on_reply(request, reply, sent, now),
            StoreTag::Claims => self.committer.on_reply(request, reply, now),
            StoreTag::Seeds => self.on_stored_seeds(reply, now),
            StoreTag::CurrentConfig => self.on_current_config(reply, now),
            StoreTag::ConfigHistory(version) => self.on_config_history(version, reply, now),
        }
    }

    pub(crate) fn on_stored_seeds(&mut self, reply: Result<StoreReply, StoreError>, now: Instant) {
        let Ok(StoreReply::Entries { entries, .. }) = reply else {
            return;
        };
        let seeds: Vec<NodeAddress> = entries
            .iter()
            .filter_map(|entry| serde_json::from_str::<serde_json::Value>(&entry.value).ok())
            .filter_map(|value| NodeAddress::parse(value.get("address")?.as_str()?))
            .collect();
        self.membership.add_seeds(&seeds, now);
    }

    pub(crate) fn on_current_config(
        &mut self,
        reply: Result<StoreReply, StoreError>,
        now: Instant,
    ) {
        let Ok(StoreReply::Entries { entries, .. }) = reply else {
            self.holder.on_version_read_failed(self.held_version());
            return;
        };
        let stored = entries
            .first()
            .map(|entry| AcceptedConfig::from_json(&entry.value));
        match stored.transpose() {
            Ok(stored) => self.versions.on_stored_version(stored.as_ref(), now),
            Err(error) => {
                self.counters.count_refusal(error.name());
                warn!(event = "stored_version_refused", node = %self.identity.name, error = %error);
            }
        }
    }

    pub(crate) fn on_config_history(
        &mut self,
        version: u64,
        reply: Result<StoreReply, StoreError>,
        now: Instant,
    ) {
        let Ok(StoreReply::Entries { entries, .. }) = reply else {
            self.holder.on_version_read_failed(self.held_version());
            return;
        };
        let changes = entries
            .first()
            .and_then(|entry| serde_json::from_str::<AcceptedConfig>(&entry.value).ok())
            .filter(|changes| changes.version == version);
        let applied = changes.is_some_and(|changes| self.versions.on_stored_changes(&changes, now));
        if !applied {
            self.read_current_config();
        }
    }

    pub(crate) fn on_watch_update(
        &mut self,
        update: Option<Result<WatchUpdate, StoreError>>,
        now: Instant,
    ) {
        match update {
            Some(Ok(WatchUpdate::Changed(entry))) => self.holder.on_watch_event(&entry.value),
            Some(Ok(WatchUpdate::Started | WatchUpdate::Deleted)) => {}
            Some(Err(error)) => {
                warn!(event = "watch_failed", node = %self.identity.name, error = %error);
                self.holder.on_watch_lost(now);
            }
            None => self.holder.on_watch_lost(now),
        }
    }

    pub(crate) fn read_current_config(&mut self) {
        let request = StoreRequest::Read {
            key: StoreKeys::current(),
        };
        self.actions
            .push(CoreAction::Store(StoreTag::CurrentConfig, request));
    }

    /// Reads the changes of `version` if this node holds the one before it, or the newest version in
    /// full if it is further behind.
    pub(crate) fn read_version(&mut self, version: u64) {
        if self.held_version() + 1 == version {
            let request = StoreRequest::Read {
                key: StoreKeys::history(version),
            };
            self.actions
                .push(CoreAction::Store(StoreTag::ConfigHistory(version), request));
        } else if self.held_version() < version {
            self.read_current_config();
        }
    }
}
