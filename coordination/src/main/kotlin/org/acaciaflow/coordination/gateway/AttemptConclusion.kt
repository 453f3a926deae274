package org.acaciaflow.coordination.gateway

import org.acaciaflow.coordination.retry.RetryReason
import org.acaciaflow.state.refusal.Refusal

/** How the gateway proceeds after one attempt at a request. */
internal sealed interface AttemptConclusion {
    /** The complete answer was sent to the caller. */
    data object Delivered : AttemptConclusion

    /** Requeue [pending] for another attempt; [charged] if the retry counts against the retry budget. */
    data class Retry(
        val pending: PendingExchange,
        val reason: RetryReason,
        val charged: Boolean,
    ) : AttemptConclusion

    /** Refuse the request; no part of an answer has been sent to the caller. */
    data class Refused(
        val refusal: Refusal,
    ) : AttemptConclusion

    /** Abort the exchange: part of the answer was sent and the rest cannot be delivered. */
    data class Aborted(
        val refusal: Refusal,
    ) : AttemptConclusion

    data object CallerGone : AttemptConclusion
}
