package org.acaciaflow.transport.process

import kotlinx.collections.immutable.PersistentMap
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import org.acaciaflow.coordination.relay.RelayTables
import org.acaciaflow.state.fleet.BackendEntry
import org.acaciaflow.state.fleet.Fleet
import org.acaciaflow.state.identity.ProcessIdentity
import org.acaciaflow.state.loop.LoopState
import org.acaciaflow.state.notice.BackendNotices
import kotlin.time.Instant

/** Describes a gateway's view of the fleet as JSON. */
internal object EntryGatewayStatus {
    fun describe(
        self: ProcessIdentity,
        tables: RelayTables,
        loops: PersistentMap<String, LoopState>,
        now: Instant,
    ): String {
        val fleet = tables.fleet.snapshot()
        val notices = tables.notices.snapshot()
        val load = tables.load.snapshot()
        val records = tables.reliability.snapshot()
        val peers = tables.peers.snapshot()
        return buildJsonObject {
            put("process", self.toString())
            put(
                "configuration",
                tables.routing
                    .snapshot()
                    .configuration.version,
            )
            putJsonObject("store") { StoreStatus.describe(this, tables.store.snapshot(), now) }
            putJsonArray("backends") {
                for (entry in fleet.entries.values) {
                    addJsonObject {
                        put("instance", entry.life.instance)
                        put("pool", entry.pool.name)
                        put("role", entry.role.name)
                        put("software", entry.software.name)
                        put("availability", availabilityOf(fleet, notices, entry, now))
                        put("failure-share", records[entry.life]?.failureShare ?: 0.0)
                        put("own-jobs", load.ownAt(entry.life).jobs.size)
                        put("backlog-ms", load.backlogAt(entry.life, now).inWholeMilliseconds)
                    }
                }
            }
            putJsonArray("versions") { VersionStatus.describe(this, fleet, tables.versions.snapshot()) }
            putJsonArray("hosts") { VersionStatus.describeHosts(this, tables.versions.snapshot()) }
            putJsonArray("loops") {
                for (loop in loopStatuses(loops)) add(Json.encodeToJsonElement(LoopStatus.serializer(), loop))
            }
            putJsonArray("peers") {
                for (peer in peers.live.values) {
                    addJsonObject {
                        put("address", peer.address.toString())
                        put("heard-ms-ago", (now - peer.lastReportAt).inWholeMilliseconds)
                        put("configuration", peer.configurationVersion)
                    }
                }
            }
        }.toString()
    }

    private fun availabilityOf(
        fleet: Fleet,
        notices: BackendNotices,
        entry: BackendEntry,
        now: Instant,
    ): String =
        when {
            entry.draining || entry.life in fleet.leaving -> "leaving"
            entry.life in fleet.rejected -> "replaced"
            (notices.rests[entry.life]?.until ?: now) > now -> "resting"
            entry.life in fleet.lapsed -> "entry-missing"
            else -> "serving"
        }
}
