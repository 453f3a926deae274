package org.acaciaflow.state.peer

import kotlinx.collections.immutable.PersistentList
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.prompt.PromptPart
import kotlin.time.Duration

/**
 * The periodic status report of a gateway to its peers. Backend servers are identified by [BackendLife.code].
 *
 * [sequence] increases with every report of one process lifetime. [reads] lists the prompts sent to engines for prefill
 * since the last report, [leaving] the backend servers seen draining and [unheard] those that are unreachable or
 * silent. [crashes] lists the backend servers that broke off an answer, with the digest of the request they executed.
 */
data class PeerReport(
    val sender: HostAddress,
    val startedAtMilliseconds: Long,
    val sequence: Long,
    val configurationVersion: Long,
    val stopping: Boolean,
    val loads: PersistentList<ReportedLoad>,
    val reads: PersistentList<ReportedRead>,
    val leaving: PersistentList<Int>,
    val unheard: PersistentList<Int>,
    val crashes: PersistentList<ReportedCrash>,
)

/** Load of the sender at one backend server; see [RemoteLoad] for the units. */
data class ReportedLoad(
    val lifeCode: Int,
    val backlog: Duration,
    val running: Int,
    val tokens: Long,
)

/** A prompt that the sender dispatched to one engine for prefill. */
data class ReportedRead(
    val lifeCode: Int,
    val parts: PersistentList<PromptPart>,
)

/** A request, by its [digest], whose answer a backend server broke off. */
data class ReportedCrash(
    val digest: Long,
    val lifeCode: Int,
)
