//! Faults that tests inject into a balancer, to show that a check detects them.
//!
//! Without the feature `planted` no fault can be injected.

/// A fault that can be injected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Packets of open flows are forwarded to an arbitrary known upstream.
    Cookie,
    /// Every configuration after the first one is ignored.
    Configuration,
    /// Draining upstreams receive new flows.
    Drain,
    /// Packets of open flows are reset while the balancer has no table yet.
    EarlyReset,
    /// The thread that handles packets panics at each packet.
    Panic,
    /// A draining balancer still reports that it is ready.
    Readiness,
    /// A draining balancer does not exit.
    Stop,
}

impl Fault {
    /// Faults by the names that tests use.
    pub const NAMES: [(&str, Fault); 7] = [
        ("cookie", Fault::Cookie),
        ("configuration", Fault::Configuration),
        ("drain", Fault::Drain),
        ("early-reset", Fault::EarlyReset),
        ("panic", Fault::Panic),
        ("readiness", Fault::Readiness),
        ("stop", Fault::Stop),
    ];
}

#[cfg(feature = "planted")]
mod switch {
    use {super::Fault, std::sync::OnceLock};

    static INJECTED: OnceLock<Fault> = OnceLock::new();

    /// Injects the fault with the given name for the rest of the process.
    ///
    /// Returns `false` if the name is unknown or a fault was injected before.
    pub fn inject(name: &str) -> bool {
        let fault = Fault::NAMES.iter().find(|(known, _)| *known == name);
        fault.is_some_and(|(_, fault)| INJECTED.set(*fault).is_ok())
    }

    /// Returns whether a fault is injected.
    pub fn is_injected(fault: Fault) -> bool {
        INJECTED.get() == Some(&fault)
    }
}

#[cfg(feature = "planted")]
pub use switch::{inject, is_injected};

/// Returns whether a fault is injected; never, as the feature `planted` is off.
#[cfg(not(feature = "planted"))]
pub const fn is_injected(_: Fault) -> bool {
    false
}
