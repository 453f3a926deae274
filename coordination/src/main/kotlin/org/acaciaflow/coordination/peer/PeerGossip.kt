package org.acaciaflow.coordination.peer

import kotlinx.collections.immutable.toPersistentList
import org.acaciaflow.coordination.crash.CrashRecorder
import org.acaciaflow.coordination.engine.PromptCaches
import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.event.NoticeOrigin
import org.acaciaflow.coordination.fleet.markLeaving
import org.acaciaflow.coordination.limit.LimitBudget
import org.acaciaflow.coordination.load.RemoteLoads
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.coordination.relay.RelayTables
import org.acaciaflow.coordination.reliability.ReliabilityPolicy
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.peer.Peer
import org.acaciaflow.state.peer.PeerReport
import org.acaciaflow.state.table.Transition
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Gossip between gateways: builds the reports of this gateway, and applies the reports received from peers. */
class PeerGossip(
    private val self: GatewayIdentity,
    private val tables: RelayTables,
    private val loadExchange: LoadExchange,
    private val observations: Observations,
) {
    private val crashRecorder = CrashRecorder(tables.crashes, tables.startingAttempts, observations)
    private val crashGossip = CrashGossip(tables.crashes, crashRecorder)
    private val surplusGossip = SurplusGossip(tables.surplus, tables.forms, observations)
    private val limitGossip = LimitGossip(tables.fleet, LimitBudget(tables, self.address, observations))
    private var sequence = 0L

    /** Builds the next report as of [now]; the prompts in it are left out of later reports. */
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
        return PeerReport(
            sender = self.address,
            startedAtMilliseconds = self.startedAtMilliseconds,
            sequence = sequence,
            dataCentre = self.dataCentre,
            capacity = self.capacity,
            configurationVersion =
                tables.routing
                    .snapshot()
                    .configuration.version,
            stopping = stopping,
            loads = LoadExchange.reportedLoads(tables.load.snapshot()),
            reads = tables.reads.drain(),
            leaving =
                fleet.leaving
                    .filter { it in known }
                    .map { it.code }
                    .toPersistentList(),
            unheard = unresponsiveServers(now).map { it.code }.toPersistentList(),
            crashes = crashGossip.reportedCrashes(now),
            served = crashGossip.reportedServed(now),
            surplus = surplusGossip.reported(known, now),
            limits =
                limitGossip.reported(
                    tables.peers
                        .snapshot()
                        .known.size,
                    sequence,
                    now,
                ),
        )
    }

    /** Applies a report that arrived at [now]; reports of this gateway itself and stale reports are ignored. */
    fun receive(
        report: PeerReport,
        now: Instant,
    ) {
        if (report.sender == self.address || !isNewer(report, now)) return
        val lives = tables.fleet.snapshot().livesByCode()
        applyLeaving(report, lives)
        applyReads(report, lives, now)
        applyLoads(report, now)
        val suspected = report.unheard.mapNotNull { lives[it] }
        if (suspected.isNotEmpty()) {
            val until = now + SUSPICION_PERIOD
            tables.load.update { it.copy(suspected = it.suspected.putAll(suspected.associateWith { until })) }
        }
        crashGossip.receive(report, now)
        surplusGossip.receive(report, lives, now)
        limitGossip.receive(report.sender, report.limits, lives, now)
    }

    /** Removes the peers whose last report is older than [ReportTiming.silenceLimit] as of [now]. */
    fun removeSilentPeers(now: Instant) {
        val peers = tables.peers.snapshot()
        val limit = ReportTiming.silenceLimit(peers.known.size)
        val silent = peers.live.filterValues { now - it.lastReportAt > limit }.keys
        for (address in silent) {
            tables.load.update { RemoteLoads.removed(it, address) }
            tables.peers.update { it.copy(live = it.live.remove(address)) }
            observations.event(Event.PeerSilent(address))
        }
    }

    private fun isNewer(
        report: PeerReport,
        now: Instant,
    ): Boolean {
        val recency =
            tables.peers.transition { peers ->
                val known = peers.live[report.sender]
                if (known != null && isStale(report, known, now)) return@transition Transition(peers, Recency.STALE)
                val peer =
                    Peer(
                        address = report.sender,
                        startedAtMilliseconds = report.startedAtMilliseconds,
                        lastSequence = report.sequence,
                        lastReportAt = now,
                        configurationVersion = report.configurationVersion,
                        dataCentre = report.dataCentre,
                        capacity = report.capacity,
                        stopping = report.stopping,
                    )
                val live = peers.live.put(report.sender, peer)
                Transition(peers.copy(live = live), if (known == null) Recency.FIRST else Recency.NEWER)
            }
        if (recency == Recency.FIRST) observations.event(Event.PeerHeard(report.sender, report.configurationVersion))
        return recency != Recency.STALE
    }

    /**
     * Returns true if [report] was sent before the last one of its sender.
     *
     * Start times and sequence numbers order reports only within [REORDERING_PERIOD] after the last one: the clock of
     * the sender may have been set back, and a single report may have had a number far ahead.
     */
    private fun isStale(
        report: PeerReport,
        known: Peer,
        now: Instant,
    ): Boolean =
        when {
            now - known.lastReportAt > REORDERING_PERIOD -> false
            report.startedAtMilliseconds == known.startedAtMilliseconds -> report.sequence <= known.lastSequence
            else -> report.startedAtMilliseconds < known.startedAtMilliseconds
        }

    private fun applyLeaving(
        report: PeerReport,
        lives: Map<Int, BackendLife>,
    ) {
        val origin = NoticeOrigin.Report(report.sender)
        report.leaving.mapNotNull { lives[it] }.forEach { markLeaving(tables.fleet, observations, it, origin) }
    }

    private fun applyReads(
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
                PromptCaches.prefilled(known, life, read.parts, engine.cacheTokens, now)
            }
        }
    }

    private fun applyLoads(
        report: PeerReport,
        now: Instant,
    ) {
        val source =
            loadExchange.sourceOf(report.startedAtMilliseconds, report.sequence, report.loads, measuredAt = now, now)
        tables.load.update { RemoteLoads.reported(it, report.sender, source) }
    }

    /** Returns the servers that this gateway cannot connect to, or whose streams have stalled, as of [now]. */
    private fun unresponsiveServers(now: Instant): Set<BackendLife> {
        val silent =
            tables.load
                .snapshot()
                .own
                .filterValues { it.silence(now) > ReliabilityPolicy.STREAM_SILENCE_LIMIT }
                .keys
        val unreachable =
            tables.reliability
                .snapshot()
                .filterValues { it.backoffUntil > now }
                .keys
        return silent + unreachable
    }

    private enum class Recency {
        FIRST,
        NEWER,
        STALE,
    }

    private companion object {
        val SUSPICION_PERIOD: Duration = 600.milliseconds // renewed by the next reports while the suspicion lasts
        val REORDERING_PERIOD: Duration = 1.seconds // late copies of datagrams arrive within it
    }
}
