//! The control thread: takes what arrives over links.

use {
    crate::{
        context::Context,
        event,
        metrics::{Counter, Metrics},
        peers,
        perform::Scratch,
        settings::Limits,
    },
    crossbeam::channel::{self, Receiver, RecvTimeoutError},
    skylarkflow_peer::{
        datagram::{self, Datagram},
        link::{self, Links},
    },
    std::{sync::Arc, time::Duration},
    tokio::runtime,
};

/// Time after which the thread looks whether it is to stop.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Creates the links of a balancer, whose events wait in a bounded queue.
pub fn links(
    limits: &Limits,
    runtime: &runtime::Handle,
    metrics: &Arc<Metrics>,
) -> (Links, Receiver<link::Event>) {
    let (sender, receiver) = channel::bounded(limits.control_queue);
    let metrics = Arc::clone(metrics);
    let handler = move |event| {
        if sender.try_send(event).is_err() {
            metrics.count(Counter::ControlDropped);
        }
    };
    let settings = link::Settings {
        message_bytes: limits.link_bytes,
        queue: limits.link_queue,
        accepted: limits.links,
        ..link::Settings::default()
    };
    let links = Links::new(runtime.clone(), settings, Arc::new(handler));
    (links, receiver)
}

/// Takes what arrives over links until the balancer stops.
pub fn run(context: &Context, events: &Receiver<link::Event>) {
    let mut scratch = Scratch::default();
    while !context.is_stopped() {
        match events.recv_timeout(POLL_INTERVAL) {
            Ok(event) => accept(context, &mut scratch, event),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}

fn accept(context: &Context, scratch: &mut Scratch, event: link::Event) {
    match event {
        link::Event::Opened(address) => {
            let text = format_args!("with {address}");
            context.journal.record(&event::LINK_OPENED, text);
        }
        link::Event::Lost(address, reason) => {
            let now = context.clock.now();
            let text = format_args!("with {address}: {reason}");
            context.journal.record_limited(now, &event::LINK_LOST, text);
        }
        link::Event::Received(bytes) => receive(context, scratch, &bytes),
    }
}

fn receive(context: &Context, scratch: &mut Scratch, bytes: &[u8]) {
    match datagram::from_slice(bytes) {
        Ok(Datagram::Control(control)) => peers::accept_control(context, scratch, control),
        Ok(Datagram::Transit(_)) => {
            let text = format_args!("a caller's datagram over a link");
            context.drop_datagram(Counter::BadPeer, &event::BAD_PEER_DATAGRAM, text);
        }
        Err(error) => {
            let text = format_args!("over a link: {error}");
            context.drop_datagram(Counter::BadPeer, &event::BAD_PEER_DATAGRAM, text);
        }
    }
}
