package org.acaciaflow.coordination.configuration

import kotlinx.coroutines.flow.Flow
import org.acaciaflow.coordination.port.StoreResult
import org.acaciaflow.state.configuration.Configuration

/** Reads accepted configurations from the platform's store. */
interface ConfigurationSource {
    /** Reads the configuration that the head key refers to, unless its revision is at most [known]. */
    suspend fun read(known: Long): StoreResult<ConfigurationRead>

    /** Emits whenever the head key may have changed. The flow completes when the watch breaks. */
    fun changes(): Flow<Unit>
}

/** Outcome of reading the accepted configuration. */
sealed interface ConfigurationRead {
    data class Found(
        val configuration: Configuration,
    ) : ConfigurationRead

    data object NoneAccepted : ConfigurationRead

    /** The head key refers to no newer revision than the known one. */
    data object NotNewer : ConfigurationRead

    data class Faulty(
        val revision: Long,
        val fault: ConfigurationFault,
    ) : ConfigurationRead
}
