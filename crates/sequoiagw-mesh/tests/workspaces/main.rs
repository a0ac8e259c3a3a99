//! Workspaces: their keys at the callers' address of a node, and their part of configuration
//! versions.

mod caller_keys;
mod caller_quotas;
#[path = "../number_format/mod.rs"]
mod number_format;
mod served_node;
#[path = "../support/mod.rs"]
mod support;
mod version_workspaces;
mod workspace_version;
