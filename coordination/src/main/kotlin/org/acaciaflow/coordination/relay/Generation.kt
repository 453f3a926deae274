package org.acaciaflow.coordination.relay

import org.acaciaflow.coordination.retry.RetryReason
import org.acaciaflow.state.prompt.Prompt
import org.acaciaflow.state.route.EngineProperties

/** A generation that is served by engines with [properties]; its attempts hedge [former], if any. */
internal data class Generation(
    val request: RelayedRequest,
    val prompt: Prompt,
    val properties: EngineProperties,
    val tracker: RelayProgressTracker,
    val former: HedgedAttempt?,
)

/** What follows an attempt at a generation. */
internal sealed interface EngineStep {
    data class Finished(
        val conclusion: Conclusion,
    ) : EngineStep

    data class Retry(
        val reason: RetryReason,
    ) : EngineStep

    /** Nothing was sent; KV cache that was to be fetched is still held for the request. */
    data object NotSent : EngineStep
}
