//! Emulated caller: a CoAP client that waits for one answer at a time.

use {
    crate::socket::DATAGRAM_BYTES,
    coap_lite::{CoapOption, MessageClass, MessageType, Packet, RequestType},
    std::{
        io,
        net::{SocketAddr, UdpSocket},
        time::{Duration, Instant},
    },
};

/// A caller with one flow to a service.
#[derive(Debug)]
pub struct Caller {
    socket: UdpSocket,
    next: u16,
}

impl Caller {
    /// Opens a flow to a service.
    ///
    /// # Errors
    ///
    /// Fails if no socket can be opened.
    pub fn new(service: SocketAddr) -> io::Result<Caller> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        socket.connect(service)?;
        Ok(Caller { socket, next: 1 })
    }

    /// Sends a request once and waits for its answer.
    ///
    /// # Errors
    ///
    /// Fails if no answer to this request arrives in time.
    pub fn request(
        &mut self,
        method: RequestType,
        path: &str,
        timeout: Duration,
    ) -> io::Result<Packet> {
        let packet = self.packet(method, path);
        let bytes = packet.to_bytes().map_err(io::Error::other)?;
        self.socket.send(&bytes)?;
        let end = Instant::now() + timeout;
        loop {
            let answer = self.receive(end)?;
            if answer.get_token() == packet.get_token() {
                return Ok(answer);
            }
        }
    }

    fn packet(&mut self, method: RequestType, path: &str) -> Packet {
        let id = self.next;
        self.next = self.next.wrapping_add(1);
        let mut packet = Packet::new();
        packet.header.set_type(MessageType::Confirmable);
        packet.header.code = MessageClass::Request(method);
        packet.header.message_id = id;
        packet.set_token(id.to_be_bytes().to_vec());
        packet.add_option(CoapOption::UriPath, path.as_bytes().to_vec());
        packet
    }

    fn receive(&self, end: Instant) -> io::Result<Packet> {
        let rest = end.saturating_duration_since(Instant::now());
        if rest.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.socket.set_read_timeout(Some(rest))?;
        let mut buffer = [0; DATAGRAM_BYTES];
        let length = self.socket.recv(&mut buffer)?;
        Packet::from_bytes(&buffer[..length]).map_err(io::Error::other)
    }
}
