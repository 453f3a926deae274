package org.acaciaflow.coordination.port

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.store.StoreEra
import org.acaciaflow.state.stream.HostBase
import org.acaciaflow.state.stream.PoolBase
import org.acaciaflow.state.stream.StreamKey
import org.acaciaflow.state.stream.StreamRecord

/** Records in the platform's store that say where streams began. */
interface StreamRecords {
    /** Writes all of [records] or none, bound to [lease]; at most [MAXIMUM_BATCH] at once. A record may be written again. */
    suspend fun write(
        records: PersistentList<StreamRecord>,
        lease: StoreLease,
    ): StoreResult<RecordWrite>

    /**
     * Reads the records of [streams] and the bases of [hosts] and [pools] in one state of the store, which it has after
     * this call.
     *
     * At most [MAXIMUM_BATCH] at once.
     */
    suspend fun read(
        streams: PersistentSet<StreamKey>,
        hosts: PersistentSet<String>,
        pools: PersistentSet<PoolName>,
    ): StoreResult<RecordedOrigins>

    /** Reads the bases of [host] and [pool], and whether any stream has a record, whichever its pool, after this call. */
    suspend fun readAny(
        host: String,
        pool: PoolName,
    ): StoreResult<RecordedBases>

    companion object {
        /** The number of keys that one call may hold. */
        const val MAXIMUM_BATCH = 32
    }
}

/** The answer of [era] to a write; not [written] when the lease has expired. */
data class RecordWrite(
    val era: StoreEra,
    val written: Boolean,
)

/** One state of the store in [era]; what is in none of the maps is absent there. */
data class RecordedOrigins(
    val era: StoreEra,
    val records: PersistentMap<StreamKey, Decoded<StreamRecord>>,
    val hosts: PersistentMap<String, Decoded<HostBase>>,
    val pools: PersistentMap<PoolName, Decoded<PoolBase>>,
)

/** The bases of a host and a pool in [era], null if they are absent, and whether any stream has a record. */
data class RecordedBases(
    val era: StoreEra,
    val host: Decoded<HostBase>?,
    val pool: Decoded<PoolBase>?,
    val hasRecords: Boolean,
)
