//! The baseline of the datagram measurement: two processes' worth of threads that only pass datagrams on.

use {
    skylarkflow_emulator::socket::{self, Stop},
    std::{
        io,
        net::{SocketAddr, UdpSocket},
    },
};

/// Position of the byte that names the sender, the first one of the token.
pub const SENDER_OFFSET: usize = 4;

/// A relay of two stages, in the shape of ingress and owner.
pub struct UdpRelay {
    ingress: SocketAddr,
    stop: Stop,
}

impl UdpRelay {
    /// Starts a relay with `workers` threads for each of its three sockets.
    ///
    /// # Errors
    ///
    /// Fails if a socket cannot be bound.
    pub fn start(
        upstreams: Vec<SocketAddr>,
        senders: Vec<SocketAddr>,
        workers: usize,
    ) -> io::Result<UdpRelay> {
        let [first, peer, back] = [(); 3].map(|()| UdpSocket::bind("127.0.0.1:0"));
        let (first, peer, back) = (first?, peer?, back?);
        let relay = UdpRelay {
            ingress: first.local_addr()?,
            stop: Stop::default(),
        };
        let next = peer.local_addr()?;
        for _ in 0..workers {
            socket::spawn(&first, &relay.stop, move |socket, _, bytes| {
                let _ = socket.send_to(bytes, next);
            })?;
            let out = back.try_clone()?;
            let mut targets = upstreams.clone().into_iter().cycle();
            socket::spawn(&peer, &relay.stop, move |_, _, bytes| {
                if let Some(upstream) = targets.next() {
                    let _ = out.send_to(bytes, upstream);
                }
            })?;
            let out = first.try_clone()?;
            let senders = senders.clone();
            socket::spawn(&back, &relay.stop, move |_, _, bytes| {
                let sender = bytes.get(SENDER_OFFSET).map(|&byte| usize::from(byte));
                if let Some(&address) = sender.and_then(|sender| senders.get(sender)) {
                    let _ = out.send_to(bytes, address);
                }
            })?;
        }
        Ok(relay)
    }

    /// Returns the address that takes datagrams.
    pub fn ingress(&self) -> SocketAddr {
        self.ingress
    }
}

impl Drop for UdpRelay {
    fn drop(&mut self) {
        self.stop.set();
    }
}
