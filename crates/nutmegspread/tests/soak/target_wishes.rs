//! Targets that leave or ask for a pause in their answers, while their registrations say `ready`.

use crate::broken_targets::{RawTarget, world_with};
use crate::soak_caller::{request_part_count, request_refusal, request_status};
use crate::soak_world::{SINGLE_SERVICE, SoakWorld};
use crate::{START_TIME, build_runtime};
use nutmegspread_platform::headers;
use nutmegspread_platform_standin::{
    LedgerArrival, SearcherFault, SearcherSettings, SearcherStandin, SearcherWish,
};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Time after which a target that leaves must get nothing more, as in the default settings.
const DRAIN_TIME: Duration = Duration::from_secs(3);
/// Time between two requests of a test.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);

/// Number of requests that `send_steadily` has sent in all tests.
static STEADY_REQUESTS: AtomicUsize = AtomicUsize::new(0);

/// Ids of the searchers of a service.
fn searchers_of(world: &SoakWorld, service: &str) -> Vec<String> {
    let searchers = world.searchers.iter();
    searchers
        .filter(|(_, searcher)| searcher.settings.service == service)
        .map(|(id, _)| id.clone())
        .collect()
}

/// Sends some requests and returns the searcher of a service that got most of them.
async fn busiest_searcher(world: &SoakWorld, service: &str, route: &'static str) -> String {
    let before = world.ledger.arrivals().len();
    let node = world.nodes[0].address;
    send_steadily(node, &[route], Duration::from_millis(300)).await;
    let arrivals = world.ledger.arrivals();
    let ids = searchers_of(world, service);
    let busiest = ids.into_iter().max_by_key(|id| {
        let of_searcher = arrivals[before..]
            .iter()
            .filter(|arrival| arrival.searcher == *id);
        of_searcher.count()
    });
    busiest.expect("the service has searchers")
}

