package org.acaciaflow.daemon.soak

import kotlinx.collections.immutable.ImmutableList

/**
 * The text that tells how [breach] came about: the caller's record, each arrival of the id with its outcome, and what
 * the servers read and wrote on these connections around it.
 */
internal fun reportOf(
    breach: Breach,
    entries: AccountEntries,
    calls: ImmutableList<CallRecord>,
): String {
    val call = calls.firstOrNull { it.requestId == breach.requestId }
    val stamp = (call?.outcome as? CallOutcome.Answered)?.stamp
    val arrivals = entries.arrivals.filter { it.requestId == breach.requestId || it.stamp == stamp }
    return buildString {
        appendLine("${breach.rule} ${breach.requestId}: ${breach.reason}")
        appendLine("  caller: ${call?.let { textOf(it) } ?: "none"}")
        arrivals.forEach {
            appendLine("  arrival: ${textOf(it)} -> ${entries.outcomes[it.stamp]?.let(::textOf) ?: "not ended"}")
        }
        arrivals.groupBy { it.connection }.forEach { (connection, group) ->
            appendLine("  connection $connection of ${group.first().instance}:")
            val around = (group.minOf { it.atMilliseconds } - BEFORE)..(group.maxOf { it.atMilliseconds } + AFTER)
            linesOf(
                connection,
                entries,
            ).filter { it.first in around }.forEach { appendLine("    ${it.first} ms ${it.second}") }
        }
    }
}

/** What a server read and wrote on [connection], in order of time; what it read stands before what it wrote then. */
private fun linesOf(
    connection: Long,
    entries: AccountEntries,
): List<Pair<Long, String>> {
    val read =
        entries.arrivals.filter { it.connection == connection }.map {
            it.atMilliseconds to "read ${it.purpose} id=${it.requestId} stamp=${it.stamp} ${it.method} ${it.target}"
        }
    val written =
        entries.writings.filter { it.connection == connection }.map {
            it.atMilliseconds to "wrote ${it.kind} status=${it.status} id=${it.requestId} stamp=${it.stamp}"
        }
    return (read + written).sortedBy { it.first }
}

private fun textOf(call: CallRecord): String =
    "${call.kind} ${call.method} ${call.target} at ${call.gateway}, ${call.sentAtMilliseconds} to " +
        "${call.endedAtMilliseconds} ms, resume after ${call.resumeAfter} -> " +
        when (val outcome = call.outcome) {
            is CallOutcome.Unanswered -> outcome.reason
            is CallOutcome.Malformed -> "no answer: ${shortened(outcome.text)}"
            is CallOutcome.Answered ->
                "${outcome.status} id=${outcome.requestId} stamp=${outcome.stamp} whole=${outcome.whole} " +
                    "body=${shortened(outcome.body)}"
        }

private fun textOf(arrival: ServerArrival): String =
    "${arrival.atMilliseconds} ms ${arrival.instance} connection ${arrival.connection} ${arrival.purpose} " +
        "id=${arrival.requestId} stamp=${arrival.stamp} resume after ${arrival.resumeAfter}"

private fun textOf(outcome: ServerOutcome): String =
    when (outcome) {
        is ServerOutcome.Rejected -> "not run, ${outcome.status}"
        is ServerOutcome.Answered ->
            "run, ${outcome.status}, written whole: ${outcome.wroteWhole}, body=${shortened(outcome.body)}"
    }

private fun shortened(text: String): String {
    val line = text.replace("\r", "\\r").replace("\n", "\\n")
    return if (line.length <= BODY_LIMIT) line else "${line.take(BODY_LIMIT)}... (${text.length} characters)"
}

private const val BEFORE = 5_000L
private const val AFTER = 5_000L
private const val BODY_LIMIT = 300
