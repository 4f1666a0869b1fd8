//! Detection of refusals by the size of responses.
//!
//! Guards against two errors. If refusals are not recognized, upstreams refuse most of a burst. If ordinary short
//! responses are taken for refusals, flows are reset while there is room.

mod support;

use {
    rand::{Rng, SeedableRng, rngs::SmallRng},
    skylarkflow_steering::{
        refusal::{Detector, Settings},
        tracker::Response,
    },
    std::time::Duration,
    support::{ms, service},
};

fn response(bytes: u32, latency: Duration) -> Response {
    Response {
        service: service(),
        latency,
        bytes,
    }
}

/// Returns how many responses of a sequence count as refusals.
fn refusals(detector: &mut Detector, responses: impl Iterator<Item = Response>) -> usize {
    responses
        .filter(|response| detector.is_refusal(response))
        .count()
}

/// Returns usual responses with the sizes and latencies of a calm pool.
fn usual(count: usize, rng: &mut SmallRng) -> Vec<Response> {
    let draw = |_| response(rng.random_range(700..=1_200), ms(rng.random_range(12..30)));
    (0..count).map(draw).collect()
}

#[test]
fn refusals_are_recognized_among_usual_responses() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut detector = Detector::new(Settings::default());
    assert_eq!(refusals(&mut detector, usual(200, &mut rng).into_iter()), 0);
    let refused = (0..100).map(|index| response(188 + index % 2, ms(50)));
    assert_eq!(refusals(&mut detector, refused), 100);
}

/// A balancer that starts in a burst sees refusals before it sees a usual response.
#[test]
fn refusals_are_recognized_after_a_start_in_a_burst() {
    let mut rng = SmallRng::seed_from_u64(2);
    let mut detector = Detector::new(Settings::default());
    let mut draw = |_| {
        if rng.random_bool(0.5) {
            response(188, ms(rng.random_range(45..150)))
        } else {
            response(900, ms(rng.random_range(20..90)))
        }
    };
    let first: Vec<Response> = (0..100).map(&mut draw).collect();
    let later: Vec<Response> = (0..1_000).map(&mut draw).collect();
    refusals(&mut detector, first.into_iter());
    let short = later.iter().filter(|response| response.bytes < 200).count();
    assert_eq!(refusals(&mut detector, later.into_iter()), short);
}

/// All responses of a pool wait in a long burst, so a refusal may come earlier than any other response.
#[test]
fn refusals_are_recognized_while_all_responses_wait() {
    let mut rng = SmallRng::seed_from_u64(3);
    let mut detector = Detector::new(Settings::default());
    refusals(&mut detector, usual(500, &mut rng).into_iter());
    // Twenty seconds at the rate of a balancer in a burst.
    let burst: Vec<Response> = (0..6_000)
        .map(|index| match index % 20 {
            0 => response(189, ms(48)),
            _ => response(rng.random_range(700..=1_200), ms(rng.random_range(60..100))),
        })
        .collect();
    assert_eq!(refusals(&mut detector, burst.into_iter()), 300);
}

#[test]
fn a_route_with_short_usual_responses_has_no_refusals() {
    let mut detector = Detector::new(Settings::default());
    let responses = (0..1_000).map(|index| response(180 + index % 12, ms(15)));
    assert_eq!(refusals(&mut detector, responses), 0);
    // The refusals of such a route look like its other responses.
    let refused = (0..100).map(|_| response(188, ms(50)));
    assert_eq!(refusals(&mut detector, refused), 0);
}

#[test]
fn a_route_with_responses_of_many_sizes_has_no_refusals() {
    let mut rng = SmallRng::seed_from_u64(4);
    let mut detector = Detector::new(Settings::default());
    let responses: Vec<Response> = (0..2_000)
        .map(|_| response(rng.random_range(150..1_200), ms(15)))
        .collect();
    // Until a few sizes were seen, two of them can look like a refusal and a usual response.
    assert!(refusals(&mut detector, responses.into_iter()) <= 5);
}

/// Such as the answer that an object does not exist.
#[test]
fn ordinary_short_responses_are_no_refusals() {
    for share in [0.05, 0.3, 0.7] {
        let mut rng = SmallRng::seed_from_u64(5);
        let mut detector = Detector::new(Settings::default());
        let mut draw = || {
            let latency = ms(rng.random_range(12..30));
            let bytes = if rng.random_bool(share) { 150 } else { 1_000 };
            response(bytes, latency)
        };
        let first: Vec<Response> = (0..50).map(|_| draw()).collect();
        let later: Vec<Response> = (0..2_000).map(|_| draw()).collect();
        refusals(&mut detector, first.into_iter());
        assert_eq!(refusals(&mut detector, later.into_iter()), 0, "{share}");
    }
}
