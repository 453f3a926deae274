package org.acaciaflow.coordination.configuration

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.coordination.port.StoreResult
import org.acaciaflow.state.configuration.Configuration
import org.acaciaflow.state.table.SharedTable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Keeps a process at the highest configuration revision that it can learn of.
 *
 * A watch on the head comes first, a slow poll is the backstop, and peers offer what they have.
 */
class ConfigurationUpdater(
    private val source: ConfigurationSource,
    private val table: SharedTable<Configuration>,
    private val observations: Observations,
) {
    private val changed = Channel<Unit>(Channel.CONFLATED)
    private val revisions = MutableStateFlow(Configuration.NO_REVISION)

    /** The revision in force, for those that must tell others about a change. */
    val revision: StateFlow<Long> = revisions

    /** Starts watching and polling in [scope]. */
    fun start(scope: CoroutineScope) {
        scope.launch { watch() }
        scope.launch { refreshOnChange() }
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
            delay(WATCH_RETRY)
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
        val WATCH_RETRY: Duration = 1.seconds
    }
}
