package org.acaciaflow.coordination.stream

import org.acaciaflow.coordination.port.Decoded
import org.acaciaflow.coordination.port.RecordedBases
import org.acaciaflow.coordination.port.RecordedOrigins
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.identity.SoftwareVersion
import org.acaciaflow.state.store.StoreEra
import org.acaciaflow.state.stream.BegunStream
import org.acaciaflow.state.stream.HostBase
import org.acaciaflow.state.stream.PoolBase
import org.acaciaflow.state.stream.StreamRoute

/**
 * Proves that a stream began at [version].
 *
 * It can be made only from what this gateway did itself, or from a state that the store had after the stream's take-up
 * had arrived. That nothing is known of another version proves nothing.
 */
class OriginProof private constructor(
    val version: SoftwareVersion,
    val lookup: OriginLookup,
) {
    companion object {
        /** The proof by [begun], which this gateway began or went on with; null if that was in another pool than [pool]. */
        fun ofOwn(
            begun: BegunStream,
            pool: PoolName,
        ): OriginProof? = proofIf(begun.record.pool == pool, begun.record.version, OriginLookup.OWN)

        /** The proof by [state] for [stream] at [place], whose take-up for [pool] had arrived before the state was read. */
        fun ofRecords(
            state: RecordedOrigins,
            stream: StreamIdentity,
            place: StreamPlace,
            pool: PoolName,
        ): OriginProof? =
            when (val record = state.records[StreamKeys.keyOf(stream)]) {
                null ->
                    ofBases(state.hosts[place.host], state.pools[pool], state.era) {
                        StreamRoutes.poolOf(it, place.path, stream) == pool
                    }
                is Decoded.Valid -> proofIf(record.value.pool == pool, record.value.version, OriginLookup.FOUND)
                is Decoded.Invalid -> null
            }

        /** The proof by [state] for a stream at [path] in [pool] that is not named: without any record, each began at the base. */
        fun ofBases(
            state: RecordedBases,
            path: String,
            pool: PoolName,
        ): OriginProof? =
            if (state.hasRecords) {
                null
            } else {
                ofBases(state.host, state.pool, state.era) { StreamRoutes.poolOf(it, path, stream = null) == pool }
            }

        /**
         * A stream that needs a record passes no event without it, so one without a record began where [host] leads it, at
         * the version that [base] names; [leadsToPool] says whether that is the pool of [base].
         */
        private fun ofBases(
            host: Decoded<HostBase>?,
            base: Decoded<PoolBase>?,
            era: StoreEra,
            leadsToPool: (List<StreamRoute>) -> Boolean,
        ): OriginProof? {
            val hostBase = (host as? Decoded.Valid)?.value ?: return null
            val poolBase = (base as? Decoded.Valid)?.value ?: return null
            val version = poolBase.version ?: return null
            val holds = hostBase.era == era && poolBase.era == era && leadsToPool(hostBase.routes.orEmpty())
            return proofIf(holds, version, OriginLookup.BASE)
        }

        private fun proofIf(
            holds: Boolean,
            version: SoftwareVersion,
            lookup: OriginLookup,
        ): OriginProof? = if (holds) OriginProof(version, lookup) else null
    }
}
