package org.acaciaflow.coordination.event

import org.acaciaflow.coordination.configuration.ConfigurationFault
import org.acaciaflow.coordination.connection.AnswerContradiction
import org.acaciaflow.coordination.connection.AnswerOwner
import org.acaciaflow.coordination.port.DocumentFault
import org.acaciaflow.coordination.port.StoreFailure
import org.acaciaflow.coordination.port.StoreKey
import org.acaciaflow.coordination.routing.ConfigurationOrigin
import org.acaciaflow.state.connection.AnswerForm
import org.acaciaflow.state.crash.CrashSubject
import org.acaciaflow.state.fleet.BackendEntry
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.identity.ProcessIdentity
import org.acaciaflow.state.identity.RequestIdentity
import org.acaciaflow.state.identity.SoftwareVersion
import org.acaciaflow.state.plan.EngineState
import org.acaciaflow.state.refusal.Refusal
import org.acaciaflow.state.store.StoreRevision
import org.acaciaflow.state.stream.StreamKey
import org.acaciaflow.state.stream.StreamRoute
import org.acaciaflow.state.work.RequestDigest
import kotlin.time.Duration

/** A log event with its number and details; its `toString()` form is written to the log. */
sealed class Event(
    val kind: EventKind,
) {
    data class ProcessStarted(
        val process: ProcessIdentity,
    ) : Event(EventKind.PROCESS_STARTED)

    data class ProcessStopping(
        val process: ProcessIdentity,
    ) : Event(EventKind.PROCESS_STOPPING)

    /** The planned stop has reached [step], with [openCalls] calls whose answer is not complete and [left] until its end. */
    data class StopAdvanced(
        val step: StopStep,
        val openCalls: Int,
        val left: Duration,
    ) : Event(EventKind.STOP_ADVANCED)

    /** The process ends although [openCalls] calls have no complete answer. */
    data class StopLeftCalls(
        val openCalls: Int,
    ) : Event(EventKind.STOP_LEFT_CALLS)

    data class ProcessStopped(
        val process: ProcessIdentity,
    ) : Event(EventKind.PROCESS_STOPPED)

    data class ConfigurationAdopted(
        val revision: Long,
    ) : Event(EventKind.CONFIGURATION_ADOPTED)

    data class ConfigurationRejected(
        val revision: Long,
        val fault: ConfigurationFault,
    ) : Event(EventKind.CONFIGURATION_REJECTED)

    data class ConfigurationOlderIgnored(
        val revision: Long,
        val current: Long,
    ) : Event(EventKind.CONFIGURATION_OLDER_IGNORED)

    data class SidecarJoined(
        val sidecar: ProcessIdentity,
    ) : Event(EventKind.SIDECAR_JOINED)

    data class SidecarLost(
        val sidecar: ProcessIdentity,
    ) : Event(EventKind.SIDECAR_LOST)

    data class SidecarLeaving(
        val sidecar: ProcessIdentity,
    ) : Event(EventKind.SIDECAR_LEAVING)

    data class FrameRejected(
        val peer: HostAddress,
        val fault: FrameFault,
    ) : Event(EventKind.FRAME_REJECTED)

    data class GatewayJoined(
        val gateway: ProcessIdentity,
    ) : Event(EventKind.GATEWAY_JOINED)

    data class GatewayLost(
        val gateway: ProcessIdentity,
    ) : Event(EventKind.GATEWAY_LOST)

    data class BackendUp(
        val life: String,
    ) : Event(EventKind.BACKEND_UP)

    data object BackendDown : Event(EventKind.BACKEND_DOWN)

    data class BackendCrashed(
        val running: Int,
    ) : Event(EventKind.BACKEND_CRASHED)

    data class EngineOrdered(
        val desired: EngineState,
        val fencing: Long,
    ) : Event(EventKind.ENGINE_ORDERED)

    data class EngineFenced(
        val fencing: Long,
    ) : Event(EventKind.ENGINE_FENCED)

    data class EngineOrderInDoubt(
        val fencing: Long,
    ) : Event(EventKind.ENGINE_ORDER_IN_DOUBT)

    data class ExecutionUnknown(
        val identity: RequestIdentity,
        val reason: Refusal,
    ) : Event(EventKind.EXECUTION_UNKNOWN)

    data class ExecutionSettled(
        val identity: RequestIdentity,
    ) : Event(EventKind.EXECUTION_SETTLED)

    data class StoreUnavailable(
        val reason: StoreFailure,
    ) : Event(EventKind.STORE_UNAVAILABLE)

    data object StoreAvailable : Event(EventKind.STORE_AVAILABLE)

    data class StoreHistoryLost(
        val revision: StoreRevision,
    ) : Event(EventKind.STORE_HISTORY_LOST)

    /** The store is in another era than at [former], and was read as of [current]; all keys are read anew. */
    data class StoreReturned(
        val former: StoreRevision,
        val current: StoreRevision,
    ) : Event(EventKind.STORE_RETURNED)

    /** The entry of [life] as written at [revision] may be of a copy from before its removal and is not used. */
    data class BackendEntryOfCopy(
        val life: BackendLife,
        val revision: StoreRevision,
    ) : Event(EventKind.BACKEND_ENTRY_OF_COPY)

    /** The store has not answered for [age]; all changes up to [revision] are known. */
    data class StoreKnowledgeStale(
        val revision: StoreRevision,
        val age: Duration,
    ) : Event(EventKind.STORE_KNOWLEDGE_STALE)

    /** The value of [key] could not be decoded; it is passed over. */
    data class StoreItemUnreadable(
        val key: StoreKey,
        val revision: StoreRevision,
        val fault: DocumentFault,
    ) : Event(EventKind.STORE_ITEM_UNREADABLE)

    /** The changes after [revision] could not be taken in; all keys are read again. */
    data class StoreAnswerUnreadable(
        val revision: StoreRevision,
        val reason: StoreFailure,
    ) : Event(EventKind.STORE_ANSWER_UNREADABLE)

    /** A page of the keys below [section] can't be decoded, so that these keys are known from the watch only. */
    data class StoreSectionUnreadable(
        val section: StoreKey,
        val reason: StoreFailure,
    ) : Event(EventKind.STORE_SECTION_UNREADABLE)

    /** A read of all keys showed a change of [key] that the watch had not brought. */
    data class StoreChangeMissed(
        val key: StoreKey,
        val revision: StoreRevision,
    ) : Event(EventKind.STORE_CHANGE_MISSED)

    /** A value or message from the store could not be decoded and was left out; [excerpt] is its beginning. */
    data class StoredValueUnreadable(
        val excerpt: String,
    ) : Event(EventKind.STORED_VALUE_UNREADABLE)

    data class RoutingAdopted(
        val version: Long,
        val former: Long,
        val origin: ConfigurationOrigin,
    ) : Event(EventKind.ROUTING_ADOPTED)

    data class RoutingUnreadable(
        val origin: ConfigurationOrigin,
        val fault: DocumentFault,
    ) : Event(EventKind.ROUTING_UNREADABLE)

    data class BackendRegistered(
        val entry: BackendEntry,
        val revision: StoreRevision,
    ) : Event(EventKind.BACKEND_REGISTERED)

    /** [doubtful] when the store was recently unavailable, so that the backend server may register again. */
    data class BackendMissing(
        val life: BackendLife,
        val doubtful: Boolean,
    ) : Event(EventKind.BACKEND_MISSING)

    data class BackendEntryUnreadable(
        val instance: String,
        val revision: StoreRevision,
        val fault: DocumentFault,
    ) : Event(EventKind.BACKEND_ENTRY_UNREADABLE)

    /** [life] is known to be leaving for the first time; it gets no new work. */
    data class BackendLeaving(
        val life: BackendLife,
        val origin: NoticeOrigin,
    ) : Event(EventKind.BACKEND_LEAVING)

    /** The answer of [life] to [requestId] had an unreadable notice, which begins with [text]. */
    data class BackendNoticeUnreadable(
        val life: BackendLife,
        val requestId: String,
        val text: String,
    ) : Event(EventKind.BACKEND_NOTICE_UNREADABLE)

    /** [life] turned [requestId] away and wants no requests for [duration]; not repeated while the rest is extended. */
    data class BackendResting(
        val life: BackendLife,
        val requestId: String,
        val duration: Duration,
    ) : Event(EventKind.BACKEND_RESTING)

    /** Connection [connection] to [life] brought an answer of [owner] in place of the answer to [requestId]. */
    data class BackendAnswerForeign(
        val life: BackendLife,
        val connection: Long,
        val requestId: String,
        val owner: AnswerOwner,
    ) : Event(EventKind.BACKEND_ANSWER_FOREIGN)

    /** [lastTook] is the time from the sending of the last request to the end of its answer, [after] the time since. */
    data class BackendAnswerUnrequested(
        val life: BackendLife,
        val status: Int,
        val requestId: String,
        val lastStatus: Int,
        val lastRequestId: String,
        val lastTook: Duration,
        val after: Duration,
        val signature: String?,
        val lastSignature: String?,
        val form: AnswerForm,
        val lastForm: AnswerForm,
        val connection: Long,
    ) : Event(EventKind.BACKEND_ANSWER_UNREQUESTED)

    /**
     * The success of [life] for [requestId] was not believed.
     *
     * It was complete [took] after the sending; [after] that it was contradicted. [secondStatus], [secondSignature]
     * and [secondForm] are those of the second answer, null if there was none.
     */
    data class BackendAnswerContradicted(
        val life: BackendLife,
        val requestId: String,
        val contradiction: AnswerContradiction,
        val status: Int,
        val secondStatus: Int?,
        val took: Duration,
        val after: Duration,
        val signature: String?,
        val secondSignature: String?,
        val form: AnswerForm,
        val secondForm: AnswerForm?,
        val connection: Long,
    ) : Event(EventKind.BACKEND_ANSWER_CONTRADICTED)

    /** [life] wrote a surplus answer and is isolated until it has written none for [duration]; not repeated meanwhile. */
    data class BackendIsolated(
        val life: BackendLife,
        val duration: Duration,
        val origin: IsolationOrigin,
    ) : Event(EventKind.BACKEND_ISOLATED)

    /** [life] takes only [perSecond] requests a second from all gateways together. */
    data class BackendLimited(
        val life: BackendLife,
        val perSecond: Double,
        val origin: NoticeOrigin,
    ) : Event(EventKind.BACKEND_LIMITED)

    /** The limit of [life] changed by a third or more since the last event. */
    data class BackendLimitChanged(
        val life: BackendLife,
        val former: Double,
        val perSecond: Double,
        val origin: NoticeOrigin,
    ) : Event(EventKind.BACKEND_LIMIT_CHANGED)

    /** [life] names no limit any more. */
    data class BackendLimitEnded(
        val life: BackendLife,
        val origin: NoticeOrigin,
    ) : Event(EventKind.BACKEND_LIMIT_ENDED)

    data class PeerHeard(
        val gateway: HostAddress,
        val configurationVersion: Long,
    ) : Event(EventKind.PEER_HEARD)

    data class PeerSilent(
        val gateway: HostAddress,
    ) : Event(EventKind.PEER_SILENT)

    data class PeerUnreachable(
        val gateway: HostAddress,
        val detail: String,
    ) : Event(EventKind.PEER_UNREACHABLE)

    data class Rehearsed(
        val answered: Int,
        val took: Duration,
    ) : Event(EventKind.REHEARSED)

    data object SettingsReloaded : Event(EventKind.SETTINGS_RELOADED)

    data object HostListUnavailable : Event(EventKind.HOST_LIST_UNAVAILABLE)

    /** The number of hosts on the list that cannot be decoded has changed to [count]; the other hosts are used. */
    data class HostsUnreadable(
        val count: Int,
    ) : Event(EventKind.HOSTS_UNREADABLE)

    data class CrashSuspected(
        val digest: RequestDigest,
    ) : Event(EventKind.CRASH_SUSPECTED)

    data class CrashQuarantined(
        val digest: RequestDigest,
    ) : Event(EventKind.CRASH_QUARANTINED)

    data class CrashSubjectQuarantined(
        val subject: CrashSubject,
    ) : Event(EventKind.CRASH_SUBJECT_QUARANTINED)

    /** Servers of several [versions] are registered in [pool] at once. */
    data class PoolVersionsDiffer(
        val pool: PoolName,
        val versions: Set<SoftwareVersion>,
    ) : Event(EventKind.POOL_VERSIONS_DIFFER)

    /** The servers of [pool] are of one version again. */
    data class PoolVersionsEqual(
        val pool: PoolName,
    ) : Event(EventKind.POOL_VERSIONS_EQUAL)

    /** This gateway has written that streams of [pool] without a record began at [base]. */
    data class PoolBaseSet(
        val pool: PoolName,
        val base: SoftwareVersion,
    ) : Event(EventKind.POOL_BASE_SET)

    /** This gateway has written that [pool] has no base for now, so that each of its streams gets a record. */
    data class PoolBaseWithdrawn(
        val pool: PoolName,
    ) : Event(EventKind.POOL_BASE_WITHDRAWN)

    /** This gateway has written that streams of [host] without a record began where [routes] lead. */
    data class HostBaseSet(
        val host: String,
        val routes: List<StreamRoute>,
    ) : Event(EventKind.HOST_BASE_SET)

    /** This gateway has written that [host] has no base for now, so that each of its streams gets a record. */
    data class HostBaseWithdrawn(
        val host: String,
    ) : Event(EventKind.HOST_BASE_WITHDRAWN)

    /** The store does not accept records of streams, of which [waiting] wait. */
    data class StreamRecordsRefused(
        val reason: StoreFailure,
        val waiting: Int,
    ) : Event(EventKind.STREAM_RECORDS_REFUSED)

    data object StreamRecordsAccepted : Event(EventKind.STREAM_RECORDS_ACCEPTED)

    data class StreamRecordUnreadable(
        val key: StreamKey,
        val fault: DocumentFault,
    ) : Event(EventKind.STREAM_RECORD_UNREADABLE)

    data class WorkerFailed(
        val cause: Throwable,
    ) : Event(EventKind.WORKER_FAILED)

    /** The loop [name] ended with [cause], for the [failures]th time in a row, and starts again after [pause]. */
    data class LoopFailed(
        val name: String,
        val failures: Int,
        val pause: Duration,
        val cause: Throwable,
    ) : Event(EventKind.LOOP_FAILED)
}
