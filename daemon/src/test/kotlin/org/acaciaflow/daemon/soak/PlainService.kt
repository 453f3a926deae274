package org.acaciaflow.daemon.soak

/** The sound successes of a soak that are no streams: how many, from which servers, and how long their callers waited. */
internal data class PlainService(
    val ofStutteringServers: Int,
    val ofOtherServers: Int,
    val medianMilliseconds: Long?,
    /** 95 of 100 took at most this time. */
    val highMilliseconds: Long?,
)

/** The plain service of callers with [calls]; an answer to a request in [breaches] is not sound. */
internal fun plainService(
    breaches: List<Breach>,
    entries: AccountEntries,
    calls: List<CallRecord>,
): PlainService {
    val wrong = breaches.map { it.requestId }.toSet()
    val stampOf = { call: CallRecord ->
        (call.outcome as? CallOutcome.Answered)?.takeIf { it.isSuccess && it.whole }?.stamp
    }
    val sound = calls.filter { !it.kind.isStream && it.requestId !in wrong && stampOf(it) != null }
    val instances = entries.arrivals.associate { it.stamp to it.instance }
    val stuttering =
        entries.plans
            .filterValues { it.stutter != null }
            .keys
            .mapNotNull { instances[it] }
            .toSet()
    val (ofStuttering, ofOthers) = sound.partition { instances[stampOf(it)] in stuttering }
    val times = sound.map { it.endedAtMilliseconds - it.sentAtMilliseconds }.sorted()
    return PlainService(ofStuttering.size, ofOthers.size, rank(times, MEDIAN), rank(times, HIGH))
}

/** The least of [sorted] that at least [perCent] of 100 do not exceed; null if there are none. */
private fun rank(
    sorted: List<Long>,
    perCent: Int,
): Long? = sorted.getOrNull((sorted.size * perCent - 1).floorDiv(WHOLE))

private const val MEDIAN = 50
private const val HIGH = 95
private const val WHOLE = 100