/// Sends requests on the routes in turn for `time` and returns their statuses.
async fn send_steadily(node: IpAddr, routes: &[&'static str], time: Duration) -> Vec<u16> {
    let started = Instant::now();
    let mut requests = Vec::new();
    while started.elapsed() < time {
        let route = routes[requests.len() % routes.len()];
        let id = format!("steady{}", STEADY_REQUESTS.fetch_add(1, Ordering::Relaxed));
        requests.push(tokio::spawn(async move {
            request_status(node, route, &id).await
        }));
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    let mut statuses = Vec::new();
    for request in requests {
        statuses.push(request.await.expect("the caller task does not panic"));
    }
    statuses
}

/// Arrivals at a searcher in the span of time from `from` to `to` after the first one that counts.
fn arrivals_between(
    world: &SoakWorld,
    searcher: &str,
    counts: impl Fn(&LedgerArrival) -> bool,
    (from, to): (Duration, Duration),
) -> usize {
    let arrivals = world.ledger.arrivals();
    let mut at_searcher = arrivals
        .iter()
        .filter(|arrival| arrival.searcher == searcher);
    let first = at_searcher.clone().find(|arrival| counts(arrival));
    let first = first.expect("the node has heard the searcher").at;
    at_searcher
        .by_ref()
        .filter(|arrival| arrival.at >= first + from && arrival.at < first + to)
        .count()
}

const FOREVER: Duration = Duration::from_secs(3600);

#[test]
fn a_target_that_leaves_gets_no_request_after_the_drain_time() {
    for fault in [SearcherFault::None, SearcherFault::Shed] {
        build_runtime().block_on(async {
            let world = SoakWorld::start(1).await;
            tokio::time::sleep(START_TIME * 2).await;
            let leaving = busiest_searcher(&world, SINGLE_SERVICE, "fetch").await;
            world.searchers[&leaving]
                .searcher
                .set_wish(SearcherWish::Leave);
            world.searchers[&leaving].searcher.set_fault(fault);
            let node = world.nodes[0].address;
            let statuses = send_steadily(node, &["fetch", "order"], DRAIN_TIME * 3 / 2).await;
            let is_leaving = |arrival: &LedgerArrival| arrival.is_leaving;
            let late = arrivals_between(&world, &leaving, is_leaving, (DRAIN_TIME, FOREVER));
            let soon = Duration::from_millis(200);
            let preferred = arrivals_between(&world, &leaving, is_leaving, (soon, FOREVER));
            world.close(false).await;
            assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
            assert_eq!((late, preferred), (0, 0), "arrivals with {fault:?}");
        });
    }
}

#[test]
fn a_shard_whose_targets_have_all_left_is_a_missing_part() {
    build_runtime().block_on(async {
        let world = SoakWorld::start(1).await;
        tokio::time::sleep(START_TIME * 2).await;
        let leaving = searchers_of(&world, "left-0");
        for searcher in &leaving {
            world.searchers[searcher]
                .searcher
                .set_wish(SearcherWish::Leave);
        }
        let node = world.nodes[0].address;
        let statuses = send_steadily(node, &["gather"], DRAIN_TIME * 3 / 2).await;
        let parts = request_part_count(node, "last").await;
        let late: Vec<usize> = leaving
            .iter()
            .map(|searcher| {
                let is_leaving = |arrival: &LedgerArrival| arrival.is_leaving;
                arrivals_between(&world, searcher, is_leaving, (DRAIN_TIME, FOREVER))
            })
            .collect();
        world.close(false).await;
        assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
        assert_eq!(parts, 6, "parts and missing parts");
        assert_eq!(late, [0, 0]);
    });
}

#[test]
fn a_target_that_was_started_again_under_its_id_gets_requests() {
    build_runtime().block_on(async {
        let mut world = SoakWorld::start(1).await;
        tokio::time::sleep(START_TIME * 2).await;
        let single = searchers_of(&world, SINGLE_SERVICE);
        for searcher in &single[1..] {
            world.store.deregister(searcher);
        }
        world.searchers[&single[0]]
            .searcher
            .set_wish(SearcherWish::Leave);
        tokio::time::sleep(Duration::from_millis(500)).await;
        let node = world.nodes[0].address;
        let before = request_status(node, "fetch", "before").await;
        tokio::time::sleep(DRAIN_TIME).await;
        // The registration says `ready` once more.
        let old = &world.searchers[&single[0]];
        let mut settings = old.settings.clone();
        world.store.deregister(&single[0]);
        world
            .store
            .register(&single[0], &settings, old.proxy.address());
        tokio::time::sleep(Duration::from_millis(500)).await;
        let repeated = request_status(node, "fetch", "repeated").await;
        settings.started_ms += 1;
        let free_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let ledger = Arc::clone(&world.ledger);
        let started = SearcherStandin::start(&single[0], free_port, settings.clone(), ledger)
            .await
            .expect("a port for a searcher");
        world
            .store
            .register(&single[0], &settings, started.address());
        tokio::time::sleep(Duration::from_millis(500)).await;
        let after = request_status(node, "fetch", "after").await;
        started.close();
        world.searchers.clear();
        world.close(false).await;
        assert_eq!([before, repeated, after], [200, 503, 200]);
    });
}

#[test]
fn a_target_that_leaves_in_an_answer_that_is_cut_gets_nothing_after_the_drain_time() {
    build_runtime().block_on(async {
        let head = format!(
            "HTTP/1.1 200 OK\r\n{}: 1\r\ncontent-length: 9\r\n\r\nabc",
            headers::LEAVING
        );
        let mut target = RawTarget::start(&head, String::new()).await;
        let world = world_with(&target).await;
        let node = world.nodes[0].address;
        let first = request_status(node, "fetch", "first").await;
        tokio::time::sleep(DRAIN_TIME).await;
        while target.closed.try_recv().is_ok() {}
        let last = request_status(node, "fetch", "last").await;
        let late = target.closed.try_recv().is_ok();
        world.close(false).await;
        assert_eq!((first, last, late), (502, 503, false));
    });
}

/// Some requests may be on the wire when the target asks for the pause.
#[test]
fn a_target_that_asks_for_a_pause_gets_nothing_meanwhile() {
    build_runtime().block_on(async {
        const PAUSE: Duration = Duration::from_millis(1500);
        let world = SoakWorld::start(1).await;
        tokio::time::sleep(START_TIME * 2).await;
        let pausing = busiest_searcher(&world, SINGLE_SERVICE, "fetch").await;
        let searcher = &world.searchers[&pausing].searcher;
        searcher.set_wish(SearcherWish::Pause(PAUSE));
        let node = world.nodes[0].address;
        let mut statuses = send_steadily(node, &["fetch", "order"], PAUSE / 2).await;
        searcher.set_wish(SearcherWish::None);
        statuses.extend(send_steadily(node, &["fetch", "order"], PAUSE).await);
        for other in searchers_of(&world, SINGLE_SERVICE) {
            if other != pausing {
                world.store.deregister(&other);
            }
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
        statuses.push(request_status(node, "order", "later").await);
        let wants_pause = |arrival: &LedgerArrival| arrival.pause.is_some();
        let span = (
            Duration::from_millis(100),
            PAUSE - Duration::from_millis(20),
        );
        let meanwhile = arrivals_between(&world, &pausing, wants_pause, span);
        world.close(false).await;
        assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
        assert_eq!(meanwhile, 0, "arrivals during the pause");
    });
}

#[test]
fn requests_that_all_targets_would_take_too_late_are_refused_at_once() {
    build_runtime().block_on(async {
        const PAUSE: Duration = Duration::from_secs(4);
        let world = SoakWorld::start(1).await;
        tokio::time::sleep(START_TIME * 2).await;
        let single = searchers_of(&world, SINGLE_SERVICE);
        for searcher in &single {
            let wish = SearcherWish::Pause(PAUSE);
            world.searchers[searcher].searcher.set_wish(wish);
        }
        let node = world.nodes[0].address;
        let mut refusals = Vec::new();
        for number in 0..8 {
            let started = Instant::now();
            let refusal = request_refusal(node, "order", &format!("order{number}")).await;
            refusals.push((refusal.expect("a refusal"), started.elapsed()));
        }
        let arrivals = world.ledger.arrivals().len();
        world.close(false).await;
        for ((status, retry_after), taken) in &refusals {
            assert_eq!(*status, 503);
            assert!(*taken < Duration::from_millis(150), "{refusals:?}");
            let expected = PAUSE - Duration::from_secs(1)..PAUSE + Duration::from_secs(1);
            assert!(expected.contains(retry_after), "{refusals:?}");
        }
        assert!(
            arrivals <= single.len(),
            "{arrivals} requests reached the targets"
        );
        let times: std::collections::BTreeSet<Duration> = refusals
            .iter()
            .map(|((_, retry_after), _)| *retry_after)
            .collect();
        assert!(
            times.len() > 4,
            "the callers return at the same time: {refusals:?}"
        );
    });
}

/// Orders that wait for a connection to a target go to another one once the first asks for a pause.
#[test]
fn orders_that_wait_for_a_pausing_target_go_to_another_one() {
    const ORDERS: usize = 100;
    build_runtime().block_on(async {
        let mut world = SoakWorld::start(1).await;
        let single = searchers_of(&world, SINGLE_SERVICE);
        for id in &single[1..] {
            world.store.deregister(id);
        }
        tokio::time::sleep(START_TIME * 2).await;
        let node = world.nodes[0].address;
        let pausing = &world.searchers[&single[0]].searcher;
        pausing.set_fault(SearcherFault::Slow(100));
        let orders: Vec<_> = (0..ORDERS)
            .map(|number| {
                let id = format!("order{number}");
                tokio::spawn(async move { request_status(node, "order", &id).await })
            })
            .collect();
        tokio::time::sleep(Duration::from_millis(200)).await;
        pausing.set_wish(SearcherWish::Pause(Duration::from_secs(5)));
        let settings = SearcherSettings {
            service: SINGLE_SERVICE.to_owned(),
            ..Default::default()
        };
        world
            .add_searcher(&settings.service, &settings.domain)
            .await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        // An answer that asks for the pause.
        request_status(node, "order", "asks").await;
        let mut served = 0;
        for order in orders {
            served += usize::from(order.await.expect("the caller task does not panic") == 200);
        }
        let wants_pause = |arrival: &LedgerArrival| arrival.pause.is_some();
        let span = (Duration::from_millis(500), Duration::from_secs(5));
        let late = arrivals_between(&world, &single[0], wants_pause, span);
        world.close(false).await;
        assert!(late <= 2, "{late} arrivals during the pause");
        assert!(
            served > ORDERS / 3,
            "{served} of {ORDERS} orders were served"
        );
    });
}

/// Orders that wait for a connection while the drain time of their target ends.
#[test]
fn orders_that_wait_for_a_leaving_target_do_not_reach_it_after_the_drain_time() {
    build_runtime().block_on(async {
        let world = SoakWorld::start(1).await;
        let single = searchers_of(&world, SINGLE_SERVICE);
        for id in &single[1..] {
            world.store.deregister(id);
        }
        tokio::time::sleep(START_TIME * 2).await;
        let node = world.nodes[0].address;
        let leaving = &world.searchers[&single[0]].searcher;
        leaving.set_wish(SearcherWish::Leave);
        request_status(node, "order", "first").await;
        tokio::time::sleep(DRAIN_TIME - Duration::from_millis(1100)).await;
        leaving.set_fault(SearcherFault::Slow(300));
        let orders: Vec<_> = (0..80)
            .map(|number| {
                let id = format!("waiting{number}");
                tokio::spawn(async move { request_status(node, "order", &id).await })
            })
            .collect();
        for order in orders {
            order.await.expect("the caller task does not panic");
        }
        let is_leaving = |arrival: &LedgerArrival| arrival.is_leaving;
        let late = arrivals_between(&world, &single[0], is_leaving, (DRAIN_TIME, FOREVER));
        world.close(false).await;
        assert_eq!(late, 0, "arrivals after the drain time");
    });
}

#[test]
fn a_hedge_does_not_go_to_a_target_that_asked_for_a_pause() {
    build_runtime().block_on(async {
        const PAUSE: Duration = Duration::from_millis(2500);
        let world = SoakWorld::start(1).await;
        tokio::time::sleep(START_TIME * 2).await;
        let node = world.nodes[0].address;
        let pausing = busiest_searcher(&world, SINGLE_SERVICE, "fetch").await;
        let wish = SearcherWish::Pause(PAUSE);
        world.searchers[&pausing].searcher.set_wish(wish);
        send_steadily(node, &["fetch"], Duration::from_millis(200)).await;
        for id in searchers_of(&world, SINGLE_SERVICE) {
            let slow = SearcherFault::Slow(60);
            world.searchers[&id].searcher.set_fault(slow);
        }
        let statuses = send_steadily(node, &["fetch"], Duration::from_millis(1200)).await;
        let wants_pause = |arrival: &LedgerArrival| arrival.pause.is_some();
        let span = (Duration::from_millis(100), PAUSE);
        let meanwhile = arrivals_between(&world, &pausing, wants_pause, span);
        world.close(false).await;
        assert_eq!(meanwhile, 0, "arrivals during the pause of {statuses:?}");
    });
}

/// The other replicas take the work of one that pauses, and callers come back spread over time after
/// all of them paused.
#[test]
fn replicas_that_pause_in_turn_and_together_get_nothing_meanwhile() {
    build_runtime().block_on(async {
        const PAUSE: Duration = Duration::from_millis(600);
        let world = SoakWorld::start(2).await;
        tokio::time::sleep(START_TIME * 2).await;
        let node = world.nodes[0].address;
        let single = searchers_of(&world, SINGLE_SERVICE);
        let mut statuses = Vec::new();
        for id in &single {
            let searcher = &world.searchers[id].searcher;
            searcher.set_wish(SearcherWish::Pause(PAUSE));
            statuses.extend(send_steadily(node, &["fetch", "order"], PAUSE / 2).await);
            searcher.set_wish(SearcherWish::None);
            statuses.extend(send_steadily(node, &["fetch", "order"], PAUSE).await);
        }
        let served_in_turn = statuses.iter().filter(|status| **status == 200).count();
        for id in &single {
            let wish = SearcherWish::Pause(PAUSE);
            world.searchers[id].searcher.set_wish(wish);
        }
        send_steadily(node, &["order"], Duration::from_millis(100)).await;
        for id in &single {
            world.searchers[id].searcher.set_wish(SearcherWish::None);
        }
        tokio::time::sleep(PAUSE).await;
        let after = send_steadily(node, &["fetch", "order"], PAUSE).await;
        let arrivals = world.ledger.arrivals();
        let mut during = 0;
        for asked in arrivals.iter().filter(|arrival| arrival.pause.is_some()) {
            let span = asked.at + PAUSE / 4..asked.at + PAUSE;
            let of_searcher = arrivals
                .iter()
                .filter(|arrival| arrival.searcher == asked.searcher);
            during += of_searcher
                .filter(|arrival| span.contains(&arrival.at))
                .count();
        }
        world.close(false).await;
        assert_eq!(during, 0, "arrivals during pauses");
        assert_eq!(served_in_turn, statuses.len(), "{statuses:?}");
        assert!(after.iter().all(|status| *status == 200), "{after:?}");
    });
}
