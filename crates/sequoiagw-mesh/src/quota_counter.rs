//! Choice of the node that counts a workspace's quota.

use sequoiagw_protocol::NodeId;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Node that comes first for a workspace by rendezvous hashing, among those that aren't left out.
/// `None` if none is left.
pub fn first_counter<Nodes, IsLeftOut>(
    workspace: &str,
    nodes: Nodes,
    is_left_out: IsLeftOut,
) -> Option<NodeId>
where
    Nodes: Iterator<Item = NodeId>,
    IsLeftOut: Fn(NodeId) -> bool,
{
    let seed = xxh3_64(workspace.as_bytes());
    let mut best: Option<(u64, NodeId)> = None;
    for node in nodes {
        let candidate = (xxh3_64_with_seed(&node.get().to_le_bytes(), seed), node);
        if best.is_none_or(|best| candidate > best) && !is_left_out(node) {
            best = Some(candidate);
        }
    }
    best.map(|(_, node)| node)
}
