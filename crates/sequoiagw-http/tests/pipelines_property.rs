//! Arbitrary pipelines on a connection, against a model that says which replies their caller must get.

use std::net::SocketAddr;
use std::time::Duration;

use bolero::TypeGenerator;
use bytes::Bytes;
use bytes::BytesMut;
use sequoiagw_http::parse_response;
use sequoiagw_http::serve_connection;
use sequoiagw_http::BodyDecoder;
use sequoiagw_http::BufferBudget;
use sequoiagw_http::HttpReply;
use sequoiagw_http::HttpRequest;
use sequoiagw_http::ServerLimits;
use sequoiagw_http::ServerPhase;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::LocalSet;
use tokio::time::sleep;
use tokio::time::timeout;

const LIMITS: ServerLimits = ServerLimits {
    max_header_bytes: 4096,
    max_body_bytes: 4096,
    request_timeout: Duration::from_secs(60),
    idle_timeout: Duration::from_secs(60),
};
/// Room for the bodies of requests, less than one of them may have.
const BODY_ROOM_BYTES: u64 = 2048;
/// Largest number of requests in front of the end of a pipeline.
const MAX_REQUESTS: usize = 20;
/// Numbers of requests that are drawn: those around the 16 that run at once.
const REQUEST_COUNTS: [usize; 8] = [0, 1, 2, 15, 16, 17, 18, MAX_REQUESTS];
/// Sizes of replies that are drawn: those around the 16 KiB from which a body is written on its own.
const REPLY_BYTES: [usize; 6] = [0, 100, 16 * 1024 - 1, 16 * 1024, 16 * 1024 + 1, 30_000];
/// Sizes of reads that are drawn.
const READ_BYTES: [usize; 4] = [100, 1000, 10_000, 100_000];
/// Reads of a slow caller that are followed by a pause.
const SLOW_READS: usize = 8;
const READ_PAUSE: Duration = Duration::from_millis(1);
/// Receive buffer of a caller on a slow link, in bytes.
const SMALL_WINDOW_BYTES: usize = 4096;
/// Time after which a caller gives up its connection.
const CALLER_TIMEOUT: Duration = Duration::from_secs(20);

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum RequestKind {
    Get,
    Head,
    Post,
    /// With `Expect: 100-continue`, and its body at once.
    Expecting,
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
struct DrawnRequest {
    kind: RequestKind,
    /// Index into the sizes of replies.
    size: u8,
    /// Time that the request takes: up to three milliseconds.
    delay: u8,
}

impl DrawnRequest {
    fn method(self) -> &'static str {
        match self.kind {
            RequestKind::Get => "GET",
            RequestKind::Head => "HEAD",
            RequestKind::Post | RequestKind::Expecting => "POST",
        }
    }

    fn reply_bytes(self) -> usize {
        REPLY_BYTES[usize::from(self.size) % REPLY_BYTES.len()]
    }

    fn encode(self, index: usize, closes: bool) -> String {
        let method = self.method();
        let path = format!("/{index}/{}/{}", self.reply_bytes(), self.delay % 4);
        let close = if closes { "Connection: close\r\n" } else { "" };
        let end = match self.kind {
            RequestKind::Get | RequestKind::Head => "\r\n",
            RequestKind::Post => "Content-Length: 3\r\n\r\nabc",
            RequestKind::Expecting => "Expect: 100-continue\r\nContent-Length: 3\r\n\r\nabc",
        };
        format!("{method} {path} HTTP/1.1\r\n{close}{end}")
    }

    /// Status, id and body of the reply.
    fn expected(self, index: usize) -> ReceivedReply {
        let body = match self.kind {
            RequestKind::Head => Bytes::new(),
            _ => reply_body(index, self.reply_bytes()),
        };
        (200, index.to_string(), body)
    }
}

/// How a pipeline ends.
#[derive(Clone, Copy, Debug, TypeGenerator)]
enum PipelineEnd {
    /// The last request closes the connection.
    Close,
    /// The caller ends its sending side.
    EndInput,
    /// The same in the middle of a request.
    EndInputMidway,
    NoRequest,
    UnknownCoding,
    TwoLengths,
    BadChunk,
    HeadOverLimit,
    LengthOverLimit,
    ChunksOverLimit,
    NoRoom,
}

