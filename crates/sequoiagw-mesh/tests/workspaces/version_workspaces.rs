//! Workspaces in the digest and the deltas of versions.

use sequoiagw_mesh::CallerLimits;
use sequoiagw_mesh::DeltaError;
use sequoiagw_mesh::KeyedWorkspace;
use sequoiagw_mesh::MeshVersion;
use sequoiagw_policy::QuotaLimit;
use sequoiagw_protocol::RankLevel;
use sequoiagw_protocol::VersionDelta;

use crate::support::route;
use crate::workspace_version::workspace;

/// Digest of version 7 with the route 1, computed by the code before versions had workspaces.
const DIGEST_BEFORE: u64 = 8_218_189_726_663_188_424;

fn version(number: u64, workspaces: &[KeyedWorkspace]) -> MeshVersion {
    let version = MeshVersion::new(number, vec![route(1)], CallerLimits::default());
    version.with_workspaces(workspaces.to_vec())
}

/// Name of the workspace that holds a key.
fn holder<'a>(version: &'a MeshVersion, key: &str) -> Option<&'a str> {
    let workspace = version.find_workspace(key);
    workspace.map(|workspace| workspace.name.as_str())
}

/// Names of the workspaces that a delta changes and removes.
fn names(delta: &VersionDelta) -> (Vec<&str>, Vec<&str>) {
    let changed = delta.workspaces.iter().map(|record| record.name.as_str());
    let removed = delta.removed_workspaces.iter().map(String::as_str);
    (changed.collect(), removed.collect())
}

#[test]
fn version_without_a_list_of_workspaces_has_the_digest_and_delta_of_before() {
    let plain = MeshVersion::new(7, vec![route(1)], CallerLimits::default());
    assert_eq!(plain.digest, DIGEST_BEFORE);
    assert!(!plain.checks_keys());
    assert_eq!(names(&plain.delta_from(None)), (vec![], vec![]));
}

/// ROUTE: a version whose list of workspaces had become empty was the same as one without a list.
#[test]
fn emptied_list_of_workspaces_differs_from_none() {
    let plain = MeshVersion::new(7, vec![route(1)], CallerLimits::default());
    let emptied = version(7, &[workspace("mill", &["k"])]).with_workspaces(Vec::new());
    assert!(emptied.checks_keys());
    assert_ne!(emptied.digest, plain.digest);
    assert!(emptied.find_workspace("k").is_none());
}

/// ROUTE: the list has to stay a list on every way from node to node: whole versions, and deltas from a
/// version with workspaces, with an empty list and without one.
#[test]
fn delta_carries_whether_there_is_a_list_of_workspaces() {
    let plain = |number| MeshVersion::new(number, vec![route(1)], CallerLimits::default());
    let bases = [
        plain(3),
        version(3, &[]),
        version(3, &[workspace("mill", &["k"])]),
    ];
    for sent in [
        plain(7),
        version(7, &[]),
        version(7, &[workspace("mill", &["m"])]),
    ] {
        for base in [None].into_iter().chain(bases.iter().map(Some)) {
            let applied = MeshVersion::apply(base, &sent.delta_from(base)).expect("a delta");
            assert_eq!(applied.digest, sent.digest);
            assert_eq!(applied.checks_keys(), sent.checks_keys());
            assert!(applied.find_workspace("k").is_none());
        }
    }
}

/// A node of an earlier release doesn't say that there is a list: its workspaces show it, and a delta that it
/// passes on without that fact is refused.
#[test]
fn delta_that_has_lost_the_list_of_workspaces_is_refused() {
    let held = version(7, &[workspace("mill", &["m"])]);
    let mut delta = held.delta_from(None);
    delta.checks_keys = false;
    let applied = MeshVersion::apply(None, &delta).expect("a version with workspaces");
    assert!(applied.checks_keys());
    let mut delta = version(7, &[]).delta_from(None);
    delta.checks_keys = false;
    let expected = DeltaError::DigestMismatch { number: 7 };
    assert_eq!(MeshVersion::apply(None, &delta).err(), Some(expected));
}

