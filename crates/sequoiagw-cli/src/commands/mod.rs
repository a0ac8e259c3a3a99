//! All commands.

mod completions;
mod config_apply;
mod config_check;
mod config_diff;
mod config_explain;
mod config_history;
mod config_show;
mod demo;
mod exception_add;
mod exception_list;
mod exception_remove;
mod explain;
mod node;
mod platform_node;
mod settings_check;
mod standin_backend;
mod standin_store;
mod status;

use crate::command_entry::CommandGroup;

/// All groups of commands; the first one is the top level.
pub(crate) const GROUPS: &[CommandGroup] = &[
    CommandGroup {
        name: "",
        about: "",
        entries: &[
            node::ENTRY,
            platform_node::ENTRY,
            status::ENTRY,
            explain::ENTRY,
            demo::ENTRY,
            completions::ENTRY,
        ],
    },
    CommandGroup {
        name: "config",
        about: "Read and change the mesh configuration",
        entries: &[
            config_show::ENTRY,
            config_check::ENTRY,
            config_diff::ENTRY,
            config_apply::ENTRY,
            config_history::ENTRY,
            config_explain::ENTRY,
        ],
    },
    CommandGroup {
        name: "exception",
        about: "Read and change the exceptions from the defaults",
        entries: &[
            exception_add::ENTRY,
            exception_remove::ENTRY,
            exception_list::ENTRY,
        ],
    },
    CommandGroup {
        name: "settings",
        about: "Work with a node's settings",
        entries: &[settings_check::ENTRY],
    },
    CommandGroup {
        name: "standin",
        about: "Small stand-ins for trying the system out",
        entries: &[standin_store::ENTRY, standin_backend::ENTRY],
    },
];
