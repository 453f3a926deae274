package org.acaciaflow.transport.link

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentSet
import kotlinx.coroutines.delay
import kotlinx.io.IOException
import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.port.HostList
import org.acaciaflow.coordination.port.ListedHost
import org.acaciaflow.coordination.port.LoopSupervisor
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.lock.LockOrder
import org.acaciaflow.state.table.Transition
import org.acaciaflow.state.table.createSharedTable
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Polls the host list and maintains one link to each sidecar on it, reconnecting after a failure. */
internal class HostListWatcher(
    private val hosts: HostList,
    private val runner: SidecarLinkRunner,
    private val observations: Observations,
    private val supervisor: LoopSupervisor,
    private val random: Random,
) {
    private val targets = createSharedTable(LockOrder.LINKS, Targets(persistentSetOf(), persistentSetOf()))

    fun start() {
        supervisor.startLoop("host-list-poll") { pollHostList() }
    }

    private suspend fun pollHostList() {
        while (true) {
            when (val hostList = hosts.read()) {
                null -> observations.event(Event.HostListUnavailable)
                else -> update(hostList)
            }
            delay(POLL_INTERVAL)
        }
    }

    private fun update(hostList: PersistentList<ListedHost>) {
        val listed = hostList.filterNot { it.leaving }.map { it.sidecar }.toPersistentSet()
        val added =
            targets.transition { current ->
                val unlinked = listed.removeAll(current.maintained)
                Transition(Targets(listed, current.maintained.addAll(unlinked)), unlinked)
            }
        added.forEach { address -> supervisor.startLoop("link $address") { maintainLink(address) } }
    }

    private suspend fun maintainLink(address: HostAddress) {
        while (isStillListed(address)) {
            try {
                runner.run(address)
            } catch (_: IOException) {
                // The sidecar may be down or not started yet; the loop reconnects while it is listed.
            }
            delay(RECONNECT_BASE + random.nextLong(RECONNECT_JITTER_MILLISECONDS).milliseconds)
        }
    }

    private fun isStillListed(address: HostAddress): Boolean =
        targets.transition { current ->
            when (address) {
                in current.listed -> Transition(current, true)
                else -> Transition(current.copy(maintained = current.maintained.remove(address)), false)
            }
        }

    /** The sidecars on the host list that are not leaving, and those whose link a coroutine maintains. */
    private data class Targets(
        val listed: PersistentSet<HostAddress>,
        val maintained: PersistentSet<HostAddress>,
    )

    private companion object {
        val POLL_INTERVAL: Duration = 1.seconds
        val RECONNECT_BASE: Duration = 100.milliseconds
        const val RECONNECT_JITTER_MILLISECONDS = 400L
    }
}
