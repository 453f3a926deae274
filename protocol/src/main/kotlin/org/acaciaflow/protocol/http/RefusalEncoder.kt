package org.acaciaflow.protocol.http

import org.acaciaflow.state.refusal.Refusal
import kotlin.time.Duration

/** Encodes refusals as HTTP answers in the format of one front end. */
fun interface RefusalEncoder {
    /** Encodes [refusal]; [retryAfter] is the delay before a retry makes sense, null if unknown. */
    fun encode(
        refusal: Refusal,
        retryAfter: Duration?,
    ): RefusalAnswer
}
