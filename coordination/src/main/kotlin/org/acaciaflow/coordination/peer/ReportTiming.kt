package org.acaciaflow.coordination.peer

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Decides how often a gateway sends its report, and when a peer without reports is taken for silent. */
object ReportTiming {
    /** The time between two reports that each go to [receivers] gateways. */
    fun interval(receivers: Int): Duration = maxOf(MINIMUM_INTERVAL, INTERVAL_PER_RECEIVER * receivers)

    /** The time without a report after which a peer is silent, if each report goes to [receivers] gateways. */
    fun silenceLimit(receivers: Int): Duration = maxOf(MINIMUM_SILENCE, interval(receivers) * MISSING_REPORTS)

    private const val MISSING_REPORTS = 3
    private val MINIMUM_INTERVAL: Duration = 250.milliseconds
    private val INTERVAL_PER_RECEIVER: Duration = 30.milliseconds // bounds the bytes sent per second for any number
    private val MINIMUM_SILENCE: Duration = 3.seconds
}
