package org.acaciaflow.coordination.relay

import kotlinx.coroutines.CancellationException

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
