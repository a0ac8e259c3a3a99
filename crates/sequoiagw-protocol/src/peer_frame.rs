//! Frame that carries every message between nodes.

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
use crate::CrashRecords;
use crate::DepartureNotice;
use crate::DepartureReply;
use crate::FleetQuery;
use crate::FleetReport;
use crate::FramePart;
use crate::JoinRequest;
use crate::LinkHello;
use crate::NodeId;
use crate::ProbeAnswer;
use crate::ProbeMessage;
use crate::QuotaGrant;
use crate::QuotaRequest;
use crate::RolloutTableMessage;
use crate::RunStatsReply;
use crate::RunStatsRequest;
use crate::TableDigest;
use crate::TableRecords;
use crate::TransferGrant;
use crate::TransferOffer;
use crate::VersionActivate;
use crate::VersionDelta;
use crate::VersionReport;

/// A message between nodes, with its sender.
#[derive(Clone, Message, PartialEq)]
pub struct PeerFrame {
    /// Id of the sending node.
    #[prost(fixed64, tag = "1")]
    pub sender: u64,
    /// Boot of the sending node.
    #[prost(uint64, tag = "2")]
    pub boot: u64,
    /// Message in the frame; absent if the receiver doesn't support it.
    #[prost(
        oneof = "FrameBody",
        tags = "10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25, 26, 27, 28, 30, 31, 32, 33, 34, 35, 36, 37, 40, 41, 50, 51, 52"
    )]
    pub body: Option<FrameBody>,
}

impl PeerFrame {
    /// Builds a frame with a message.
    pub fn new(sender: NodeId, boot: u64, body: FrameBody) -> Self {
        Self {
            sender: sender.get(),
            boot,
            body: Some(body),
        }
    }

    /// Returns the id of the sending node.
    pub fn sender_id(&self) -> NodeId {
        NodeId::from(self.sender)
    }

    /// Kind of the message for byte counters; a frame without a message counts as a probe.
    pub fn kind(&self) -> FrameKind {
        self.body.as_ref().map_or(FrameKind::Probe, FrameBody::kind)
    }
}

/// Message in a frame.
#[derive(Clone, Oneof, PartialEq)]
pub enum FrameBody {
    /// Probe of a member.
    #[prost(message, tag = "10")]
    Probe(ProbeMessage),
    /// Answer to a probe.
    #[prost(message, tag = "11")]
    ProbeAnswer(ProbeAnswer),
    /// Request of a joining node for the member table.
    #[prost(message, tag = "12")]
    Join(JoinRequest),
    /// Hashes of the member table.
    #[prost(message, tag = "13")]
    Digest(TableDigest),
    /// Member records.
    #[prost(message, tag = "14")]
    Records(TableRecords),
    /// First frame on a link.
    #[prost(message, tag = "15")]
    Hello(LinkHello),
    /// Part of a large frame.
    #[prost(message, tag = "16")]
    Part(FramePart),
    /// Crashes of backend servers under requests.
    #[prost(message, tag = "17")]
    Crashes(CrashRecords),
    /// Departure of the backend server next to the sender, for the receiver to remember.
    #[prost(message, tag = "18")]
    Departure(DepartureNotice),
    /// What the sender remembers of the receiver's backend server.
    #[prost(message, tag = "19")]
    DepartureReply(DepartureReply),
    /// Changes between two configuration versions.
    #[prost(message, tag = "20")]
    Delta(ConfigDelta),
    /// Full copy of a configuration version.
    #[prost(message, tag = "21")]
    Full(ConfigFull),
    /// Request for a newer configuration version.
    #[prost(message, tag = "22")]
    ConfigRequest(ConfigRequest),
    /// Refusal of a full copy because of the rate limit.
    #[prost(message, tag = "23")]
    ConfigBusy(ConfigBusy),
    /// Configuration versions of the sender.
    #[prost(message, tag = "24")]
    Versions(VersionReport),
    /// Instruction to put a configuration version in force.
    #[prost(message, tag = "25")]
    Activate(VersionActivate),
    /// Query for the configuration versions of a data centre's nodes.
    #[prost(message, tag = "26")]
    FleetQuery(FleetQuery),
    /// Configuration versions of a data centre's nodes.
    #[prost(message, tag = "27")]
    FleetReport(FleetReport),
    /// Changes that lead to a later compiled version.
    #[prost(message, tag = "28")]
    VersionDelta(VersionDelta),
    /// Dispatch of a call.
    #[prost(message, tag = "30")]
    Dispatch(CallDispatch),
    /// Answer to a call.
    #[prost(message, tag = "31")]
    Answer(CallAnswer),
    /// Query for the state of a call.
    #[prost(message, tag = "32")]
    Query(CallQuery),
    /// Cancellation of a call.
    #[prost(message, tag = "33")]
    Cancel(CallCancel),
    /// Request for permits of a workspace.
    #[prost(message, tag = "34")]
    QuotaRequest(QuotaRequest),
    /// Permits of a workspace.
    #[prost(message, tag = "35")]
    QuotaGrant(QuotaGrant),
    /// Announcement of a large dispatch.
    #[prost(message, tag = "36")]
    TransferOffer(TransferOffer),
    /// Permission to send a part of an announced dispatch.
    #[prost(message, tag = "37")]
    TransferGrant(TransferGrant),
    /// Claims of idempotency keys.
    #[prost(message, tag = "40")]
    Claim(ClaimRequest),
    /// Result of claims.
    #[prost(message, tag = "41")]
    ClaimReply(ClaimReply),
    /// Records of roll-outs, or a request for them.
    #[prost(message, tag = "50")]
    Rollouts(RolloutTableMessage),
    /// Request for what a node has seen of its backend server.
    #[prost(message, tag = "51")]
    RunStatsRequest(RunStatsRequest),
    /// What a node has seen of its backend server.
    #[prost(message, tag = "52")]
    RunStats(RunStatsReply),
}

