//! Serde adapters that encode times and durations as whole milliseconds.

/// Encodes a [`std::time::Duration`] as whole milliseconds.
pub mod duration_ms {
    use serde::{Deserialize, Deserializer, Serializer};
    use std::time::Duration;

    /// Serializes a duration as whole milliseconds.
    ///
    /// # Errors
    /// Errors of the serializer.
    pub fn serialize<S: Serializer>(value: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_u64(u64::try_from(value.as_millis()).unwrap_or(u64::MAX))
    }

    /// Deserializes a duration from whole milliseconds.
    ///
    /// # Errors
    /// If the value is not a whole number from 0 up.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
        u64::deserialize(deserializer).map(Duration::from_millis)
    }
}

/// Encodes a [`std::time::SystemTime`] as milliseconds since the Unix epoch.
pub mod time_ms {
    use serde::{Deserialize, Deserializer, Serializer};
    use std::time::{Duration, SystemTime, UNIX_EPOCH};

    /// Serializes a time as milliseconds since the Unix epoch; earlier times become 0.
    ///
    /// # Errors
    /// Errors of the serializer.
    pub fn serialize<S: Serializer>(value: &SystemTime, serializer: S) -> Result<S::Ok, S::Error> {
        let elapsed = value.duration_since(UNIX_EPOCH).unwrap_or_default();
        super::duration_ms::serialize(&elapsed, serializer)
    }

    /// Deserializes a time from milliseconds since the Unix epoch.
    ///
    /// # Errors
    /// If the value is not a whole number from 0 up, or if the time is too large for
    /// [`SystemTime`].
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<SystemTime, D::Error> {
        let millis = u64::deserialize(deserializer)?;
        UNIX_EPOCH
            .checked_add(Duration::from_millis(millis))
            .ok_or_else(|| serde::de::Error::custom("time is out of range"))
    }
}