impl PipelineEnd {
    /// What is sent behind the requests, and the status of its refusal.
    fn encode(self) -> (String, Option<u16>) {
        let (fields, status) = match self {
            Self::Close | Self::EndInput => return (String::new(), None),
            Self::NoRequest => return ("no request\r\n\r\n".to_owned(), Some(400)),
            Self::EndInputMidway => ("Content-Length: 5\r\n\r\nabc".to_owned(), None),
            Self::UnknownCoding => (
                "Transfer-Encoding: gzip, chunked\r\n\r\n".to_owned(),
                Some(400),
            ),
            Self::TwoLengths => (
                "Content-Length: 1\r\nContent-Length: 2\r\n\r\n".to_owned(),
                Some(400),
            ),
            Self::BadChunk => (
                "Transfer-Encoding: chunked\r\n\r\nno size\r\n".to_owned(),
                Some(400),
            ),
            Self::HeadOverLimit => (format!("X-Filler: {}\r\n\r\n", "x".repeat(5000)), Some(431)),
            Self::LengthOverLimit => ("Content-Length: 4097\r\n\r\n".to_owned(), Some(413)),
            Self::ChunksOverLimit => (
                "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nfff\r\n".to_owned(),
                Some(413),
            ),
            Self::NoRoom => ("Content-Length: 4096\r\n\r\n".to_owned(), Some(503)),
        };
        (format!("POST /refused HTTP/1.1\r\n{fields}"), status)
    }
}

/// A pipeline and the ways in which its caller writes and reads.
#[derive(Clone, Debug, TypeGenerator)]
struct DrawnPipeline {
    /// Index into the numbers of requests.
    count: u8,
    requests: [DrawnRequest; MAX_REQUESTS],
    end: PipelineEnd,
    /// Lengths of the parts in which it is written, over and over; at once if there are none.
    parts: Vec<u8>,
    /// Index into the sizes of reads.
    read: u8,
    is_slow: bool,
}

/// Status, id and body.
type ReceivedReply = (u16, String, Bytes);

impl DrawnPipeline {
    fn requests(&self) -> &[DrawnRequest] {
        let count = REQUEST_COUNTS[usize::from(self.count) % REQUEST_COUNTS.len()];
        // Without any request there is nothing that could close the connection.
        let needs_request = matches!(self.end, PipelineEnd::Close);
        &self.requests[..count.max(usize::from(needs_request))]
    }

    fn encode(&self) -> String {
        let requests = self.requests();
        let encoded = requests.iter().enumerate().map(|(index, request)| {
            let is_last = index + 1 == requests.len();
            request.encode(index, is_last && matches!(self.end, PipelineEnd::Close))
        });
        encoded.chain([self.end.encode().0]).collect()
    }

    /// The replies that the caller must get, and nothing else.
    fn expected(&self) -> Vec<ReceivedReply> {
        let requests = self.requests().iter().enumerate();
        let replies = requests.map(|(index, request)| request.expected(index));
        let refusal = self.end.encode().1;
        let refusal = refusal.map(|status| (status, String::new(), Bytes::new()));
        replies.chain(refusal).collect()
    }

    async fn write(&self, writer: &mut OwnedWriteHalf) {
        let text = self.encode();
        let mut rest = text.as_bytes();
        let mut lengths = self.parts.iter().cycle();
        while !rest.is_empty() {
            let length = lengths
                .next()
                .map_or(rest.len(), |&length| usize::from(length) + 1);
            let (part, behind) = rest.split_at(length.min(rest.len()));
            // The server may have refused the request before its last byte is sent.
            if writer.write_all(part).await.is_err() {
                return;
            }
            tokio::task::yield_now().await;
            rest = behind;
        }
        if matches!(
            self.end,
            PipelineEnd::EndInput | PipelineEnd::EndInputMidway
        ) {
            let _ = writer.shutdown().await;
        }
    }

