//! Nodes as separate processes, with the command of the deploy file and settings filled in as the
//! platform fills in the template.

use crate::CaseRun;
use crate::store::Store;
use std::fs::File;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

/// A node, which is killed when this value is dropped.
pub struct Node {
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    pub addresses: SocketAddr,
    child: Option<Child>,
}

/// Where a node runs.
pub struct NodePlan {
    /// Number of its machine, which decides on the address.
    pub number: u8,
    pub name: String,
    pub zone: String,
    pub cores: f64,
    /// Numbers of the machines that its settings name as seeds.
    pub seeds: [u8; 3],
}

/// What all nodes of a case share.
pub struct Fleet {
    program: PathBuf,
    directory: PathBuf,
    store: SocketAddr,
    /// Port for messages between nodes, the same on all.
    peer_port: u16,
}

impl Fleet {
    /// Prepares the start of `nodes` nodes.
    ///
    /// # Errors
    /// When the program of the deploy file is not built.
    pub fn new(case: &CaseRun, store: &Store, nodes: u8) -> Result<Self, String> {
        let program = case.root.join("target/release/nutmegspread");
        if !program.exists() {
            return Err(format!("{} is not built", program.display()));
        }
        let addresses: Vec<String> = (1..=nodes).map(address_of).collect();
        Ok(Self {
            program,
            directory: case.directory.clone(),
            store: store.address,
            peer_port: common_port(&addresses),
        })
    }

    /// Starts the node with this number, from 1, in a zone of its own.
    pub fn start(&self, number: u8) -> Node {
        self.start_planned(&NodePlan {
            number,
            name: format!("front-{number}"),
            zone: format!("zone-{number}"),
            cores: 0.25,
            seeds: [1, 2, 3],
        })
    }

    /// Writes the settings of a node and starts it. Each node has a loopback address of its own, as each
    /// VM has one.
    pub fn start_planned(&self, plan: &NodePlan) -> Node {
        let ip = address_of(plan.number);
        let (name, zone, cores) = (&plan.name, &plan.zone, plan.cores);
        let seeds = plan
            .seeds
            .map(|seed| format!("\"{}:8106\"", address_of(seed)));
        let seeds = seeds.join(",");
        let ports: Vec<u16> = free_ports(&ip, 4);
        let address = |port: u16| format!("{ip}:{port}");
        let settings = format!(
            "{{\"node\":\"{name}\",\"domain\":\"{zone}\",\"address\":\"{ip}\",\"listen\":{{\
             \"callers\":\"{}\",\"ready\":\"{}\",\"addresses\":\"{}\"}},\"peer_port\":{},\
             \"seeds\":[{seeds}],\"cores\":{cores},\
             \"memory_mb\":260,\"max_descriptors\":4100,\"store\":\"{}\",\"history_s\":20,\
             \"retry_ratio\":0.2,\"retry_slack\":54,\"retry_window_s\":10,\"cold_factor\":1.5,\
             \"cold_slack\":5,\"exposure_share\":0.1,\"exposure_slack\":50,\"drain_ms\":3000,\
             \"renewal_ms\":1200,\"longest_keep_s\":5,\"stop_grace_s\":6,\"metrics_port\":{}}}",
            address(ports[0]),
            address(ports[1]),
            address(ports[2]),
            self.peer_port,
            self.store,
            ports[3],
        );
        let path = self.directory.join(format!("{name}.jsonc"));
        std::fs::write(&path, settings).expect("the settings of a node can be written");
        let parse = |port: u16| address(port).parse().expect("an address");
        let mut node = Node {
            program: self.program.clone(),
            settings: path,
            log: self.directory.join(format!("{name}.log")),
            addresses: parse(ports[2]),
            child: None,
        };
        node.start();
        node
    }
}

impl Node {
    /// Starts the process, after its first start as well.
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.expect("the log of a node can be opened");
        let child = Command::new(&self.program)
            .arg("edge")
            .env("NUTMEGSPREAD_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log of a node"))
            .stderr(log)
            .spawn();
        self.child = Some(child.expect("the program of the deploy file can be started"));
    }

    /// Ends the process as by SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends the process a signal by its name, as `kill` takes it.
    ///
    /// # Errors
    /// When the process does not run or the signal cannot be sent.
    pub fn signal(&self, name: &str) -> Result<(), String> {
        let child = self.child.as_ref().ok_or("the node does not run")?;
        let sent = Command::new("kill")
            .args(["-s", name, &child.id().to_string()])
            .status();
        match sent {
            Ok(status) if status.success() => Ok(()),
            Ok(status) => Err(format!("kill -s {name} ended with {status}")),
            Err(error) => Err(format!("cannot run kill: {error}")),
        }
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Address of the node with this number.
fn address_of(number: u8) -> String {
    format!("127.0.0.{}", 10 + number)
}

/// Ports of an address that are free now.
fn free_ports(ip: &str, count: usize) -> Vec<u16> {
    let listeners: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind((ip, 0)).expect("a free port"))
        .collect();
    listeners
        .iter()
        .map(|listener| listener.local_addr().expect("an address").port())
        .collect()
}

/// A port that is free at all of these addresses.
fn common_port(addresses: &[String]) -> u16 {
    loop {
        let port = free_ports(&addresses[0], 1)[0];
        let is_free = |ip: &String| {
            let ip = ip.as_str();
            TcpListener::bind((ip, port)).is_ok() && UdpSocket::bind((ip, port)).is_ok()
        };
        if addresses.iter().all(is_free) {
            return port;
        }
    }
}
