//! Messages of the balancers themselves, in CBOR, as datagrams or over links.

use {
    crate::error::{Code, Error, Result},
    serde::{Deserialize, Serialize},
    skylarkflow_policy::{handover, id::VmId, node},
};

/// A message with its sender.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "(VmId, Message)", into = "(VmId, Message)")]
pub struct Control {
    /// Balancer that sent it.
    pub from: VmId,
    /// The message.
    pub message: Message,
}

/// A message of a balancer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
    /// Moves flows.
    #[serde(rename = "h")]
    Handover(handover::Message),
    /// Spreads members and configuration.
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
    /// Reads a message.
    ///
    /// # Errors
    ///
    /// Fails if the message is malformed.
    pub fn from_slice(bytes: &[u8]) -> Result<Control> {
        ciborium::from_reader(bytes).map_err(|_| Error::from(Code::Cbor))
    }

    /// Appends the message to `bytes`.
    ///
    /// # Errors
    ///
    /// Fails if the encoder does.
    pub fn write(&self, bytes: &mut Vec<u8>) -> Result<()> {
        ciborium::into_writer(self, bytes).map_err(|_| Error::from(Code::Encoding))
    }
}
