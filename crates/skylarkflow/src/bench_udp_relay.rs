//! Baseline of the datagram benchmark: a UDP relay that forwards datagrams without any processing.

use {
    skylarkflow_emulator::socket::{self, StopFlag},
    std::{
        io,
        net::{SocketAddr, UdpSocket},
    },
};

/// Offset of the byte with the number of the sender, the first byte of the token.
pub const SENDER_OFFSET: usize = 4;

/// A UDP relay with two stages, with the sockets and threads of an ingress balancer and an owner.
pub struct UdpRelay {
    ingress: SocketAddr,
    stop: StopFlag,
}

impl UdpRelay {
    /// Starts a relay with `workers` threads for each of its three sockets, which forwards to `upstreams` in
    /// turn and returns responses to `senders`.
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
            stop: StopFlag::default(),
        };
        let next = peer.local_addr()?;
        for _ in 0..workers {
            socket::spawn_receiver(&first, &relay.stop, move |socket, _, bytes| {
                let _ = socket.send_to(bytes, next);
            })?;
            let out = back.try_clone()?;
            let mut targets = upstreams.clone().into_iter().cycle();
            socket::spawn_receiver(&peer, &relay.stop, move |_, _, bytes| {
                if let Some(upstream) = targets.next() {
                    let _ = out.send_to(bytes, upstream);
                }
            })?;
            let out = first.try_clone()?;
            let senders = senders.clone();
            socket::spawn_receiver(&back, &relay.stop, move |_, _, bytes| {
                let sender = bytes.get(SENDER_OFFSET).map(|&byte| usize::from(byte));
                if let Some(&address) = sender.and_then(|sender| senders.get(sender)) {
                    let _ = out.send_to(bytes, address);
                }
            })?;
        }
        Ok(relay)
    }

    /// Returns the address that receives the datagrams of the senders.
    pub fn ingress(&self) -> SocketAddr {
        self.ingress
    }
}

impl Drop for UdpRelay {
    fn drop(&mut self) {
        self.stop.set();
    }
}
