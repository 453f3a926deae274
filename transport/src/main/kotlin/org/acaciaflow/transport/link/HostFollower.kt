package org.acaciaflow.transport.link

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentSet
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.io.IOException
import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.port.HostList
import org.acaciaflow.coordination.port.ListedHost
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.lock.LockOrder
import org.acaciaflow.state.table.Transition
import org.acaciaflow.state.table.createSharedTable
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Keeps one link open, or being opened, to every sidecar that the list of hosts names. */
internal class HostFollower(
    private val hosts: HostList,
    private val runner: SidecarLinkRunner,
    private val observations: Observations,
    private val scope: CoroutineScope,
    private val random: Random,
) {
    private val followed = createSharedTable(LockOrder.LINKS, Followed(persistentSetOf(), persistentSetOf()))

    fun start() {
        scope.launch { followHosts() }
    }

    private suspend fun followHosts() {
        while (true) {
            when (val listed = hosts.read()) {
                null -> observations.event(Event.HostListUnavailable)
                else -> follow(listed)
            }
            delay(HOST_LIST_INTERVAL)
        }
    }

    private fun follow(listed: PersistentList<ListedHost>) {
        val wanted = listed.filterNot { it.leaving }.map { it.sidecar }.toPersistentSet()
        val fresh =
            followed.transition { known ->
                val added = wanted.removeAll(known.kept)
                Transition(Followed(wanted, known.kept.addAll(added)), added)
            }
        fresh.forEach { address -> scope.launch { keepLink(address) } }
    }

    private suspend fun keepLink(address: HostAddress) {
        while (stillWanted(address)) {
            try {
                runner.run(address)
            } catch (_: IOException) {
                // The host may be gone or not started yet; the loop tries again while it is listed.
            }
            delay(RECONNECT_BASE + random.nextLong(RECONNECT_JITTER_MILLISECONDS).milliseconds)
        }
    }

    private fun stillWanted(address: HostAddress): Boolean =
        followed.transition { known ->
            when (address) {
                in known.wanted -> Transition(known, true)
                else -> Transition(known.copy(kept = known.kept.remove(address)), false)
            }
        }

    /** The sidecars that the list names, and those that a coroutine keeps a link to. */
    private data class Followed(
        val wanted: PersistentSet<HostAddress>,
        val kept: PersistentSet<HostAddress>,
    )

    private companion object {
        val HOST_LIST_INTERVAL: Duration = 1.seconds
        val RECONNECT_BASE: Duration = 100.milliseconds
        const val RECONNECT_JITTER_MILLISECONDS = 400L
    }
}
