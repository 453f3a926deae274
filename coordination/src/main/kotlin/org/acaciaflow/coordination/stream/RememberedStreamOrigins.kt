package org.acaciaflow.coordination.stream

import org.acaciaflow.coordination.routing.KnownRouting
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.identity.SoftwareVersion
import org.acaciaflow.state.stream.BegunStream
import org.acaciaflow.state.stream.StreamRecord
import org.acaciaflow.state.table.SharedTable
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Remembers the streams that began at this process, and nothing of those that began elsewhere or before its start.
 *
 * A stream is remembered for the longest timeout of the routes, unless more than [maximumStreams] begin meanwhile.
 */
class RememberedStreamOrigins(
    private val memory: SharedTable<RememberedStreams>,
    private val routing: SharedTable<KnownRouting>,
    private val clock: Clock,
    private val maximumStreams: Int = MAXIMUM_STREAMS,
) : StreamOrigins {
    override fun startOf(
        stream: StreamIdentity,
        pool: PoolName,
    ): StartVersions = StartVersions.Any

    override suspend fun began(
        stream: StreamIdentity,
        pool: PoolName,
        version: SoftwareVersion,
    ): Boolean {
        wentOn(stream, pool, version)
        return true
    }

    override fun wentOn(
        stream: StreamIdentity,
        pool: PoolName,
        version: SoftwareVersion,
    ) {
        val now = clock.now()
        val begun = BegunStream(StreamRecord(StreamKeys.keyOf(stream), pool, version), now)
        val retention = retention()
        memory.update { it.with(stream, begun).withoutOld(retention, maximumStreams, now) }
    }

    override suspend fun originOf(
        stream: StreamIdentity?,
        place: StreamPlace,
        pool: PoolName,
    ): StreamOrigin {
        val begun = stream?.let { memory.snapshot().streams[it] }
        val proof = begun?.let { OriginProof.ofOwn(it, pool) }
        return if (proof == null) StreamOrigin.Unknown(retryAfter = null) else StreamOrigin.Known(proof)
    }

    private fun retention(): Duration =
        routing
            .snapshot()
            .configuration
            .routesByHost.values
            .flatten()
            .maxOfOrNull { it.timeout } ?: INITIAL_RETENTION

    private companion object {
        const val MAXIMUM_STREAMS = 50_000
        val INITIAL_RETENTION: Duration = 60.seconds
    }
}
