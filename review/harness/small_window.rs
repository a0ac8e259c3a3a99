//! Connections with a small receive window, as the links of the pages have.

use std::io;
use std::net::SocketAddrV4;
use std::net::TcpStream;
use std::os::fd::FromRawFd;

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

/// Address of a socket, as the C library takes it.
#[repr(C)]
struct SocketAddress {
    family: u16,
    /// Port and IP in network byte order.
    port: [u8; 2],
    ip: [u8; 4],
    unused: [u8; 8],
}

extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const SocketAddress, length: u32) -> i32;
}

/// Opens a connection whose receive buffer has about `window` bytes.
pub fn connect_with_window(address: SocketAddrV4, window: i32) -> io::Result<TcpStream> {
    let target = SocketAddress {
        family: AF_INET as u16,
        port: address.port().to_be_bytes(),
        ip: address.ip().octets(),
        unused: [0; 8],
    };
    // SAFETY: the arguments are valid for these calls, and the descriptor is owned by the stream.
    unsafe {
        let descriptor = socket(AF_INET, SOCK_STREAM, 0);
        if descriptor < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(descriptor);
        if setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &window, 4) != 0
            || connect(descriptor, &target, 16) != 0
        {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}
