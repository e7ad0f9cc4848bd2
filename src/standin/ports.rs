//! Free ports on loopback for stand-ins and tests.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

type Result<T> = std::result::Result<T, io::Error>;

/// First port tried. The range lies below the ports that the operating system gives to outgoing
/// connections, so that none of these can take a port between the look and its use.
const FIRST_PORT: u16 = 12_000;
/// Number of ports tried.
const PORTS: u16 = 20_000;
/// Ports between the starting points of two processes.
const STRIDE: u32 = 97;

/// Finds free ports; no two calls in one process give the same.
///
/// # Errors
/// Where there are not enough.
pub fn free_addresses(count: usize) -> Result<Vec<SocketAddr>> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let start = std::process::id().wrapping_mul(STRIDE) % u32::from(PORTS);
    let start = u16::try_from(start).unwrap_or(0);
    let mut found = Vec::new();
    for _ in 0..PORTS {
        if found.len() == count {
            return Ok(found);
        }
        let offset =
            (u32::from(start) + u32::from(NEXT.fetch_add(1, Ordering::Relaxed))) % u32::from(PORTS);
        let port = FIRST_PORT + u16::try_from(offset).unwrap_or(0);
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() {
            found.push(address);
        }
    }
    Err(io::Error::new(io::ErrorKind::AddrNotAvailable, "no free ports"))
}
