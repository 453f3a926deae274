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
 * Publishes a configuration: writes its content under a separate key, then moves the head to it by compare-and-swap.
 */
class ConfigurationPublisher(
    private val store: KeyValueStore,
) {
    /**
     * Publishes the content document [text] as the successor of revision [base].
     *
     * [contentName] must be unique to this edit, so that a head that is read back after a lost answer shows whether
     * this edit or a concurrent one was accepted.
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
        return advanceHead(base, contentName)
    }

    /**
     * Writes the content; null on success.
     *
     * When the answer is lost, the content is read back, because the head must never refer to missing content.
     */
    private suspend fun writeContent(
        key: StoreKey,
        content: ByteString,
    ): StoreFailure? =
        when (val written = store.swap(key, KeyValueStore.ABSENT, content)) {
            is StoreResult.Success -> null
            is StoreResult.Failure -> written.reason.takeUnless { it.mayHaveTakenEffect && isStored(key, content) }
        }

    private suspend fun isStored(
        key: StoreKey,
        content: ByteString,
    ): Boolean {
        val read = store.read(key)
        return read is StoreResult.Success && read.value?.value == content
    }

    private suspend fun advanceHead(
        base: Long,
        contentName: String,
    ): PublishOutcome {
        val current =
            when (val read = store.read(StoreLayout.CONFIGURATION_HEAD)) {
                is StoreResult.Failure -> return PublishOutcome.StoreFailed(read.reason)
                is StoreResult.Success -> read.value
            }
        val currentRevision = decodeHead(current)?.revision ?: NO_HEAD
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
            is StoreResult.Failure -> resolveSwap(next, swapped.reason)

            is StoreResult.Success -> {
                when (val outcome = swapped.value) {
                    is SwapOutcome.Swapped -> PublishOutcome.Accepted(next.revision)
                    is SwapOutcome.Conflict -> resolveConflict(next, outcome.current)
                }
            }
        }

    private suspend fun resolveSwap(
        next: ConfigurationHead,
        reason: StoreFailure,
    ): PublishOutcome {
        if (!reason.mayHaveTakenEffect) return PublishOutcome.StoreFailed(reason)
        return when (val read = store.read(StoreLayout.CONFIGURATION_HEAD)) {
            is StoreResult.Failure -> PublishOutcome.InDoubt(next.revision, reason)
            is StoreResult.Success -> resolveConflict(next, read.value)
        }
    }

    private fun resolveConflict(
        next: ConfigurationHead,
        current: StoredValue?,
    ): PublishOutcome =
        when (val head = decodeHead(current)) {
            next -> PublishOutcome.Accepted(next.revision)
            else -> PublishOutcome.Conflict(next.revision - 1, head?.revision ?: NO_HEAD)
        }

    private fun decodeHead(value: StoredValue?): ConfigurationHead? =
        value?.let { ConfigurationCodec.decodeHead(it.value.decodeToString()) }

    private companion object {
        const val NO_HEAD = 0L
    }
}

/** The result of publishing a configuration. */
sealed interface PublishOutcome {
    data class Accepted(
        val revision: Long,
    ) : PublishOutcome

    /** The head is at revision [current] instead of [base]; this edit was not accepted. */
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

    /** The answer was lost and the head could not be read back; [revision] may have been accepted. */
    data class InDoubt(
        val revision: Long,
        val reason: StoreFailure,
    ) : PublishOutcome
}
