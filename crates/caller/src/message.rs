//! CoAP messages from and to callers.

use {
    crate::error::{Error, ErrorCode, Result},
    coap_lite::{CoapOption, Header, MessageClass, MessageType, Packet, RequestType, ResponseType},
    skylarkflow_policy::exchange::{Body, Effect, Kind, Reply, Request, Token},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Length of a CoAP header without the token.
const HEADER_BYTES: usize = 4;

/// Mask of the token length in the first byte of a CoAP header.
const TOKEN_LENGTH_MASK: u8 = 0x0f;

/// A message from a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Message {
    /// A request.
    Request(Request),
    /// An acknowledgement or a reset of a message that the owner of the flow has sent.
    Acknowledgement {
        /// Acknowledgement or reset.
        kind: Kind,
        /// Message ID of the owner's message.
        message_id: u16,
    },
    /// An empty confirmable message (CoAP ping), to which the balancer responds with a reset.
    Ping {
        /// Message ID that the caller chose.
        message_id: u16,
    },
}

/// Decodes a message from a caller.
///
/// # Errors
///
/// Fails if the message is malformed, or is not a request, a ping, an acknowledgement or a reset.
pub fn from_slice(bytes: &[u8]) -> Result<Message> {
    let packet = Packet::from_bytes(bytes).map_err(|_| Error::from(ErrorCode::Message))?;
    let kind = message_kind(packet.header.get_type());
    let message_id = packet.header.message_id;
    match (packet.header.code, kind) {
        (MessageClass::Request(method), Kind::Confirmable | Kind::NonConfirmable) => {
            request(&packet, kind, method, bytes).map(Message::Request)
        }
        (MessageClass::Empty, Kind::Acknowledgement | Kind::Reset) => {
            Ok(Message::Acknowledgement { kind, message_id })
        }
        (MessageClass::Empty, Kind::Confirmable) => Ok(Message::Ping { message_id }),
        _ => Err(ErrorCode::Class.into()),
    }
}

/// Encodes a message to a caller.
///
/// # Errors
///
/// Fails if the upstream's response is malformed.
pub fn to_vec(reply: &Reply) -> Result<Vec<u8>> {
    let mut packet = match &reply.body {
        Body::Answer(bytes) => return response(reply, bytes),
        Body::NotRun { max_age } => service_unavailable(*max_age),
        Body::Unknown => response_with_code(ResponseType::GatewayTimeout),
        Body::Empty => empty_message(),
    };
    packet.header.set_type(message_type(reply.kind));
    packet.header.message_id = reply.message_id;
    if reply.body != Body::Empty {
        packet.set_token(reply.token.as_slice().to_vec());
    }
    packet
        .to_bytes_unlimited()
        .map_err(|_| ErrorCode::Encoding.into())
}

/// Replaces the header and token of an upstream's response by those for the caller. Options and payload are copied
/// unchanged; they were checked when the response arrived.
fn response(reply: &Reply, bytes: &[u8]) -> Result<Vec<u8>> {
    let malformed = Error::from(ErrorCode::Message);
    let &[first, code, _, _, ref rest @ ..] = bytes else {
        return Err(malformed);
    };
    let rest = rest.get(usize::from(first & TOKEN_LENGTH_MASK)..);
    let rest = rest.ok_or(malformed)?;
    let token = reply.token.as_slice();
    let mut header = Header::new();
    header.set_type(message_type(reply.kind));
    header.set_token_length(token.len() as u8);
    header.code = MessageClass::from(code);
    header.message_id = reply.message_id;
    let mut message = Vec::with_capacity(HEADER_BYTES + token.len() + rest.len());
    let written = header.to_raw().serialize_into(&mut message);
    written.map_err(|_| Error::from(ErrorCode::Encoding))?;
    message.extend_from_slice(token);
    message.extend_from_slice(rest);
    Ok(message)
}

fn request(packet: &Packet, kind: Kind, method: RequestType, bytes: &[u8]) -> Result<Request> {
    let token = Token::from_slice(packet.get_token()).ok_or(Error::from(ErrorCode::Token))?;
    Ok(Request {
        kind,
        message_id: packet.header.message_id,
        token,
        effect: method_effect(method),
        class: request_class(packet),
        bytes: bytes.to_vec(),
    })
}

fn method_effect(method: RequestType) -> Effect {
    match method {
        RequestType::Get
        | RequestType::Put
        | RequestType::Delete
        | RequestType::Fetch
        | RequestType::IPatch => Effect::Idempotent,
        RequestType::Post | RequestType::Patch | RequestType::UnKnown => Effect::NonIdempotent,
    }
}

/// Returns the class of a request: the hash of its method and the first segment of its path.
fn request_class(packet: &Packet) -> u64 {
    let method: u8 = packet.header.code.into();
    let segment = packet.get_first_option(CoapOption::UriPath);
    xxh3_64_with_seed(segment.map_or(&[], Vec::as_slice), u64::from(method))
}

fn response_with_code(code: ResponseType) -> Packet {
    let mut packet = Packet::new();
    packet.header.code = MessageClass::Response(code);
    packet
}

fn service_unavailable(max_age: u32) -> Packet {
    let mut packet = response_with_code(ResponseType::ServiceUnavailable);
    packet.add_option(CoapOption::MaxAge, encode_uint(max_age));
    packet
}

fn empty_message() -> Packet {
    let mut packet = Packet::new();
    packet.header.code = MessageClass::Empty;
    packet
}

/// Encodes an unsigned option value without leading zero bytes (RFC 7252, section 3.2).
fn encode_uint(value: u32) -> Vec<u8> {
    let bytes = value.to_be_bytes();
    let zeros = bytes.iter().take_while(|&&byte| byte == 0).count();
    bytes[zeros..].to_vec()
}

fn message_kind(message_type: MessageType) -> Kind {
    match message_type {
        MessageType::Confirmable => Kind::Confirmable,
        MessageType::NonConfirmable => Kind::NonConfirmable,
        MessageType::Acknowledgement => Kind::Acknowledgement,
        MessageType::Reset => Kind::Reset,
    }
}

fn message_type(kind: Kind) -> MessageType {
    match kind {
        Kind::Confirmable => MessageType::Confirmable,
        Kind::NonConfirmable => MessageType::NonConfirmable,
        Kind::Acknowledgement => MessageType::Acknowledgement,
        Kind::Reset => MessageType::Reset,
    }
}
