//! Faults that tests plant in a balancer, to show that a check finds them; absent without the feature `planted`.

/// A planted fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Packets of open flows go to any known upstream.
    Cookie,
    /// Only the first configuration comes into force.
    Configuration,
    /// Stopping upstreams take new flows.
    Drain,
    /// Packets of open flows are answered by a reset before the first table.
    EarlyReset,
    /// A stopping balancer remains ready.
    Readiness,
    /// A stopping balancer does not exit.
    Stop,
}

impl Fault {
    /// Faults by the names that tests give.
    pub const NAMES: [(&str, Fault); 6] = [
        ("cookie", Fault::Cookie),
        ("configuration", Fault::Configuration),
        ("drain", Fault::Drain),
        ("early-reset", Fault::EarlyReset),
        ("readiness", Fault::Readiness),
        ("stop", Fault::Stop),
    ];
}

#[cfg(feature = "planted")]
mod switch {
    use {super::Fault, std::sync::OnceLock};

    static INJECTED: OnceLock<Fault> = OnceLock::new();

    /// Plants the fault of a name for the rest of the process; returns whether there is one.
    pub fn inject(name: &str) -> bool {
        let fault = Fault::NAMES.iter().find(|(known, _)| *known == name);
        fault.is_some_and(|(_, fault)| INJECTED.set(*fault).is_ok())
    }

    /// Returns whether a fault is planted.
    pub fn is_injected(fault: Fault) -> bool {
        INJECTED.get() == Some(&fault)
    }
}

#[cfg(feature = "planted")]
pub use switch::{inject, is_injected};

/// Returns whether a fault is planted.
#[cfg(not(feature = "planted"))]
pub const fn is_injected(_: Fault) -> bool {
    false
}
