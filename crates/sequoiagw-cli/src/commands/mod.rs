//! Commands of the command line, one module each.

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

use crate::cli_command::CommandGroup;

/// All groups of commands; the first one holds the commands of the top level.
pub(crate) const COMMAND_GROUPS: &[CommandGroup] = &[
    CommandGroup {
        name: "",
        about: "",
        commands: &[
            node::COMMAND,
            platform_node::COMMAND,
            status::COMMAND,
            explain::COMMAND,
            demo::COMMAND,
            completions::COMMAND,
        ],
    },
    CommandGroup {
        name: "config",
        about: "Read and change the mesh configuration",
        commands: &[
            config_show::COMMAND,
            config_check::COMMAND,
            config_diff::COMMAND,
            config_apply::COMMAND,
            config_history::COMMAND,
            config_explain::COMMAND,
        ],
    },
    CommandGroup {
        name: "exception",
        about: "Read and change the exceptions from the defaults",
        commands: &[
            exception_add::COMMAND,
            exception_remove::COMMAND,
            exception_list::COMMAND,
        ],
    },
    CommandGroup {
        name: "settings",
        about: "Work with a node's settings",
        commands: &[settings_check::COMMAND],
    },
    CommandGroup {
        name: "standin",
        about: "Small stand-ins for trying the system out",
        commands: &[standin_store::COMMAND, standin_backend::COMMAND],
    },
];
