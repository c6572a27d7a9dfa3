//! Rollouts through whole nodes on loopback.

mod rollout_world;

use rollout_world::RolloutWorld;

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_rollout_of_a_healthy_version_is_stated_done_on_every_node() {
    let world = RolloutWorld::start(false).await;
    world.query_until_stated("done").await;
    assert!(world.new_version_answers(0).await);
    world.close().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_version_that_fails_at_once_is_stated_taken_back_on_every_node() {
    let world = RolloutWorld::start(true).await;
    let pages = world.query_until_stated("taken back").await;
    let is_braked = |page: &String| page.contains("on route search, seen by node-");
    assert!(pages.iter().all(is_braked), "{pages:#?}");
    assert!(!world.new_version_answers(0).await);
    world.close().await;
}
