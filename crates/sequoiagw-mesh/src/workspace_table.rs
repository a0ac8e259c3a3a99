//! Workspaces of a configuration version by name, and indexed by key for look-ups.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::rc::Rc;

use prost::Message;
use sequoiagw_protocol::VersionDelta;
use sequoiagw_protocol::WorkspaceRecord;
use tracing::warn;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ApiKeyDigest;
use crate::KeyedWorkspace;
use crate::Workspace;

/// Seed of the workspaces' digests, so that a workspace and a route with equal encodings have
/// different digests.
const DIGEST_SEED: u64 = 1;

/// Digest of a table without workspaces, which differs from that of no table.
const EMPTY_DIGEST: u64 = 1;

/// A workspace with the digest of its encoded record.
#[derive(Clone, Debug)]
struct DigestedWorkspace {
    keyed: Rc<KeyedWorkspace>,
    digest: u64,
}

/// Workspace that holds a key.
#[derive(Clone, Debug)]
struct KeyHolder {
    key: ApiKeyDigest,
    workspace: Rc<Workspace>,
}

/// Workspaces by name, and indexed by key. No key has two holders.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkspaceTable {
    by_name: BTreeMap<String, DigestedWorkspace>,
    /// Holders by [`ApiKeyDigest::index`]; more than one only if the indexes of keys collide.
    holders: HashMap<u64, Vec<KeyHolder>>,
}

impl WorkspaceTable {
    /// Builds a table. Of several workspaces with the same name the last one counts; of several
    /// workspaces with the same key the first by name keeps it.
    pub(crate) fn new(workspaces: Vec<KeyedWorkspace>) -> Self {
        let by_name = workspaces.into_iter().map(|keyed| {
            let name = keyed.workspace.name.clone();
            (name, keyed)
        });
        let by_name: BTreeMap<String, KeyedWorkspace> = by_name.collect();
        let mut table = Self::default();
        for keyed in by_name.into_values() {
            table.insert(keyed);
        }
        table
    }

    fn insert(&mut self, mut keyed: KeyedWorkspace) {
        let workspace = Rc::new(keyed.workspace.clone());
        keyed.keys.sort_unstable_by_key(|key| *key.as_bytes());
        keyed.keys.retain(|key| self.index_key(*key, &workspace));
        let digest = xxh3_64_with_seed(&WorkspaceRecord::from(&keyed).encode_to_vec(), DIGEST_SEED);
        let keyed = Rc::new(keyed);
        let name = workspace.name.clone();
        self.by_name
            .insert(name, DigestedWorkspace { keyed, digest });
    }

    /// Adds a key to the index and returns whether it had no holder.
    fn index_key(&mut self, key: ApiKeyDigest, workspace: &Rc<Workspace>) -> bool {
        if let Some(holder) = self.find(&key) {
            if holder.name != workspace.name {
                warn!(
                    event = "workspace_key_shared", workspace = %workspace.name,
                    holder = %holder.name
                );
            }
            return false;
        }
        let workspace = Rc::clone(workspace);
        let holders = self.holders.entry(key.index()).or_default();
        holders.push(KeyHolder { key, workspace });
        true
    }

    /// Workspace that holds a key.
    pub(crate) fn find(&self, key: &ApiKeyDigest) -> Option<&Rc<Workspace>> {
        let holders = self.holders.get(&key.index())?;
        let holder = holders.iter().find(|holder| holder.key.matches(key))?;
        Some(&holder.workspace)
    }

    /// Workspace with a name.
    pub(crate) fn find_by_name(&self, name: &str) -> Option<&Workspace> {
        let digested = self.by_name.get(name)?;
        Some(&digested.keyed.workspace)
    }

    /// Digest of all workspaces.
    pub(crate) fn digest(&self) -> u64 {
        let digests = self.by_name.values().map(|digested| digested.digest);
        let combined = digests.reduce(|all, digest| all ^ digest);
        combined.unwrap_or(EMPTY_DIGEST)
    }

    /// Adds the changes that lead from a base to a table to a delta; either may be missing.
    pub(crate) fn write_delta(base: Option<&Self>, table: Option<&Self>, delta: &mut VersionDelta) {
        let in_base = |name: &str| base.and_then(|base| base.by_name.get(name));
        let in_table = |name: &str| table.and_then(|table| table.by_name.get(name));
        let workspaces = table.into_iter().flat_map(|table| &table.by_name);
        let changed = workspaces.filter(|(name, digested)| {
            let before = in_base(name);
            before.is_none_or(|before| before.digest != digested.digest)
        });
        delta.workspaces = changed
            .map(|(_, digested)| WorkspaceRecord::from(&*digested.keyed))
            .collect();
        let base_names = base.into_iter().flat_map(|base| base.by_name.keys());
        delta.removed_workspaces = base_names
            .filter(|name| in_table(name).is_none())
            .cloned()
            .collect();
        delta.checks_keys = table.is_some();
    }

    /// Builds the table that a delta produces from `base`, `None` if the version has no list of workspaces.
    ///
    /// A sender of an earlier release doesn't say whether it has one; its workspaces show it.
    pub(crate) fn apply(base: Option<&Self>, delta: &VersionDelta) -> Option<Self> {
        let base = base.into_iter().flat_map(|base| base.by_name.values());
        let is_kept =
            |keyed: &KeyedWorkspace| !delta.removed_workspaces.contains(&keyed.workspace.name);
        let kept = base.map(|digested| &*digested.keyed);
        let kept = kept.filter(|keyed| is_kept(keyed)).cloned();
        let changed = delta.workspaces.iter().map(KeyedWorkspace::from);
        let table = Self::new(kept.chain(changed).collect());
        let has_list = delta.checks_keys || !table.by_name.is_empty();
        has_list.then_some(table)
    }
}
