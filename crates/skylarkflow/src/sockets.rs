//! Sockets of a balancer.

use {
    crate::settings::{Limits, Settings},
    derive_more::{Display, Error},
    socket2::SockRef,
    std::{
        io,
        net::{SocketAddr, TcpListener, UdpSocket},
        time::Duration,
    },
};

/// Read timeout of the UDP sockets, after which a receiving thread checks whether it must stop.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Attempts to find a port that is free for both UDP and TCP, if the settings leave the choice to the kernel (port 0).
const PORT_ATTEMPTS: usize = 32;

/// An address that cannot be bound.
#[derive(Debug, Display, Error)]
#[display("cannot bind {setting} {address}: {source}")]
pub struct BindError {
    setting: &'static str,
    address: SocketAddr,
    source: io::Error,
}

/// Bound UDP sockets.
#[derive(Debug)]
pub struct Sockets {
    /// Receives from and sends to the fabric.
    pub ingress: UdpSocket,
    /// Receives from and sends to other balancers.
    pub peer: UdpSocket,
    /// Receives from and sends to upstreams.
    pub upstream: UdpSocket,
}

/// Bound TCP listeners, which tasks of the asynchronous runtime serve.
#[derive(Debug)]
pub struct Listeners {
    /// Accepts links of other balancers, at the same address as the peer socket.
    pub links: TcpListener,
    /// Accepts connections to the administration API.
    pub admin: TcpListener,
}

/// Addresses that a balancer has bound.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Address that the fabric delivers datagrams to.
    pub ingress: SocketAddr,
    /// Address that other balancers send to.
    pub peer: SocketAddr,
    /// Address of the administration API.
    pub admin: SocketAddr,
}

/// Binds every address of the settings.
///
/// # Errors
///
/// Fails with the first address that cannot be bound.
pub fn bind(settings: &Settings) -> Result<(Sockets, Listeners), BindError> {
    let limits = &settings.limits;
    let any_port = SocketAddr::new(settings.ingress.ip(), 0);
    let (peer, links) = bind_peer(settings.peer, limits)?;
    let sockets = Sockets {
        ingress: bind_udp("ingress", settings.ingress, limits)?,
        peer,
        upstream: bind_udp("the upstream socket", any_port, limits)?,
    };
    let admin = bind_tcp("admin.address", settings.admin.address)?;
    Ok((sockets, Listeners { links, admin }))
}

/// Binds a UDP socket and a TCP listener to the same address.
fn bind_peer(address: SocketAddr, limits: &Limits) -> Result<(UdpSocket, TcpListener), BindError> {
    let attempts = if address.port() == 0 {
        PORT_ATTEMPTS
    } else {
        1
    };
    let mut attempt = 1;
    loop {
        let socket = bind_udp("peer", address, limits)?;
        let bound = socket.local_addr().unwrap_or(address);
        match bind_tcp("peer", bound) {
            Ok(listener) => return Ok((socket, listener)),
            Err(error) if attempt == attempts => return Err(error),
            Err(_) => attempt += 1,
        }
    }
}

fn bind_udp(
    setting: &'static str,
    address: SocketAddr,
    limits: &Limits,
) -> Result<UdpSocket, BindError> {
    let bound = UdpSocket::bind(address).and_then(|socket| {
        socket.set_read_timeout(Some(POLL_INTERVAL))?;
        SockRef::from(&socket).set_recv_buffer_size(limits.socket_bytes)?;
        Ok(socket)
    });
    bound.map_err(|source| BindError {
        setting,
        address,
        source,
    })
}

fn bind_tcp(setting: &'static str, address: SocketAddr) -> Result<TcpListener, BindError> {
    let bound = TcpListener::bind(address).and_then(|listener| {
        listener.set_nonblocking(true)?;
        Ok(listener)
    });
    bound.map_err(|source| BindError {
        setting,
        address,
        source,
    })
}
