//! Phases in which a server shuts down its connections.

/// Phase of a server, from normal operation to shutdown.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum ServerPhase {
    /// Connections stay open after each reply.
    #[default]
    Open,
    /// Requests are still served; the last outstanding reply of a connection closes it.
    Leaving,
    /// As in [`Self::Leaving`]; in addition, idle connections are closed at once.
    Closing,
}
