//! Deliberate faults, with which tests prove that they would notice a mistake, and mechanisms that experiments leave
//! out to measure what they are worth.
//!
//! A crate that uses [`define_faults`] needs a feature `fault-injection`, which its own tests enable. Without it no
//! fault can be switched on: the type has no fields, and each of its methods is constant.
#![forbid(unsafe_code)]

/// Defines a type `Faults` with a public switch, and a method within the crate, for each fault.
///
/// ```ignore
/// quillpulley_fault_injection::define_faults! {
///     /// The faults of a cache.
///     Faults {
///         /// Expired entries are returned.
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

            /// Switches on the fault of this name. Returns false if there is none.
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
