//! Workspaces of a configuration version, and their conversion to and from the messages that peers
//! exchange.

use sequoiagw_policy::QuotaLimit;
use sequoiagw_protocol::RankLevel;
use sequoiagw_protocol::WorkspaceRecord;

use crate::ApiKeyDigest;

/// Group of callers with a rank and a quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Name, unique within a version.
    pub name: String,
    /// Rank level of the requests, which replaces the route's; `None` keeps the route's.
    pub level: Option<RankLevel>,
    /// Limit on the requests; `None` for no limit.
    pub quota: Option<QuotaLimit>,
}

/// A workspace with the keys of its callers.
#[derive(Clone, Debug)]
pub struct KeyedWorkspace {
    /// The workspace.
    pub workspace: Workspace,
    /// Digests of the callers' keys.
    pub keys: Vec<ApiKeyDigest>,
}

impl From<&KeyedWorkspace> for WorkspaceRecord {
    fn from(keyed: &KeyedWorkspace) -> Self {
        let workspace = &keyed.workspace;
        let digests = keyed.keys.iter().map(|key| key.as_bytes().to_vec());
        Self {
            name: workspace.name.clone(),
            key_digests: digests.collect(),
            level: workspace.level.map(|level| u32::from(level.get())),
            rate_per_s: workspace.quota.map_or(0.0, |quota| quota.rate_per_s),
            burst: workspace.quota.map_or(0.0, |quota| quota.burst),
        }
    }
}

impl From<&WorkspaceRecord> for KeyedWorkspace {
    fn from(record: &WorkspaceRecord) -> Self {
        let to_level = |level: u32| RankLevel::new(level.min(u32::from(u8::MAX)) as u8);
        let digests = record.key_digests.iter();
        Self {
            workspace: Workspace {
                name: record.name.clone(),
                level: record.level.map(to_level),
                quota: QuotaLimit::new(record.rate_per_s, record.burst),
            },
            keys: digests
                .filter_map(|bytes| ApiKeyDigest::from_bytes(bytes))
                .collect(),
        }
    }
}
