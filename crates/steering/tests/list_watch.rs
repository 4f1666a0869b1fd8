//! Reads of the store while it is slow or down, has compacted its history, or serves old data from a replica.

mod support;

use {
    skylarkflow_steering::{
        gossip::Role,
        list_watch::{Call, CallOutcome, ContentAction, ListWatch, PeerTables, Settings},
    },
    std::time::Duration,
    support::at,
};

fn list_watch() -> ListWatch {
    ListWatch::new(Settings::default(), 3)
}

fn page(revision: u64, next: Option<&str>) -> CallOutcome {
    CallOutcome::Page {
        position: at(revision),
        next: next.map(str::to_owned),
    }
}

/// Guards against the loss of changes that are made between two pages of a list: the watch begins at the revision of
/// the first page.
#[test]
fn the_watch_starts_at_the_revision_of_the_first_page() {
    let mut list_watch = list_watch();
    assert_eq!(
        list_watch.handle_outcome(Duration::ZERO, page(10, Some("m"))),
        ContentAction::Collect
    );
    assert_eq!(
        list_watch.handle_outcome(Duration::ZERO, page(14, None)),
        ContentAction::Replace
    );
    let (_, call) = list_watch.next_call();
    assert!(matches!(call, Call::Watch { revision: 10, .. }), "{call:?}");
}

/// Guards against a return to an older table because a lagging replica of the store responds.
#[test]
fn responses_older_than_the_known_revision_are_ignored() {
    let mut list_watch = list_watch();
    list_watch.handle_outcome(Duration::ZERO, page(10, None));
    let older = CallOutcome::Changes { position: at(8) };
    assert_eq!(
        list_watch.handle_outcome(Duration::ZERO, older),
        ContentAction::Ignore
    );
    assert_eq!(
        list_watch.handle_outcome(Duration::ZERO, page(9, None)),
        ContentAction::Ignore
    );
    assert_eq!(
        list_watch.handle_outcome(Duration::ZERO, page(11, None)),
        ContentAction::Replace
    );
}

/// Guards against a watch that continues from a revision whose history the store has compacted, and against a following
/// list that a lagging replica serves.
#[test]
fn compacted_history_leads_to_a_current_list() {
    let mut list_watch = list_watch();
    list_watch.handle_outcome(Duration::ZERO, page(10, None));
    list_watch.handle_outcome(Duration::from_secs(1), CallOutcome::Gone);
    let expected = Call::List {
        after: None,
        is_current: true,
    };
    assert_eq!(list_watch.next_call(), (Duration::from_secs(1), expected));
}

/// Guards against calls in quick succession while the store is down, and against a backoff that exceeds a third of the
/// time in which a change has to become active.
#[test]
fn failed_calls_are_retried_with_exponential_and_bounded_backoff() {
    let mut list_watch = list_watch();
    let mut backoffs = Vec::new();
    for _ in 0..10 {
        list_watch.handle_outcome(Duration::ZERO, CallOutcome::Failed);
        backoffs.push(list_watch.next_call().0);
    }
    assert!(backoffs[0] >= Duration::from_millis(75), "{backoffs:?}");
    assert!(
        backoffs
            .iter()
            .all(|&backoff| backoff <= Duration::from_millis(1_250))
    );
    assert!(backoffs[9] >= Duration::from_millis(750), "{backoffs:?}");
}

/// Guards against a fleet whose balancers start together and all request every page of a long list from the store: 300
/// balancers with 3,000 upstreams took 2.6 s to be ready.
#[test]
fn a_starting_balancer_takes_the_tables_of_a_peer_instead_of_a_long_list() {
    let timeout = Settings::default().peer_tables_timeout;
    let mut list_watch = list_watch();
    list_watch.handle_outcome(Duration::ZERO, page(10, Some("m")));
    assert_eq!(list_watch.next_call().0, timeout);
    let given = Duration::from_millis(300);
    assert!(list_watch.set_peer_tables(given, PeerTables::Received(at(12))));
    let (due, call) = list_watch.next_call();
    assert_eq!(due, given);
    assert!(matches!(call, Call::Watch { revision: 12, .. }), "{call:?}");
}

/// Guards against a start that waits for peers longer than the timeout, again at a later page, or although this
/// balancer has to list for its peers.
#[test]
fn a_long_list_continues_without_tables_of_a_peer() {
    let rest = Call::List {
        after: Some("m".to_owned()),
        is_current: false,
    };
    let mut waiting = list_watch();
    waiting.handle_outcome(Duration::ZERO, page(10, Some("m")));
    assert_eq!(
        waiting.next_call(),
        (Settings::default().peer_tables_timeout, rest.clone())
    );
    let later = Settings::default().peer_tables_timeout;
    waiting.handle_outcome(later, page(10, Some("t")));
    assert_eq!(waiting.next_call().0, later);
    let mut lister = list_watch();
    lister.handle_outcome(Duration::ZERO, page(10, Some("m")));
    lister.set_peer_tables(Duration::from_millis(50), PeerTables::Unavailable);
    assert_eq!(lister.next_call(), (Duration::from_millis(50), rest));
}

/// Guards against missed removals, which the tables of a peer no longer contain: tables that arrive after the first
/// list do not move the watch.
#[test]
fn tables_of_a_peer_do_not_replace_a_complete_list() {
    let mut list_watch = list_watch();
    list_watch.handle_outcome(Duration::ZERO, page(10, None));
    assert!(!list_watch.set_peer_tables(Duration::from_millis(300), PeerTables::Received(at(12))));
    let (_, call) = list_watch.next_call();
    assert!(matches!(call, Call::Watch { revision: 10, .. }), "{call:?}");
}

