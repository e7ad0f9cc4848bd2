//! Free ports on loopback for stand-ins and tests.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

type Result<T> = std::result::Result<T, io::Error>;

/// First port tried. The range lies below the ports that the operating system assigns to outgoing
/// connections, so that no such connection can take a port between the check and its use.
const FIRST_PORT: u16 = 12_000;
/// Number of ports tried.
const PORT_COUNT: u16 = 20_000;
/// Distance between the first ports tried by processes with consecutive ids.
const PROCESS_STRIDE: u32 = 97;

/// Finds free ports. Calls in one process return different ports.
///
/// # Errors
/// Returns an error if there are not enough free ports.
pub fn free_addresses(count: usize) -> Result<Vec<SocketAddr>> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let start = std::process::id().wrapping_mul(PROCESS_STRIDE) % u32::from(PORT_COUNT);
    let start = u16::try_from(start).unwrap_or(0);
    let mut addresses = Vec::new();
    for _ in 0..PORT_COUNT {
        if addresses.len() == count {
            return Ok(addresses);
        }
        let offset = (u32::from(start) + u32::from(NEXT.fetch_add(1, Ordering::Relaxed)))
            % u32::from(PORT_COUNT);
        let port = FIRST_PORT + u16::try_from(offset).unwrap_or(0);
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() {
            addresses.push(address);
        }
    }
    Err(io::Error::new(io::ErrorKind::AddrNotAvailable, "no free ports"))
}
