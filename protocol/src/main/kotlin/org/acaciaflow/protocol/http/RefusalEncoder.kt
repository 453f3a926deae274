package org.acaciaflow.protocol.http

import org.acaciaflow.state.refusal.Refusal
import kotlin.time.Duration

/** Puts a refusal into the form that callers of one front end know. */
fun interface RefusalEncoder {
    /** The answer for [refusal]; [retryAfter] is when to come back, null when that is not known. */
    fun encode(
        refusal: Refusal,
        retryAfter: Duration?,
    ): RefusalAnswer
}
