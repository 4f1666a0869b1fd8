//! Guards against changes that are hidden for good because a list has pages of different ages: replicas of the store may
//! serve each page, so a later page can be older than the first one. A draining upstream got new flows until it had gone.
//!
//! Each case lists the upstreams in two or three pages at every combination of revisions, and then applies the changes that
//! the following watch delivers.

mod support;

use {
    skylarkflow_steering::{
        directory::{self, Directory, EntryRevision},
        list_watch::{Call, CallOutcome, ContentAction, ListWatch, Settings},
        position::Revision,
        upstream::{Record, State, UpstreamId},
    },
    std::{collections::BTreeMap, time::Duration},
    support::{at, ms, record},
};

/// Changes by revision, counted from 1: the upstream and its new state, or `None` for its removal.
const HISTORY: [(UpstreamId, Option<State>); 12] = [
    (1, Some(State::Ready)),
    (4, Some(State::Ready)),
    (7, Some(State::Ready)),
    (5, Some(State::Ready)),
    (7, Some(State::Draining)),
    (1, Some(State::Draining)),
    (2, Some(State::Ready)),
    (4, None),
    (8, Some(State::Ready)),
    (1, None),
    (5, Some(State::Draining)),
    (8, None),
];

const LATEST: Revision = HISTORY.len() as Revision;

/// Identifiers on the pages of a list, in two and in three pages.
const PAGES: [&[std::ops::Range<UpstreamId>]; 2] = [&[0..5, 5..10], &[0..3, 3..6, 6..10]];

type Contents = BTreeMap<UpstreamId, (Revision, Record)>;

fn entry(id: UpstreamId, state: State, revision: Revision) -> Record {
    Record {
        state,
        heartbeat: revision,
        ..record(id, "a")
    }
}

/// Returns the entries of the store at a revision.
fn contents(revision: Revision) -> Contents {
    let mut contents = Contents::new();
    for (revision, (id, state)) in (1..=revision).zip(HISTORY) {
        match state {
            Some(state) => contents.insert(id, (revision, entry(id, state, revision))),
            None => contents.remove(&id),
        };
    }
    contents
}

fn states<'a>(records: impl Iterator<Item = &'a Record>) -> BTreeMap<UpstreamId, State> {
    records.map(|record| (record.id, record.state)).collect()
}

fn states_at(revision: Revision) -> BTreeMap<UpstreamId, State> {
    states(contents(revision).values().map(|(_, record)| record))
}

/// Lists the entries with the pages read at these revisions.
fn list(page_revisions: &[Revision]) -> (ListWatch, Vec<(Revision, Record)>) {
    let pages = PAGES[page_revisions.len() - 2];
    let mut list_watch = ListWatch::new(Settings::default(), 3);
    let mut records = Vec::new();
    for (index, (page, &revision)) in pages.iter().zip(page_revisions).enumerate() {
        records.extend(
            contents(revision)
                .range(page.clone())
                .map(|(_, entry)| entry.clone()),
        );
        let is_last = index + 1 == pages.len();
        let outcome = CallOutcome::Page {
            position: at(revision),
            next: (!is_last).then(|| format!("i-{}", page.end)),
        };
        let action = list_watch.handle_outcome(Duration::ZERO, outcome);
        let expected = if is_last {
            ContentAction::Replace
        } else {
            ContentAction::Collect
        };
        assert_eq!(action, expected);
    }
    (list_watch, records)
}

/// Applies the changes after the revision of the next watch; an event of a removal has the entry as it was before.
fn watch(list_watch: &ListWatch, directory: &mut Directory) {
    let (_, Call::Watch { revision, .. }) = list_watch.next_call() else {
        panic!("a watch follows the list");
    };
    let changes = (1..).zip(HISTORY).skip(revision as usize);
    for (changed_at, (id, state)) in changes {
        let entry_revision = |revision| EntryRevision {
            revision,
            store_position: at(LATEST),
        };
        match state {
            Some(state) => {
                let record = entry(id, state, changed_at);
                directory.insert(ms(1), entry_revision(changed_at), record);
            }
            None => {
                let (before, _) = contents(changed_at - 1)[&id].clone();
                directory.remove(ms(1), entry_revision(before), id);
            }
        }
    }
}

fn directory_after_list(page_revisions: &[Revision]) -> Directory {
    let (list_watch, records) = list(page_revisions);
    let mut directory = Directory::new(directory::Settings::default());
    let position = list_watch.position().expect("a complete list");
    directory.replace(ms(0), position, records);
    watch(&list_watch, &mut directory);
    directory
}

fn page_combinations() -> Vec<Vec<Revision>> {
    let pairs = (1..=LATEST).flat_map(|first| (1..=LATEST).map(move |second| vec![first, second]));
    let pairs: Vec<Vec<Revision>> = pairs.collect();
    let triples = pairs
        .iter()
        .flat_map(|pair| (1..=LATEST).map(|third| [&pair[..], &[third]].concat()));
    let triples: Vec<Vec<Revision>> = triples.collect();
    [pairs, triples].concat()
}

#[test]
fn a_list_with_pages_of_any_age_and_its_watch_show_every_change() {
    for pages in page_combinations() {
        let directory = directory_after_list(&pages);
        let registered = states(directory.registered());
        assert_eq!(registered, states_at(LATEST), "pages read at {pages:?}");
    }
}

/// A balancer that has listed such pages tells its peers what they lack, whatever they know.
#[test]
fn peers_get_every_change_from_a_balancer_whose_list_had_pages_of_any_age() {
    for pages in page_combinations() {
        let source = directory_after_list(&pages);
        for known in 1..LATEST {
            let mut peer = Directory::new(directory::Settings::default());
            peer.replace(ms(0), at(known), contents(known).into_values().collect());
            peer.apply(ms(2), at(LATEST), source.update_after(at(known)));
            let registered = states(peer.registered());
            let case = format!("pages read at {pages:?}, peer at {known}");
            assert_eq!(registered, states_at(LATEST), "{case}");
        }
    }
}

/// The tables of a balancer that has listed such pages, and not watched yet, lead another one to the same.
#[test]
fn a_balancer_with_tables_from_pages_of_any_age_gets_and_passes_on_every_change() {
    for pages in page_combinations() {
        let (list_watch, records) = list(&pages);
        let position = list_watch.position().expect("a complete list");
        let mut source = Directory::new(directory::Settings::default());
        source.replace(ms(0), position, records);
        let mut second = Directory::new(directory::Settings::default());
        second.apply(ms(1), position, source.update_after(at(0)));
        watch(&list_watch, &mut second);
        assert_eq!(states(second.registered()), states_at(LATEST), "{pages:?}");
        for known in 1..LATEST {
            let mut third = Directory::new(directory::Settings::default());
            third.replace(ms(0), at(known), contents(known).into_values().collect());
            third.apply(ms(2), at(LATEST), second.update_after(at(known)));
            let case = format!("pages read at {pages:?}, peer at {known}");
            assert_eq!(states(third.registered()), states_at(LATEST), "{case}");
        }
    }
}

/// Guards against lists that are repeated although they are only old: a watch delivers what they lack.
#[test]
fn a_list_that_is_merely_old_is_used() {
    for revision in 1..=LATEST {
        let (list_watch, _) = list(&[revision, revision]);
        let (_, call) = list_watch.next_call();
        let is_next_watch =
            matches!(call, Call::Watch { revision: watched, .. } if watched == revision);
        assert!(is_next_watch, "{call:?}");
    }
}
