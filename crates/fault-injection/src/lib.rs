//! Fault injection: switches for deliberate faults, with which tests verify that they detect such faults, and switches
//! that disable a mechanism, so that an experiment can measure its effect.
//!
//! A crate that uses [`define_faults`] needs a Cargo feature `fault-injection`, which its own tests enable. Without the
//! feature, no fault can be switched on: the generated type has no fields, and all its methods return the constant
//! `false`.
#![forbid(unsafe_code)]

/// Defines a type with one switch for each fault: a public field of type `bool`, and a method of the same name that is
/// visible within the crate and returns whether the fault is switched on.
///
/// ```ignore
/// quillpulley_fault_injection::define_faults! {
///     /// The faults of a cache.
///     Faults {
///         /// Returns expired entries.
///         return_expired,
///     }
/// }
/// ```
#[macro_export]
macro_rules! define_faults {
    ($(#[$type_doc:meta])* $type:ident { $($(#[$doc:meta])* $name:ident,)* }) => {
        $(#[$type_doc])*
        #[derive(Clone, Copy, Debug, Default)]
        pub struct $type {
            $(
                $(#[$doc])*
                #[cfg(feature = "fault-injection")]
                pub $name: bool,
            )*
        }

        impl $type {
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

            /// Switches on the fault with this name. Returns false if there is no such fault.
            #[cfg(feature = "fault-injection")]
            pub fn switch_on(&mut self, name: &str) -> bool {
                match name {
                    $(stringify!($name) => self.$name = true,)*
                    _ => return false,
                }
                true
            }
        }
    };
}
