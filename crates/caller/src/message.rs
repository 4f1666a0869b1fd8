//! CoAP messages of callers.

use {
    crate::error::{Code, Error, Result},
    coap_lite::{CoapOption, MessageClass, MessageType, Packet, RequestType, ResponseType},
    skylarkflow_policy::{
        exchange::{Body, Effect, Kind, Reply, Request, Token},
        id,
    },
};

/// A message of a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Message {
    /// A request.
    Request(Request),
    /// An acknowledgement or a reset of the owner's message.
    Acknowledgement {
        /// Acknowledgement or reset.
        kind: Kind,
        /// Message ID of the owner's message.
        message_id: u16,
    },
    /// An empty confirmable message, which is answered with a reset (CoAP ping).
    Ping {
        /// Message ID that the caller chose.
        message_id: u16,
    },
}

/// Reads a message of a caller.
///
/// # Errors
///
/// Fails if the message is malformed or a response.
pub fn from_slice(bytes: &[u8]) -> Result<Message> {
    let packet = Packet::from_bytes(bytes).map_err(|_| Error::from(Code::Message))?;
    let kind = kind(packet.header.get_type());
    let message_id = packet.header.message_id;
    match (packet.header.code, kind) {
        (MessageClass::Request(method), Kind::Confirmable | Kind::NonConfirmable) => {
            request(&packet, kind, method, bytes).map(Message::Request)
        }
        (MessageClass::Empty, Kind::Acknowledgement | Kind::Reset) => {
            Ok(Message::Acknowledgement { kind, message_id })
        }
        (MessageClass::Empty, Kind::Confirmable) => Ok(Message::Ping { message_id }),
        _ => Err(Code::Class.into()),
    }
}

/// Writes a message to a caller.
///
/// # Errors
///
/// Fails if the upstream's answer is malformed.
pub fn to_vec(reply: &Reply) -> Result<Vec<u8>> {
    let mut packet = packet(&reply.body)?;
    packet.header.set_type(message_type(reply.kind));
    packet.header.message_id = reply.message_id;
    if reply.body != Body::Empty {
        packet.set_token(reply.token.as_slice().to_vec());
    }
    packet
        .to_bytes_unlimited()
        .map_err(|_| Code::Encoding.into())
}

fn request(packet: &Packet, kind: Kind, method: RequestType, bytes: &[u8]) -> Result<Request> {
    let token = Token::from_slice(packet.get_token()).ok_or(Error::from(Code::Token))?;
    Ok(Request {
        kind,
        message_id: packet.header.message_id,
        token,
        effect: effect(method),
        class: class(packet),
        bytes: bytes.to_vec(),
    })
}

fn effect(method: RequestType) -> Effect {
    match method {
        RequestType::Get
        | RequestType::Put
        | RequestType::Delete
        | RequestType::Fetch
        | RequestType::IPatch => Effect::Idempotent,
        RequestType::Post | RequestType::Patch | RequestType::UnKnown => Effect::NonIdempotent,
    }
}

fn class(packet: &Packet) -> u64 {
    let method = packet.header.code.to_string();
    let segment = packet.get_first_option(CoapOption::UriPath);
    let segment = segment.map(|bytes| String::from_utf8_lossy(bytes));
    id::from_name(&format!("{method} {}", segment.unwrap_or_default()))
}

fn packet(body: &Body) -> Result<Packet> {
    let mut packet = Packet::new();
    match body {
        Body::Answer(bytes) => {
            return Packet::from_bytes(bytes).map_err(|_| Error::from(Code::Message));
        }
        Body::NotRun { max_age } => {
            packet.header.code = MessageClass::Response(ResponseType::ServiceUnavailable);
            packet.add_option(CoapOption::MaxAge, minimal(*max_age));
        }
        Body::Unknown => {
            packet.header.code = MessageClass::Response(ResponseType::GatewayTimeout);
        }
        Body::Empty => packet.header.code = MessageClass::Empty,
    }
    Ok(packet)
}

/// Encodes an unsigned option value without leading zero bytes, as RFC 7252 asks.
fn minimal(value: u32) -> Vec<u8> {
    let bytes = value.to_be_bytes();
    let zeros = bytes.iter().take_while(|&&byte| byte == 0).count();
    bytes[zeros..].to_vec()
}

fn kind(message_type: MessageType) -> Kind {
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
