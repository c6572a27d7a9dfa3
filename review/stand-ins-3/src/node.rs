//! Node processes, started as the deploy file says.

use crate::record::Record;
use std::ffi::c_int;
use std::fs::{self, File};
use std::io::{Error, Result};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Program and arguments of the role in the deploy file.
const PROGRAM: &str = "target/release/nutmegspread";
const ROLE: &str = "edge";
const CALLER_PORT: u16 = 8104;
const READY_PORT: u16 = 8108;
const DIRECTORY_PORT: u16 = 8100;
const CONTROL_PORT: u16 = 8106;
const PEER_PORT: u16 = 7380;
const METRICS_PORT: u16 = 9464;
/// Longest time until all nodes are ready after their start.
const READY_TIME: Duration = Duration::from_secs(15);

/// Option of `prctl` for the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: c_int = 1;
const SIGKILL: u64 = 9;

unsafe extern "C" {
    fn prctl(option: c_int, ...) -> c_int;
}

/// One node.
#[derive(Debug)]
pub struct Node {
    pub name: String,
    pub address: IpAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// The nodes of a run; they end with this value.
#[derive(Debug)]
pub struct Fleet {
    pub nodes: Vec<Node>,
    folder: PathBuf,
    record: Arc<Record>,
}

impl Fleet {
    /// Starts nodes, in turn in each of `zones`, with the settings that the template gives on the small
    /// sites.
    pub fn start(
        (count, spare): (usize, usize),
        zones: &[&str],
        store: SocketAddr,
        record: &Arc<Record>,
    ) -> Result<Self> {
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let addresses = free_addresses(count + spare)?;
        let seeds = seeds_text(&addresses[..count.min(3)]);
        let mut fleet = Self {
            nodes: Vec::new(),
            folder,
            record: Arc::clone(record),
        };
        for (number, address) in addresses.into_iter().enumerate() {
            let name = format!("front-{:02}", number + 1);
            let settings = fleet.folder.join(format!("{name}.jsonc"));
            let zone = zones[number % zones.len()];
            fs::write(
                &settings,
                settings_text(&name, zone, address, &seeds, store),
            )?;
            let log = fleet.folder.join(format!("{name}.log"));
            fleet.nodes.push(Node {
                name,
                address,
                settings,
                log,
                child: None,
            });
        }
        for number in 0..count {
            fleet.spawn(number)?;
        }
        Ok(fleet)
    }

