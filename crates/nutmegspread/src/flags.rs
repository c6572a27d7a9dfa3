//! Command line of the binary.

use std::path::PathBuf;

xflags::xflags! {
    /// A query tier over many shards.
    cmd nutmegspread {
        /// Runs a node until SIGTERM or SIGINT.
        cmd serve {
            /// Settings file, JSON with comments.
            required --settings file: PathBuf
        }
        /// Runs a node on the platform until SIGTERM or SIGINT.
        cmd edge {
            /// Settings file, JSON with comments; the platform's variable names it when absent.
            optional --settings file: PathBuf
        }
        /// Checks a configuration document and prints every error.
        cmd check {
            /// Configuration document, JSON with comments.
            required file: PathBuf
        }
        /// Prints the differences between two configuration documents.
        cmd diff {
            /// Earlier document.
            required from: PathBuf
            /// Later document.
            required to: PathBuf
        }
        /// Applies a configuration document through a node.
        cmd apply {
            /// Configuration document, JSON with comments.
            required file: PathBuf
            /// Operators' address of a node.
            required --node address: String
            /// File that holds the operators' token.
            required --token-file file: PathBuf
            /// Revision that was edited; 0 for the first document.
            required --base revision: u64
            /// Waits until every node has applied it, at most this many seconds.
            optional --wait seconds: u64
        }
        /// Prints what is in force where.
        cmd status {
            /// Operators' address of a node.
            required --node address: String
            /// File that holds the operators' token.
            required --token-file file: PathBuf
        }
        /// Prints the whole state of a node as JSON.
        cmd dump {
            /// Operators' address of a node.
            required --node address: String
            /// File that holds the operators' token.
            required --token-file file: PathBuf
        }
        /// Runs stand-ins and three nodes in one process and shows the whole path.
        cmd demo {}
        /// Measures nodes and a naive baseline under load and faults; prints tables.
        cmd load {
            /// Sizes to take: guild or kloofglas.
            required --deployment name: String
            /// Cases, separated by commas; all of them when absent.
            optional --cases list: String
            /// Callers' address of a node; only the baseline runs without one.
            repeated --node address: String
            /// Process id of a node, for processor times and planned stops.
            repeated --pid pid: u32
            /// Operators' address of a node.
            optional --operator address: String
            /// File that holds the operators' token.
            optional --token-file file: PathBuf
            /// Address on which the platform stand-in listens.
            optional --platform address: String
            /// Length of each case, in seconds.
            optional --seconds seconds: u64
            /// Queries a second, in place of a part of the capacity.
            optional --rate rate: f64
            /// Seed of arrivals and faults.
            optional --seed seed: u64
            /// Leaves the naive baseline out.
            optional --no-baseline
        }
        /// Measures the slopes of the capacity page and compares ways of owning targets.
        cmd capacity {
            /// Folder for the plots.
            optional --plots folder: PathBuf
            /// Seed of random ownership.
            optional --seed seed: u64
        }
        /// Runs a stand-in of the platform's service until SIGTERM or SIGINT.
        cmd standin-platform {
            /// Address to listen on.
            required --listen address: String
            /// Configuration document for whose targets to store snapshot maps at the start.
            optional --maps-for file: PathBuf
        }
        /// Runs searcher stand-ins of every target in a configuration until SIGTERM or SIGINT.
        cmd standin-searcher {
            /// Configuration document whose targets to run.
            required --configuration file: PathBuf
        }
    }
}
