package org.acaciaflow.coordination.stream

import org.acaciaflow.coordination.store.StoreFreshness
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.identity.SoftwareVersion
import org.acaciaflow.state.store.StoreKnowledge
import org.acaciaflow.state.stream.PoolVersions
import org.acaciaflow.state.stream.StreamBase
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Instant

/** Decides at which versions new streams may begin, and which of them need a record. */
internal class OriginPolicy(
    private val versions: PoolVersions,
    private val knowledge: StoreKnowledge,
    private val now: Instant,
) {
    /**
     * True if [stream], which begins at [version] of [pool], needs a record.
     *
     * Without one it counts as begun in the pool to which the base of its host leads, at the base of that pool.
     */
    fun needsRecord(
        stream: StreamIdentity,
        pool: PoolName,
        version: SoftwareVersion,
    ): Boolean = baseOf(stream, pool) != version

    /**
     * Returns where the new [stream] may begin in [pool], whose servers have the versions in [serving].
     *
     * Unless [recordable], only streams at the base can be taken up anywhere.
     */
    fun startOf(
        stream: StreamIdentity,
        pool: PoolName,
        serving: Set<SoftwareVersion>,
        recordable: Boolean,
    ): StartVersions {
        val base = baseOf(stream, pool)
        return when {
            recordable || serving.isEmpty() -> StartVersions.Any
            base != null && base in serving -> StartVersions.Only(base)
            else -> StartVersions.None(RETRY_AFTER)
        }
    }

    /** The version of [pool] at which [stream] needs no record; null if it needs one at each. */
    private fun baseOf(
        stream: StreamIdentity,
        pool: PoolName,
    ): SoftwareVersion? {
        val place = stream.place
        val hostBase = versions.hosts[place.host]?.base?.takeIf(::holds) ?: return null
        if (StreamRoutes.poolOf(hostBase.routes.orEmpty(), place.path, stream) != pool) return null
        val base = versions.lineages[pool]?.base?.takeIf(::holds)
        return base?.version
    }

    /** True if [base] can't have been replaced without this gateway's knowledge. */
    private fun holds(base: StreamBase): Boolean =
        base.era == knowledge.era && StoreFreshness.isConfirmedWithin(BASE_VALIDITY, knowledge, now)

    companion object {
        /** How long a gateway without contact to the store goes on to use a base; only then may it be replaced elsewhere. */
        val BASE_VALIDITY: Duration = 5.minutes

        /** When a caller may ask again whose stream's origin could not be read or stored. */
        val RETRY_AFTER: Duration = 500.milliseconds
    }
}

/** The software versions at which a new stream may begin. */
sealed interface StartVersions {
    data object Any : StartVersions

    /** No other stream could be recorded. */
    data class Only(
        val version: SoftwareVersion,
    ) : StartVersions

    /** No stream can be recorded, and no server has a version that needs no record; that may change after [retryAfter]. */
    data class None(
        val retryAfter: Duration,
    ) : StartVersions
}