/// Guards against a zone that gets no changes for half a minute because the connection of its reader went silent while
/// a middlebox still answered the keep-alive probes (soak seeds 202, 204 and 206).
#[test]
fn the_watch_of_a_reader_has_a_short_timeout() {
    let mut list_watch = list_watch();
    list_watch.handle_outcome(Duration::ZERO, page(10, None));
    let watch_timeout = |list_watch: &ListWatch| match list_watch.next_call().1 {
        Call::Watch { timeout, .. } => timeout,
        call @ Call::List { .. } => panic!("{call:?}"),
    };
    assert_eq!(
        watch_timeout(&list_watch),
        Settings::default().watch_timeout
    );
    list_watch.set_role(Duration::ZERO, Role::Reader);
    // A call may take another 1.5 s, and a balancer has 4 s to catch up.
    assert!(watch_timeout(&list_watch) <= Duration::from_secs(2));
}

/// Guards against watches of a balancer whose reader reports every change, and against one that misses changes when it
/// has to watch again: the store keeps only 20 s of history.
#[test]
fn a_follower_makes_no_watches_and_continues_from_the_tables_of_its_peers() {
    let mut list_watch = list_watch();
    let now = Duration::from_secs(1);
    list_watch.set_role(now, Role::Follower);
    assert!(
        !list_watch.is_paused(),
        "the first list is made in any role"
    );
    list_watch.handle_outcome(now, page(10, None));
    assert!(list_watch.is_paused());
    assert_eq!(list_watch.next_call().0, Duration::MAX);
    list_watch.advance(at(25));
    list_watch.advance(at(24));
    let later = Duration::from_secs(90);
    list_watch.set_role(later, Role::Watcher);
    let (due, call) = list_watch.next_call();
    assert_eq!(due, later);
    assert!(matches!(call, Call::Watch { revision: 25, .. }), "{call:?}");
    let older = CallOutcome::Changes { position: at(24) };
    assert_eq!(
        list_watch.handle_outcome(later, older),
        ContentAction::Ignore
    );
}

/// Guards against a balancer that counts as cut off from the store for half a minute after a single failed call: only the
/// end of the next watch shows the contrary.
#[test]
fn the_watch_after_a_failure_has_a_short_timeout() {
    let mut list_watch = list_watch();
    let now = Duration::from_secs(1);
    list_watch.handle_outcome(now, page(10, None));
    list_watch.handle_outcome(now, CallOutcome::Failed);
    let (_, call) = list_watch.next_call();
    let short = Settings::default().reader_watch_timeout;
    assert!(
        matches!(call, Call::Watch { timeout, .. } if timeout == short),
        "{call:?}"
    );
}

/// Guards against a balancer that waits for the lagging replica which it watches, or as a follower for nothing, although
/// its peers know newer tables and do not supply them.
#[test]
fn a_request_for_the_current_state_replaces_a_watch() {
    let current_list = Call::List {
        after: None,
        is_current: true,
    };
    let now = Duration::from_secs(1);
    for role in [Role::Watcher, Role::Follower, Role::Reader] {
        let mut list_watch = list_watch();
        list_watch.set_role(now, role);
        list_watch.handle_outcome(now, page(10, None));
        list_watch.request_current_list(now);
        assert_eq!(list_watch.next_call(), (now, current_list.clone()));
        let action = list_watch.handle_outcome(now, page(12, None));
        assert_eq!(action, ContentAction::Replace);
        assert_eq!(list_watch.is_paused(), role == Role::Follower);
    }
}

/// Guards against a long list that begins anew each time, and never ends, and against a request that is lost because it
/// comes before the end of the first list.
#[test]
fn a_request_for_the_current_state_waits_for_a_list_in_progress() {
    let now = Duration::from_secs(1);
    let mut starting = list_watch();
    starting.handle_outcome(now, page(10, Some("m")));
    let before = starting.next_call();
    starting.request_current_list(now);
    assert_eq!(starting.next_call(), before);
    let action = starting.handle_outcome(now, page(10, None));
    assert_eq!(action, ContentAction::Replace);
    let current_list = Call::List {
        after: None,
        is_current: true,
    };
    assert_eq!(starting.next_call(), (now, current_list));
    starting.handle_outcome(now, page(12, Some("m")));
    let before = starting.next_call();
    starting.request_current_list(now);
    assert_eq!(starting.next_call(), before);
    starting.handle_outcome(now, page(12, None));
    let (_, call) = starting.next_call();
    assert!(matches!(call, Call::Watch { revision: 12, .. }), "{call:?}");
}

/// Guards against the same loss when the tables of a peer, which may be old as well, replace the first list.
#[test]
fn a_request_for_the_current_state_outlives_a_first_list_that_is_not_finished() {
    let now = Duration::from_secs(1);
    let mut list_watch = list_watch();
    list_watch.handle_outcome(now, page(10, Some("m")));
    list_watch.request_current_list(now);
    assert!(list_watch.set_peer_tables(now, PeerTables::Received(at(11))));
    let (_, call) = list_watch.next_call();
    let is_current_list = matches!(
        call,
        Call::List {
            after: None,
            is_current: true
        }
    );
    assert!(is_current_list, "{call:?}");
}
