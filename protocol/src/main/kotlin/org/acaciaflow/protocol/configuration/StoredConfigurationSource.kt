package org.acaciaflow.protocol.configuration

import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.map
import kotlinx.io.bytestring.decodeToString
import org.acaciaflow.coordination.configuration.ConfigurationFault
import org.acaciaflow.coordination.configuration.ConfigurationRead
import org.acaciaflow.coordination.configuration.ConfigurationSource
import org.acaciaflow.coordination.port.KeyValueStore
import org.acaciaflow.coordination.port.StoreResult
import org.acaciaflow.coordination.port.StoredValue
import org.acaciaflow.protocol.store.StoreLayout

/** Reads the accepted configuration from the key-value store, where the head refers to immutable content. */
class StoredConfigurationSource(
    private val store: KeyValueStore,
) : ConfigurationSource {
    override suspend fun read(known: Long): StoreResult<ConfigurationRead> =
        when (val read = store.read(StoreLayout.CONFIGURATION_HEAD)) {
            is StoreResult.Failure -> read
            is StoreResult.Success -> readContent(read.value, known)
        }

    override fun changes(): Flow<Unit> = store.watch(StoreLayout.CONFIGURATION_HEAD).map { }

    private suspend fun readContent(
        headValue: StoredValue?,
        known: Long,
    ): StoreResult<ConfigurationRead> {
        if (headValue == null) return StoreResult.Success(ConfigurationRead.NoneAccepted)
        val head =
            ConfigurationCodec.decodeHead(headValue.value.decodeToString())
                ?: return faultyRead(headValue.revision, ConfigurationFault.Undecodable("head document is malformed"))
        if (head.revision <= known) return StoreResult.Success(ConfigurationRead.NotNewer)
        return when (val read = store.read(StoreLayout.configurationContent(head.content))) {
            is StoreResult.Failure -> read
            is StoreResult.Success -> decodeContent(head, read.value)
        }
    }

    private fun decodeContent(
        head: ConfigurationHead,
        content: StoredValue?,
    ): StoreResult<ConfigurationRead> {
        if (content == null) return faultyRead(head.revision, ConfigurationFault.Undecodable("content is missing"))
        return when (val decoded = ConfigurationCodec.decodeContent(content.value.decodeToString(), head.revision)) {
            is DecodedConfiguration.Decoded -> StoreResult.Success(ConfigurationRead.Found(decoded.configuration))
            is DecodedConfiguration.Faulty -> faultyRead(head.revision, decoded.faults.first())
        }
    }

    private fun faultyRead(
        revision: Long,
        fault: ConfigurationFault,
    ): StoreResult<ConfigurationRead> = StoreResult.Success(ConfigurationRead.Faulty(revision, fault))
}
