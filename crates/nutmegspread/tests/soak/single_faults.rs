//! One fault at a time, on real processes.

use crate::soak_caller::{self, ask_path};
use crate::soak_world::{
    ADDRESS_PORT, METRICS_PORT, PEER_PORT, READY_PORT, SINGLE_SERVICE, SoakWorld,
    TARGET_CONNECTIONS,
};
use crate::{START_TIME, runtime};
use nutmegspread_platform::{READY_PATH, RESOLVE_PATH};
use nutmegspread_platform_standin::{SearcherFault, SearcherSettings, StoreFault};
use std::time::Duration;

/// One request of each route to a node; the statuses that came back.
async fn statuses(node: std::net::IpAddr, number: usize) -> Vec<u16> {
    let mut statuses = Vec::new();
    for route in ["gather", "fetch", "order", "absent"] {
        let id = format!("single{number}{route}");
        statuses.push(soak_caller::call_once(node, route, &id).await);
    }
    statuses
}

/// Nodes share two watchers, so calls to the store do not grow with the nodes or with time.
#[test]
fn calls_to_the_store_stay_few_at_rest() {
    runtime().block_on(async {
        let world = SoakWorld::start(60_001, 9).await;
        tokio::time::sleep(START_TIME * 2).await;
        let before = world.store.calls();
        tokio::time::sleep(Duration::from_secs(4)).await;
        let calls = world.store.calls() - before;
        world.close(false).await;
        // Two watchers hold three watches of 25 s each; five calls a second is the bound.
        assert!(calls <= 20, "{calls} calls in 4 s");
    });
}

/// Nodes that start together find out who watches before any of them does.
#[test]
fn calls_to_the_store_stay_few_at_a_common_start() {
    runtime().block_on(async {
        let world = SoakWorld::start(60_005, 9).await;
        tokio::time::sleep(START_TIME).await;
        let (calls, stale) = (world.store.calls(), world.store.stale_calls());
        world.close(false).await;
        // Two watchers hold three watches each and enter the roster, with one change seen by each.
        assert!(calls <= 12, "{calls} calls at the full price");
        assert!((3..=27).contains(&stale), "{stale} first lists");
    });
}

