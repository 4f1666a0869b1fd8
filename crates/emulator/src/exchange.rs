//! A CoAP exchange from the caller's side: one confirmable request with its retransmissions (RFC 7252, section 4.2).

use {
    coap_lite::{
        CoapOption, MessageClass, MessageType, Packet, RequestType, ResponseType,
        block_handler::BlockValue,
    },
    rand::{Rng, rngs::SmallRng},
    std::time::{Duration, Instant},
};

/// Time until the first retransmission, before it is multiplied by a random factor.
pub const ACK_TIMEOUT: Duration = Duration::from_secs(2);

/// Upper bound of the random factor that [`ACK_TIMEOUT`] is multiplied by.
const ACK_RANDOM_FACTOR: f64 = 1.5;

/// Limit on the retransmissions of one request.
const MAX_RETRANSMIT: u32 = 4;

/// Block size that a caller requests.
const BLOCK_BYTES: usize = 1_024;

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// Method.
    pub method: RequestType,
    /// Path, which has a single segment.
    pub path: String,
    /// Query, which the emulated upstream echoes in its response.
    pub query: Option<String>,
    /// Service name sent as Uri-Host. Balancers set this option, so it is needed only without a balancer.
    pub host: Option<String>,
    /// Payload.
    pub payload: Vec<u8>,
    /// Number of the block to request.
    pub block: Option<usize>,
}

/// Outcome of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The service sent a response of its own.
    Answered,
    /// The request did not run (5.03).
    Refused,
    /// The request may have run (5.04).
    Unknown,
}

/// A request that awaits its response.
#[derive(Debug)]
pub struct Exchange {
    bytes: Vec<u8>,
    message_id: u16,
    token: Vec<u8>,
    ack_timeout: Duration,
    next_transmission: Option<Instant>,
    retransmissions: u32,
}

/// Meaning of a received datagram for an exchange.
#[derive(Debug)]
pub enum Received {
    /// The response.
    Response(Box<Packet>),
    /// An empty acknowledgement of the request; the response follows separately.
    Acknowledged,
    /// A malformed datagram, or one of another exchange.
    Unrelated,
}

impl Default for Request {
    fn default() -> Request {
        Request {
            method: RequestType::Get,
            path: "stops".to_owned(),
            query: None,
            host: None,
            payload: Vec::new(),
            block: None,
        }
    }
}

impl Request {
    fn to_packet(&self, message_id: u16) -> Packet {
        let mut packet = Packet::new();
        packet.header.set_type(MessageType::Confirmable);
        packet.header.code = MessageClass::Request(self.method);
        packet.header.message_id = message_id;
        packet.set_token(message_id.to_be_bytes().to_vec());
        packet.add_option(CoapOption::UriPath, self.path.clone().into_bytes());
        if let Some(host) = &self.host {
            packet.add_option(CoapOption::UriHost, host.clone().into_bytes());
        }
        if let Some(query) = &self.query {
            packet.add_option(CoapOption::UriQuery, query.clone().into_bytes());
        }
        let block = self
            .block
            .and_then(|number| BlockValue::new(number, false, BLOCK_BYTES).ok());
        if let Some(block) = block {
            packet.add_option(CoapOption::Block2, Vec::<u8>::from(block));
        }
        packet.payload = self.payload.clone();
        packet
    }
}

impl Exchange {
    /// Starts an exchange; its first transmission is due at once.
    ///
    /// # Panics
    ///
    /// Panics if the request is too long for a CoAP message.
    pub fn new(request: &Request, message_id: u16, random: &mut SmallRng) -> Exchange {
        let packet = request.to_packet(message_id);
        let factor = random.random_range(1.0..=ACK_RANDOM_FACTOR);
        Exchange {
            bytes: packet
                .to_bytes()
                .expect("a request fits into a CoAP message"),
            message_id,
            token: packet.get_token().to_vec(),
            ack_timeout: ACK_TIMEOUT.mul_f64(factor),
            next_transmission: Some(Instant::now()),
            retransmissions: 0,
        }
    }

    /// Returns the datagram to send if a transmission is due, and schedules the next one.
    pub fn poll_transmit(&mut self) -> Option<&[u8]> {
        let now = Instant::now();
        if self.next_transmission? > now {
            return None;
        }
        let wait = self.ack_timeout * (1 << self.retransmissions);
        let is_last = self.retransmissions == MAX_RETRANSMIT;
        self.retransmissions += 1;
        self.next_transmission = (!is_last).then(|| now + wait);
        Some(&self.bytes)
    }

    /// Returns the time of the next transmission; `None` if no further one is scheduled.
    pub fn next_transmission(&self) -> Option<Instant> {
        self.next_transmission
    }

    /// Returns the number of retransmissions so far.
    pub fn retransmissions(&self) -> u32 {
        self.retransmissions.saturating_sub(1)
    }

    /// Processes a received datagram. The second value is an acknowledgement to send back, if one is needed.
    pub fn handle_datagram(&mut self, bytes: &[u8]) -> (Received, Option<Vec<u8>>) {
        let Ok(packet) = Packet::from_bytes(bytes) else {
            return (Received::Unrelated, None);
        };
        let message_type = packet.header.get_type();
        let acknowledgement = (message_type == MessageType::Confirmable)
            .then(|| acknowledgement(packet.header.message_id))
            .flatten();
        let is_own = packet.header.message_id == self.message_id;
        let received = match packet.header.code {
            MessageClass::Empty if message_type == MessageType::Acknowledgement && is_own => {
                self.next_transmission = None;
                Received::Acknowledged
            }
            MessageClass::Response(_) if packet.get_token() == self.token => {
                self.next_transmission = None;
                Received::Response(Box::new(packet))
            }
            _ => Received::Unrelated,
        };
        (received, acknowledgement)
    }
}

/// Returns the outcome that a response stands for.
pub fn outcome(response: &Packet) -> Outcome {
    match response.header.code {
        MessageClass::Response(ResponseType::ServiceUnavailable) => Outcome::Refused,
        MessageClass::Response(ResponseType::GatewayTimeout) => Outcome::Unknown,
        _ => Outcome::Answered,
    }
}

fn acknowledgement(message_id: u16) -> Option<Vec<u8>> {
    let mut packet = Packet::new();
    packet.header.set_type(MessageType::Acknowledgement);
    packet.header.code = MessageClass::Empty;
    packet.header.message_id = message_id;
    packet.to_bytes().ok()
}
