package org.acaciaflow.coordination.configuration

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.withTimeoutOrNull
import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.port.LoopSupervisor
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.coordination.port.StoreResult
import org.acaciaflow.state.configuration.Configuration
import org.acaciaflow.state.table.SharedTable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Updates a process to the highest configuration revision that it learns of.
 *
 * Revisions come from a watch on the head key, from a poll every [POLL_INTERVAL] in case the watch misses a change,
 * and from peers.
 */
class ConfigurationUpdater(
    private val source: ConfigurationSource,
    private val table: SharedTable<Configuration>,
    private val observations: Observations,
) {
    private val changed = Channel<Unit>(Channel.CONFLATED)
    private val revisions = MutableStateFlow(Configuration.NO_REVISION)

    /** The revision in force, observable so that changes can be announced to peers. */
    val revision: StateFlow<Long> = revisions

    /** Starts the watch and the poll as loops of [supervisor]. */
    fun start(supervisor: LoopSupervisor) {
        supervisor.startLoop("configuration-watch") { watch() }
        supervisor.startLoop("configuration-poll") { refreshOnChange() }
    }

    /** Adopts [offered] if it is newer than the configuration in force. */
    fun offer(offered: Configuration): AdoptionOutcome {
        val outcome = table.transition { current -> ConfigurationAdoption.adopt(current, offered) }
        when (outcome) {
            AdoptionOutcome.ADOPTED -> {
                observations.event(Event.ConfigurationAdopted(offered.revision))
                revisions.value = table.snapshot().revision
            }

            AdoptionOutcome.OLDER -> {
                val current = table.snapshot().revision
                observations.event(Event.ConfigurationOlderIgnored(offered.revision, current))
            }

            AdoptionOutcome.SAME -> {
                Unit
            }
        }
        return outcome
    }

    private suspend fun watch() {
        while (true) {
            source.changes().collect { changed.trySend(Unit) }
            changed.trySend(Unit)
            delay(WATCH_RETRY_DELAY)
        }
    }

    private suspend fun refreshOnChange() {
        while (true) {
            refresh()
            withTimeoutOrNull(POLL_INTERVAL) { changed.receive() }
        }
    }

    private suspend fun refresh() {
        when (val result = source.read(table.snapshot().revision)) {
            is StoreResult.Failure -> observations.storeFailed(result.reason)
            is StoreResult.Success -> apply(result.value)
        }
    }

    private fun apply(read: ConfigurationRead) {
        when (read) {
            is ConfigurationRead.Found -> offer(read.configuration)

            is ConfigurationRead.Faulty -> {
                observations.event(Event.ConfigurationRejected(read.revision, read.fault))
            }

            ConfigurationRead.NoneAccepted, ConfigurationRead.NotNewer -> Unit
        }
    }

    private companion object {
        val POLL_INTERVAL: Duration = 10.seconds
        val WATCH_RETRY_DELAY: Duration = 1.seconds
    }
}