    /// Starts the process of a node.
    pub fn spawn(&mut self, number: usize) -> Result<()> {
        let node = &mut self.nodes[number];
        let log = File::options().create(true).append(true).open(&node.log)?;
        let mut command = Command::new(PROGRAM);
        command
            .arg(ROLE)
            .env_clear()
            .env("NUTMEGSPREAD_CONFIG", &node.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        // SAFETY: `prctl` may be called between fork and exec.
        unsafe {
            command.pre_exec(|| match prctl(PR_SET_PDEATHSIG, SIGKILL) {
                0 => Ok(()),
                _ => Err(Error::last_os_error()),
            });
        }
        let child = command.spawn()?;
        self.record
            .add(&format!("started {} as {}", node.name, child.id()));
        node.child = Some(child);
        Ok(())
    }

    /// Gives a node other seeds at its next start: the control addresses of these nodes.
    pub fn set_seeds(&self, number: usize, seeds: &[usize]) -> Result<()> {
        let node = &self.nodes[number];
        let seeds: Vec<IpAddr> = seeds.iter().map(|seed| self.nodes[*seed].address).collect();
        let text = fs::read_to_string(&node.settings)?;
        let lines = text.lines().map(|line| {
            if line.trim_start().starts_with("\"seeds\"") {
                format!("  \"seeds\": [{}],\n", seeds_text(&seeds))
            } else {
                format!("{line}\n")
            }
        });
        fs::write(&node.settings, lines.collect::<String>())
    }

    /// Waits until the platform's check finds every node ready.
    pub fn wait_until_ready(&self) -> Result<()> {
        let end = Instant::now() + READY_TIME;
        for node in self.nodes.iter().filter(|node| node.child.is_some()) {
            let address = SocketAddr::new(node.address, READY_PORT);
            while crate::client::fetch(address, "/-/ready").map_or(0, |answer| answer.status())
                != 200
            {
                if Instant::now() >= end {
                    return Err(Error::other(format!("{} is not ready", node.name)));
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        self.record.add("all nodes are ready");
        Ok(())
    }

    /// Kills the processes of nodes at the same moment.
    pub fn kill(&mut self, numbers: &[usize]) {
        for number in numbers {
            let node = &mut self.nodes[*number];
            if let Some(child) = &mut node.child {
                // It may have ended by itself, which its log shows.
                let _ = child.kill();
                self.record.add(&format!("killed {}", node.name));
            }
        }
        for number in numbers {
            if let Some(mut child) = self.nodes[*number].child.take() {
                let _ = child.wait();
            }
        }
    }

    /// Address for requests of clients of a node.
    pub fn front(&self, number: usize) -> SocketAddr {
        SocketAddr::new(self.nodes[number].address, CALLER_PORT)
    }

    /// Addresses at which clients ask where to connect.
    pub fn directories(&self) -> Vec<SocketAddr> {
        let nodes = self.nodes.iter().filter(|node| node.child.is_some());
        nodes
            .map(|node| SocketAddr::new(node.address, DIRECTORY_PORT))
            .collect()
    }

    /// Copies the logs of the nodes into a folder.
    pub fn keep_logs(&self, folder: &Path) -> Result<()> {
        fs::create_dir_all(folder)?;
        for node in self.nodes.iter().filter(|node| node.log.exists()) {
            fs::copy(&node.log, folder.join(format!("{}.log", node.name)))?;
        }
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            if let Some(child) = &mut node.child {
                // A stopped process is killed as well.
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Loopback addresses on which all ports of a node are free.
fn free_addresses(count: usize) -> Result<Vec<IpAddr>> {
    let seed = std::process::id();
    for attempt in 0..50 {
        let block = (seed + attempt) % 60_000 + 300;
        let [high, low] = [(block / 250) as u8, (block % 250) as u8];
        let address = |host: usize| IpAddr::V4(Ipv4Addr::new(127, high, low, host as u8 + 1));
        let addresses: Vec<IpAddr> = (0..count).map(address).collect();
        if addresses.iter().all(|address| is_free(*address)) {
            return Ok(addresses);
        }
    }
    Err(Error::other("no loopback addresses with free ports"))
}

fn is_free(address: IpAddr) -> bool {
    let ports = [
        CALLER_PORT,
        READY_PORT,
        DIRECTORY_PORT,
        PEER_PORT,
        METRICS_PORT,
    ];
    let is_open = |port: u16| TcpListener::bind(SocketAddr::new(address, port)).is_ok();
    ports.into_iter().all(is_open) && UdpSocket::bind(SocketAddr::new(address, PEER_PORT)).is_ok()
}

fn seeds_text(seeds: &[IpAddr]) -> String {
    let seeds = seeds
        .iter()
        .map(|seed| format!("\"{seed}:{CONTROL_PORT}\""));
    seeds.collect::<Vec<_>>().join(",")
}

fn settings_text(
    name: &str,
    zone: &str,
    address: IpAddr,
    seeds: &str,
    store: SocketAddr,
) -> String {
    format!(
        r#"{{
  "node": "{name}",
  "domain": "{zone}",
  "address": "{address}",
  "listen": {{
    "callers": "{address}:{CALLER_PORT}",
    "ready": "{address}:{READY_PORT}",
    "addresses": "{address}:{DIRECTORY_PORT}"
  }},
  "peer_port": {PEER_PORT},
  "seeds": [{seeds}],
  "cores": 0.25,
  "memory_mb": 260,
  "max_descriptors": 4100,
  "store": "{store}",
  "history_s": 20,
  "retry_ratio": 0.2,
  "retry_slack": 54,
  "retry_window_s": 10,
  "cold_factor": 1.5,
  "cold_slack": 5,
  "exposure_share": 0.1,
  "exposure_slack": 50,
  "drain_ms": 3000,
  "renewal_ms": 1200,
  "longest_keep_s": 5,
  "stop_grace_s": 6
}}
"#
    )
}
