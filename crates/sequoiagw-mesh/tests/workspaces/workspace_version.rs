//! Versions with workspaces.

use sequoiagw_mesh::ApiKeyDigest;
use sequoiagw_mesh::CallerLimits;
use sequoiagw_mesh::KeyedWorkspace;
use sequoiagw_mesh::MeshRoute;
use sequoiagw_mesh::MeshVersion;
use sequoiagw_mesh::Workspace;

use crate::support::route;

/// A workspace with these keys.
pub fn workspace(name: &str, keys: &[&str]) -> KeyedWorkspace {
    KeyedWorkspace {
        workspace: Workspace {
            name: name.to_owned(),
            level: None,
            quota: None,
        },
        keys: keys.iter().map(|key| ApiKeyDigest::of_key(key)).collect(),
    }
}

/// A version with the routes `/order/` and, public, `/open/`.
pub fn version(number: u64, workspaces: Vec<KeyedWorkspace>) -> MeshVersion {
    let open = MeshRoute {
        name: "open".to_owned(),
        prefix: "/open/".to_owned(),
        public: true,
        ..route(1)
    };
    let version = MeshVersion::new(number, vec![route(1), open], CallerLimits::default());
    version.with_workspaces(workspaces)
}
