package org.acaciaflow.state.stream

import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.identity.SoftwareVersion

/** Says that the stream [key] began at [version] of [pool]. */
data class StreamRecord(
    val key: StreamKey,
    val pool: PoolName,
    val version: SoftwareVersion,
)
