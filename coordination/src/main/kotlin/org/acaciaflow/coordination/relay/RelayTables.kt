package org.acaciaflow.coordination.relay

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.acaciaflow.coordination.crash.StartingAttempt
import org.acaciaflow.coordination.peer.RecentReads
import org.acaciaflow.coordination.routing.KnownRouting
import org.acaciaflow.coordination.stream.RememberedStreamOrigins
import org.acaciaflow.coordination.stream.RememberedStreams
import org.acaciaflow.coordination.stream.StreamOrigins
import org.acaciaflow.state.buffer.BufferUse
import org.acaciaflow.state.connection.AnswerForms
import org.acaciaflow.state.connection.SurplusAnswers
import org.acaciaflow.state.crash.CrashReports
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.fleet.Fleet
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.identity.RouteName
import org.acaciaflow.state.limit.ServerLimits
import org.acaciaflow.state.load.EngineRates
import org.acaciaflow.state.load.FleetLoad
import org.acaciaflow.state.load.JobIdentity
import org.acaciaflow.state.load.MeanPrefill
import org.acaciaflow.state.lock.LockOrder
import org.acaciaflow.state.notice.BackendNotices
import org.acaciaflow.state.peer.Peers
import org.acaciaflow.state.prompt.PromptCache
import org.acaciaflow.state.reliability.ReliabilityRecord
import org.acaciaflow.state.retry.RetryWindow
import org.acaciaflow.state.store.StoreKnowledge
import org.acaciaflow.state.stream.BegunStream
import org.acaciaflow.state.stream.PoolVersions
import org.acaciaflow.state.stream.StreamKey
import org.acaciaflow.state.table.SharedTable
import org.acaciaflow.state.table.createSharedTable
import kotlin.time.Clock
import kotlin.time.Duration

/** The shared tables of a gateway that calls backend servers directly, declared in lock order. */
data class RelayTables internal constructor(
    val routing: SharedTable<KnownRouting>,
    internal val timeLimits: SharedTable<PersistentMap<RouteName, Duration>>,
    internal val turns: SharedTable<PersistentList<PendingTurn>>,
    val fleet: SharedTable<Fleet>,
    val notices: SharedTable<BackendNotices>,
    val reliability: SharedTable<PersistentMap<BackendLife, ReliabilityRecord>>,
    val meanPrefills: SharedTable<PersistentMap<RouteName, MeanPrefill>>,
    val caches: SharedTable<PersistentMap<BackendLife, PromptCache>>,
    val reads: RecentReads,
    val load: SharedTable<FleetLoad>,
    val rates: SharedTable<PersistentMap<PoolName, EngineRates>>,
    internal val startingAttempts: SharedTable<PersistentMap<JobIdentity, StartingAttempt>>,
    val crashes: SharedTable<CrashReports>,
    val store: SharedTable<StoreKnowledge>,
    val peers: SharedTable<Peers>,
    val limits: SharedTable<ServerLimits>,
    val answerBuffers: SharedTable<BufferUse>,
    val streamOrigins: SharedTable<RememberedStreams>,
    val versions: SharedTable<PoolVersions>,
    val begunStreams: SharedTable<PersistentMap<StreamKey, BegunStream>>,
    val retryWindows: SharedTable<PersistentMap<PoolName, RetryWindow>>,
    val surplus: SharedTable<SurplusAnswers>,
    val forms: SharedTable<AnswerForms>,
)

/** Creates the tables of a starting gateway, which are all empty. */
fun createRelayTables(): RelayTables =
    RelayTables(
        routing = createSharedTable(LockOrder.ROUTING, KnownRouting.NONE),
        timeLimits = createSharedTable(LockOrder.TIME_LIMITS, persistentMapOf()),
        turns = createSharedTable(LockOrder.REQUEST_TURNS, persistentListOf()),
        fleet = createSharedTable(LockOrder.FLEET, Fleet.NONE),
        notices = createSharedTable(LockOrder.BACKEND_NOTICES, BackendNotices.NONE),
        reliability = createSharedTable(LockOrder.RELIABILITY, persistentMapOf()),
        meanPrefills = createSharedTable(LockOrder.MEAN_PREFILLS, persistentMapOf()),
        caches = createSharedTable(LockOrder.PROMPT_CACHES, persistentMapOf()),
        reads = RecentReads(createSharedTable(LockOrder.RECENT_READS, persistentListOf())),
        load = createSharedTable(LockOrder.FLEET_LOAD, FleetLoad.NONE),
        rates = createSharedTable(LockOrder.ENGINE_RATES, persistentMapOf()),
        startingAttempts = createSharedTable(LockOrder.STARTING_ATTEMPTS, persistentMapOf()),
        crashes = createSharedTable(LockOrder.CRASH_REPORTS, CrashReports.NONE),
        store = createSharedTable(LockOrder.STORE_KNOWLEDGE, StoreKnowledge.NONE),
        peers = createSharedTable(LockOrder.PEERS, Peers.NONE),
        limits = createSharedTable(LockOrder.SERVER_LIMITS, ServerLimits.NONE),
        answerBuffers = createSharedTable(LockOrder.ANSWER_BUFFERS, BufferUse.NONE),
        streamOrigins = createSharedTable(LockOrder.STREAM_ORIGINS, RememberedStreams.NONE),
        versions = createSharedTable(LockOrder.POOL_VERSIONS, PoolVersions.NONE),
        begunStreams = createSharedTable(LockOrder.BEGUN_STREAMS, persistentMapOf()),
        retryWindows = createSharedTable(LockOrder.RETRY_WINDOWS, persistentMapOf()),
        surplus = createSharedTable(LockOrder.SURPLUS_ANSWERS, SurplusAnswers.NONE),
        forms = createSharedTable(LockOrder.ANSWER_FORMS, AnswerForms.NONE),
    )

/** Creates origins of streams that remember, in these tables, only what began at this process. */
fun RelayTables.rememberedOrigins(clock: Clock): StreamOrigins = RememberedStreamOrigins(streamOrigins, routing, clock)
