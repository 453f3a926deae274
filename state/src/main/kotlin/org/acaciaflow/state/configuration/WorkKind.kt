package org.acaciaflow.state.configuration

import org.acaciaflow.state.identity.WorkKindName
import org.acaciaflow.state.work.Rank
import org.acaciaflow.state.work.WorkEstimate
import kotlin.time.Duration

/**
 * A kind of work: how its calls are recognised, how urgent they are and what may be done with them.
 *
 * [target] is the time to the first byte that users expect, [deadline] the time after which an answer is useless.
 */
data class WorkKind(
    val name: WorkKindName,
    val rank: Rank,
    val match: CallMatch,
    val repeatability: Repeatability,
    val target: Duration,
    val deadline: Duration,
    val worth: Double,
    val expected: WorkEstimate,
)
