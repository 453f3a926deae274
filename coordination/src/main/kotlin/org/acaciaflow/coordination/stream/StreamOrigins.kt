package org.acaciaflow.coordination.stream

import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.identity.SoftwareVersion
import kotlin.time.Duration

/**
 * Knows at which software version each stream began that a caller may take up again, at whichever gateway.
 *
 * What two versions write does not fit together, so a stream may go on only at the version that began it.
 */
interface StreamOrigins {
    /** Returns at which versions of [pool] the new [stream] may begin. */
    fun startOf(
        stream: StreamIdentity,
        pool: PoolName,
    ): StartVersions

    /**
     * Notes that [stream] begins at [version] of [pool].
     *
     * Returns true once a take-up at any gateway will find the origin, or false if that can't be had in time: no event
     * of the stream may be passed to the caller then.
     */
    suspend fun began(
        stream: StreamIdentity,
        pool: PoolName,
        version: SoftwareVersion,
    ): Boolean

    /** Notes that [stream], whose origin is known, goes on here at [version] of [pool]. */
    fun wentOn(
        stream: StreamIdentity,
        pool: PoolName,
        version: SoftwareVersion,
    )

    /**
     * Returns at which version of [pool] the earlier [stream] at [place] began; null if its caller does not name it.
     *
     * A stream that began in another pool is unknown.
     */
    suspend fun originOf(
        stream: StreamIdentity?,
        place: StreamPlace,
        pool: PoolName,
    ): StreamOrigin
}

/** Names a stream by the caller's attempt that brought its first event, [requestId], at the host of [place]. */
data class StreamIdentity(
    val requestId: String,
    val place: StreamPlace,
)

/** Where callers ask for a stream. */
data class StreamPlace(
    val host: String,
    val path: String,
)

/** Where a stream that is taken up began. */
sealed interface StreamOrigin {
    val lookup: OriginLookup

    data class Known(
        val proof: OriginProof,
    ) : StreamOrigin {
        override val lookup: OriginLookup
            get() = proof.lookup
    }

    /** It can't be proved; the stream must not go on. The caller may ask again after [retryAfter], or never if it is null. */
    data class Unknown(
        val retryAfter: Duration?,
        override val lookup: OriginLookup = OriginLookup.UNKNOWN,
    ) : StreamOrigin
}