#[test]
fn delta_carries_changed_and_removed_workspaces_only() {
    let old = version(
        3,
        &[
            workspace("forge", &["f"]),
            workspace("mill", &["m1", "m2"]),
            workspace("yard", &["y"]),
        ],
    );
    let new = version(
        7,
        &[
            workspace("forge", &["f"]),
            workspace("mill", &["m2", "m3"]),
            workspace("port", &["y"]),
        ],
    );
    let delta = new.delta_from(Some(&old));
    assert_eq!(names(&delta), (vec!["mill", "port"], vec!["yard"]));
    assert!(delta.routes.is_empty(), "{delta:?}");
    let applied = MeshVersion::apply(Some(&old), &delta).expect("a delta from the old version");
    assert_eq!(applied.digest, new.digest);
    let holders = ["f", "m1", "m2", "m3", "y"].map(|key| holder(&applied, key));
    let expected = [
        Some("forge"),
        None,
        Some("mill"),
        Some("mill"),
        Some("port"),
    ];
    assert_eq!(holders, expected);
    assert_eq!(holder(&old, "m1"), Some("mill"), "the base stays as it is");
}

#[test]
fn whole_version_carries_level_and_quota() {
    let mut mill = workspace("mill", &["m"]);
    mill.workspace.level = Some(RankLevel::MOST_URGENT);
    mill.workspace.quota = QuotaLimit::new(500.0, 450.5);
    let sent = version(7, &[mill.clone()]);
    let base = version(3, &[workspace("yard", &["y"])]);
    for base in [None, Some(&base)] {
        let applied = MeshVersion::apply(base, &sent.delta_from(None)).expect("a whole version");
        assert_eq!(applied.digest, sent.digest);
        let found = applied.find_workspace("m").expect("a workspace");
        assert_eq!(**found, mill.workspace);
        assert!(applied.find_workspace("y").is_none());
    }
}

#[test]
fn digest_covers_keys_levels_and_quotas_but_not_the_order_of_keys() {
    let plain = workspace("mill", &["a", "b"]);
    let mut with_level = plain.clone();
    with_level.workspace.level = Some(RankLevel::MOST_URGENT);
    let mut with_quota = plain.clone();
    with_quota.workspace.quota = QuotaLimit::new(1.0, 0.0);
    let digest = |workspaces: &[KeyedWorkspace]| version(7, workspaces).digest;
    let digests = [
        digest(&[]),
        digest(std::slice::from_ref(&plain)),
        digest(&[with_level]),
        digest(&[with_quota]),
        digest(&[workspace("mill", &["a"])]),
        digest(&[workspace("forge", &["a", "b"])]),
    ];
    for (index, digest) in digests.iter().enumerate() {
        assert!(!digests[..index].contains(digest), "{index}: {digests:x?}");
    }
    assert_eq!(digest(&[workspace("mill", &["b", "a", "b"])]), digests[1]);
}

#[test]
fn key_of_two_workspaces_belongs_to_the_first_by_name() {
    let shared = version(
        3,
        &[workspace("mill", &["k", "m"]), workspace("forge", &["k"])],
    );
    assert_eq!(holder(&shared, "k"), Some("forge"));
    assert_eq!(holder(&shared, "m"), Some("mill"));
    let moved = version(4, &[workspace("mill", &["k", "m"])]);
    let delta = moved.delta_from(Some(&shared));
    let applied = MeshVersion::apply(Some(&shared), &delta).expect("a delta");
    assert_eq!(applied.digest, moved.digest);
    assert_eq!(holder(&applied, "k"), Some("mill"));
}

#[test]
fn delta_without_its_workspaces_is_refused() {
    let old = version(3, &[workspace("mill", &["old"])]);
    let new = version(7, &[workspace("mill", &["new"])]);
    let mut delta = new.delta_from(Some(&old));
    delta.workspaces.clear();
    let refused = MeshVersion::apply(Some(&old), &delta);
    let expected = DeltaError::DigestMismatch { number: 7 };
    assert_eq!(refused.err(), Some(expected));
}
