package org.acaciaflow.transport.link

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.CoroutineScope
import org.acaciaflow.coordination.execution.SettleAnswer
import org.acaciaflow.coordination.port.AttemptOrder
import org.acaciaflow.coordination.port.AttemptStream
import org.acaciaflow.coordination.port.CallBody
import org.acaciaflow.coordination.port.SidecarConnections
import org.acaciaflow.state.identity.AttemptIdentity
import org.acaciaflow.state.identity.ProcessIdentity
import org.acaciaflow.state.lock.LockOrder
import org.acaciaflow.state.refusal.AttemptRefusal
import org.acaciaflow.state.table.createSharedTable
import kotlin.time.Duration

/** The open links of a gateway, by sidecar process. */
internal class SidecarDirectory(
    private val scope: CoroutineScope,
) : SidecarConnections {
    private val links = createSharedTable(LockOrder.LINKS, NO_LINKS)

    override suspend fun open(
        order: AttemptOrder,
        body: CallBody,
    ): AttemptStream {
        val link = links.snapshot()[order.sidecar] ?: return RefusedStream(AttemptRefusal.LINK_UNAVAILABLE)
        return link.open(scope, order, body)
    }

    override suspend fun settle(
        attempt: AttemptIdentity,
        sidecar: ProcessIdentity,
        timeout: Duration,
    ): SettleAnswer {
        val link = links.snapshot().values.firstOrNull { it.sidecar.address == sidecar.address }
        return link?.settle(attempt, sidecar, timeout) ?: SettleAnswer.Unreachable
    }

    fun add(link: SidecarLink) {
        links.update { it.put(link.sidecar, link) }
    }

    fun remove(link: SidecarLink) {
        links.update { if (it[link.sidecar] === link) it.remove(link.sidecar) else it }
    }

    private companion object {
        val NO_LINKS: PersistentMap<ProcessIdentity, SidecarLink> = persistentMapOf()
    }
}
