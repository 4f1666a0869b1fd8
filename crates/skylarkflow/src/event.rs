//! The numbered events of the log; [the catalogue](../../../docs/events.md) explains each of them.

use log::Level;

/// A kind of log line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Event {
    /// Number, which is never reused for another event.
    pub number: u16,
    /// Severity.
    pub level: Level,
    /// Target in the terms of the `log` crate; the settings can set a level for each target.
    pub target: &'static str,
    /// Description in the catalogue.
    pub meaning: &'static str,
}

macro_rules! events {
    ($($number:literal $name:ident $level:ident $target:literal $meaning:literal;)*) => {
        $(
            #[doc = $meaning]
            pub const $name: Event = Event {
                number: $number,
                level: Level::$level,
                target: $target,
                meaning: $meaning,
            };
        )*

        /// Every event, ordered by number.
        pub const ALL: &[Event] = &[$($name),*];
    };
}

events! {
    1001 STARTED Info "process" "The balancer has bound its sockets.";
    1002 DRAIN_STARTED Info "drain" "The drain of this balancer has started.";
    1003 DRAINED Info "drain"
        "The drain is complete: no request is in flight and flows are handed over or no balancer is left to take them.";
    1004 DRAIN_TIMED_OUT Warn "drain"
        "The drain took longer than its limit; the balancer stops with flows or requests left.";
    1005 STOPPED Info "process" "The balancer has stopped.";
    1006 LOG_LINES_DROPPED Warn "process" "Log lines were dropped because the queue of lines was full.";
    1101 STEERING_STARTED Info "process" "A steering balancer has bound its sockets.";
    1102 STEERING_READY Info "process" "A steering balancer has a complete table and is ready.";
    1103 STEERING_DRAINING Info "process"
        "A steering balancer is draining: it reports that it is not ready, and forwards packets until no more arrive.";
    1104 STEERING_STOPPED Info "process" "A steering balancer has stopped.";
    1105 SETTINGS_RELOADED Info "process" "Changed settings were applied.";
    1106 SETTINGS_REJECTED Warn "process" "Changed settings are invalid and were not applied.";
    1107 PANICKED Error "process" "A thread or task met an unexpected error; the process ends with exit code 101.";
    2001 FLOW_OPENED Info "flow" "A flow was assigned the default upstream of its pool's table.";
    2002 FLOW_EXCEPTION Info "flow" "A flow was assigned an upstream other than the default.";
    2003 FLOW_REPLACED Info "flow"
        "An established flow was assigned another upstream, because its own is down or removed.";
    2004 FLOW_CLOSED Debug "flow"
        "A flow was closed because it was idle for too long, or evicted to make room for another one.";
    2005 FLOW_CLAIMED Info "flow" "A flow was claimed from its previous owner.";
    2006 FLOW_GRANTED Info "flow" "A flow was handed over to another balancer.";
    2007 FLOW_QUARANTINED Info "flow"
        "Non-idempotent requests of a flow are answered with an unknown outcome until the quarantine ends.";
    2008 HANDOVER_COMPLETED Info "flow" "Another balancer has handed over every flow that this one now owns.";
    2101 FLOW_PLACED Info "steer" "The opening packet of a flow was sent to an upstream.";
    2102 FLOW_RESET Info "steer"
        "A caller was sent a reset: its opening packet did not reach an upstream, or its route was removed.";
    2103 PACKET_DROPPED Info "steer"
        "A packet was dropped because no table is active or its cookie identifies no known upstream.";
    2104 PACKET_MALFORMED Warn "steer" "A datagram was dropped because it is not a valid packet of a caller.";
    2111 ADMISSION_LIMITED Warn "steer"
        "Upstreams of a pool refuse requests or respond late; some of its new flows are reset until they have room.";
    2112 ADMISSION_RESTORED Info "steer" "All new flows of a pool are admitted again.";
    3001 REQUEST_REFUSED Info "request" "A request was answered with 5.03: it was not run.";
    3002 REQUEST_RETRIED Info "request" "A request is dispatched again after an attempt that did not run it.";
    3003 REQUEST_UNKNOWN Info "request" "A request was answered with 5.04: its outcome is unknown.";
    3004 RESPONSE_UNMATCHED Info "request" "A message of an upstream matched no dispatch and was dropped.";
    4001 BAD_FABRIC_DATAGRAM Warn "datagram" "A datagram of the fabric was malformed and dropped.";
    4002 BAD_CALLER_MESSAGE Warn "datagram" "A caller's message was malformed and dropped.";
    4003 BAD_PEER_DATAGRAM Warn "datagram" "A datagram of a balancer was malformed and dropped.";
    4004 BAD_UPSTREAM_MESSAGE Warn "datagram" "A message of an upstream was malformed and dropped.";
    4005 UNKNOWN_SERVICE Warn "datagram" "A datagram was dropped: no route has its address.";
    4006 NO_OWNER Warn "datagram" "A datagram was dropped: no balancer serves its flow.";
    4007 HOP_LIMIT Warn "datagram" "A datagram was dropped: too many balancers have forwarded it.";
    4008 TABLE_FULL Warn "datagram" "A datagram was dropped: a bounded table or queue is full.";
    4009 NOT_OWNER Info "datagram" "A datagram was dropped: its flow belongs to another balancer.";
    4010 SEND_FAILED Warn "datagram" "A datagram could not be sent.";
    4011 OVERSIZED Warn "datagram" "A datagram was longer than the limit and dropped.";
    4012 UNKNOWN_UPSTREAM Info "datagram" "A datagram was dropped: the upstream of its flow is not in the tables yet.";
    5001 CONFIGURATION_ADOPTED Info "config" "A new generation of a route or a pool became active.";
    5002 CONFIGURATION_OLDER Warn "config"
        "The store holds an older generation of an object than the active one; it was ignored.";
    5003 PLATFORM_FAILED Warn "config" "A call to the platform failed; the last configuration stays active.";
    5004 PLATFORM_RECOVERED Info "config" "The platform answers again.";
    5005 OBJECT_MALFORMED Warn "config" "An object of the store is malformed and was ignored.";
    5006 UPSTREAM_DRAINING Info "config" "An upstream is draining and gets no new flows.";
    5007 CONFIGURATION_REMOVED Info "config" "A route or a pool is no longer active.";
    5101 TABLE_ADOPTED Info "table" "A version of the configuration became active at a steering balancer.";
    5102 TABLE_OLDER Warn "table"
        "A steering balancer ignored a version of the configuration that is older than the active one.";
    5103 STORE_LOST Warn "store" "Calls to the store fail; the last tables stay active.";
    5104 STORE_RECOVERED Info "store" "The store answers again.";
    5105 STEERING_OBJECT_MALFORMED Warn "store"
        "A malformed object of the store, the configuration or an upstream's entry, was ignored.";
    5106 UPSTREAM_REGISTERED Info "upstream" "An upstream registered itself or changed its entry.";
    5107 UPSTREAM_REMOVED Info "upstream" "The entry of an upstream was removed from the store.";
    5108 UPSTREAM_DOWN Info "upstream" "An upstream does not answer and temporarily gets no new flows.";
    5109 UPSTREAM_UP Info "upstream" "An upstream gets new flows again.";
    5110 UPSTREAM_ENDED Warn "upstream"
        "A probe found that an upstream has ended or is unreachable; its flows are reset.";
    5111 UPSTREAM_RESTORED Info "upstream" "An upstream that had ended or was unreachable answers again.";
    5112 PROBES_UNAVAILABLE Error "upstream"
        "Probes cannot be sent, so flows of upstreams that have ended wait for their callers' deadlines.";
    5113 ROLE_CHANGED Info "store" "This balancer changes how it learns of changes in the store: as reader, watcher or follower.";
    5114 PEER_TABLES_FETCHED Info "table" "Newer tables were fetched from another balancer.";
    5115 PEER_TABLES_FAILED Warn "table" "Another balancer has newer tables, but fetching them failed.";
    5116 STORE_RESPONSE_OUTDATED Warn "store"
        "A response of the store was discarded: it is older than what is known, or its watch began before a restore.";
    5117 STORE_RESTORED Warn "store"
        "The store was restored from an older copy: its epoch has risen, and its revisions count anew from the copy.";
    5118 STORE_RESPONSE Debug "store" "The store has responded to a list or a watch.";
    5119 UPSTREAMS_CONTRADICTED Warn "upstream"
        "A restored store lacks entries of upstreams, or has removed ones; what was known before holds for a few seconds.";
    5120 STORE_READ_REQUESTED Info "store" "The current state of the store is read at the start, or as peers have newer tables and none supplies them.";
    5121 EVACUATION_STARTED Warn "evacuation" "The upstreams of a zone get no new flows, as an entry of the store requests it.";
    5122 EVACUATION_ENDED Info "evacuation" "The entry that evacuated a zone was removed; its upstreams get new flows again.";
    5123 EVACUATION_UNCONFIRMED Warn "evacuation"
        "A restored store lacks the entry of an evacuated zone; the zone stays evacuated until the entry is written and removed.";
    5124 EVACUATION_CONFIRMED Info "evacuation" "A restored store has the entry of an evacuated zone.";
    5125 EVACUATION_ENDING Info "evacuation" "An entry that evacuates a zone is marked as being removed; it stays in force until it is gone.";
    5126 EVACUATION_IGNORED Warn "evacuation" "Zones are not evacuated because too many entries request it.";
    5141 UPSTREAM_SLOW Info "upstream"
        "An upstream responds clearly slower than the others of its routes and gets fewer new flows.";
    5142 UPSTREAM_USUAL Info "upstream"
        "An upstream is no longer known to be slow and gets its usual share of new flows.";
    5131 WARMUP_BUDGET_USED Info "upstream"
        "A pool has only cold upstreams left and this balancer has used its budgets for them; callers are reset.";
    6001 MEMBER_CHANGED Info "member" "A balancer joined, left or changed its state.";
    6002 FENCE_LOST Warn "member"
        "This balancer does not hear from a majority of its zone and must not dispatch non-idempotent requests.";
    6003 FENCE_HELD Info "member"
        "This balancer hears from a majority of its zone and may dispatch non-idempotent requests.";
    6004 LINK_OPENED Info "link" "A link to or from a balancer was opened.";
    6005 LINK_LOST Warn "link" "A link to a balancer was lost or could not be opened.";
    6006 CONTROL_DROPPED Warn "link" "A control message was dropped: a queue is full or the balancer is unknown.";
    6007 ADDRESS_HELD Info "config" "An address that another service used before is held and gets no new work yet.";
    6008 VIEW_ADOPTED Info "member" "The view of the balancers that own flows changed.";
    7001 ADMIN_REFUSED Warn "admin" "A request to the administration API carried no valid token.";
    7002 ADMIN_DRAIN Info "admin" "An operator started the drain of this balancer over the administration API.";
}

impl Event {
    /// Returns the number as written in the log, such as `E1001`.
    pub fn code(&self) -> String {
        format!("E{:04}", self.number)
    }
}
