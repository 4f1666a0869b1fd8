//! Which acknowledgements count as votes for the fence, the majority lease of a balancer.

use {
    skylarkflow_policy::{
        id,
        member::{
            Action, Body, Event, Identity, Membership, Message, Place, Settings, State, Update,
        },
        quorum::QuorumReport,
    },
    std::{net::SocketAddr, time::Duration},
};

fn place(number: u8) -> Place {
    Place {
        zone: "a".to_owned(),
        address: SocketAddr::from(([10, 0, 0, number], 7000)),
    }
}

fn update(name: &str, state: State) -> Update {
    Update {
        id: id::from_name(name),
        incarnation: 1,
        state,
        place: (state == State::Alive).then(|| place(2)),
    }
}

/// Returns whether a member of a zone of two has a majority after the other one has acknowledged a probe with these
/// updates.
fn has_majority_after_ack(updates: Vec<Update>) -> bool {
    let (me, peer) = (id::from_name("a1"), id::from_name("a2"));
    let identity = Identity {
        id: me,
        place: place(1),
        incarnation: 1,
    };
    let mut membership = Membership::new(Settings::default(), identity, 1);
    let mut actions = Vec::new();
    let mut now = Duration::from_secs(10);
    let message = |body, updates| Message {
        from: peer,
        incarnation: 1,
        body,
        updates,
    };
    let received = |message| Event::Received {
        from: place(2).address,
        message,
    };
    membership.handle(now, Event::Tick, &mut actions);
    let alive = vec![update("a2", State::Alive)];
    membership.handle(now, received(message(Body::Gossip, alive)), &mut actions);
    let sequence = loop {
        now += Duration::from_millis(100);
        actions.clear();
        membership.handle(now, Event::Tick, &mut actions);
        let probe = actions.iter().find_map(|action| match action {
            Action::Send { message, .. } => match message.body {
                Body::Ping(sequence, _) => Some(sequence),
                _ => None,
            },
            Action::Changed => None,
        });
        if let Some(sequence) = probe {
            break sequence;
        }
    };
    let ack = Body::Ack(sequence, QuorumReport::default(), vec![me, peer]);
    membership.handle(now, received(message(ack, updates)), &mut actions);
    membership.quorum().has_majority(now)
}

/// Guards against a member that dispatches requests for flows that its peers have taken over. A peer that has declared
/// this member dead may still acknowledge its probes.
#[test]
fn ack_of_a_peer_that_declared_this_member_dead_is_no_vote() {
    assert!(has_majority_after_ack(Vec::new()));
    assert!(!has_majority_after_ack(vec![update("a1", State::Dead)]));
}