/// Targets that come in quick succession are read together.
#[test]
fn calls_to_the_store_stay_few_while_many_targets_come() {
    runtime().block_on(async {
        let world = SoakWorld::start(60_006, 3).await;
        tokio::time::sleep(START_TIME).await;
        let before = world.store.calls();
        let searcher = SearcherSettings {
            service: "later".to_owned(),
            ..Default::default()
        };
        let address = std::net::SocketAddr::from(([127, 0, 0, 1], 9));
        for number in 0..90 {
            world
                .store
                .register(&format!("later-{number}"), &searcher, address);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let calls = world.store.calls() - before;
        world.close(false).await;
        // Two watchers with seven calls a second each, for 1.8 s and what the machine adds to it.
        assert!(calls <= 40, "{calls} calls for 90 targets");
    });
}

/// A node that knows no configuration says so at once; it never denies a route.
#[test]
fn a_node_without_the_store_refuses_and_serves_once_the_store_is_back() {
    runtime().block_on(async {
        let mut world = SoakWorld::start(60_002, 1).await;
        world.signal(0, rustix::process::Signal::KILL);
        while world.ended(0).is_none() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        world.store.set_fault(StoreFault::Busy);
        world.spawn(0);
        tokio::time::sleep(START_TIME).await;
        let node = world.nodes[0].address;
        let refused = statuses(node, 1).await;
        world.store.set_fault(StoreFault::None);
        tokio::time::sleep(START_TIME).await;
        let served = statuses(node, 2).await;
        world.store.set_fault(StoreFault::Silent);
        tokio::time::sleep(START_TIME).await;
        let without = statuses(node, 3).await;
        world.close(false).await;
        assert_eq!(refused, [503, 503, 503, 503]);
        assert_eq!(served, [200, 200, 200, 404]);
        assert_eq!(
            without,
            [200, 200, 200, 404],
            "what is known stays in force"
        );
    });
}

/// From its line on the start, a node takes signals. The seeds 115, 211 and 311 sent some before
/// the program ran, which ends any process; the soak now waits for that line.
#[test]
fn a_node_that_has_just_started_takes_signals() {
    runtime().block_on(async {
        let mut world = SoakWorld::start(60_004, 1).await;
        for round in 0..3 {
            world.wait_for_start(0).await;
            world.signal(0, rustix::process::Signal::HUP);
            world.signal(0, rustix::process::Signal::TERM);
            let status = loop {
                tokio::time::sleep(Duration::from_millis(20)).await;
                if let Some(status) = world.ended(0) {
                    break status;
                }
            };
            assert!(status.success(), "round {round}: {status}");
            world.spawn(0);
        }
        world.close(false).await;
    });
}

/// A change of the configuration reaches nodes that do not watch the store themselves.
#[test]
fn followers_take_changes_over_within_a_second() {
    runtime().block_on(async {
        let mut world = SoakWorld::start(60_003, 6).await;
        tokio::time::sleep(START_TIME).await;
        let mut parts = Vec::new();
        for (round, set) in [1, 0, 1].into_iter().enumerate() {
            world.configure(set);
            tokio::time::sleep(Duration::from_secs(1)).await;
            for node in &world.nodes {
                let id = format!("round{round}x{}", node.address);
                parts.push(soak_caller::parts_once(node.address, &id).await);
            }
        }
        world.close(false).await;
        let expected = [8, 6, 8]
            .into_iter()
            .flat_map(|parts| vec![parts; 6])
            .collect::<Vec<_>>();
        assert_eq!(parts, expected);
    });
}

/// Callers reach the address listener, so it must not tell what the node knows.
#[test]
fn each_listener_answers_its_own_questions_only() {
    runtime().block_on(async {
        let world = SoakWorld::start(60_007, 1).await;
        tokio::time::sleep(START_TIME).await;
        let node = world.nodes[0].address;
        let paths = [
            READY_PATH,
            RESOLVE_PATH,
            "/metrics",
            "/dump",
            "/objects/config/0",
        ];
        let mut answers = Vec::new();
        for port in [READY_PORT, ADDRESS_PORT, METRICS_PORT, PEER_PORT] {
            let mut statuses = Vec::new();
            for path in paths {
                statuses.push(ask_path(node, port, path).await);
            }
            answers.push(statuses);
        }
        world.close(false).await;
        let expected = [
            [200, 404, 404, 404, 404],
            [404, 200, 404, 404, 404],
            [404, 404, 200, 200, 404],
            [404, 404, 404, 404, 200],
        ];
        assert_eq!(answers, expected, "by listener, then by path");
    });
}

/// Orders that wait for a connection to a target go elsewhere once the target drains.
#[test]
fn orders_that_wait_for_a_draining_target_go_to_another_one() {
    const ORDERS: usize = 100;
    runtime().block_on(async {
        let mut world = SoakWorld::start(60_008, 1).await;
        let of_single = |world: &SoakWorld| -> Vec<String> {
            let searchers = world.searchers.iter();
            let single = searchers.filter(|(_, one)| one.settings.service == SINGLE_SERVICE);
            single.map(|(id, _)| id.clone()).collect()
        };
        let singles = of_single(&world);
        for id in &singles[1..] {
            world.store.deregister(id);
        }
        let hung = &world.searchers[&singles[0]];
        hung.searcher.set_fault(SearcherFault::Hang);
        tokio::time::sleep(START_TIME * 2).await;
        let node = world.nodes[0].address;
        let orders: Vec<_> = (0..ORDERS)
            .map(|number| {
                tokio::spawn(async move {
                    soak_caller::call_once(node, "order", &format!("order{number}")).await
                })
            })
            .collect();
        tokio::time::sleep(Duration::from_millis(200)).await;
        world.add_searcher(SINGLE_SERVICE, "domain-a").await;
        tokio::time::sleep(Duration::from_millis(200)).await;
        let leaving = &world.searchers[&singles[0]];
        let (settings, way) = (leaving.settings.clone(), leaving.way.address());
        world.store.drain(&singles[0], &settings, way);
        let mut served = 0;
        for order in orders {
            served += usize::from(order.await.expect("a caller ran to its end") == 200);
        }
        world.close(false).await;
        // Orders that went out on one of the target's connections must not be sent again.
        let waiting = ORDERS - TARGET_CONNECTIONS as usize;
        assert!(
            served >= waiting,
            "{served} of {waiting} orders that waited were served"
        );
    });
}

/// Plays a rollout of the single service over three nodes while callers ask steadily; the state
/// that the store holds in the end, the runs at the new version and all runs of the service.
async fn roll_out(seed: u64, fault: SearcherFault) -> (Option<String>, usize, usize) {
    let mut world = SoakWorld::start(seed, 3).await;
    tokio::time::sleep(START_TIME * 2).await;
    let mut fresh = Vec::new();
    for domain in ["domain-a", "domain-b"] {
        let id = world.add_version(SINGLE_SERVICE, domain, "v2").await;
        world.searchers[&id].searcher.set_fault(fault);
        fresh.push(id);
    }
    world
        .store
        .roll_out(SINGLE_SERVICE, "v2", Duration::from_secs(8));
    let nodes: Vec<_> = world.nodes.iter().map(|node| node.address).collect();
    for number in 0..800_usize {
        let node = nodes[number % nodes.len()];
        tokio::spawn(async move {
            soak_caller::call_once(node, "fetch", &format!("fetch{number}")).await
        });
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let recorded = world.store.rollout_state(SINGLE_SERVICE);
    let state = recorded.map(|(state, version)| format!("{state} {version}"));
    let runs = world.ledger.runs();
    let of_single = |searcher: &String| {
        let found = world.searchers.get(searcher);
        found.is_some_and(|found| found.settings.service == SINGLE_SERVICE)
    };
    let all = runs.iter().filter(|run| of_single(&run.searcher)).count();
    let new = runs
        .iter()
        .filter(|run| fresh.contains(&run.searcher))
        .count();
    world.close(false).await;
    (state, new, all)
}

#[test]
fn a_good_version_is_stated_as_completed_and_takes_all_traffic() {
    runtime().block_on(async {
        let (state, new, all) = roll_out(60_009, SearcherFault::None).await;
        let expected = Some("completed v2".to_owned());
        assert_eq!(state, expected, "{new} of {all} runs at the new version");
        assert!(
            new * 5 > all,
            "traffic moved, but only {new} of {all} runs did"
        );
    });
}

#[test]
fn a_bad_version_is_rolled_back_with_little_exposed() {
    runtime().block_on(async {
        let (state, new, all) = roll_out(60_010, SearcherFault::Fail).await;
        let expected = Some("rolled_back v2".to_owned());
        assert_eq!(state, expected, "{new} of {all} runs at the new version");
        assert!(
            new as f64 <= 0.1 * all as f64 + 50.0,
            "{new} of {all} runs were exposed"
        );
        assert!(new > 0, "the version was never tried");
    });
}
