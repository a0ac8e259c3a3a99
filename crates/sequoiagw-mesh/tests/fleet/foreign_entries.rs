//! Entries that another writer left among the registrations of the nodes.

use std::time::Duration;

use sequoiagw_mesh::MeshCore;
use sequoiagw_mesh::NodeRegistration;
use sequoiagw_mesh::NODES_PREFIX;
use sequoiagw_protocol::NodeId;
use sequoiagw_store::StoreEra;
use tokio::task::LocalSet;
use tokio::time::sleep;

use crate::direct_links::DirectLinks;
use crate::fleet_node::start_nodes;
use crate::fleet_node::start_store;
use crate::fleet_store::FleetStore;
use crate::support::registration;
use crate::support::NODES;

/// Time after which a fleet has registered and follows the store.
const SETTLING_TIME: Duration = Duration::from_secs(8);
/// Time within which a confirmed version must be in force.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(2);
/// Depth that a parser without a limit of its own wouldn't survive.
const DEEP: usize = 200_000;

/// Registration of node `x`.
fn valid() -> String {
    serde_json::to_string(&registration("x", 1)).expect("a registration is JSON")
}

/// Registration of node `x` with the text `from` replaced by `to`.
fn edited(from: &str, to: &str) -> String {
    let text = valid();
    assert!(text.contains(from), "{text}");
    text.replacen(from, to, 1)
}

/// Values that no node writes.
fn odd_values() -> Vec<String> {
    let address = registration("x", 1).address;
    vec![
        String::new(),
        "null".to_owned(),
        "{}".to_owned(),
        "\u{fffd}\u{0}".to_owned(),
        "[".repeat(DEEP),
        format!("{}{}", "[".repeat(DEEP), "]".repeat(DEEP)),
        edited("\"slots\":12", "\"slots\":99999999999999999999999"),
        edited("\"slots\":12", "\"slots\":4294967296"),
        edited("\"slots\":12", "\"slots\":4294967295"),
        edited("\"slots\":12", "\"slots\":-1"),
        edited("\"slots\":12", "\"slots\":1e999"),
        edited("\"slots\":12", "\"slots\":\"12\""),
        edited("\"boot\":1", "\"boot\":18446744073709551616"),
        edited("\"store_era\":0", "\"store_era\":18446744073709551615"),
        edited(&address, "10.0.0.9:70000"),
        edited(&address, "10.0.0.9:0"),
        edited(&address, "10.0.0.9:-1"),
        edited(&address, "10.0.0.9"),
        edited(&address, ""),
        edited("\"name\":\"x\"", "\"name\":\"y\""),
    ]
}

/// Checks that nodes follow the configuration and the registrations beside an entry that `put`
/// writes under the key of node `x`, and don't take it for a node.
async fn check_nodes_beside_an_entry<Put>(value: String, put: Put)
where
    Put: FnOnce(&FleetStore, &str, String),
{
    let shown: String = value.chars().take(200).collect();
    let store = start_store(3, &NODES);
    let nodes = start_nodes(&store, &DirectLinks::default());
    sleep(SETTLING_TIME).await;
    put(&store, &format!("{NODES_PREFIX}x"), value);
    // The entry is read as a change, and as part of the whole list by processes that start.
    sleep(PROPAGATION_LIMIT).await;
    store.write_config(7);
    sleep(PROPAGATION_LIMIT).await;
    let late_nodes = start_nodes(&store, &DirectLinks::default());
    sleep(PROPAGATION_LIMIT).await;
    for node in nodes.iter().chain(&late_nodes) {
        assert_eq!(node.active_version(), 7, "{shown}");
        let known = node.handle.read(|core| core.directory().len());
        assert_eq!(known, NODES.len(), "{shown}");
    }
}

#[tokio::test(start_paused = true)]
async fn odd_entry_of_another_writer_neither_ends_a_node_nor_stops_it_from_following() {
    let check = async {
        for value in odd_values() {
            check_nodes_beside_an_entry(value, FleetStore::put_leased).await;
        }
    };
    LocalSet::new().run_until(check).await;
}

#[tokio::test(start_paused = true)]
async fn entry_without_a_lease_is_not_taken_for_a_node() {
    let deep_field = format!("{{\"deep\":{}{},", "[".repeat(DEEP), "]".repeat(DEEP));
    let values = [valid(), edited("{", &deep_field)];
    let check = async {
        for value in values {
            check_nodes_beside_an_entry(value, FleetStore::put).await;
        }
    };
    LocalSet::new().run_until(check).await;
}

#[tokio::test(start_paused = true)]
async fn entry_of_another_writer_under_a_nodes_name_is_replaced_by_the_node() {
    let check = async {
        let store = start_store(3, &NODES);
        let nodes = start_nodes(&store, &DirectLinks::default());
        sleep(SETTLING_TIME).await;
        let mut foreign = registration("d", 9);
        foreign.store_era = StoreEra(u64::MAX);
        foreign.service = "other".to_owned();
        let value = serde_json::to_string(&foreign).expect("a registration is JSON");
        store.put_leased(&format!("{NODES_PREFIX}d"), value);
        sleep(SETTLING_TIME).await;
        for node in &nodes {
            let services = node.handle.read(|core| core.directory().targets());
            assert!(!services.contains_key("other"), "{services:?}");
        }
        let own = nodes[3].handle.read(MeshCore::own_registration);
        let stored = store.value(&format!("{NODES_PREFIX}d"));
        let stored: Option<NodeRegistration> =
            stored.and_then(|value| serde_json::from_str(&value).ok());
        assert_eq!(stored, Some(own));
        let known = nodes[0]
            .handle
            .read(|core| core.directory().name(NodeId::from_name("d")));
        assert_eq!(known.as_deref(), Some("d"));
    };
    LocalSet::new().run_until(check).await;
}
