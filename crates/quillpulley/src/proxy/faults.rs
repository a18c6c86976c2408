//! The deliberate faults of a proxy.

quillpulley_fault_injection::define_faults! {
    /// The faults of a proxy.
    Faults {
        /// A request that is not idempotent is sent again after its connection broke.
        retry_after_reset,
        /// A response is accepted for the request that waits on its connection, whatever id it has.
        ignore_response_ids,
    }
}
