//! Lists of targets in which the store has entries that cannot be read.

use bytes::Bytes;
use nutmegspread_edge::control::{
    CallAnswer, CallConnection, ControlNetwork, ControlNode, ServerCall,
};
use nutmegspread_edge::{NodeSettings, SharedState};
use nutmegspread_platform_standin::{PAGE_BYTES, PagedEntry, PagedStore};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Time in which a node reads a list.
const READ_TIME: Duration = Duration::from_secs(5);

/// The node's network, in which only the store answers.
fn network(store: &Rc<PagedStore>) -> ControlNetwork {
    let store = Rc::clone(store);
    ControlNetwork {
        connect: Box::new(move |address| {
            let store = Rc::clone(&store);
            let exchange = move |call: ServerCall| {
                let store = Rc::clone(&store);
                Box::pin(async move {
                    let (status, body) = store.answer(&call.method, &call.path).await;
                    let body = Bytes::from(body);
                    Ok(CallAnswer::new(status, body))
                }) as _
            };
            CallConnection::new(address, Box::new(exchange))
        }),
        send: Box::new(|_, _| Box::pin(async { Ok(()) })),
        receive: Box::new(|| Box::pin(std::future::pending())),
    }
}

/// Returns the targets that a node uses after its first list of `first`, and after a list of `later`
/// that follows an answer of 410, with the counts of unreadable entries and of lists that were cut short.
async fn read_lists(first: Vec<PagedEntry>, later: Vec<PagedEntry>) -> ([String; 2], [u64; 2]) {
    let store = Rc::new(PagedStore::default());
    store.replace(first);
    let text = include_str!("../../../examples/edge-1.jsonc");
    let settings = NodeSettings::parse(text).expect("valid settings");
    let own = settings.member_record(1);
    let shared = Arc::new(SharedState::new(settings, 1.0));
    let node = Rc::new(ControlNode::new(
        Arc::clone(&shared),
        own,
        network(&store),
        1,
    ));
    let tasks = node.followers();
    let tasks: Vec<_> = tasks.into_iter().map(tokio::task::spawn_local).collect();
    let names = || {
        let view = shared.view.load();
        let targets = view.targets.values().flatten();
        let mut names: Vec<String> = targets.map(|target| target.id.to_string()).collect();
        names.sort();
        names.join(" ")
    };
    tokio::time::sleep(READ_TIME).await;
    let first = names();
    store.replace(later);
    tokio::time::sleep(READ_TIME).await;
    tasks.iter().for_each(tokio::task::JoinHandle::abort);
    let metrics = shared.metrics.render();
    let count = |name: &str| {
        let value = metrics.lines().find_map(|line| line.strip_prefix(name));
        value.map_or(0, |value| value.trim().parse().expect("a count"))
    };
    let counts = [
        count("nutmegspread_store_unreadable{of=\"entry\"}"),
        count("nutmegspread_store_lists_cut_short{of=\"servers\"}"),
    ];
    ([first, names()], counts)
}

/// Guards against a node that never becomes ready after a start, and against one that keeps an old list
/// after an answer of 410, because a page of a list has no entry that can be read; and against one that
/// counts an unreadable entry again with each list.
#[test]
fn lists_go_on_past_unreadable_entries() {
    const LARGE: usize = PAGE_BYTES * 2 / 5;
    let named = || PagedEntry::unreadable("m", "\"m\"");
    let unnamed = || PagedEntry::unreadable("m", "7");
    let [a, b, z] = [
        || PagedEntry::usable("a", 0),
        || PagedEntry::usable("b", 0),
        || PagedEntry::usable("z", 0),
    ];
    let cases = [
        (
            "a page of one unreadable entry",
            (vec![a(), named(), z()], "a z"),
            (vec![b(), named(), z()], "b z"),
            [1, 0],
        ),
        (
            "several pages",
            (
                vec![
                    PagedEntry::usable("a", LARGE),
                    PagedEntry::usable("b", LARGE),
                    PagedEntry::usable("c", LARGE),
                ],
                "a b c",
            ),
            (
                vec![
                    PagedEntry::usable("b", LARGE),
                    PagedEntry::usable("c", LARGE),
                    PagedEntry::usable("d", LARGE),
                    z(),
                ],
                "b c d z",
            ),
            [0, 0],
        ),
        (
            "a page without a name in the first list",
            (vec![a(), unnamed(), z()], "a"),
            (vec![a(), b(), unnamed(), z()], "a b"),
            [0, 2],
        ),
        (
            "a page without a name after 410; what it may hide is kept",
            (vec![a(), z()], "a z"),
            (vec![b(), unnamed(), z()], "a b z"),
            [0, 1],
        ),
    ];
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("the runtime starts");
    for (what, (first, first_names), (later, later_names), counts) in cases {
        let local = tokio::task::LocalSet::new();
        let found = local.block_on(&runtime, read_lists(first, later));
        let names = [first_names, later_names].map(str::to_owned);
        assert_eq!(found, (names, counts), "{what}");
    }
}
