//! A proxy that forgets connections: what is sent on them later is dropped, without a reset. New
//! connections work.

use std::io::Read;
use std::io::Write;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

struct Link {
    last_used: Mutex<Instant>,
    forgotten: AtomicBool,
    ended: AtomicBool,
}

/// The proxy. Clones share its connections.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    links: Arc<Mutex<Vec<Arc<Link>>>>,
}

impl Proxy {
    pub fn start(ip: IpAddr, behind: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let proxy = Self {
            address: listener.local_addr()?,
            links: Arc::default(),
        };
        let links = proxy.links.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(behind) else {
                    continue;
                };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let link = Arc::new(Link {
                    last_used: Mutex::new(Instant::now()),
                    forgotten: AtomicBool::new(false),
                    ended: AtomicBool::new(false),
                });
                links.lock().unwrap().push(link.clone());
                let (Ok(near_copy), Ok(far_copy)) = (near.try_clone(), far.try_clone()) else {
                    continue;
                };
                let back = link.clone();
                thread::spawn(move || forward(near, far, &link));
                thread::spawn(move || forward(far_copy, near_copy, &back));
            }
        });
        Ok(proxy)
    }

    /// Forgets the open connections on which nothing was sent for a time; returns their number and
    /// that of all open ones.
    pub fn forget_idle(&self, idle: Duration) -> (usize, usize) {
        let links = self.links.lock().unwrap();
        let open = links.iter().filter(|link| {
            !link.ended.load(Ordering::SeqCst) && !link.forgotten.load(Ordering::SeqCst)
        });
        let (mut forgotten, mut all) = (0, 0);
        for link in open {
            all += 1;
            if link.last_used.lock().unwrap().elapsed() >= idle {
                link.forgotten.store(true, Ordering::SeqCst);
                forgotten += 1;
            }
        }
        (forgotten, all)
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream, link: &Link) {
    let mut buffer = [0; 64 * 1024];
    loop {
        let count = match from.read(&mut buffer) {
            Ok(0) | Err(_) => 0,
            Ok(count) => count,
        };
        // What arrives on a forgotten connection is dropped, its end too.
        if link.forgotten.load(Ordering::SeqCst) {
            if count == 0 {
                return;
            }
            continue;
        }
        if count == 0 || to.write_all(&buffer[..count]).is_err() {
            break;
        }
        *link.last_used.lock().unwrap() = Instant::now();
    }
    link.ended.store(true, Ordering::SeqCst);
    let _ = to.shutdown(std::net::Shutdown::Both);
}
