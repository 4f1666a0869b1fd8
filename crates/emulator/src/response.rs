//! Responses of an emulated upstream.
//!
//! The resource at `/bundle`, called the bundle, is larger than a datagram and is served block by block (RFC 7959).

use coap_lite::{
    CoapOption, MessageClass, MessageType, Packet, RequestType, ResponseType,
    block_handler::BlockValue,
};

/// Elective option with the load in four bytes: slots in use, slots, queue length, draining (0 or 1).
const LOAD_OPTION: CoapOption = CoapOption::Unknown(65_004);

/// First path segment of the resource that is served in blocks.
const BUNDLE_PATH: &[u8] = b"bundle";

/// Largest block size.
const MAX_BLOCK_BYTES: usize = 1_024;

/// Max-Age of a refusal: time after which the request may be sent again.
const RETRY_AFTER_SECONDS: u8 = 1;

/// Load that an upstream reports.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    /// Slots in use.
    pub busy: usize,
    /// Total slots.
    pub slots: usize,
    /// Requests that wait for a slot.
    pub queued: usize,
    /// Whether the upstream is draining.
    pub draining: bool,
}

/// Content of the response to a request.
#[derive(Clone, Debug)]
pub enum Response {
    /// The request ran; the payload is this text.
    Text(String),
    /// The request ran; the payload is one block of the bundle.
    Block {
        /// Number of the block.
        number: usize,
        /// Block size in bytes.
        size: usize,
        /// Length of the bundle in bytes.
        total: usize,
    },
    /// The request did not run (5.03).
    Refused,
    /// The request did not run, because it names another service (5.05).
    OtherService,
}

/// Returns the response to a request that ran: a block if it asks for the bundle, otherwise `text`.
pub fn for_request(request: &Packet, text: String, bundle_bytes: usize) -> Response {
    let path = request.get_first_option(CoapOption::UriPath);
    if path.map(Vec::as_slice) != Some(BUNDLE_PATH) {
        return Response::Text(text);
    }
    let option = request.get_first_option_as::<BlockValue>(CoapOption::Block2);
    let block = option.and_then(Result::ok);
    let size = block.as_ref().map_or(MAX_BLOCK_BYTES, BlockValue::size);
    Response::Block {
        number: block.map_or(0, |block| usize::from(block.num)),
        size: size.min(MAX_BLOCK_BYTES),
        total: bundle_bytes,
    }
}

/// Returns the bytes `start..end` of the bundle. Every block has other contents, so that a misplaced block shows.
pub fn bundle_slice(start: usize, end: usize) -> Vec<u8> {
    let byte = |offset: usize| (offset / 4).to_be_bytes()[4 + offset % 4];
    (start..end).map(byte).collect()
}

/// Encodes a response, piggybacked on the acknowledgement or, if the request has already been acknowledged, as a
/// separate message.
pub fn to_vec(
    request: &Packet,
    is_acknowledged: bool,
    response: &Response,
    load: Load,
) -> Option<Vec<u8>> {
    let mut packet = Packet::new();
    let message_type = if is_acknowledged {
        MessageType::NonConfirmable
    } else {
        MessageType::Acknowledgement
    };
    packet.header.set_type(message_type);
    packet.header.message_id = request.header.message_id;
    packet.set_token(request.get_token().to_vec());
    packet.header.code = MessageClass::Response(response_code(request, response));
    match response {
        Response::Text(text) => packet.payload = text.clone().into_bytes(),
        Response::Block {
            number,
            size,
            total,
        } => add_block(&mut packet, *number, *size, *total)?,
        Response::Refused => packet.add_option(CoapOption::MaxAge, vec![RETRY_AFTER_SECONDS]),
        Response::OtherService => {}
    }
    packet.add_option(LOAD_OPTION, load.to_vec());
    packet.to_bytes_unlimited().ok()
}

/// Encodes an empty acknowledgement; the response follows separately.
pub fn acknowledgement(request: &Packet) -> Option<Vec<u8>> {
    let mut packet = Packet::new();
    packet.header.set_type(MessageType::Acknowledgement);
    packet.header.code = MessageClass::Empty;
    packet.header.message_id = request.header.message_id;
    packet.to_bytes().ok()
}

fn add_block(packet: &mut Packet, number: usize, size: usize, total: usize) -> Option<()> {
    let start = number * size;
    if start >= total {
        packet.header.code = MessageClass::Response(ResponseType::BadOption);
        return Some(());
    }
    let end = (start + size).min(total);
    let block = BlockValue::new(number, end < total, size).ok()?;
    packet.add_option(CoapOption::ETag, total.to_be_bytes().to_vec());
    packet.add_option(CoapOption::Block2, Vec::<u8>::from(block));
    packet.payload = bundle_slice(start, end);
    Some(())
}

fn response_code(request: &Packet, response: &Response) -> ResponseType {
    match response {
        Response::Refused => return ResponseType::ServiceUnavailable,
        Response::OtherService => return ResponseType::ProxyingNotSupported,
        Response::Text(_) | Response::Block { .. } => {}
    }
    match request.header.code {
        MessageClass::Request(RequestType::Get | RequestType::Fetch) => ResponseType::Content,
        MessageClass::Request(RequestType::Post) => ResponseType::Created,
        MessageClass::Request(RequestType::Delete) => ResponseType::Deleted,
        _ => ResponseType::Changed,
    }
}

impl Load {
    fn to_vec(self) -> Vec<u8> {
        let byte = |count: usize| u8::try_from(count).unwrap_or(u8::MAX);
        vec![
            byte(self.busy),
            byte(self.slots),
            byte(self.queued),
            u8::from(self.draining),
        ]
    }
}
