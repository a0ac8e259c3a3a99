//! Interface to the client of the backend server next to the node.

use sequoiagw_policy::RunId;
use sequoiagw_policy::RunRequest;

/// Runs calls at the backend server. The result of each run is sent to the node's event loop.
pub trait BackendRuns {
    /// Starts a run at the backend process named `instance`.
    fn run(&self, request: RunRequest, instance: String);

    /// Aborts a run. Does nothing if the run has ended.
    fn abort(&self, run: RunId);
}
