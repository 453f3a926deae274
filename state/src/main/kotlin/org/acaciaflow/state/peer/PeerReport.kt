package org.acaciaflow.state.peer

import kotlinx.collections.immutable.PersistentList
import org.acaciaflow.state.crash.CrashSubject
import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.load.RemoteLoad
import org.acaciaflow.state.prompt.PromptPart
import kotlin.time.Duration

/** A message from one gateway to another. Backend servers are identified by [BackendLife.code]. */
sealed interface PeerDatagram {
    val sender: HostAddress

    /** When the sending process started, by its own clock. */
    val startedAtMilliseconds: Long

    /** Increases with every message of one kind in one process lifetime. */
    val sequence: Long
}

/**
 * The periodic status report of a gateway to all its peers.
 *
 * [dataCentre] and [capacity], the number of processor cores that the sender may use, select the aggregators. [reads]
 * lists the prompts sent to engines for prefill since the last report, [leaving] the backend servers seen draining and
 * [unheard] those that are unreachable or silent. [crashes] lists backend servers that crashed and what they were starting
 * on, [served] what is suspected of crashes and was served since. [surplus] lists the surplus answers that the sender itself
 * received, [limits] the limits that servers have named.
 */
data class PeerReport(
    override val sender: HostAddress,
    override val startedAtMilliseconds: Long,
    override val sequence: Long,
    val dataCentre: DataCentre,
    val capacity: Double,
    val configurationVersion: Long,
    val stopping: Boolean,
    val loads: PersistentList<ReportedLoad>,
    val reads: PersistentList<ReportedRead>,
    val leaving: PersistentList<Int>,
    val unheard: PersistentList<Int>,
    val crashes: PersistentList<ReportedCrash>,
    val served: PersistentList<ReportedServed>,
    val surplus: PersistentList<ReportedSurplus>,
    val limits: PersistentList<ReportedLimit>,
) : PeerDatagram

/**
 * A frequent message that carries only loads; [scope] says whose.
 *
 * [age] is how old the loads were, on average, when the message was sent.
 */
data class LoadShare(
    override val sender: HostAddress,
    override val startedAtMilliseconds: Long,
    override val sequence: Long,
    val scope: LoadScope,
    val age: Duration,
    val loads: PersistentList<ReportedLoad>,
) : PeerDatagram

/** The gateways whose loads a [LoadShare] sums up. */
sealed interface LoadScope {
    /** The sender alone; sent to the aggregator of its data centre. */
    data object Sender : LoadScope

    /** All gateways of the sender's [dataCentre]; sent to the aggregators of other data centres. */
    data class WholeDataCentre(
        val dataCentre: DataCentre,
    ) : LoadScope

    /** All gateways except the receiver; sent by the aggregator of its data centre. */
    data object AllOthers : LoadScope
}

/** The load at one backend server. */
data class ReportedLoad(
    val lifeCode: Int,
    val load: RemoteLoad,
)

/** A prompt that the sender dispatched to one engine for prefill. */
data class ReportedRead(
    val lifeCode: Int,
    val parts: PersistentList<PromptPart>,
)

/** A backend server crashed [age] ago while it started on a request with [subject]. */
data class ReportedCrash(
    val subject: CrashSubject,
    val lifeCode: Int,
    val age: Duration,
)

/**
 * The last surplus answer of a backend server to the sender arrived [age] ago; it isolates it for [isolationTime].
 *
 * [forms] has the fingerprints of the forms of its second answers which are not those of true ones.
 */
data class ReportedSurplus(
    val lifeCode: Int,
    val age: Duration,
    val isolationTime: Duration,
    val forms: PersistentList<Long>,
)

/** A request with [subject], which is suspected of crashes, was served completely [age] ago. */
data class ReportedServed(
    val subject: CrashSubject,
    val age: Duration,
)
