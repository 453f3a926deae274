package org.acaciaflow.transport.observation

/** The names of all meters; docs/METRICS.md documents each of them. */
object Meters {
    const val EVENTS = "acaciaflow.events"
    const val ACCEPTED = "acaciaflow.requests.accepted"
    const val DELIVERED = "acaciaflow.requests.delivered"
    const val REFUSED = "acaciaflow.requests.refused"
    const val ATTEMPTS_REFUSED = "acaciaflow.attempts.refused"
    const val RETRIED = "acaciaflow.requests.retried"
    const val RETRIES_DENIED = "acaciaflow.retries.denied"
    const val STREAMS_TAKEN_UP = "acaciaflow.streams.taken-up"
    const val ANSWER_TIME = "acaciaflow.answer.time"
    const val STORE_FAILURES = "acaciaflow.store.failures"
    const val STORE_CALLS = "acaciaflow.store.calls"
    const val STORE_ANSWER_AGE = "acaciaflow.store.answer.age"
    const val STORE_REVISION = "acaciaflow.store.revision"
    const val STORE_ERA = "acaciaflow.store.era"
    const val CONFIGURATION_VERSION = "acaciaflow.configuration.version"
    const val STREAM_RECORDS = "acaciaflow.streams.records"
    const val STREAM_RECORDS_WAITING = "acaciaflow.streams.records.waiting"
    const val STREAM_ORIGINS = "acaciaflow.streams.origins"
    const val POOLS_MIXED = "acaciaflow.pools.mixed"
    const val STRAY_FRAMES = "acaciaflow.frames.stray"
    const val BACKENDS_LEAVING = "acaciaflow.backends.leaving"
    const val BACKENDS_RESTING = "acaciaflow.backends.resting"
    const val BACKENDS_LIMITED = "acaciaflow.backends.limited"
    const val BACKENDS_LIMITED_PARTS = "acaciaflow.backends.limited.parts"
    const val REQUESTS_HELD_BACK = "acaciaflow.requests.heldback"
    const val BACKENDS_ISOLATED = "acaciaflow.backends.isolated"
    const val ANSWERS_FOREIGN = "acaciaflow.backends.answers.foreign"
    const val ANSWERS_CONTRADICTED = "acaciaflow.backends.answers.contradicted"
    const val ANSWERS_HELD = "acaciaflow.backends.answers.held"
    const val CONNECTIONS_CLOSED = "acaciaflow.backends.connections.closed"
    const val CALLER_CONNECTIONS_CLOSED = "acaciaflow.callers.connections.closed"
    const val CALLER_CONNECTIONS_FAILED = "acaciaflow.callers.connections.failed"
    const val NOTICES_UNREADABLE = "acaciaflow.backends.notices.unreadable"

    val ALL =
        listOf(
            EVENTS,
            ACCEPTED,
            DELIVERED,
            REFUSED,
            ATTEMPTS_REFUSED,
            RETRIED,
            RETRIES_DENIED,
            STREAMS_TAKEN_UP,
            ANSWER_TIME,
            STORE_FAILURES,
            STORE_CALLS,
            STORE_ANSWER_AGE,
            STORE_REVISION,
            STORE_ERA,
            CONFIGURATION_VERSION,
            STREAM_RECORDS,
            STREAM_RECORDS_WAITING,
            STREAM_ORIGINS,
            POOLS_MIXED,
            STRAY_FRAMES,
            BACKENDS_LEAVING,
            BACKENDS_RESTING,
            BACKENDS_LIMITED,
            BACKENDS_LIMITED_PARTS,
            REQUESTS_HELD_BACK,
            BACKENDS_ISOLATED,
            NOTICES_UNREADABLE,
            ANSWERS_FOREIGN,
            ANSWERS_CONTRADICTED,
            ANSWERS_HELD,
            CONNECTIONS_CLOSED,
            CALLER_CONNECTIONS_CLOSED,
            CALLER_CONNECTIONS_FAILED,
        )
}
