package org.acaciaflow.protocol.execution

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.emptyFlow
import kotlinx.coroutines.launch
import kotlinx.io.bytestring.ByteString
import org.acaciaflow.coordination.port.KeyValueStore
import org.acaciaflow.coordination.port.LeaseIdentity
import org.acaciaflow.coordination.port.StoreFailure
import org.acaciaflow.coordination.port.StoreKey
import org.acaciaflow.coordination.port.StoreResult
import org.acaciaflow.coordination.port.StoredValue
import org.acaciaflow.coordination.port.SwapOutcome
import kotlin.random.Random
import kotlin.time.Duration

/** An in-memory store that can be down or slow, reject a write, lose its answer, or apply it late. */
internal class FakeKeyValueStore(
    private val scope: CoroutineScope,
    private val random: Random,
    private val faultRate: Double,
) : KeyValueStore {
    private var entries = mapOf<StoreKey, StoredValue>()
    private var revision = 0L
    var down = false

    override suspend fun read(key: StoreKey): StoreResult<StoredValue?> {
        delay(random.nextLong(MAXIMUM_DELAY_MILLISECONDS))
        if (down) return StoreResult.Failure(StoreFailure.UNREACHABLE)
        if (random.nextDouble() < faultRate) return StoreResult.Failure(StoreFailure.TIMED_OUT)
        return StoreResult.Success(entries[key])
    }

    override suspend fun swap(
        key: StoreKey,
        expected: Long,
        value: ByteString,
        lease: LeaseIdentity?,
    ): StoreResult<SwapOutcome> {
        delay(random.nextLong(MAXIMUM_DELAY_MILLISECONDS))
        if (down) return StoreResult.Failure(StoreFailure.UNREACHABLE)
        if (random.nextDouble() >= faultRate) return StoreResult.Success(compareAndSwap(key, expected, value))
        return when (random.nextInt(WRITE_FAULT_KINDS)) {
            0 -> {
                StoreResult.Failure(StoreFailure.REJECTED)
            }

            1 -> {
                compareAndSwap(key, expected, value)
                StoreResult.Failure(StoreFailure.ANSWER_LOST)
            }

            else -> {
                scope.launch {
                    delay(random.nextLong(MAXIMUM_LATE_WRITE_MILLISECONDS))
                    compareAndSwap(key, expected, value)
                }
                StoreResult.Failure(StoreFailure.TIMED_OUT)
            }
        }
    }

    override suspend fun list(
        prefix: StoreKey,
        limit: Int,
    ): StoreResult<PersistentList<StoredValue>> =
        StoreResult.Success(
            entries.values
                .filter { it.key.path.startsWith(prefix.path) }
                .take(limit)
                .toPersistentList(),
        )

    override suspend fun grantLease(timeToLive: Duration): StoreResult<LeaseIdentity> =
        StoreResult.Failure(StoreFailure.REJECTED)

    override suspend fun renewLease(lease: LeaseIdentity): StoreResult<Boolean> =
        StoreResult.Failure(StoreFailure.REJECTED)

    override fun watch(prefix: StoreKey): Flow<StoredValue> = emptyFlow()

    private fun compareAndSwap(
        key: StoreKey,
        expected: Long,
        value: ByteString,
    ): SwapOutcome {
        val current = entries[key]
        if ((current?.revision ?: KeyValueStore.ABSENT) != expected) return SwapOutcome.Conflict(current)
        revision += 1
        entries = entries + (key to StoredValue(key, value, revision))
        return SwapOutcome.Swapped(revision)
    }

    private companion object {
        const val MAXIMUM_DELAY_MILLISECONDS = 20L
        const val MAXIMUM_LATE_WRITE_MILLISECONDS = 1500L
        const val WRITE_FAULT_KINDS = 3
    }
}
