//! Input that no sound writer or caller sends.

use crate::soak_caller::{request_status, request_status_with_deadline};
use crate::soak_world::SoakWorld;
use crate::{START_TIME, build_runtime};
use nutmegspread_platform_standin::odd_registrations;
use rustix::process::Signal;
use std::time::Duration;

#[test]
fn nodes_follow_the_store_past_odd_registrations() {
    build_runtime().block_on(async {
        let mut world = SoakWorld::start(4).await;
        tokio::time::sleep(START_TIME).await;
        for (name, entry) in odd_registrations("right-0") {
            world.store.put("servers", &name, &entry);
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
        // A restarted node reads the entries in a list, the others in a watch.
        world.signal(0, Signal::KILL);
        world.publish_configuration(1);
        tokio::time::sleep(Duration::from_millis(300)).await;
        let exits: Vec<bool> = (1..4)
            .map(|number| world.take_exit_status(number).is_some())
            .collect();
        assert_eq!(exits, [false; 3], "processes that ended by themselves");
        if world.take_exit_status(0).is_some() {
            world.spawn(0);
        }
        tokio::time::sleep(START_TIME).await;
        let mut statuses = Vec::new();
        for (number, node) in world.nodes.iter().enumerate() {
            statuses.push(request_status(node.address, "gather", &format!("odd{number}")).await);
        }
        world.close(false).await;
        assert_eq!(statuses, [200; 4]);
    });
}

#[test]
fn odd_deadlines_of_callers_are_answered() {
    build_runtime().block_on(async {
        let world = SoakWorld::start(1).await;
        tokio::time::sleep(START_TIME).await;
        let node = world.nodes[0].address;
        let mut statuses = Vec::new();
        for (number, deadline) in ["1e300", "1e20", "inf", "-1", "NaN", "", "x"]
            .into_iter()
            .enumerate()
        {
            let id = format!("deadline{number}");
            statuses.push((
                deadline,
                request_status_with_deadline(node, "fetch", &id, deadline).await,
            ));
        }
        world.close(false).await;
        let unanswered: Vec<_> = statuses
            .iter()
            .filter(|(_, status)| *status != 200)
            .collect();
        assert!(unanswered.is_empty(), "{unanswered:?}");
    });
}
