//! The frame that carries every inner message.

use derive_more::Display;
use prost::Message;
use prost::Oneof;
use serde::Deserialize;
use serde::Serialize;

use crate::CallAnswer;
use crate::CallCancel;
use crate::CallDispatch;
use crate::CallQuery;
use crate::ClaimReply;
use crate::ClaimRequest;
use crate::ConfigBusy;
use crate::ConfigDelta;
use crate::ConfigFull;
use crate::ConfigRequest;
use crate::FleetQuery;
use crate::FleetReport;
use crate::JoinRequest;
use crate::LinkHello;
use crate::NodeId;
use crate::ProbeAnswer;
use crate::ProbeMessage;
use crate::TableDigest;
use crate::TableRecords;
use crate::VersionActivate;
use crate::VersionDelta;
use crate::VersionReport;

/// One inner message with its sender.
#[derive(Clone, Message, PartialEq)]
pub struct PeerFrame {
    /// Sending node.
    #[prost(fixed64, tag = "1")]
    pub sender: u64,
    /// Boot of the sending process.
    #[prost(uint64, tag = "2")]
    pub boot: u64,
    /// Content.
    #[prost(
        oneof = "FrameBody",
        tags = "10, 11, 12, 13, 14, 15, 20, 21, 22, 23, 24, 25, 26, 27, 28, 30, 31, 32, 33, 40, 41"
    )]
    pub body: Option<FrameBody>,
}

impl PeerFrame {
    /// Builds a frame.
    pub fn new(sender: NodeId, boot: u64, body: FrameBody) -> Self {
        Self {
            sender: sender.get(),
            boot,
            body: Some(body),
        }
    }

    /// Sending node.
    pub fn sender_id(&self) -> NodeId {
        NodeId::from(self.sender)
    }

    /// Kind of the content; frames without content count as probes.
    pub fn kind(&self) -> FrameKind {
        self.body.as_ref().map_or(FrameKind::Probe, FrameBody::kind)
    }
}

/// Content of a frame.
#[derive(Clone, Oneof, PartialEq)]
pub enum FrameBody {
    /// Probe.
    #[prost(message, tag = "10")]
    Probe(ProbeMessage),
    /// Answer to a probe.
    #[prost(message, tag = "11")]
    ProbeAnswer(ProbeAnswer),
    /// Join.
    #[prost(message, tag = "12")]
    Join(JoinRequest),
    /// Digest of the member table.
    #[prost(message, tag = "13")]
    Digest(TableDigest),
    /// Member records.
    #[prost(message, tag = "14")]
    Records(TableRecords),
    /// First frame on a link.
    #[prost(message, tag = "15")]
    Hello(LinkHello),
    /// Configuration delta.
    #[prost(message, tag = "20")]
    Delta(ConfigDelta),
    /// Full configuration.
    #[prost(message, tag = "21")]
    Full(ConfigFull),
    /// Request for configuration.
    #[prost(message, tag = "22")]
    ConfigRequest(ConfigRequest),
    /// Refusal of a full copy for now.
    #[prost(message, tag = "23")]
    ConfigBusy(ConfigBusy),
    /// Versions held and in force.
    #[prost(message, tag = "24")]
    Versions(VersionReport),
    /// Activation.
    #[prost(message, tag = "25")]
    Activate(VersionActivate),
    /// Question for the versions in force.
    #[prost(message, tag = "26")]
    FleetQuery(FleetQuery),
    /// Versions in force.
    #[prost(message, tag = "27")]
    FleetReport(FleetReport),
    /// What leads to a later compiled version.
    #[prost(message, tag = "28")]
    VersionDelta(VersionDelta),
    /// Call.
    #[prost(message, tag = "30")]
    Dispatch(CallDispatch),
    /// Answer to a call.
    #[prost(message, tag = "31")]
    Answer(CallAnswer),
    /// Question about a call.
    #[prost(message, tag = "32")]
    Query(CallQuery),
    /// Cancellation of a call.
    #[prost(message, tag = "33")]
    Cancel(CallCancel),
    /// Claims.
    #[prost(message, tag = "40")]
    Claim(ClaimRequest),
    /// Standing claims.
    #[prost(message, tag = "41")]
    ClaimReply(ClaimReply),
}

impl FrameBody {
    /// Kind of the content.
    pub fn kind(&self) -> FrameKind {
        match self {
            Self::Probe(_) | Self::ProbeAnswer(_) | Self::Hello(_) => FrameKind::Probe,
            Self::Join(_) | Self::Digest(_) | Self::Records(_) => FrameKind::Table,
            Self::Delta(_)
            | Self::Full(_)
            | Self::ConfigRequest(_)
            | Self::ConfigBusy(_)
            | Self::VersionDelta(_) => FrameKind::Config,
            Self::Versions(_) | Self::Activate(_) | Self::FleetQuery(_) | Self::FleetReport(_) => {
                FrameKind::Version
            }
            Self::Dispatch(_) | Self::Answer(_) | Self::Query(_) | Self::Cancel(_) => {
                FrameKind::Call
            }
            Self::Claim(_) | Self::ClaimReply(_) => FrameKind::Claim,
        }
    }
}

/// Kind of traffic, for byte counters.
#[derive(
    Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum FrameKind {
    /// Probes and their answers.
    Probe,
    /// Member table repair and joins.
    Table,
    /// Configuration.
    Config,
    /// Version reports and activations.
    Version,
    /// Calls: not control traffic.
    Call,
    /// Key claims.
    Claim,
}

/// All kinds of traffic.
pub const FRAME_KINDS: &[FrameKind] = &[
    FrameKind::Probe,
    FrameKind::Table,
    FrameKind::Config,
    FrameKind::Version,
    FrameKind::Call,
    FrameKind::Claim,
];
