//! Exchange of hello frames on a new connection.

use std::time::Duration;

use futures_util::SinkExt;
use futures_util::StreamExt;
use sequoiagw_http::set_socket_options;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::FrameCodec;
use sequoiagw_protocol::NodeAddress;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::PeerFrame;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::TcpStream;
use tokio_util::codec::FramedRead;
use tokio_util::codec::FramedWrite;
use tracing::warn;

/// Time after which TCP closes the connection to an unresponsive peer.
const PEER_TIMEOUT: Duration = Duration::from_secs(3);

pub(crate) type LinkReader = FramedRead<OwnedReadHalf, FrameCodec>;
pub(crate) type LinkWriter = FramedWrite<OwnedWriteHalf, FrameCodec>;

/// Peer at the other end of a link.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LinkPeer {
    /// Address at which the peer accepts links.
    pub(crate) address: NodeAddress,
    /// Id of the peer.
    pub(crate) node: NodeId,
    /// Boot of the peer's process.
    pub(crate) boot: u64,
    /// Whether the peer joins the parts of large frames.
    pub(crate) joins_parts: bool,
    /// Whether the peer grants the parts of large dispatches.
    pub(crate) grants_transfers: bool,
}

/// A connection on which both ends have sent their hello frames.
#[derive(Debug)]
pub(crate) struct EstablishedLink {
    pub(crate) reader: LinkReader,
    pub(crate) writer: LinkWriter,
    pub(crate) peer: LinkPeer,
}

impl EstablishedLink {
    /// Exchanges hello frames. Returns `None` if the connection fails or the other end sends no valid
    /// hello frame.
    pub(crate) async fn open(stream: TcpStream, hello: &PeerFrame) -> Option<Self> {
        set_socket_options(&stream, PEER_TIMEOUT).ok()?;
        let (read_half, write_half) = stream.into_split();
        let mut reader = FramedRead::new(read_half, FrameCodec::default());
        let mut writer = FramedWrite::new(write_half, FrameCodec::default());
        writer.send(hello).await.ok()?;
        let frame = match reader.next().await? {
            Ok(frame) => frame,
            Err(error) => {
                warn!(event = "link_refused", reason = "bad_greeting", error = %error);
                return None;
            }
        };
        let Some(FrameBody::Hello(hello)) = &frame.body else {
            warn!(event = "link_refused", reason = "no_greeting");
            return None;
        };
        let peer = LinkPeer {
            address: NodeAddress::parse(&hello.address)?,
            node: frame.sender_id(),
            boot: frame.boot,
            joins_parts: hello.joins_parts,
            grants_transfers: hello.grants_transfers,
        };
        Some(Self {
            reader,
            writer,
            peer,
        })
    }
}
