//! Which configuration is in force and when it was last confirmed.
