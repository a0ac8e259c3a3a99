//! HTTP/1.1 server and client connections, parsed with `httparse`.
//!
//! Server connections support pipelining: requests run concurrently, and their replies are sent
//! in order. A client connection carries one exchange at a time. It isn't reused once its bytes
//! could belong to another exchange.

mod body_decoder;
mod buffer_budget;
mod caller_probe;
mod connection_close;
mod http_connection;
mod http_message;
mod http_server;
mod message_head;
mod open_replies;
mod reply_output;
mod server_phase;
mod socket_options;

pub use body_decoder::BodyDecoder;
pub use buffer_budget::BufferBudget;
pub use buffer_budget::BufferReservation;
pub use connection_close::close_gracefully;
pub use http_connection::ExchangeError;
pub use http_connection::HttpConnection;
pub use http_message::EncodedRequest;
pub use http_message::HttpReply;
pub use http_message::HttpRequest;
pub use http_message::HttpResponse;
pub use http_server::serve_connection;
pub use http_server::ServerLimits;
pub use message_head::find_header;
pub use message_head::is_connection_header;
pub use message_head::parse_request;
pub use message_head::parse_response;
pub use message_head::BodyLength;
pub use message_head::HttpParseError;
pub use message_head::RequestHead;
pub use message_head::ResponseHead;
pub use open_replies::OpenReplies;
pub use open_replies::OpenReply;
pub use open_replies::OpenRequest;
pub use open_replies::OpenState;
pub use server_phase::ServerPhase;
pub use socket_options::set_socket_options;
