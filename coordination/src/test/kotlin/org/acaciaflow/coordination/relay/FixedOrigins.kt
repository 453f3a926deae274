package org.acaciaflow.coordination.relay

import kotlinx.coroutines.delay
import org.acaciaflow.coordination.stream.OriginProof
import org.acaciaflow.coordination.stream.StartVersions
import org.acaciaflow.coordination.stream.StreamIdentity
import org.acaciaflow.coordination.stream.StreamOrigin
import org.acaciaflow.coordination.stream.StreamOrigins
import org.acaciaflow.coordination.stream.StreamPlace
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.identity.SoftwareVersion
import org.acaciaflow.state.stream.BegunStream
import org.acaciaflow.state.stream.StreamKey
import org.acaciaflow.state.stream.StreamRecord
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Answers that every stream began at [origin], and that new ones may begin at [start]; [recorded] says whether they are. */
internal class FixedOrigins(
    private val origin: StreamOrigin,
    private val start: StartVersions = StartVersions.Any,
    private val recorded: Boolean = true,
    private val recordTakes: Duration = 5.milliseconds,
    private val onNoted: () -> Unit = {},
) : StreamOrigins {
    val noted = mutableListOf<StreamIdentity>()
    val asked = mutableListOf<StreamIdentity?>()

    override fun startOf(
        stream: StreamIdentity,
        pool: PoolName,
    ): StartVersions = start

    override suspend fun began(
        stream: StreamIdentity,
        pool: PoolName,
        version: SoftwareVersion,
    ): Boolean {
        delay(recordTakes)
        wentOn(stream, pool, version)
        return recorded
    }

    override fun wentOn(
        stream: StreamIdentity,
        pool: PoolName,
        version: SoftwareVersion,
    ) {
        noted += stream
        onNoted()
    }

    override suspend fun originOf(
        stream: StreamIdentity?,
        place: StreamPlace,
        pool: PoolName,
    ): StreamOrigin {
        asked += stream
        return origin
    }
}

/** The origin of a stream that began at [version]. */
internal fun beganAt(version: SoftwareVersion): StreamOrigin {
    val begun = BegunStream(StreamRecord(StreamKey(0, 1), SERVICE_POOL, version), Instant.DISTANT_PAST)
    return StreamOrigin.Known(checkNotNull(OriginProof.ofOwn(begun, SERVICE_POOL)))
}
