//! Emulated caller: a blocking CoAP client with one request in flight.

use {
    crate::{
        exchange::{Exchange, Received, Request},
        socket::MAX_DATAGRAM_BYTES,
    },
    coap_lite::{CoapOption, Packet, RequestType, block_handler::BlockValue},
    rand::{SeedableRng, rngs::SmallRng},
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
    random: SmallRng,
    next_message_id: u16,
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
        let seed = u64::from(socket.local_addr()?.port());
        Ok(Caller {
            socket,
            random: SmallRng::seed_from_u64(seed),
            next_message_id: 1,
        })
    }

    /// Returns the address of the caller.
    ///
    /// # Errors
    ///
    /// Fails if the operating system does not return the local address of the socket.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sends a request without a payload and waits for its response.
    ///
    /// # Errors
    ///
    /// Fails if no response to this request arrives within `timeout`.
    pub fn request(
        &mut self,
        method: RequestType,
        path: &str,
        timeout: Duration,
    ) -> io::Result<Packet> {
        let request = Request {
            method,
            path: path.to_owned(),
            ..Request::default()
        };
        self.exchange(&request, timeout)
    }

    /// Sends a request, retransmits it as in RFC 7252, and waits for its response.
    ///
    /// # Errors
    ///
    /// Fails if no response to this request arrives within `timeout`.
    pub fn exchange(&mut self, request: &Request, timeout: Duration) -> io::Result<Packet> {
        let message_id = self.next_message_id;
        self.next_message_id = self.next_message_id.wrapping_add(1);
        let mut exchange = Exchange::new(request, message_id, &mut self.random);
        let end = Instant::now() + timeout;
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        loop {
            if let Some(bytes) = exchange.poll_transmit() {
                self.socket.send(bytes)?;
            }
            let until = exchange
                .next_transmission()
                .map_or(end, |next| next.min(end));
            let Some(length) = self.receive(&mut buffer, until, end)? else {
                continue;
            };
            let (received, acknowledgement) = exchange.handle_datagram(&buffer[..length]);
            if let Some(bytes) = acknowledgement {
                self.socket.send(&bytes)?;
            }
            if let Received::Response(response) = received {
                return Ok(*response);
            }
        }
    }

    /// Reads a resource block by block (RFC 7959).
    ///
    /// # Errors
    ///
    /// Fails if the response to a block request does not arrive within `timeout` or carries another block.
    pub fn download(&mut self, request: &Request, timeout: Duration) -> io::Result<Vec<u8>> {
        let mut contents = Vec::new();
        for number in 0.. {
            let request = Request {
                block: Some(number),
                ..request.clone()
            };
            let response = self.exchange(&request, timeout)?;
            let option = response.get_first_option_as::<BlockValue>(CoapOption::Block2);
            let block = option
                .and_then(Result::ok)
                .filter(|block| usize::from(block.num) == number)
                .ok_or(io::Error::other(
                    "the response does not carry the requested block",
                ))?;
            contents.extend_from_slice(&response.payload);
            if !block.more {
                break;
            }
        }
        Ok(contents)
    }

    /// Waits for a datagram until `until`; fails once `end` has passed.
    fn receive(
        &self,
        buffer: &mut [u8],
        until: Instant,
        end: Instant,
    ) -> io::Result<Option<usize>> {
        let now = Instant::now();
        if now >= end {
            return Err(io::ErrorKind::TimedOut.into());
        }
        let wait = until.saturating_duration_since(now);
        self.socket
            .set_read_timeout(Some(wait.max(Duration::from_millis(1))))?;
        match self.socket.recv(buffer) {
            Ok(length) => Ok(Some(length)),
            Err(error) if is_timeout(&error) => Ok(None),
            // The fabric's socket may not be bound yet, or may be closed already; the next retransmission tries again.
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => Ok(None),
            Err(error) => Err(error),
        }
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}
