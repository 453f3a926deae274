package org.acaciaflow.protocol.peer

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.acaciaflow.state.load.RemoteLoad
import org.acaciaflow.state.peer.ReportedLoad
import kotlin.time.Duration.Companion.milliseconds

/** The parallel lists in which messages carry the loads of backend servers. */
internal data class LoadLists(
    val lives: List<Int>,
    val workMilliseconds: List<Int>,
    val waiting: List<Int>,
    val running: List<Int>,
    val kiloTokens: List<Int>,
) {
    /** Returns the loads; throws [IndexOutOfBoundsException] if a list is shorter than [lives]. */
    fun toLoads(): PersistentList<ReportedLoad> =
        lives
            .mapIndexed { index, lifeCode ->
                ReportedLoad(
                    lifeCode = lifeCode,
                    load =
                        RemoteLoad(
                            work = workMilliseconds[index].milliseconds,
                            waiting = waiting[index],
                            running = running[index],
                            tokens = kiloTokens[index] * TOKENS_PER_KILO_TOKEN,
                        ),
                )
            }.toPersistentList()
}

/** Returns the lists for [loads]. */
internal fun loadListsOf(loads: List<ReportedLoad>): LoadLists =
    LoadLists(
        lives = loads.map { it.lifeCode },
        workMilliseconds =
            loads.map {
                it.load.work.inWholeMilliseconds
                    .toInt()
            },
        waiting = loads.map { it.load.waiting },
        running = loads.map { it.load.running },
        kiloTokens = loads.map { (it.load.tokens / TOKENS_PER_KILO_TOKEN).toInt() },
    )

private const val TOKENS_PER_KILO_TOKEN = 1024L
