//! Client of the platform's key-value store, met through the etcd v3 JSON gateway.

mod etcd_store;
mod gateway_json;
mod platform_store;
mod store_error;
mod store_request;

pub use etcd_store::EtcdStore;
pub use gateway_json::decode_text;
pub use gateway_json::encode_text;
pub use gateway_json::GatewayCompare;
pub use gateway_json::GatewayEvent;
pub use gateway_json::GatewayHeader;
pub use gateway_json::GatewayKeyValue;
pub use gateway_json::GatewayLease;
pub use gateway_json::GatewayOp;
pub use gateway_json::GatewayOpReply;
pub use gateway_json::GatewayPut;
pub use gateway_json::GatewayRange;
pub use gateway_json::GatewayRangeReply;
pub use gateway_json::GatewayTxn;
pub use gateway_json::GatewayTxnReply;
pub use gateway_json::GatewayWatch;
pub use gateway_json::GatewayWatchCreate;
pub use gateway_json::GatewayWatchLine;
pub use gateway_json::GatewayWatchResult;
pub use platform_store::PlatformStore;
pub use platform_store::StoreFuture;
pub use platform_store::WatchReceiver;
pub use platform_store::WatchSender;
pub use store_error::StoreError;
pub use store_request::KeyCondition;
pub use store_request::KeyEntry;
pub use store_request::LeaseId;
pub use store_request::PutEntry;
pub use store_request::StoreReply;
pub use store_request::StoreRequest;
pub use store_request::WatchUpdate;
