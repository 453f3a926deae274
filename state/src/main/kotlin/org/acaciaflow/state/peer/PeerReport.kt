package org.acaciaflow.state.peer

import kotlinx.collections.immutable.PersistentList
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.prompt.PromptPart
import kotlin.time.Duration

/**
 * What one gateway tells the others at short intervals. Backend servers are named by the codes of their lifetimes.
 *
 * [sequence] grows with every report of one process life. [reads] are the prompts sent to engines since the last report,
 * [leaving] the lifetimes seen draining, [unheard] those
 * that cannot be reached or have fallen silent, [crashes] those that broke off, by the digest of the request they ran.
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

/** Work of the sender at one backend server. */
data class ReportedLoad(
    val lifeCode: Int,
    val backlog: Duration,
    val running: Int,
    val tokens: Long,
)

/** A prompt that the sender had one engine read. */
data class ReportedRead(
    val lifeCode: Int,
    val parts: PersistentList<PromptPart>,
)

/** A request that a backend server broke off. */
data class ReportedCrash(
    val digest: Long,
    val lifeCode: Int,
)
