package org.acaciaflow.state.stream

import kotlin.time.Instant

/** A stream that began at this gateway at [at]. */
data class BegunStream(
    val record: StreamRecord,
    val at: Instant,
)
