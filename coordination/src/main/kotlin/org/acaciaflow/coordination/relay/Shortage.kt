package org.acaciaflow.coordination.relay

import org.acaciaflow.state.fleet.BackendEntry
import kotlin.time.Instant

/** Why no server takes a request now. */
internal sealed interface Shortage {
    /** There is none that it may still be sent to, or one may be free again at any time. */
    data object NoneLeft : Shortage

    /** The stream began at a software version that no known server has; new ones may be unknown if not [isCertain]. */
    data class VersionGone(
        val isCertain: Boolean,
    ) : Shortage

    /** All rest; the first returns at [until]. */
    data class AllResting(
        val until: Instant,
    ) : Shortage

    /**
     * Limits hold back some of them, and the others rest.
     *
     * [backend] takes the next request of this gateway at [until]; null if this gateway has no part of any limit.
     */
    data class HeldBack(
        val backend: BackendEntry,
        val until: Instant?,
    ) : Shortage
}
