package org.acaciaflow.protocol.configuration

import kotlinx.collections.immutable.PersistentList
import kotlinx.io.bytestring.ByteString
import kotlinx.io.bytestring.decodeToString
import kotlinx.io.bytestring.encodeToByteString
import org.acaciaflow.coordination.configuration.ConfigurationFault
import org.acaciaflow.coordination.port.KeyValueStore
import org.acaciaflow.coordination.port.StoreFailure
import org.acaciaflow.coordination.port.StoreKey
import org.acaciaflow.coordination.port.StoreResult
import org.acaciaflow.coordination.port.StoredValue
import org.acaciaflow.coordination.port.SwapOutcome
import org.acaciaflow.protocol.store.StoreLayout

/**
 * Accepts a new configuration: its content under a key of its own, then one compare-and-swap of the head.
 */
class ConfigurationPublisher(
    private val store: KeyValueStore,
) {
    /**
     * Publishes the content document [text] as the successor of revision [base].
     *
     * [contentName] must be unique to this edit; it tells a lost answer from a lost race.
     */
    suspend fun publish(
        text: String,
        base: Long,
        contentName: String,
    ): PublishOutcome {
        val decoded = ConfigurationCodec.decodeContent(text, base + 1)
        if (decoded is DecodedConfiguration.Faulty) return PublishOutcome.Faulty(decoded.faults)
        val contentKey = StoreLayout.configurationContent(contentName)
        val failure = writeContent(contentKey, text.encodeToByteString())
        if (failure != null) return PublishOutcome.StoreFailed(failure)
        return moveHead(base, contentName)
    }

    /** Writes the content; null once it is known to be there, since a head must never name missing content. */
    private suspend fun writeContent(
        key: StoreKey,
        content: ByteString,
    ): StoreFailure? =
        when (val written = store.swap(key, KeyValueStore.ABSENT, content)) {
            is StoreResult.Success -> null
            is StoreResult.Failure -> written.reason.takeUnless { it.mayHaveTakenEffect && holds(key, content) }
        }

    private suspend fun holds(
        key: StoreKey,
        content: ByteString,
    ): Boolean {
        val read = store.read(key)
        return read is StoreResult.Success && read.value?.value == content
    }

    private suspend fun moveHead(
        base: Long,
        contentName: String,
    ): PublishOutcome {
        val current =
            when (val read = store.read(StoreLayout.CONFIGURATION_HEAD)) {
                is StoreResult.Failure -> return PublishOutcome.StoreFailed(read.reason)
                is StoreResult.Success -> read.value
            }
        val currentRevision = headOf(current)?.revision ?: NO_HEAD
        if (currentRevision != base) return PublishOutcome.Conflict(base, currentRevision)
        val next = ConfigurationHead(base + 1, contentName)
        val value = ConfigurationCodec.encodeHead(next).encodeToByteString()
        return swapHead(StoreLayout.CONFIGURATION_HEAD, current?.revision ?: KeyValueStore.ABSENT, value, next)
    }

    private suspend fun swapHead(
        key: StoreKey,
        expected: Long,
        value: ByteString,
        next: ConfigurationHead,
    ): PublishOutcome =
        when (val swapped = store.swap(key, expected, value)) {
            is StoreResult.Failure -> settled(next, swapped.reason)

            is StoreResult.Success -> {
                when (val outcome = swapped.value) {
                    is SwapOutcome.Swapped -> PublishOutcome.Accepted(next.revision)
                    is SwapOutcome.Conflict -> conflict(next, outcome.current)
                }
            }
        }

    private suspend fun settled(
        next: ConfigurationHead,
        reason: StoreFailure,
    ): PublishOutcome {
        if (!reason.mayHaveTakenEffect) return PublishOutcome.StoreFailed(reason)
        return when (val read = store.read(StoreLayout.CONFIGURATION_HEAD)) {
            is StoreResult.Failure -> PublishOutcome.InDoubt(next.revision, reason)
            is StoreResult.Success -> conflict(next, read.value)
        }
    }

    private fun conflict(
        next: ConfigurationHead,
        current: StoredValue?,
    ): PublishOutcome =
        when (val head = headOf(current)) {
            next -> PublishOutcome.Accepted(next.revision)
            else -> PublishOutcome.Conflict(next.revision - 1, head?.revision ?: NO_HEAD)
        }

    private fun headOf(value: StoredValue?): ConfigurationHead? =
        value?.let { ConfigurationCodec.decodeHead(it.value.decodeToString()) }

    private companion object {
        const val NO_HEAD = 0L
    }
}

/** Outcome of publishing a configuration. */
sealed interface PublishOutcome {
    data class Accepted(
        val revision: Long,
    ) : PublishOutcome

    /** Somebody else moved the head from [base] to [current] meanwhile; nothing was changed. */
    data class Conflict(
        val base: Long,
        val current: Long,
    ) : PublishOutcome

    data class Faulty(
        val faults: PersistentList<ConfigurationFault>,
    ) : PublishOutcome

    data class StoreFailed(
        val reason: StoreFailure,
    ) : PublishOutcome

    /** The answer was lost and the head cannot be read; the head may be at [revision]. */
    data class InDoubt(
        val revision: Long,
        val reason: StoreFailure,
    ) : PublishOutcome
}
