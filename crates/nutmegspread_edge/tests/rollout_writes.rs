//! Writes of rollout states to a store that may be restored while a write is on its way.

use hyper::Method;
use hyper::header::HeaderValue;
use nutmegspread_edge::control::{
    CallAnswer, CallConnection, CallGuard, ControlNetwork, ControlNode, ServerCall,
};
use nutmegspread_edge::{EdgeError, NodeSettings, SharedState};
use nutmegspread_platform::{decode_era, headers};
use nutmegspread_platform_standin::StoreStandin;
use nutmegspread_tier::StatedEra;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::Instant;

/// A node without peers whose calls of the store take `CALL_TIME` to get there.
struct WritingNode {
    store: StoreStandin,
    control: RefCell<Weak<ControlNode>>,
    /// Era that the node learns of while its first write is on its way, if it does.
    era: Cell<Option<u64>>,
    /// Writes that were begun, and those that were sent.
    writes: Cell<(u32, u32)>,
}

const CALL_TIME: Duration = Duration::from_millis(5);

fn network(node: &Rc<WritingNode>) -> ControlNetwork {
    let node = Rc::clone(node);
    ControlNetwork {
        connect: Box::new(move |address| {
            let node = Rc::clone(&node);
            let exchange = move |call| Box::pin(exchange_call(Rc::clone(&node), call)) as _;
            CallConnection::new(address, Box::new(exchange))
        }),
        send: Box::new(|_, _| Box::pin(async { Ok(()) })),
        receive: Box::new(|| Box::pin(std::future::pending())),
    }
}

async fn exchange_call(node: Rc<WritingNode>, call: ServerCall) -> Result<CallAnswer, EdgeError> {
    tokio::time::sleep(CALL_TIME).await;
    if call.method == Method::PUT && call.path.contains("/rollouts/") {
        if let Some(era) = node.era.take() {
            let control = node.control.borrow().upgrade().expect("the node runs");
            let now = Instant::now().into_std();
            let stated = StatedEra::Number(era);
            control.state.borrow_mut().observe_answer(now, stated, era);
        }
        let is_allowed = call.guard.as_ref().is_none_or(CallGuard::allows);
        let (begun, sent) = node.writes.get();
        node.writes.set((begun + 1, sent + u32::from(is_allowed)));
        if !is_allowed {
            return Err(EdgeError::NotPermitted { path: call.path });
        }
    }
    let answer = node.store.answer(call.method, &call.path, call.body);
    let (status, stated, body) = answer.await;
    let era = decode_era(stated.get(headers::STORE_ERA).map(HeaderValue::as_bytes));
    Ok(CallAnswer { status, era, body })
}

/// Writes of a node that were begun and sent in the first seconds of a rollout, and the state that the
/// store holds then.
fn writes_of(era: Option<u64>) -> ((u32, u32), Option<String>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    runtime.block_on(LocalSet::new().run_until(async {
        let store = StoreStandin::unconnected(SocketAddr::from(([10, 0, 0, 1], 1)));
        store.roll_out("s", "v2", Duration::from_secs(60));
        let node = Rc::new(WritingNode {
            store,
            control: RefCell::default(),
            era: Cell::new(era),
            writes: Cell::default(),
        });
        let text = include_str!("../../../examples/edge-1.jsonc");
        let settings = NodeSettings::parse(text).expect("valid settings");
        let own = settings.member_record(1);
        let shared = Arc::new(SharedState::new(settings, 1.0));
        let control = Rc::new(ControlNode::new(shared, own, network(&node), 1));
        node.control.replace(Rc::downgrade(&control));
        for task in control.followers() {
            tokio::task::spawn_local(task);
        }
        tokio::time::sleep(Duration::from_secs(10)).await;
        let state = node.store.rollout_state("s").map(|(state, _)| state);
        (node.writes.get(), state)
    }))
}

/// Guards against a write that was decided before the store was restored and is sent after it, when its
/// revision may belong to other contents.
#[test]
fn a_state_that_was_decided_before_a_restore_is_not_written_after_it() {
    assert_eq!(writes_of(None), ((1, 1), Some("running".to_owned())));
    assert_eq!(writes_of(Some(2)), ((1, 0), None));
}
