package org.acaciaflow.transport.process

import kotlinx.collections.immutable.PersistentMap
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.acaciaflow.coordination.gateway.GatewayTables
import org.acaciaflow.state.backend.BackendServer
import org.acaciaflow.state.identity.ProcessIdentity
import org.acaciaflow.state.loop.LoopState
import org.acaciaflow.state.waiting.WaitingRequests
import org.acaciaflow.state.work.Rank
import kotlin.time.Instant

/** The status page of a gateway. */
@Serializable
internal data class GatewayStatus(
    val process: String,
    val at: String,
    val revision: Long,
    val backendServers: List<BackendServerStatus>,
    val waiting: List<RankStatus>,
    val loops: List<LoopStatus>,
) {
    companion object {
        fun describe(
            self: ProcessIdentity,
            tables: GatewayTables,
            loops: PersistentMap<String, LoopState>,
            now: Instant,
        ): String {
            val servers =
                tables.servers
                    .snapshot()
                    .servers.values
                    .sortedBy { it.address.toString() }
            val status =
                GatewayStatus(
                    process = self.toString(),
                    at = now.toString(),
                    revision = tables.configuration.snapshot().revision,
                    backendServers = servers.map(::serverStatus),
                    waiting = Rank.entries.map { rankStatus(it, tables.waiting.snapshot()) },
                    loops = loopStatuses(loops),
                )
            return Json.encodeToString(serializer(), status)
        }

        private fun serverStatus(server: BackendServer): BackendServerStatus =
            BackendServerStatus(
                sidecar = server.process.toString(),
                pool = server.pool.name,
                dataCentre = server.dataCentre.name,
                availability = server.availability::class.simpleName.orEmpty(),
                role = server.role.name.lowercase(),
                running = server.predictedRunning,
                capacity = server.load.capacity,
            )

        private fun rankStatus(
            rank: Rank,
            waiting: WaitingRequests,
        ): RankStatus = RankStatus(rank.name.lowercase(), waiting.pools.values.sumOf { it.rank(rank).length })
    }
}

/** The state of one backend server as this gateway knows it. */
@Serializable
internal data class BackendServerStatus(
    val sidecar: String,
    val pool: String,
    val dataCentre: String,
    val availability: String,
    val role: String,
    val running: Int,
    val capacity: Int,
)

/** The number of waiting requests of one rank. */
@Serializable
internal data class RankStatus(
    val rank: String,
    val waiting: Int,
)
