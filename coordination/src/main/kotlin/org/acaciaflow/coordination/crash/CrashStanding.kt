package org.acaciaflow.coordination.crash

import org.acaciaflow.state.crash.CrashSubject
import kotlin.time.Instant

/** Whether a request may be sent as far as the crashes of backend servers are concerned. */
sealed interface CrashStanding {
    /** Nothing in it is in quarantine. */
    data object Clear : CrashStanding

    /** It may be the one request that tries [parts], which are in quarantine. */
    data class MayTry(
        val parts: List<CrashSubject.Part>,
    ) : CrashStanding

    /** It must not be sent, and may be sent at [until] at the earliest. */
    data class Quarantined(
        val until: Instant,
    ) : CrashStanding
}
