package org.acaciaflow.coordination.stream

import kotlinx.coroutines.withTimeoutOrNull
import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.port.Decoded
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.coordination.port.RecordedOrigins
import org.acaciaflow.coordination.port.StoreFailure
import org.acaciaflow.coordination.port.StoreResult
import org.acaciaflow.coordination.port.StreamRecords
import org.acaciaflow.coordination.relay.RelayTables
import org.acaciaflow.coordination.store.StoreEraTracker
import org.acaciaflow.state.backend.EngineRole
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.identity.SoftwareVersion
import org.acaciaflow.state.stream.BegunStream
import org.acaciaflow.state.stream.StreamRecord
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Keeps the origins of streams in the platform's store, so that they outlast all gateways.
 *
 * Only streams that began in another pool than that to which the base of their host leads, or at another version than
 * that pool's base, have a record.
 */
class StoredStreamOrigins(
    private val tables: RelayTables,
    private val records: StreamRecords,
    private val reader: StreamRecordReader,
    private val writer: StreamRecordWriter,
    eras: StoreEraTracker,
    private val observations: Observations,
    private val clock: Clock,
) : StreamOrigins {
    private val admittance = EraAdmittance(eras, clock)

    override fun startOf(
        stream: StreamIdentity,
        pool: PoolName,
    ): StartVersions {
        val now = clock.now()
        val failingSince = tables.store.snapshot().failingSince
        val isStoreDown = failingSince != null && now - failingSince >= LONGEST_WAIT
        return policyAt(now).startOf(stream, pool, versionsServing(pool), writer.isRecordable(now) && !isStoreDown)
    }

    override suspend fun began(
        stream: StreamIdentity,
        pool: PoolName,
        version: SoftwareVersion,
    ): Boolean {
        val record = StreamRecord(StreamKeys.keyOf(stream), pool, version)
        val stored =
            !policyAt(clock.now()).needsRecord(stream, pool, version) ||
                withTimeoutOrNull(LONGEST_WAIT) { writer.write(record) } == true
        if (stored) note(record) else observations.recordsHandled(StreamRecordOutcome.GIVEN_UP, 1)
        return stored
    }

    override fun wentOn(
        stream: StreamIdentity,
        pool: PoolName,
        version: SoftwareVersion,
    ) {
        val record = StreamRecord(StreamKeys.keyOf(stream), pool, version)
        note(record)
        // Each attempt has a time limit of its own, so that the first record may expire before the stream ends.
        if (policyAt(clock.now()).needsRecord(stream, pool, version)) writer.rewrite(listOf(record))
    }

    override suspend fun originOf(
        stream: StreamIdentity?,
        place: StreamPlace,
        pool: PoolName,
    ): StreamOrigin {
        if (stream == null) return originOfUnnamed(place, pool)
        val key = StreamKeys.keyOf(stream)
        val own = tables.begunStreams.snapshot()[key]
        if (own != null) return looked(OriginProof.ofOwn(own, pool))
        return when (val result = reader.read(key, place.host, pool)) {
            is StoreResult.Failure -> unavailable(result.reason)
            is StoreResult.Success -> originBy(result.value, stream, place, pool)
        }
    }

    private suspend fun originOfUnnamed(
        place: StreamPlace,
        pool: PoolName,
    ): StreamOrigin =
        when (val result = records.readAny(place.host, pool)) {
            is StoreResult.Failure -> unavailable(result.reason)
            is StoreResult.Success ->
                when (val era = admittance.admit(result.value.era)) {
                    null -> unavailable(StoreFailure.PAST_ERA)
                    else -> looked(OriginProof.ofBases(result.value.copy(era = era), place.path, pool))
                }
        }

    private fun originBy(
        state: RecordedOrigins,
        stream: StreamIdentity,
        place: StreamPlace,
        pool: PoolName,
    ): StreamOrigin {
        val key = StreamKeys.keyOf(stream)
        val record = state.records[key]
        if (record is Decoded.Invalid) observations.event(Event.StreamRecordUnreadable(key, record.fault))
        val bases = listOf(state.hosts[place.host], state.pools[pool]).mapNotNull { (it as? Decoded.Valid)?.value }
        val mayBeRewritten = record == null && bases.any { it.era != state.era }
        return looked(
            OriginProof.ofRecords(state, stream, place, pool),
            OriginPolicy.RETRY_AFTER.takeIf { mayBeRewritten },
        )
    }

    private fun unavailable(reason: StoreFailure): StreamOrigin {
        observations.storeFailed(reason)
        return looked(StreamOrigin.Unknown(OriginPolicy.RETRY_AFTER, OriginLookup.UNAVAILABLE))
    }

    private fun looked(
        proof: OriginProof?,
        retryAfter: Duration? = null,
    ): StreamOrigin = looked(if (proof == null) StreamOrigin.Unknown(retryAfter) else StreamOrigin.Known(proof))

    private fun looked(origin: StreamOrigin): StreamOrigin = origin.also { observations.originLookedUp(it.lookup) }

    private fun note(record: StreamRecord) {
        val begun = BegunStream(record, clock.now())
        tables.begunStreams.update { BegunStreams.with(it, begun) }
    }

    /** The versions of the servers of [pool] that may begin a stream; prefill engines can't. */
    private fun versionsServing(pool: PoolName): Set<SoftwareVersion> =
        tables.fleet
            .snapshot()
            .usableIn(pool)
            .filter { it.role != EngineRole.PREFILL }
            .map { it.software }
            .toSet()

    private fun policyAt(now: Instant): OriginPolicy =
        OriginPolicy(tables.versions.snapshot(), tables.store.snapshot(), now)

    private companion object {
        val LONGEST_WAIT: Duration = 1.seconds // callers give up after 2 s without an event
    }
}
