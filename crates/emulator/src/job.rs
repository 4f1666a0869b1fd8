//! A request that an emulated upstream has accepted.

use {
    coap_lite::{CoapOption, Packet},
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::{Instant, SystemTime},
    },
};

/// Elective option with the Unix time in milliseconds after which the upstream must not run the request.
const DEADLINE_OPTION: CoapOption = CoapOption::Unknown(65_000);

/// Identifies a request; a retransmission has the same ID.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct RequestId {
    /// Source address of the request.
    pub source: SocketAddr,
    /// Message ID of the request.
    pub message_id: u16,
    /// Token of the request.
    pub token: Vec<u8>,
}

/// A request that waits for or holds a slot.
#[derive(Debug)]
pub struct Job {
    /// ID of the request.
    pub id: RequestId,
    /// The request.
    pub packet: Packet,
    /// Time of arrival.
    pub received_at: Instant,
    /// Whether an empty acknowledgement has been sent.
    pub is_acknowledged: bool,
    cancelled: Arc<AtomicBool>,
}

impl Job {
    /// Creates a job for a request that has just arrived.
    pub fn new(source: SocketAddr, packet: Packet, cancelled: Arc<AtomicBool>) -> Job {
        Job {
            id: RequestId {
                source,
                message_id: packet.header.message_id,
                token: packet.get_token().to_vec(),
            },
            packet,
            received_at: Instant::now(),
            is_acknowledged: false,
            cancelled,
        }
    }

    /// Returns the service that the request names in Uri-Host.
    pub fn service(&self) -> Option<&[u8]> {
        let host = self.packet.get_first_option(CoapOption::UriHost);
        host.map(Vec::as_slice)
    }

    /// Returns the first segment of the path.
    pub fn first_segment(&self) -> Option<&[u8]> {
        let segment = self.packet.get_first_option(CoapOption::UriPath);
        segment.map(Vec::as_slice)
    }

    /// Returns the query, which the response echoes.
    pub fn query(&self) -> String {
        let query = self.packet.get_first_option(CoapOption::UriQuery);
        let query = query.map(|bytes| String::from_utf8_lossy(bytes).into_owned());
        query.unwrap_or_default()
    }

    /// Returns whether the sender has cancelled the request.
    pub fn is_cancelled(&self) -> bool {
        self.cancelled.load(Ordering::Relaxed)
    }

    /// Returns whether the deadline of the request has passed.
    pub fn is_expired(&self) -> bool {
        let option = self.packet.get_first_option(DEADLINE_OPTION);
        let deadline = option.and_then(|value| decode_uint(value));
        let now = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
        deadline.is_some_and(|deadline| now.as_millis() > u128::from(deadline))
    }
}

fn decode_uint(value: &[u8]) -> Option<u64> {
    let is_short = value.len() <= size_of::<u64>();
    is_short.then(|| {
        value
            .iter()
            .fold(0, |number, &byte| number << 8 | u64::from(byte))
    })
}
