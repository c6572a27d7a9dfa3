//! Command line of the `nutmegspread` binary; doc comments of the macro are its help texts.

use std::path::PathBuf;

xflags::xflags! {
    /// Routes queries and orders of callers to services with many shards.
    cmd nutmegspread {
        /// Runs a node until it receives SIGTERM or SIGINT.
        cmd serve {
            /// Settings file, JSON with comments.
            required --settings file: PathBuf
        }
        /// Runs a node on the users' platform until it receives SIGTERM or SIGINT.
        cmd edge {
            /// Settings file, JSON with comments; by default the one named by the platform's variable.
            optional --settings file: PathBuf
        }
        /// Checks a configuration document and prints all errors or a summary.
        cmd check {
            /// Configuration document, JSON with comments.
            required file: PathBuf
        }
        /// Checks a configuration document of either form for errors, entries without effect and
        /// contradictions. Exit status: 0 nothing found, 1 warnings, 2 errors, 3 cannot read.
        cmd check-configuration {
            /// Configuration document, of the users' platform or of `serve`.
            required file: PathBuf
            /// Document in force, to print what differs from it.
            optional --against file: PathBuf
            /// Node whose document in force to compare with: its address for operators, or on the
            /// users' platform the one for other nodes.
            optional --node address: String
            /// File that contains the operator token; not needed on the users' platform.
            optional --token-file file: PathBuf
            /// Prints JSON.
            optional --json
        }
        /// Prints the differences between two configuration documents.
        cmd diff {
            /// Configuration document to compare from.
            required from: PathBuf
            /// Configuration document to compare to.
            required to: PathBuf
        }
        /// Sends a configuration document to a node, which stores it as the next revision.
        cmd apply {
            /// Configuration document, JSON with comments.
            required file: PathBuf
            /// Address of a node for operators.
            required --node address: String
            /// File that contains the operator token.
            required --token-file file: PathBuf
            /// Revision on which the document is based; 0 for the first document.
            required --base revision: u64
            /// Seconds to wait until every node has applied the new revision; no wait by default.
            optional --wait seconds: u64
        }
        /// Prints the configuration revision that each node has applied, as JSON.
        cmd status {
            /// Address of a node for operators.
            required --node address: String
            /// File that contains the operator token.
            required --token-file file: PathBuf
        }
        /// Prints the whole state of a node as JSON.
        cmd dump {
            /// Address of a node for operators.
            required --node address: String
            /// File that contains the operator token.
            required --token-file file: PathBuf
        }
        /// Runs stand-ins and three nodes in one process, sends them requests and checks the answers.
        cmd demo {}
        /// Measures nodes and a naive baseline under load and faults, and prints tables.
        cmd load {
            /// Deployment whose sizes to use: guild or kloofglas.
            required --deployment name: String
            /// Names of the cases to run, separated by commas; all cases by default.
            optional --cases list: String
            /// Address of a node for callers; without any node, only the baseline runs.
            repeated --node address: String
            /// Process id of a node, to measure its processor time and to stop it as planned.
            repeated --pid pid: u32
            /// Address of a node for operators.
            optional --operator address: String
            /// File that contains the operator token.
            optional --token-file file: PathBuf
            /// Address on which the platform stand-in listens.
            optional --platform address: String
            /// Length of each case, in seconds.
            optional --seconds seconds: u64
            /// Queries per second; a fraction of the deployment's capacity by default.
            optional --rate rate: f64
            /// Seed of the random arrival times and faults.
            optional --seed seed: u64
            /// Skips the naive baseline.
            optional --no-baseline
        }
        /// Measures how the cost of each part grows, and compares ways to assign targets to nodes.
        cmd capacity {
            /// Folder to write plots to; no plots by default.
            optional --plots folder: PathBuf
            /// Seed of the random assignment of targets to nodes.
            optional --seed seed: u64
        }
        /// Runs a stand-in for the platform until it receives SIGTERM or SIGINT.
        cmd standin-platform {
            /// Address to listen on.
            required --listen address: String
            /// Configuration document; snapshot maps of its targets are stored at the start.
            optional --maps-for file: PathBuf
        }
        /// Runs a searcher stand-in for each target until it receives SIGTERM or SIGINT.
        cmd standin-searcher {
            /// Configuration document that lists the targets.
            required --configuration file: PathBuf
        }
    }
}
