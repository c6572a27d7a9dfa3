//! Work of the control threads of a large fleet while a failure domain is cut off.

use crate::sim_network::{SimPlace, StoreFailure};
use crate::sim_settings::SimSettings;
use crate::sim_world::SimWorld;
use crate::simulate_after;
use std::rc::Rc;
use std::time::Duration;

const NODES: u64 = 300;
/// Time after the common start of all nodes at which a third of them is cut off.
const CUT_AFTER: Duration = Duration::from_secs(1);
const CUT_TIME: Duration = Duration::from_secs(12);
/// Seconds of a run after its first second.
const SECONDS: usize = 18;

/// What all nodes together did in one second.
#[derive(Clone, Copy, Debug, Default)]
struct SecondCounts {
    messages: u64,
    bytes: u64,
    wakes: u64,
    most_wakes: u64,
    peer_calls: u64,
    store_calls: u64,
    /// Time that the simulation took for the second.
    taken: Duration,
}

/// Cuts a failure domain off from all other nodes and from the store; its nodes hear each other.
fn cut_domain_off(world: &Rc<SimWorld>, domain: usize) {
    let inside = world.nodes_of_domain(domain);
    let others = (0..world.nodes.len()).filter(|number| !inside.contains(number));
    let others: Vec<usize> = others.collect();
    let links = inside.iter().flat_map(|number| {
        let own = SimPlace::Node(*number);
        others
            .iter()
            .flat_map(move |other| [(own, SimPlace::Node(*other)), (SimPlace::Node(*other), own)])
    });
    let links: Vec<(SimPlace, SimPlace)> = links.collect();
    world.links.borrow_mut().cut.extend(links);
    for number in inside {
        world.fail_store(number, StoreFailure::Silent, CUT_TIME);
    }
    world.after(CUT_TIME, |world| world.links.borrow_mut().cut.clear());
}

/// Counts of each second after the first one, and the nodes that each node knows at the end.
fn run(is_cut: bool) -> (Vec<SecondCounts>, Vec<usize>) {
    let settings = SimSettings {
        domains: vec![NODES as usize / 3; 3],
        large: 18,
        ..Default::default()
    };
    let (mut seconds, mut known) = (Vec::new(), Vec::new());
    simulate_after(&settings, CUT_AFTER, async |world| {
        if is_cut {
            cut_domain_off(world, 0);
        }
        for _ in 0..SECONDS {
            world.messages.set(0);
            world.message_bytes.set(0);
            world.relay_calls.set(0);
            let store_calls = world.store.calls();
            for node in &world.nodes {
                node.wakes.set(0);
            }
            let started = std::time::Instant::now();
            tokio::time::sleep(Duration::from_secs(1)).await;
            let wakes = || world.nodes.iter().map(|node| node.wakes.get());
            seconds.push(SecondCounts {
                messages: world.messages.get(),
                bytes: world.message_bytes.get(),
                wakes: wakes().sum(),
                most_wakes: wakes().max().unwrap_or(0),
                peer_calls: world.relay_calls.get(),
                store_calls: world.store.calls() - store_calls,
                taken: started.elapsed(),
            });
        }
        known = world.known_nodes();
    });
    (seconds, known)
}

/// One of the counts of a second.
type SecondCount = fn(&SecondCounts) -> u64;

/// Sums and maxima over the seconds of a run.
fn figures(seconds: &[SecondCounts], count: SecondCount) -> (u64, u64) {
    let counts = || seconds.iter().map(count);
    (counts().sum(), counts().max().unwrap_or(0))
}

/// Guards against work of the control threads that grows while a part of the fleet is cut off.
#[test]
fn a_cut_off_domain_costs_the_control_threads_little() {
    let [(whole, known), (cut, known_after_cut)] = [false, true].map(run);
    let counts: [(&str, SecondCount); 6] = [
        ("messages", |second| second.messages),
        ("bytes", |second| second.bytes),
        ("wakes", |second| second.wakes),
        ("wakes of one node", |second| second.most_wakes),
        ("calls of peers", |second| second.peer_calls),
        ("calls of the store", |second| second.store_calls),
    ];
    for (name, count) in counts {
        let [(all, most), (all_cut, most_cut)] = [&whole, &cut].map(|run| figures(run, count));
        let seconds = SECONDS as u64;
        println!(
            "{name} a second: {} on average and {most} at most, cut off {} and {most_cut}",
            all / seconds,
            all_cut / seconds
        );
        // Calls are made at the ends of the cut only; what they cost is among the wakes.
        if !name.starts_with("calls") {
            assert!(all_cut <= 2 * all, "{name}: {all_cut} after {all}");
            assert!(most_cut <= 3 * most, "{name}: {most_cut} after {most}");
        }
    }
    let taken = [&whole, &cut].map(|run| run.iter().map(|second| second.taken).sum::<Duration>());
    println!("the runs took {taken:?}");
    assert_eq!(known, [NODES as usize; NODES as usize]);
    assert_eq!(known_after_cut, [NODES as usize; NODES as usize]);
}
