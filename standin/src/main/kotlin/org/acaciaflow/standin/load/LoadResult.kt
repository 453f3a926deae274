package org.acaciaflow.standin.load

import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram
import java.util.Locale

/** Latencies of a measurement in microseconds, and its number of failed calls. */
internal class LoadResult(
    private val latencies: Histogram,
    private val failed: Int,
) {
    /** The result as a row of the Markdown table. */
    fun row(plan: LoadPlan): String {
        val record = record(plan)
        val times = listOf(record.medianMilliseconds, record.percentile99Milliseconds, record.maximumMilliseconds)
        val printed = times.joinToString(" | ") { String.format(Locale.ROOT, "%.2f", it) }
        return "| ${plan.target} | ${plan.round} | ${record.calls} | $failed | $printed |"
    }

    /** The result in machine-readable form. */
    fun record(plan: LoadPlan): LoadRecord =
        LoadRecord(
            target = plan.target,
            round = plan.round,
            calls = latencies.totalCount,
            failed = failed,
            medianMilliseconds = milliseconds(latencies.getValueAtPercentile(MEDIAN)),
            percentile99Milliseconds = milliseconds(latencies.getValueAtPercentile(PERCENTILE_99)),
            maximumMilliseconds = milliseconds(latencies.maxValue),
        )

    private fun milliseconds(microseconds: Long): Double = microseconds / MICROSECONDS_PER_MILLISECOND

    private companion object {
        const val MEDIAN = 50.0
        const val PERCENTILE_99 = 99.0
        const val MICROSECONDS_PER_MILLISECOND = 1000.0
    }
}

/** The result of one measurement, as it is written to standard error. */
@Serializable
internal data class LoadRecord(
    val target: String,
    val round: Int,
    val calls: Long,
    val failed: Int,
    val medianMilliseconds: Double,
    val percentile99Milliseconds: Double,
    val maximumMilliseconds: Double,
)