    async fn read(&self, reader: &mut OwnedReadHalf) -> std::io::Result<BytesMut> {
        let read_bytes = READ_BYTES[usize::from(self.read) % READ_BYTES.len()];
        let mut part = vec![0; read_bytes];
        let mut received = BytesMut::new();
        let mut reads = 0;
        loop {
            let read = reader.read(&mut part).await?;
            if read == 0 {
                return Ok(received);
            }
            received.extend_from_slice(&part[..read]);
            reads += 1;
            if self.is_slow && reads < SLOW_READS {
                sleep(READ_PAUSE).await;
            }
        }
    }

    /// Returns the replies on a connection.
    async fn play(&self) -> Vec<ReceivedReply> {
        let address = start_server().await;
        let stream = connect(address, self.is_slow);
        let (mut reader, mut writer) = stream.into_split();
        let exchange = async {
            // The writer stays open until everything is read.
            let (received, ()) = tokio::join!(self.read(&mut reader), self.write(&mut writer));
            received
        };
        let received = timeout(CALLER_TIMEOUT, exchange).await;
        let received = received.expect("the connection ends");
        let methods = self.requests().iter().map(|request| request.method());
        parse_replies(received.expect("no reset"), methods)
    }
}

/// Reads whole replies, the last of which may be that of a refused request.
fn parse_replies<Methods>(mut received: BytesMut, mut methods: Methods) -> Vec<ReceivedReply>
where
    Methods: Iterator<Item = &'static str>,
{
    let mut replies = Vec::new();
    while !received.is_empty() {
        let method = methods.next().unwrap_or("POST");
        let head = parse_response(&mut received, method, 4096, &mut 0);
        let head = head.expect("a reply").expect("a whole head");
        let mut decoder = BodyDecoder::new(head.body, u64::MAX, &BufferBudget::unlimited());
        let is_whole = decoder.decode(&mut received).expect("a body");
        assert!(is_whole, "a whole body of reply {}", replies.len());
        let id = head.header("id").unwrap_or_default().to_owned();
        replies.push((head.status.get(), id, decoder.into_body()));
    }
    replies
}

fn reply_body(index: usize, bytes: usize) -> Bytes {
    Bytes::from(vec![b'a' + index as u8; bytes])
}

/// Starts a server whose replies the paths of the requests describe.
async fn start_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::task::spawn_local(async move {
        let (_sender, phase) = watch::channel(ServerPhase::Open);
        let (stream, _) = listener.accept().await.expect("a connection");
        let budget = BufferBudget::new(BODY_ROOM_BYTES);
        serve_connection(stream, || LIMITS, budget, phase, reply).await;
    });
    address
}

async fn reply(request: HttpRequest) -> HttpReply {
    let numbers = request.head.path.split('/').skip(1);
    let numbers: Vec<usize> = numbers
        .map(|part| part.parse().expect("a number"))
        .collect();
    let [index, bytes, delay_ms] = numbers[..] else {
        panic!("a path with three numbers");
    };
    sleep(Duration::from_millis(delay_ms as u64)).await;
    let mut reply = HttpReply::json(200, reply_body(index, bytes));
    reply.push_header("id", &index.to_string());
    reply
}

fn connect(address: SocketAddr, is_slow: bool) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    if is_slow {
        socket
            .set_recv_buffer_size(SMALL_WINDOW_BYTES)
            .expect("the size can be set");
    }
    socket.connect(&address.into()).expect("a connection");
    socket.set_tcp_nodelay(true).expect("the option can be set");
    socket.set_nonblocking(true).expect("the mode can be set");
    TcpStream::from_std(socket.into()).expect("a stream")
}

/// MIXED, LOST: a pipeline whose replies were mixed up, cut or left out.
#[test]
fn callers_get_whole_replies_in_order_and_nothing_else() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    bolero::check!()
        .with_type::<DrawnPipeline>()
        .for_each(|pipeline| {
            let replies = LocalSet::new().block_on(&runtime, pipeline.play());
            assert_eq!(replies.len(), pipeline.expected().len(), "replies");
            for (reply, expected) in replies.iter().zip(pipeline.expected()) {
                let (status, id, body) = reply;
                assert_eq!((*status, &**id), (expected.0, &*expected.1));
                assert!(*body == expected.2, "the body of reply {id:?}");
            }
        });
}
