//! CoAP messages to and from upstreams.

use {
    crate::error::{Error, ErrorCode, Result},
    coap_lite::{CoapOption, MessageClass, MessageType, Packet, ResponseType},
    skylarkflow_policy::exchange::{Kind, Outcome, Response, Token},
    std::time::Duration,
};

/// Elective option with the Unix time in milliseconds after which an upstream must not run a request.
pub const DEADLINE_OPTION: CoapOption = CoapOption::Unknown(65_000);

/// Elective option with the load of an upstream in four bytes: slots in use, slots, queue length, draining (0 or 1).
pub const LOAD_OPTION: CoapOption = CoapOption::Unknown(65_004);

/// Header fields and options that a balancer sets in a caller's request when it dispatches it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Dispatch<'a> {
    /// Name of the service, sent as Uri-Host.
    pub service: &'a str,
    /// Token of the dispatch.
    pub token: Token,
    /// Message ID of the dispatch.
    pub message_id: u16,
    /// Unix time after which the upstream must not run the request.
    pub deadline: Duration,
}

/// Encodes a caller's request as a message to an upstream.
///
/// # Errors
///
/// Fails if the caller's message is malformed.
pub fn to_vec(dispatch: &Dispatch<'_>, request: &[u8]) -> Result<Vec<u8>> {
    let mut packet = Packet::from_bytes(request).map_err(|_| Error::from(ErrorCode::Message))?;
    packet.header.set_type(MessageType::Confirmable);
    packet.header.message_id = dispatch.message_id;
    packet.set_token(dispatch.token.as_slice().to_vec());
    set_option(
        &mut packet,
        CoapOption::UriHost,
        dispatch.service.as_bytes(),
    );
    let deadline = dispatch.deadline.as_millis() as u64;
    set_option(&mut packet, DEADLINE_OPTION, &deadline.to_be_bytes());
    packet
        .to_bytes_unlimited()
        .map_err(|_| ErrorCode::Encoding.into())
}

/// Encodes an empty message that cancels a dispatch.
///
/// # Errors
///
/// Fails if the message cannot be encoded.
pub fn cancel_to_vec(message_id: u16) -> Result<Vec<u8>> {
    empty_message(MessageType::Reset, message_id)
}

/// Encodes an empty message that acknowledges a confirmable message of an upstream.
///
/// # Errors
///
/// Fails if the message cannot be encoded.
pub fn acknowledgement_to_vec(message_id: u16) -> Result<Vec<u8>> {
    empty_message(MessageType::Acknowledgement, message_id)
}

fn empty_message(message_type: MessageType, message_id: u16) -> Result<Vec<u8>> {
    let mut packet = Packet::new();
    packet.header.code = MessageClass::Empty;
    packet.header.set_type(message_type);
    packet.header.message_id = message_id;
    packet.to_bytes().map_err(|_| ErrorCode::Encoding.into())
}

/// Load that an upstream reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Load {
    /// Slots in use.
    pub busy: u8,
    /// Total slots.
    pub slots: u8,
    /// Requests that wait for a slot.
    pub queued: u8,
    /// Whether the upstream is draining.
    pub draining: bool,
}

/// A message from an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Message {
    /// A response, with the load if the upstream reports it.
    Response(Response, Option<Load>),
    /// An empty message: an acknowledgement whose response follows separately, or a reset.
    Empty {
        /// Acknowledgement or reset.
        kind: Kind,
        /// Message ID of the dispatch.
        message_id: u16,
    },
}

/// Decodes a message from an upstream.
///
/// # Errors
///
/// Fails if the message is malformed or a request.
pub fn from_slice(bytes: &[u8]) -> Result<Message> {
    let packet = Packet::from_bytes(bytes).map_err(|_| Error::from(ErrorCode::Message))?;
    let kind = message_kind(packet.header.get_type());
    if packet.header.code == MessageClass::Empty {
        let message_id = packet.header.message_id;
        return Ok(Message::Empty { kind, message_id });
    }
    let response = response(&packet, kind, bytes)?;
    Ok(Message::Response(response, load(&packet)))
}

fn response(packet: &Packet, kind: Kind, bytes: &[u8]) -> Result<Response> {
    let token = Token::from_slice(packet.get_token()).ok_or(Error::from(ErrorCode::Token))?;
    Ok(Response {
        kind,
        message_id: packet.header.message_id,
        token,
        outcome: outcome(packet)?,
        bytes: bytes.to_vec(),
    })
}

fn outcome(packet: &Packet) -> Result<Outcome> {
    let MessageClass::Response(code) = packet.header.code else {
        return Err(ErrorCode::Class.into());
    };
    if code != ResponseType::ServiceUnavailable {
        return Ok(Outcome::Answered);
    }
    let draining = load(packet).is_some_and(|load| load.draining);
    Ok(if draining {
        Outcome::Draining
    } else {
        Outcome::Refused
    })
}

fn load(packet: &Packet) -> Option<Load> {
    let &[busy, slots, queued, draining, ..] = packet.get_first_option(LOAD_OPTION)?.as_slice()
    else {
        return None;
    };
    Some(Load {
        busy,
        slots,
        queued,
        draining: draining != 0,
    })
}

fn set_option(packet: &mut Packet, option: CoapOption, value: &[u8]) {
    packet.clear_option(option);
    packet.add_option(option, value.to_vec());
}

fn message_kind(message_type: MessageType) -> Kind {
    match message_type {
        MessageType::Confirmable => Kind::Confirmable,
        MessageType::NonConfirmable => Kind::NonConfirmable,
        MessageType::Acknowledgement => Kind::Acknowledgement,
        MessageType::Reset => Kind::Reset,
    }
}
