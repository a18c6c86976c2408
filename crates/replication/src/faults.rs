//! The faults that tests can inject into a replica.

quillpulley_fault_injection::define_faults! {
    /// The injectable faults of a replica.
    Faults {
        /// The primary commits an entry once a majority of the members, instead of every member, has stored it.
        acknowledge_by_majority,
        /// The primary acts as if its lease never expired.
        ignore_own_lease,
        /// A witness promises an epoch although a lease that it granted to another node has not expired.
        promise_under_lease,
        /// A witness answers before its record is durable.
        answer_before_sync,
        /// A learner becomes a member before it holds the state.
        count_learner_early,
        /// A change of the witnesses takes effect without the approval of a majority of the old set.
        change_witnesses_in_one_step,
        /// All members of a view become its witnesses in one change, without the approval of a majority of the old set.
        replace_all_witnesses,
        /// A candidate that is not a member of the newest view keeps its own state instead of fetching the state of
        /// a member.
        elect_from_stale_snapshot,
        /// A primary answers reads without checking that it holds its lease at that moment.
        answer_without_lease_check,
        /// A member acknowledges an installed state before the state is durable.
        install_before_complete,
        /// A restarted witness ignores that it may have granted a lease before the restart.
        forget_lease_at_restart,
        /// A lease grant counts for the round with its number even if the epochs differ.
        ignore_epoch_of_grant,
        /// A candidate requests promises before its own claim of the epoch is durable.
        prepare_before_claim,
        /// A node that is shutting down exits although the view without it has too few members.
        exit_with_too_few_members,
        /// A witness grants a lease in an epoch that is still being prepared although the lease of another node has
        /// not expired.
        grant_under_lease,
    }
}
