//! Datagrams of upstreams.

use {
    crate::{
        context::Context,
        event,
        metrics::Counter,
        perform::{self, Scratch},
    },
    skylarkflow_policy::balancer::Event,
    skylarkflow_upstream::message::{self, Message},
    std::net::SocketAddr,
};

/// Handles a datagram of an upstream.
pub fn accept(context: &Context, scratch: &mut Scratch, source: SocketAddr, bytes: &[u8]) {
    context.metrics.count(Counter::UpstreamDatagrams);
    match message::from_slice(bytes) {
        Ok(Message::Response(response, load)) => {
            if let Some(load) = load {
                context.reports.note(context, source, load.draining);
            }
            perform::handle(context, scratch, Event::Response { source, response });
        }
        // The response follows, and the deadline of the dispatch ends the wait.
        Ok(Message::Empty { .. }) => {}
        Err(error) => {
            let text = format_args!("from {source}: {error}");
            context.drop_datagram(Counter::BadUpstream, &event::BAD_UPSTREAM_MESSAGE, text);
        }
    }
}
