//! Loopback addresses that one world has alone.

use crate::build_runtime;
use crate::soak_world::SoakWorld;
use std::net::{IpAddr, Ipv4Addr, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering};

/// Port that is bound on the first address of a block for as long as the block is in use, also by
/// another process.
const RESERVATION_PORT: u16 = 17379;
/// Number of blocks: 200 times 256 networks of 256 addresses.
const BLOCKS: u32 = 200 * 256;

/// Loopback addresses that one world has alone, until this value is dropped.
pub struct AddressBlock {
    high: u8,
    low: u8,
    _reservation: UdpSocket,
}

impl AddressBlock {
    /// Reserves the next block that no other world uses.
    pub fn reserve() -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        // Processes start at different blocks, which are seldom in use.
        let first = std::process::id().wrapping_mul(64);
        for _ in 0..BLOCKS {
            let block = first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % BLOCKS;
            let (high, low) = (16 + (block / 256) as u8, (block % 256) as u8);
            let address = Ipv4Addr::new(127, high, low, 1);
            if let Ok(reservation) = UdpSocket::bind((address, RESERVATION_PORT)) {
                return Self {
                    high,
                    low,
                    _reservation: reservation,
                };
            }
        }
        panic!("every block of loopback addresses is in use");
    }

    /// Address of a node, by its number from 0 to 199.
    pub fn node(&self, number: usize) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.high, self.low, 11 + number as u8))
    }
}

/// Guards against tests that delete or use what belongs to another one: two had the same seed, and
/// with it one folder and the same addresses.
#[test]
fn worlds_share_neither_folders_nor_addresses() {
    build_runtime().block_on(async {
        let worlds = [SoakWorld::start(2).await, SoakWorld::start(2).await];
        let [first, second] = &worlds;
        assert_ne!(first.folder, second.folder);
        for node in &first.nodes {
            let is_shared = |other: &&crate::soak_world::SoakNode| other.address == node.address;
            assert_eq!(
                second.nodes.iter().find(is_shared).map(|node| node.address),
                None
            );
        }
        for world in worlds {
            world.close(false).await;
        }
    });
}
