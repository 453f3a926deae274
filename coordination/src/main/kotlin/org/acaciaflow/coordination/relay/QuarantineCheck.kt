package org.acaciaflow.coordination.relay

import org.acaciaflow.coordination.crash.CrashQuarantine
import kotlin.time.Instant

/** Stops requests that came into quarantine for crashes after they were admitted. */
internal class QuarantineCheck(
    private val tables: RelayTables,
) {
    /** Returns the conclusion of [request] if it must not be sent to a backend server at [now]; null if it may be. */
    fun conclusion(
        request: RelayedRequest,
        progress: RelayProgress,
        now: Instant,
    ): Conclusion? =
        CrashQuarantine
            .quarantinedUntil(tables.crashes.snapshot(), request.crashSubjects, now)
            ?.let { quarantined(progress, left = it - now) }
}
