package org.acaciaflow.coordination.configuration

import kotlinx.coroutines.flow.Flow
import org.acaciaflow.coordination.port.StoreResult
import org.acaciaflow.state.configuration.Configuration

/** Accepted configurations in the platform's store. */
interface ConfigurationSource {
    /** The configuration that the head names, read in full only when it is newer than revision [known]. */
    suspend fun read(known: Long): StoreResult<ConfigurationRead>

    /** Emits whenever the head may have moved. The flow completes when the watch breaks. */
    fun changes(): Flow<Unit>
}

/** What was found in the store. */
sealed interface ConfigurationRead {
    data class Found(
        val configuration: Configuration,
    ) : ConfigurationRead

    data object NoneAccepted : ConfigurationRead

    /** The head names no revision above the one known. */
    data object NotNewer : ConfigurationRead

    data class Faulty(
        val revision: Long,
        val fault: ConfigurationFault,
    ) : ConfigurationRead
}
