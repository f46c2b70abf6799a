//! Errors in the values of the platform's file, if its JSON is well-formed.

use applewall::platform_settings::SettingsError;

use super::platform::MIN_DESCRIPTORS;

/// A value in the platform's file that is not valid.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PlatformFileError {
    /// A setting of the decision policy is not valid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// `limits.sockets` is below [`MIN_DESCRIPTORS`].
    #[error(
        "limits.sockets: {0} descriptors are too few, at least {MIN_DESCRIPTORS} are required"
    )]
    TooFewDescriptors(usize),
    #[error("seed: '{0}' is not a hexadecimal number")]
    Seed(String),
}
