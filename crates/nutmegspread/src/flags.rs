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
