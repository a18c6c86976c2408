//! Deliberate faults, with which tests prove that they would notice a mistake of the proxy.
//!
//! Without the feature `fault-injection` no fault can be switched on: [`Faults`] has no fields, and each of its methods is
//! constant.

macro_rules! faults {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// The faults of a proxy.
        #[derive(Clone, Copy, Debug, Default)]
        pub struct Faults {
            $(
                $(#[$doc])*
                #[cfg(feature = "fault-injection")]
                pub $name: bool,
            )*
        }

        impl Faults {
            $(
                $(#[$doc])*
                #[cfg(feature = "fault-injection")]
                pub(crate) fn $name(self) -> bool {
                    self.$name
                }

                $(#[$doc])*
                #[cfg(not(feature = "fault-injection"))]
                pub(crate) const fn $name(self) -> bool {
                    false
                }
            )*
        }
    };
}

faults! {
    /// A request that is not idempotent is sent again after its connection broke.
    retry_after_reset,
    /// A response is accepted for the request that waits on its connection, whatever id it has.
    ignore_response_ids,
}
