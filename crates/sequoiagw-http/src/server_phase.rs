//! How a server treats its connections while its process leaves.

/// Phase of a server.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum ServerPhase {
    /// Connections are kept.
    #[default]
    Open,
    /// Requests are answered, and the last answer on each connection closes it.
    Leaving,
    /// Idle connections are closed at once.
    Closing,
}
