//! What a node does with answers of the store that are of another era than what it knows.

use bytes::Bytes;
use hyper::StatusCode;
use nutmegspread_edge::control::{
    CallAnswer, CallConnection, ControlNetwork, ControlNode, ServerCall,
};
use nutmegspread_edge::{NodeSettings, SharedState};
use nutmegspread_platform::ObjectKind;
use nutmegspread_tier::StatedEra;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Time in which a node reads what the store has.
const READ_TIME: Duration = Duration::from_secs(4);
/// Duration of a watch of the stand-in, if nothing changes.
const WATCH_TIME: Duration = Duration::from_millis(400);

/// A store with one list of evacuations, whose answers state any era.
#[derive(Debug)]
struct EraStore {
    era: Cell<StatedEra>,
    /// What the second page of a list states.
    second_page: Cell<Option<StatedEra>>,
    revision: Cell<u64>,
    domains: RefCell<Vec<&'static str>>,
    calls: Cell<u64>,
}

impl EraStore {
    async fn answer(&self, path: &str) -> CallAnswer {
        self.calls.set(self.calls.get() + 1);
        let is_evacuations = path.contains(ObjectKind::Evacuations.name());
        let at = self.revision.get();
        let mut era = self.era.get();
        let (status, body) = if let Some((_, rest)) = path.split_once("watch=") {
            let since: u64 = rest
                .split('&')
                .next()
                .unwrap_or_default()
                .parse()
                .expect("a number");
            if since > at {
                (StatusCode::GONE, String::new())
            } else {
                tokio::time::sleep(WATCH_TIME).await;
                era = self.era.get();
                (
                    StatusCode::OK,
                    format!("{{\"events\":[],\"at\":{}}}", self.revision.get()),
                )
            }
        } else {
            let domains = self.domains.borrow();
            let is_second = path.contains("after=");
            let has_more = is_evacuations && !is_second && self.second_page.get().is_some();
            if is_second {
                era = self.second_page.get().unwrap_or(era);
            }
            let items: Vec<String> = domains
                .iter()
                .filter(|_| is_evacuations && !is_second)
                .map(|name| {
                    format!("{{\"meta\":{{\"name\":\"{name}\",\"rev\":{at}}},\"spec\":{{}}}}")
                })
                .collect();
            let items = items.join(",");
            let body = format!("{{\"items\":[{items}],\"more\":{has_more},\"at\":{at}}}");
            (StatusCode::OK, body)
        };
        CallAnswer {
            era,
            ..CallAnswer::new(status, Bytes::from(body))
        }
    }
}

fn network(store: &Rc<EraStore>) -> ControlNetwork {
    let store = Rc::clone(store);
    ControlNetwork {
        connect: Box::new(move |address| {
            let store = Rc::clone(&store);
            let exchange = move |call: ServerCall| {
                let store = Rc::clone(&store);
                Box::pin(async move { Ok(store.answer(&call.path).await) }) as _
            };
            CallConnection::new(address, Box::new(exchange))
        }),
        send: Box::new(|_, _| Box::pin(async { Ok(()) })),
        receive: Box::new(|| Box::pin(std::future::pending())),
    }
}

/// Returns the evacuations that a node knows after it has read `domain-1` at revision 50 of era 3 and
/// the store then changed to `later`, and the calls that it made in the last `READ_TIME`.
async fn known_after(later: impl Fn(&EraStore)) -> (String, u64) {
    let store = Rc::new(EraStore {
        era: Cell::new(StatedEra::Number(3)),
        second_page: Cell::new(None),
        revision: Cell::new(50),
        domains: RefCell::new(vec!["domain-1"]),
        calls: Cell::new(0),
    });
    let text = include_str!("../../../examples/edge-1.jsonc");
    let settings = NodeSettings::parse(text).expect("valid settings");
    let own = settings.member_record(1);
    let shared = Arc::new(SharedState::new(settings, 1.0));
    let node = ControlNode::new(Arc::clone(&shared), own, network(&store), 1);
    let tasks = Rc::new(node).followers();
    let tasks: Vec<_> = tasks.into_iter().map(tokio::task::spawn_local).collect();
    tokio::time::sleep(READ_TIME).await;
    later(&store);
    tokio::time::sleep(READ_TIME).await;
    let before = store.calls.get();
    tokio::time::sleep(READ_TIME).await;
    tasks.iter().for_each(tokio::task::JoinHandle::abort);
    let view = shared.view.load();
    let known: Vec<&str> = view.evacuated.iter().map(|domain| &**domain).collect();
    (known.join(" "), store.calls.get() - before)
}

fn restore(era: StatedEra, revision: u64) -> impl Fn(&EraStore) {
    move |store| {
        store.era.set(era);
        store.revision.set(revision);
        store.domains.replace(vec!["domain-1", "domain-2"]);
    }
}

/// Guards against nodes that take what the store has after a restore for old, and against calls without
/// a pause while they do.
#[test]
fn only_answers_of_the_latest_era_count() {
    let both = "domain-1 domain-2";
    type Change = Box<dyn Fn(&EraStore)>;
    let pages = |second| -> Change {
        Box::new(move |store| {
            restore(StatedEra::Number(4), 20)(store);
            store.second_page.set(Some(second));
        })
    };
    let cases: [(&str, Change, &str); 9] = [
        (
            "a lower revision",
            Box::new(restore(StatedEra::Number(4), 20)),
            both,
        ),
        (
            "the same revision",
            Box::new(restore(StatedEra::Number(4), 50)),
            both,
        ),
        (
            "a higher revision",
            Box::new(restore(StatedEra::Number(4), 90)),
            both,
        ),
        (
            "a jump of eras",
            Box::new(restore(StatedEra::Number(9), 20)),
            both,
        ),
        (
            "an earlier era",
            Box::new(restore(StatedEra::Number(2), 90)),
            "domain-1",
        ),
        (
            "no era, and history that is gone",
            Box::new(restore(StatedEra::Missing, 20)),
            "domain-1",
        ),
        (
            "an odd era",
            Box::new(restore(StatedEra::Unreadable, 20)),
            "domain-1",
        ),
        ("pages of one era", pages(StatedEra::Number(4)), both),
        ("pages of two eras", pages(StatedEra::Number(5)), "domain-1"),
    ];
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("the runtime starts");
    for (what, later, known) in cases {
        let local = tokio::task::LocalSet::new();
        let (found, calls) = local.block_on(&runtime, known_after(later));
        assert_eq!(found, known, "{what}");
        // Four kinds, each with a pause of 0.4 s or more between its calls, and the roster.
        assert!(calls <= 60, "{what}: {calls} calls");
    }
}
