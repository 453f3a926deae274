package org.acaciaflow.transport.direct

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.runBlocking
import org.acaciaflow.coordination.connection.ConnectionIsolation
import org.acaciaflow.coordination.port.AttemptEvent
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Requests to a server that writes answers which no request asked for. */
class IsolatedServerTest : AnnotationSpec() {
    private val vertx = Vertx.vertx()
    private val clock = AdvancedClock()
    private val connections = createDirectConnections(vertx, clock = clock)

    @AfterAll
    fun close() =
        runBlocking<Unit> {
            vertx.close().coAwait()
        }

    /** Guards against at-most-once calls that fail one after the other beside a server that answers twice. */
    @Test
    fun `surplus answers without an id break one request, not each second one`() {
        surplusBackend(surplusAnswers = Int.MAX_VALUE).use { backend ->
            val broken = List(CALLS) { endOf(backend, "request-$it") }.count { it != AttemptEvent.End }

            println("broken by surplus answers: $broken of $CALLS; connections ${backend.connections.get()}")
            broken shouldBeIn listOf(0, 1)
        }
    }

    /** Guards against a server that gets a connection for each request for ever after one surplus answer. */
    @Test
    fun `a server that has written no surplus answer for the time of isolation keeps its connections again`() {
        surplusBackend(surplusAnswers = 1).use { backend ->
            repeat(CALLS) { endOf(backend, "early-$it") }
            connections.isolatedServers shouldBe 1
            val opened = backend.connections.get()

            clock.advance(ConnectionIsolation.ISOLATION_TIME)
            val ends = List(CALLS) { endOf(backend, "late-$it") }

            println("connections: $opened isolated, then ${backend.connections.get() - opened}")
            ends.count { it == AttemptEvent.End } shouldBe CALLS
            backend.connections.get() - opened shouldBeLessThan CALLS / 2
            connections.isolatedServers shouldBe 0
        }
    }

    /** Guards against a gateway that knows from a peer that a server answers twice and reuses its connections all the same. */
    @Test
    fun `a server that a peer reported gets a connection for each request`() {
        surplusBackend(surplusAnswers = Int.MAX_VALUE).use { backend ->
            val life = orderTo(backend.address, "request").backend.life
            val surplus = createSurplusAnswers()
            val informed = createDirectConnections(vertx, clock = clock, surplus = surplus)
            val seenAt = clock.now() - 1.seconds
            val time = ConnectionIsolation.ISOLATION_TIME
            surplus.update { ConnectionIsolation.surplusReported(it, life, seenAt, time, clock.now()) }

            val broken = List(CALLS) { endOf(backend, "request-$it", informed) }.count { it != AttemptEvent.End }

            println("broken beside a reported server: $broken of $CALLS; connections ${backend.connections.get()}")
            broken shouldBe 0
            backend.connections.get() shouldBe CALLS
        }
    }

    /** A server that writes [surplusAnswers] nameless answers, each before a true one on a connection in use again. */
    private fun surplusBackend(surplusAnswers: Int): RawBackend {
        val written = AtomicInteger()
        return RawBackend { output, id, _ ->
            val isReused = earlierOnConnection(id) != null
            if (isReused && written.getAndIncrement() < surplusAnswers) write(output, answerBytes(200, "ok"))
            write(output, answerBytes(200, "body", "Request-Id: $id"))
        }
    }

    private fun endOf(
        backend: RawBackend,
        requestId: String,
        connections: DirectConnections = this.connections,
    ): AttemptEvent =
        runBlocking { readToEnd(connections.open(orderTo(backend.address, requestId), emptyBody())).second }

    private class AdvancedClock : Clock {
        @Volatile
        private var now = Clock.System.now()

        fun advance(duration: Duration) {
            now += duration
        }

        override fun now(): Instant = now
    }

    private companion object {
        const val CALLS = 20
    }
}
