package org.acaciaflow.coordination.peer

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.acaciaflow.coordination.crash.CrashReporting
import org.acaciaflow.coordination.engine.PromptCaches
import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.fleet.FleetChanges
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.coordination.relay.RelayTables
import org.acaciaflow.coordination.reliability.ReliabilityPolicy
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.load.RemoteLoad
import org.acaciaflow.state.peer.Peer
import org.acaciaflow.state.peer.PeerReport
import org.acaciaflow.state.peer.ReportedCrash
import org.acaciaflow.state.peer.ReportedLoad
import org.acaciaflow.state.table.Transition
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Writes this gateway's reports to its peers, and takes theirs in. */
class PeerNews(
    private val self: HostAddress,
    private val startedAtMilliseconds: Long,
    private val tables: RelayTables,
    private val observations: Observations,
) {
    private var sequence = 0L

    /** The report as of [now]; prompts that it tells of are not told again. */
    fun report(
        stopping: Boolean,
        now: Instant,
    ): PeerReport {
        sequence += 1
        val fleet = tables.fleet.snapshot()
        val known =
            fleet.entries.values
                .map { it.life }
                .toSet()
        val own = tables.load.snapshot().own
        val crashes = tables.crashes.snapshot().byDigest
        return PeerReport(
            sender = self,
            startedAtMilliseconds = startedAtMilliseconds,
            sequence = sequence,
            configurationVersion =
                tables.routing
                    .snapshot()
                    .configuration.version,
            stopping = stopping,
            loads =
                own
                    .filterValues { it.jobs.isNotEmpty() }
                    .map { (life, load) -> ReportedLoad(life.code, load.backlog(now), load.jobs.size, load.tokens) }
                    .toPersistentList(),
            reads = tables.reads.taken(),
            leaving =
                fleet.leaving
                    .filter { it in known }
                    .map { it.code }
                    .toPersistentList(),
            unheard = unheard(now).map { it.code }.toPersistentList(),
            crashes =
                crashes
                    .flatMap { (digest, lives) -> fresh(lives, now).map { ReportedCrash(digest, it.code) } }
                    .take(MAXIMUM_CRASHES)
                    .toPersistentList(),
        )
    }

    /** Takes in a report that arrived as of [now]; older ones of the same process are passed over. */
    fun heard(
        report: PeerReport,
        now: Instant,
    ) {
        if (report.sender == self || !isNewer(report, now)) return
        val lives =
            tables.fleet
                .snapshot()
                .entries.values
                .associate { it.life.code to it.life }
        leavings(report, lives)
        cacheContents(report, lives, now)
        loads(report, lives, now)
        val suspected = report.unheard.mapNotNull { lives[it] }
        if (suspected.isNotEmpty()) {
            val until = now + SUSPECTED_FOR
            tables.load.update { it.copy(suspected = it.suspected.putAll(suspected.associateWith { until })) }
        }
        for (crash in report.crashes) {
            val life = lives[crash.lifeCode] ?: continue
            tables.crashes.update { CrashReporting.reported(it, crash.digest, life, now) }
        }
    }

    /** Forgets peers that have been silent for too long as of [now]. */
    fun forgetSilent(now: Instant) {
        val silent =
            tables.peers
                .snapshot()
                .live
                .filterValues { now - it.lastReportAt > FORGOTTEN_AFTER }
                .keys
        for (address in silent) {
            tables.load.update { it.copy(remote = it.remote.remove(address)) }
            tables.peers.update { it.copy(live = it.live.remove(address)) }
            observations.event(Event.PeerSilent(address))
        }
    }

    private fun isNewer(
        report: PeerReport,
        now: Instant,
    ): Boolean {
        val former =
            tables.peers.transition { peers ->
                val known = peers.live[report.sender]
                if (known != null && isOlder(report, known)) return@transition Transition(peers, Heard.OLDER)
                val peer =
                    Peer(
                        address = report.sender,
                        startedAtMilliseconds = report.startedAtMilliseconds,
                        lastSequence = report.sequence,
                        lastReportAt = now,
                        configurationVersion = report.configurationVersion,
                    )
                val live =
                    if (report.stopping) {
                        peers.live.remove(
                            report.sender,
                        )
                    } else {
                        peers.live.put(report.sender, peer)
                    }
                Transition(peers.copy(live = live), if (known == null) Heard.FIRST else Heard.AGAIN)
            }
        if (former == Heard.FIRST) observations.event(Event.PeerHeard(report.sender, report.configurationVersion))
        return former != Heard.OLDER
    }

    private fun isOlder(
        report: PeerReport,
        known: Peer,
    ): Boolean =
        report.startedAtMilliseconds < known.startedAtMilliseconds ||
            (report.startedAtMilliseconds == known.startedAtMilliseconds && report.sequence <= known.lastSequence)

    private fun leavings(
        report: PeerReport,
        lives: Map<Int, BackendLife>,
    ) {
        val leaving = tables.fleet.snapshot().leaving
        val told = report.leaving.mapNotNull { lives[it] }.filterNot { it in leaving }
        if (told.isNotEmpty()) tables.fleet.update { told.fold(it, FleetChanges::leaving) }
    }

    private fun cacheContents(
        report: PeerReport,
        lives: Map<Int, BackendLife>,
        now: Instant,
    ) {
        if (report.reads.isEmpty()) return
        val entries = tables.fleet.snapshot().entries
        val services =
            tables.routing
                .snapshot()
                .configuration.services
        tables.caches.update { caches ->
            report.reads.fold(caches) { known, read ->
                val life = lives[read.lifeCode] ?: return@fold known
                val engine = entries[life.instance]?.let { services[it.pool]?.engine } ?: return@fold known
                PromptCaches.read(known, life, read.parts, engine.cacheTokens, now)
            }
        }
    }

    private fun loads(
        report: PeerReport,
        lives: Map<Int, BackendLife>,
        now: Instant,
    ) {
        val loads: PersistentMap<BackendLife, RemoteLoad> =
            report.loads
                .mapNotNull { load ->
                    lives[load.lifeCode]?.let {
                        it to
                            RemoteLoad(load.backlog, load.running, load.tokens, now)
                    }
                }.toMap()
                .toPersistentMap()
        tables.load.update { it.copy(remote = it.remote.put(report.sender, loads)) }
    }

    /** Servers that this gateway itself cannot reach or hear as of [now]. */
    private fun unheard(now: Instant): Set<BackendLife> {
        val silent =
            tables.load
                .snapshot()
                .own
                .filterValues { it.silence(now) > ReliabilityPolicy.SILENT_AFTER }
                .keys
        val avoided =
            tables.reliability
                .snapshot()
                .filterValues { it.backoffUntil > now }
                .keys
        return silent + avoided
    }

    private fun fresh(
        lives: Map<BackendLife, Instant>,
        now: Instant,
    ): List<BackendLife> = lives.filterValues { now - it < TOLD_FOR }.keys.toList()

    private enum class Heard {
        FIRST,
        AGAIN,
        OLDER,
    }

    private companion object {
        const val MAXIMUM_CRASHES = 32 // keeps a report within one datagram
        val TOLD_FOR: Duration = 5.seconds
        val SUSPECTED_FOR: Duration = 600.milliseconds // the next reports renew it while it holds
        val FORGOTTEN_AFTER: Duration = 3.seconds
    }
}
