package org.acaciaflow.coordination.stream

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.coroutines.delay
import kotlinx.io.bytestring.ByteString
import org.acaciaflow.coordination.port.Decoded
import org.acaciaflow.coordination.port.LeaseIdentity
import org.acaciaflow.coordination.port.LeaseRenewal
import org.acaciaflow.coordination.port.LeasedSwap
import org.acaciaflow.coordination.port.LeasedWrites
import org.acaciaflow.coordination.port.LineageDocuments
import org.acaciaflow.coordination.port.RecordWrite
import org.acaciaflow.coordination.port.RecordedBases
import org.acaciaflow.coordination.port.RecordedOrigins
import org.acaciaflow.coordination.port.StoreFailure
import org.acaciaflow.coordination.port.StoreKey
import org.acaciaflow.coordination.port.StoreLease
import org.acaciaflow.coordination.port.StoreResult
import org.acaciaflow.coordination.port.StreamRecords
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.identity.SoftwareVersion
import org.acaciaflow.state.store.StoreEra
import org.acaciaflow.state.store.StoreRevision
import org.acaciaflow.state.stream.HostBase
import org.acaciaflow.state.stream.PoolBase
import org.acaciaflow.state.stream.StreamKey
import org.acaciaflow.state.stream.StreamRecord
import kotlin.time.Duration

/** A store of records and base versions that several gateways share; each call lasts for [latency]. */
internal class FakeRecordStore(
    private val latency: Duration = Duration.ZERO,
) : StreamRecords,
    LineageDocuments,
    LeasedWrites {
    private val leases = mutableSetOf<StoreLease>()
    private val leaseOf = mutableMapOf<StreamKey, LeaseIdentity>()
    private var lastLease = 0L
    private var revision = 0L
    private var era = 1L

    val records = mutableMapOf<StreamKey, StreamRecord>()
    val bases = mutableMapOf<PoolName, Pair<PoolBase, StoreRevision>>()
    val hosts = mutableMapOf<String, Pair<HostBase, StoreRevision>>()
    val batches = mutableListOf<Int>()
    val granted = mutableListOf<Duration>()
    var lookups = 0

    /** While true, each lease has ended when a record is written under it. */
    var losesLeases = false

    /** While set, each call fails for this reason and has no effect. */
    var failure: StoreFailure? = null

    /** Ends all leases; the records stay, as they do until the store notices. */
    fun endLeases() = leases.clear()

    /** Ends the lease [number] and removes the records under it. */
    fun expireLease(number: Long) {
        val lease = LeaseIdentity(number)
        leases.removeAll { it.identity == lease }
        records.keys.removeAll { leaseOf[it] == lease }
    }

    /** The version of the base of [pool]. */
    fun baseOf(pool: PoolName): SoftwareVersion? = bases[pool]?.first?.version

    /** Goes on from a copy without any record and lease, in the next era; the bases are in the copy. */
    fun returnFromEmptyCopy() {
        era += 1
        records.clear()
        leases.clear()
        lastLease = 0
        bases.replaceAll { _, (base, revision) -> base to StoreRevision(currentEra(), revision.number) }
        hosts.replaceAll { _, (base, revision) -> base to StoreRevision(currentEra(), revision.number) }
    }

    override suspend fun write(
        records: PersistentList<StreamRecord>,
        lease: StoreLease,
    ): StoreResult<RecordWrite> =
        answer {
            val valid = !losesLeases && leases.any { it.identity == lease.identity }
            if (valid) {
                batches += records.size
                records.forEach { this.records[it.key] = it }
                records.forEach { leaseOf[it.key] = lease.identity }
            }
            RecordWrite(currentEra(), valid)
        }

    override suspend fun read(
        streams: PersistentSet<StreamKey>,
        hosts: PersistentSet<String>,
        pools: PersistentSet<PoolName>,
    ): StoreResult<RecordedOrigins> =
        answer {
            lookups += 1
            RecordedOrigins(
                currentEra(),
                records.filterKeys { it in streams }.mapValues { Decoded.Valid(it.value) }.toPersistentMap(),
                this.hosts
                    .filterKeys { it in hosts }
                    .mapValues { Decoded.Valid(it.value.first) }
                    .toPersistentMap(),
                bases.filterKeys { it in pools }.mapValues { Decoded.Valid(it.value.first) }.toPersistentMap(),
            )
        }

    override suspend fun readAny(
        host: String,
        pool: PoolName,
    ): StoreResult<RecordedBases> =
        answer {
            lookups += 1
            val hostBase = hosts[host]?.let { Decoded.Valid(it.first) }
            val poolBase = bases[pool]?.let { Decoded.Valid(it.first) }
            RecordedBases(currentEra(), hostBase, poolBase, records.isNotEmpty())
        }

    override suspend fun swapBase(
        pool: PoolName,
        expected: StoreRevision?,
        base: PoolBase,
    ): StoreResult<LeasedSwap> = answer { swap(bases, pool, expected, base) }

    override suspend fun swapBase(
        host: String,
        expected: StoreRevision?,
        base: HostBase,
    ): StoreResult<LeasedSwap> = answer { swap(hosts, host, expected, base) }

    private fun <Key, Base> swap(
        documents: MutableMap<Key, Pair<Base, StoreRevision>>,
        key: Key,
        expected: StoreRevision?,
        base: Base,
    ): LeasedSwap {
        val current = documents[key]?.second
        if (current?.number != expected?.number) return LeasedSwap.Conflict(currentEra(), current)
        revision += 1
        documents[key] = base to StoreRevision(currentEra(), revision)
        return LeasedSwap.Written(StoreRevision(currentEra(), revision))
    }

    override suspend fun swap(
        key: StoreKey,
        expected: StoreRevision?,
        value: ByteString,
        lease: StoreLease?,
    ): StoreResult<LeasedSwap> = error("not used")

    override suspend fun grantLease(timeToLive: Duration): StoreResult<StoreLease> =
        answer {
            lastLease += 1
            granted += timeToLive
            StoreLease(LeaseIdentity(lastLease), currentEra()).also { leases += it }
        }

    override suspend fun renewLease(lease: StoreLease): StoreResult<LeaseRenewal> = error("records are not renewed")

    private fun currentEra(): StoreEra = StoreEra.Numbered(era)

    private suspend fun <Value> answer(value: () -> Value): StoreResult<Value> {
        delay(latency)
        return failure?.let { StoreResult.Failure(it) } ?: StoreResult.Success(value())
    }
}
