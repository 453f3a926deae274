package org.acaciaflow.coordination.gateway

import org.acaciaflow.coordination.retry.RetryReason
import org.acaciaflow.state.refusal.Refusal

/** What follows from one attempt at a request. */
internal sealed interface AttemptConclusion {
    /** The caller has its whole answer. */
    data object Delivered : AttemptConclusion

    /** Try again; [charged] when the retry counts against the retry budget. */
    data class Retry(
        val pending: PendingExchange,
        val reason: RetryReason,
        val charged: Boolean,
    ) : AttemptConclusion

    data class Refused(
        val refusal: Refusal,
    ) : AttemptConclusion

    /** An answer that had begun cannot be completed. */
    data class Cut(
        val refusal: Refusal,
    ) : AttemptConclusion

    data object CallerGone : AttemptConclusion
}
