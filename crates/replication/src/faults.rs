//! The deliberate faults of a replica.

quillpulley_fault_injection::define_faults! {
    /// The faults of a replica.
    Faults {
        /// The primary commits once a majority of members has stored an entry, not every one.
        acknowledge_by_majority,
        /// The primary acts as if it held a lease without end.
        ignore_own_lease,
        /// A witness promises although a lease that it granted to another node still runs.
        promise_under_lease,
        /// A witness answers before its record is durable.
        answer_before_sync,
        /// A learner counts as a member before it holds the data.
        count_learner_early,
        /// A primary lets the new set of witnesses decide alone, without a majority of the old one.
        change_witnesses_in_one_step,
        /// All members of a view become its witnesses at once, without a majority of the old set.
        replace_all_witnesses,
        /// A witness that is no member of the newest view leads with the state that it has, and fetches none.
        elect_from_stale_snapshot,
        /// A primary states the active state without checking its lease at that moment.
        answer_without_lease_check,
        /// A member confirms an installed state before all of it is durable.
        install_before_complete,
        /// A witness forgets at a restart that it may have granted a lease.
        forget_lease_at_restart,
        /// A grant counts for the round of its number, whatever its epoch.
        ignore_epoch_of_grant,
        /// A candidate asks for promises before its claim of the epoch is durable.
        prepare_before_claim,
        /// A node that shuts down exits although the view without it has too few members.
        exit_with_too_few_members,
        /// A witness grants a lease in an epoch that is being prepared, although the lease of another node runs.
        grant_under_lease,
    }
}
