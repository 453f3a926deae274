package org.acaciaflow.transport.process

import kotlinx.collections.immutable.PersistentMap
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.acaciaflow.coordination.sidecar.SidecarTables
import org.acaciaflow.state.identity.ProcessIdentity
import org.acaciaflow.state.loop.LoopState
import kotlin.time.Instant

/** The status page of a sidecar. */
@Serializable
internal data class SidecarStatus(
    val process: String,
    val at: String,
    val revision: Long,
    val phase: String,
    val role: String,
    val running: Int,
    val capacity: Int,
    val journalEntries: Int,
    val loops: List<LoopStatus>,
) {
    companion object {
        fun describe(
            self: ProcessIdentity,
            tables: SidecarTables,
            loops: PersistentMap<String, LoopState>,
            now: Instant,
        ): String {
            val load = tables.load.snapshot()
            val status =
                SidecarStatus(
                    process = self.toString(),
                    at = now.toString(),
                    revision = tables.configuration.snapshot().revision,
                    phase = load.phase::class.simpleName.orEmpty(),
                    role = load.role.name.lowercase(),
                    running = load.running.size,
                    capacity = load.capacity,
                    journalEntries =
                        tables.journal
                            .snapshot()
                            .entries.size,
                    loops = loopStatuses(loops),
                )
            return Json.encodeToString(serializer(), status)
        }
    }
}