impl FrameBody {
    /// Kind of the message for byte counters.
    pub fn kind(&self) -> FrameKind {
        match self {
            Self::Probe(_) | Self::ProbeAnswer(_) | Self::Hello(_) => FrameKind::Probe,
            Self::Join(_)
            | Self::Digest(_)
            | Self::Records(_)
            | Self::Crashes(_)
            | Self::Departure(_)
            | Self::DepartureReply(_) => FrameKind::Table,
            Self::Delta(_)
            | Self::Full(_)
            | Self::ConfigRequest(_)
            | Self::ConfigBusy(_)
            | Self::VersionDelta(_) => FrameKind::Config,
            Self::Versions(_) | Self::Activate(_) | Self::FleetQuery(_) | Self::FleetReport(_) => {
                FrameKind::Version
            }
            Self::Part(_)
            | Self::TransferOffer(_)
            | Self::TransferGrant(_)
            | Self::Dispatch(_)
            | Self::Answer(_)
            | Self::Query(_)
            | Self::Cancel(_) => FrameKind::Call,
            Self::Claim(_) | Self::ClaimReply(_) => FrameKind::Claim,
            Self::QuotaRequest(_) | Self::QuotaGrant(_) => FrameKind::Quota,
            Self::Rollouts(_) | Self::RunStatsRequest(_) | Self::RunStats(_) => FrameKind::Rollout,
        }
    }
}

/// Kind of traffic between nodes, by which byte counters are kept.
#[derive(
    Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum FrameKind {
    /// Probes and their answers.
    Probe,
    /// Joins, departures of backend servers, and updates and repair of the tables of members and of
    /// crashes.
    Table,
    /// Configuration deltas and full copies, with the requests for them.
    Config,
    /// Version reports, activations and fleet queries.
    Version,
    /// Calls and their answers. All other kinds are control traffic.
    Call,
    /// Claims of idempotency keys and their results.
    Claim,
    /// Permits of workspaces and the requests for them.
    Quota,
    /// Records of roll-outs, and what their drivers collect.
    Rollout,
}

/// All kinds of traffic.
pub const FRAME_KINDS: &[FrameKind] = &[
    FrameKind::Probe,
    FrameKind::Table,
    FrameKind::Config,
    FrameKind::Version,
    FrameKind::Call,
    FrameKind::Claim,
    FrameKind::Quota,
    FrameKind::Rollout,
];
