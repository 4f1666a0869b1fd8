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

/// Time after which a blocked receiver looks whether it is to stop.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Attempts to find a port that is free for UDP and TCP, when the settings leave the port open.
const PORT_ATTEMPTS: usize = 32;

/// An address that cannot be bound.
#[derive(Debug, Display, Error)]
#[display("cannot bind {setting} {address}: {source}")]
pub struct BindError {
    setting: &'static str,
    address: SocketAddr,
    source: io::Error,
}

/// Bound sockets.
#[derive(Debug)]
pub struct Sockets {
    /// Datagrams from and to the fabric.
    pub ingress: UdpSocket,
    /// Datagrams from and to other balancers.
    pub peer: UdpSocket,
    /// Datagrams from and to upstreams.
    pub upstream: UdpSocket,
}

/// Listeners of the tasks on the asynchronous runtime.
#[derive(Debug)]
pub struct Listeners {
    /// Links of other balancers, at the address of the peer socket.
    pub links: TcpListener,
    /// Administration API.
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
    let any = SocketAddr::new(settings.ingress.ip(), 0);
    let (peer, links) = bind_peer(settings.peer, limits)?;
    let sockets = Sockets {
        ingress: bind_udp("ingress", settings.ingress, limits)?,
        peer,
        upstream: bind_udp("the upstream socket", any, limits)?,
    };
    let admin = bind_tcp("admin.address", settings.admin.address)?;
    Ok((sockets, Listeners { links, admin }))
}

/// Binds one UDP socket and one TCP listener to the same address.
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
