//! How the store is read while it is slow, down, forgetful or served by an old copy.

use {
    skylarkflow_steering::list_watch::{
        Answer, Call, ContentAction, ListWatch, PeerTables, Settings,
    },
    std::time::Duration,
};

fn list_watch() -> ListWatch {
    ListWatch::new(Settings::default(), 3)
}

fn page(revision: u64, next: Option<&str>) -> Answer {
    Answer::Page {
        revision,
        next: next.map(str::to_owned),
    }
}

/// Guards against changes that are lost between the pages of a list: the watch begins at the first page.
#[test]
fn a_list_of_several_pages_is_followed_from_its_first_page() {
    let mut list_watch = list_watch();
    assert_eq!(
        list_watch.handle_answer(Duration::ZERO, page(10, Some("m"))),
        ContentAction::Collect
    );
    assert_eq!(
        list_watch.handle_answer(Duration::ZERO, page(14, None)),
        ContentAction::Replace
    );
    let (_, call) = list_watch.next_call();
    assert!(matches!(call, Call::Watch { revision: 10, .. }), "{call:?}");
}

/// Guards against a table that reverts because the store answers from an older copy.
#[test]
fn answers_that_are_older_than_what_is_known_are_ignored() {
    let mut list_watch = list_watch();
    list_watch.handle_answer(Duration::ZERO, page(10, None));
    let older = Answer::Changes { revision: 8 };
    assert_eq!(
        list_watch.handle_answer(Duration::ZERO, older),
        ContentAction::Ignore
    );
    assert_eq!(
        list_watch.handle_answer(Duration::ZERO, page(9, None)),
        ContentAction::Ignore
    );
    assert_eq!(
        list_watch.handle_answer(Duration::ZERO, page(11, None)),
        ContentAction::Replace
    );
}

/// Guards against a watch that goes on from a revision whose history the store has dropped, and against a list from a
/// copy after that.
#[test]
fn dropped_history_leads_to_a_current_list() {
    let mut list_watch = list_watch();
    list_watch.handle_answer(Duration::ZERO, page(10, None));
    list_watch.handle_answer(Duration::from_secs(1), Answer::Gone);
    let expected = Call::List {
        after: None,
        is_current: true,
    };
    assert_eq!(list_watch.next_call(), (Duration::from_secs(1), expected));
}

/// Guards against calls in quick succession while the store is down, and against a wait that exceeds a third of the
/// time in which a change has to be in force.
#[test]
fn failures_are_retried_with_a_growing_and_bounded_pause() {
    let mut list_watch = list_watch();
    let mut pauses = Vec::new();
    for _ in 0..10 {
        list_watch.handle_answer(Duration::ZERO, Answer::Failed);
        pauses.push(list_watch.next_call().0);
    }
    assert!(pauses[0] >= Duration::from_millis(75), "{pauses:?}");
    assert!(
        pauses
            .iter()
            .all(|&pause| pause <= Duration::from_millis(1_250))
    );
    assert!(pauses[9] >= Duration::from_millis(750), "{pauses:?}");
}

/// Guards against a fleet that starts at once and asks the store for every page of a long list at the same moment: 300
/// balancers before 3,000 upstreams took 2.6 s to be ready.
#[test]
fn a_starting_balancer_takes_the_tables_of_a_peer_instead_of_a_long_list() {
    let hold = Settings::default().peer_tables_timeout;
    let mut list_watch = list_watch();
    list_watch.handle_answer(Duration::ZERO, page(10, Some("m")));
    assert_eq!(list_watch.next_call().0, hold);
    let given = Duration::from_millis(300);
    assert!(list_watch.set_peer_tables(given, PeerTables::Received(12)));
    let (due, call) = list_watch.next_call();
    assert_eq!(due, given);
    assert!(matches!(call, Call::Watch { revision: 12, .. }), "{call:?}");
}

/// Guards against a start that waits for peers which do not answer, or for longer than one page.
#[test]
fn a_long_list_goes_on_without_peers() {
    let rest = Call::List {
        after: Some("m".to_owned()),
        is_current: false,
    };
    let mut held = list_watch();
    held.handle_answer(Duration::ZERO, page(10, Some("m")));
    assert_eq!(
        held.next_call(),
        (Settings::default().peer_tables_timeout, rest.clone())
    );
    let later = Settings::default().peer_tables_timeout;
    held.handle_answer(later, page(10, Some("t")));
    assert_eq!(held.next_call().0, later);
    let mut lister = list_watch();
    lister.handle_answer(Duration::ZERO, page(10, Some("m")));
    lister.set_peer_tables(Duration::from_millis(50), PeerTables::Unavailable);
    assert_eq!(lister.next_call(), (Duration::from_millis(50), rest));
}

/// Guards against removals that a peer has forgotten: tables that arrive after the first list do not move the watch.
#[test]
fn tables_of_a_peer_do_not_replace_a_list_that_is_known() {
    let mut list_watch = list_watch();
    list_watch.handle_answer(Duration::ZERO, page(10, None));
    assert!(!list_watch.set_peer_tables(Duration::from_millis(300), PeerTables::Received(12)));
    let (_, call) = list_watch.next_call();
    assert!(matches!(call, Call::Watch { revision: 10, .. }), "{call:?}");
}

/// Guards against a zone that hears nothing for half a minute: its reader's connection went silent, while a middlebox
/// still answered the keep-alive probes (soak seeds 202, 204 and 206).
#[test]
fn the_watch_of_a_reader_is_short() {
    let mut list_watch = list_watch();
    list_watch.handle_answer(Duration::ZERO, page(10, None));
    let watch_timeout = |list_watch: &ListWatch| match list_watch.next_call().1 {
        Call::Watch { timeout, .. } => timeout,
        call @ Call::List { .. } => panic!("{call:?}"),
    };
    assert_eq!(
        watch_timeout(&list_watch),
        Settings::default().watch_timeout
    );
    list_watch.set_reader(true);
    // The time of a call, 1.5 s, comes on top; a balancer has 4 s to catch up.
    assert!(watch_timeout(&list_watch) <= Duration::from_secs(2));
}
