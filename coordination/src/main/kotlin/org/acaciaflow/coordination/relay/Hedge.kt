package org.acaciaflow.coordination.relay

import kotlinx.coroutines.CancellationException
import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.state.refusal.MayHaveRun

/** Serves a request at another server while one of its attempts is stalled. */
internal fun interface Hedge {
    /**
     * Makes further attempts while [stalled] exceeds the limit [stall], until one of them has answered the caller.
     *
     * The conclusion counts only if an attempt has superseded [stalled].
     */
    suspend fun serve(
        stalled: HedgedAttempt,
        stall: Stall,
    ): Conclusion
}

/**
 * Creates a hedge of the request of [tracker] by [serve], an exception of which leaves the silent attempt as it is.
 *
 * A request that another attempt of the hedge has superseded by then ends as a fault of this process.
 */
internal fun createHedge(
    tracker: RelayProgressTracker,
    observations: Observations,
    serve: suspend (stalled: HedgedAttempt, stall: Stall) -> Conclusion,
): Hedge =
    Hedge { stalled, stall ->
        try {
            serve(stalled, stall)
        } catch (cancellation: CancellationException) {
            throw cancellation
        } catch (failure: Exception) {
            observations.event(Event.WorkerFailed(failure))
            uncertain(tracker.progress, MayHaveRun.GATEWAY_FAULT)
        }
    }

/** The place of an attempt among those that hedge each other: it hedges [former], if any, and [hedge] hedges it. */
internal class Hedging(
    val former: HedgedAttempt?,
    val hedge: Hedge,
) {
    /** True while the caller still waits for the attempt that is hedged. */
    val isFormerOpen: Boolean
        get() = former != null && !former.superseded

    /** Stops the attempt that is hedged, and cancels the caller if that one has advanced meanwhile. */
    suspend fun supersedeFormer() {
        if (former?.supersede() == false) throw CancellationException("the stalled attempt has advanced")
    }
}
