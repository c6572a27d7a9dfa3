//! Rollouts: steps, evidence, brakes and statements.
