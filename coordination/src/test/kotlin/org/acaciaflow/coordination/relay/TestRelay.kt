package org.acaciaflow.coordination.relay

import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.yield
import org.acaciaflow.coordination.buffer.BufferLimits
import org.acaciaflow.coordination.buffer.bufferLimitsOf
import org.acaciaflow.coordination.port.BackendConnections
import org.acaciaflow.coordination.port.SocketReads
import org.acaciaflow.coordination.retry.RetryBounds
import org.acaciaflow.coordination.stream.StreamOrigins
import org.acaciaflow.state.prompt.Prompt
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Creates a relay on [tables] that lives in the virtual time of this scope; every call to it has [prompt]. */
internal fun TestScope.createTestRelay(
    tables: RelayTables,
    connections: BackendConnections,
    prompt: Prompt?,
    resumeAfter: String? = null,
    stop: StopSignal = StopSignal(),
    bufferLimits: BufferLimits = bufferLimitsOf(heapBytes = 1_000_000_000),
    socketReads: SocketReads = SocketReads { yield() },
    clock: Clock = virtualClock(),
    origins: StreamOrigins = tables.rememberedOrigins(clock),
    firstAttempt: String? = null,
    observations: FakeObservations = FakeObservations(),
    bounds: RetryBounds = RetryBounds(0.2, 1000.0, 10.seconds),
): RequestRelay {
    val ports =
        RelayPorts(
            connections,
            FakeDialect(prompt, resumeAfter, firstAttempt),
            LetterFraming,
            observations,
            clock,
            Random(3),
            this,
            socketReads,
            origins,
            stop,
            bufferLimits,
        )
    return createRequestRelay(tables, ports, OWN_DATA_CENTRE, bounds)
}

/** The virtual time of this scope. */
internal fun TestScope.virtualClock(): Clock =
    object : Clock {
        override fun now(): Instant = Instant.fromEpochMilliseconds(1_000_000 + currentTime)
    }
