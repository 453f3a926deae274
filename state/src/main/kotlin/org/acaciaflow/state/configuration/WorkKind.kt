package org.acaciaflow.state.configuration

import org.acaciaflow.state.identity.WorkKindName
import org.acaciaflow.state.work.Rank
import org.acaciaflow.state.work.WorkEstimate
import kotlin.time.Duration

/**
 * A class of calls within a deployment: how they are matched, ranked and retried.
 *
 * [target] is the objective for the time to the first byte, [deadline] the time after which an answer has no value.
 * [worth] is the configured value of an answer, [expected] the default estimate of a call's size.
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
