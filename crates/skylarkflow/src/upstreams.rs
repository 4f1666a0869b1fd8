//! Handles datagrams of upstreams.

use {
    crate::{
        actions::{self, ScratchBuffers},
        context::Context,
        event,
        metrics::Counter,
    },
    skylarkflow_policy::balancer::Event,
    skylarkflow_upstream::message::{self, Message},
    std::net::SocketAddr,
};

/// Handles a datagram of an upstream.
pub fn handle_datagram(
    context: &Context,
    scratch: &mut ScratchBuffers,
    source: SocketAddr,
    bytes: &[u8],
) {
    context.metrics.count(Counter::UpstreamDatagrams);
    match message::from_slice(bytes) {
        Ok(Message::Response(response, load)) => {
            if let Some(load) = load {
                context
                    .upstream_reports
                    .record(context, source, load.draining);
            }
            actions::handle_event(context, scratch, Event::Response { source, response });
        }
        // An empty message needs no action: the response arrives separately, or the deadline of the dispatch passes.
        Ok(Message::Empty { .. }) => {}
        Err(error) => {
            let text = format_args!("from {source}: {error}");
            context.count_and_log(Counter::BadUpstream, &event::BAD_UPSTREAM_MESSAGE, text);
        }
    }
}
