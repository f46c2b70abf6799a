//! Ids of requests, endpoints and customers, and the numbers that the settings assign to classes, plans, nodes and
//! zones.

use std::borrow::Borrow;
use std::fmt;
use std::ops::Deref;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Identifies a request while it is in flight in the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Declares an id that is a number.
macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident($number:ty)) => {
        $(#[$doc])*
        #[derive(
            Clone,
            Copy,
            Debug,
            Default,
            PartialEq,
            Eq,
            PartialOrd,
            Ord,
            Hash,
            Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $number);

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, formatter)
            }
        }
    };
}

number_id! {
    /// Index of a class in [`PolicySettings::classes`](super::PolicySettings::classes).
    ClassId(usize)
}

number_id! {
    /// Index of a plan in [`PolicySettings::plans`](super::PolicySettings::plans).
    PlanId(usize)
}

number_id! {
    /// Number of a zone, in the order of the platform's settings, from 0.
    ZoneId(u32)
}

number_id! {
    /// A cell: a group of endpoints that share deduplication of idempotency keys. The platform assigns the numbers;
    /// -1 stands for an endpoint whose entry has none.
    CellId(i64)
}

number_id! {
    /// Number of a machine type, in the order of the platform's settings, from 0.
    MachineTypeId(u32)
}

/// Declares an id that is a shared string.
macro_rules! string_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the id as a string.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl Deref for $name {
            type Target = str;

            fn deref(&self) -> &str {
                &self.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                $name(text.into())
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                $name(text.into())
            }
        }

        impl From<Arc<str>> for $name {
            fn from(text: Arc<str>) -> Self {
                $name(text)
            }
        }

        impl From<$name> for Arc<str> {
            fn from(id: $name) -> Self {
                id.0
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&*self.0, formatter)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

string_id! {
    /// Opaque identifier of an upstream endpoint.
    EndpointId
}

string_id! {
    /// Identifies a customer, whose quota applies over all nodes together.
    CustomerId
}
