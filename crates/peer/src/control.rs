//! Control messages between balancers in CBOR, sent as datagrams or over links.

use {
    crate::error::{Error, ErrorCode, Result},
    serde::{Deserialize, Serialize},
    skylarkflow_policy::{handover, id::VmId, node},
};

/// A control message with its sender.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "(VmId, Message)", into = "(VmId, Message)")]
pub struct Control {
    /// Balancer that sent it.
    pub from: VmId,
    /// The message.
    pub message: Message,
}

/// Content of a control message.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
    /// Hands flows over to another balancer.
    #[serde(rename = "h")]
    Handover(handover::Message),
    /// Spreads membership and configuration.
    #[serde(rename = "n")]
    Node(node::Message),
}

impl From<(VmId, Message)> for Control {
    fn from((from, message): (VmId, Message)) -> Control {
        Control { from, message }
    }
}

impl From<Control> for (VmId, Message) {
    fn from(control: Control) -> (VmId, Message) {
        (control.from, control.message)
    }
}

impl Control {
    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// Fails if the message is malformed.
    pub fn from_slice(bytes: &[u8]) -> Result<Control> {
        ciborium::from_reader(bytes).map_err(|_| Error::from(ErrorCode::Cbor))
    }

    /// Encodes the message and appends it to `bytes`.
    ///
    /// # Errors
    ///
    /// Fails if the message cannot be encoded.
    pub fn write(&self, bytes: &mut Vec<u8>) -> Result<()> {
        ciborium::into_writer(self, bytes).map_err(|_| Error::from(ErrorCode::Encoding))
    }
}
