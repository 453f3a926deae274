package org.acaciaflow.daemon.soak

import kotlin.random.Random

/**
 * The events that the answer to [arrival] has, which goes on after the event that the arrival names.
 *
 * They follow from the target and body of the request alone, so they are the same at each engine. A body with
 * `events=N` asks for N events.
 */
internal fun eventsOf(arrival: ServerArrival): List<String> {
    val last = EVENTS_ASKED.find(arrival.body)?.run { groupValues[1].toInt() } ?: DEFAULT_EVENTS
    val first = (arrival.resumeAfter?.toIntOrNull() ?: 0) + 1
    val seed = "${arrival.target} ${arrival.body}".hashCode()
    return (first..last).map { number -> "id: $number\ndata: ${Random(seed + number).nextLong()}\n\n" }
}

private val EVENTS_ASKED = Regex("events=([0-9]{1,4})")
private const val DEFAULT_EVENTS = 3
