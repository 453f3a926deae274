package org.acaciaflow.coordination.relay

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.yield
import org.acaciaflow.state.identity.RouteName
import org.acaciaflow.state.route.RequestKind
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class RequestTurnsTest : AnnotationSpec() {
    private val now = Instant.fromEpochMilliseconds(1_000_000)
    private val clock =
        object : Clock {
            override fun now(): Instant = this@RequestTurnsTest.now
        }

    @Test
    fun `requests that can still be answered in time start first, ordered by urgency and due time`() =
        runTest {
            val requests =
                listOf(
                    request("late", dueIn = (-200).milliseconds, left = 1.seconds),
                    request("late-with-time", dueIn = (-900).milliseconds, left = 5.seconds),
                    request("not-urgent", dueIn = 800.milliseconds, urgency = 2),
                    request("urgent", dueIn = 150.milliseconds),
                    request("urgent-and-soon", dueIn = 50.milliseconds),
                )

            val started = startOrderOf(requests)

            started shouldContainExactly listOf("urgent-and-soon", "urgent", "not-urgent", "late-with-time", "late")
        }

    @Test
    fun `a request cancelled while it waits is never started`() =
        runTest {
            val tables = createRelayTables()
            val turns = RequestTurns(tables.turns, ElapsedTimeEstimator(tables.timeLimits), { yield() }, this, clock)
            val started = mutableListOf<String>()

            val calls =
                listOf("first", "second", "third").map { name ->
                    launch {
                        turns.await(request(name, dueIn = 100.milliseconds))
                        started += name
                    }
                }
            calls[1].cancelAndJoin()
            calls.forEach { it.join() }

            started shouldContainExactly listOf("first", "third")
            tables.turns.snapshot().shouldBeEmpty()
        }

    @Test
    fun `a call with less time left than others on its route counts as a retry`() {
        val estimator = ElapsedTimeEstimator(createRelayTables().timeLimits)
        val route = RouteName("route")

        val estimates =
            listOf(null, 6.seconds, 4.seconds, 6.seconds, 8.seconds, 6.seconds).map { estimator.estimate(route, it) }

        estimates shouldBe listOf(Duration.ZERO, Duration.ZERO, 2.seconds, Duration.ZERO, Duration.ZERO, 2.seconds)
    }

    private suspend fun TestScope.startOrderOf(requests: List<RelayedRequest>): List<String> {
        val tables = createRelayTables()
        val turns = RequestTurns(tables.turns, ElapsedTimeEstimator(tables.timeLimits), { yield() }, this, clock)
        val started = mutableListOf<String>()
        val calls =
            requests.map { request ->
                launch {
                    turns.await(request)
                    started += request.facts.requestId
                }
            }
        calls.forEach { it.join() }
        return started
    }

    private fun request(
        name: String,
        dueIn: Duration,
        left: Duration = 4.seconds,
        urgency: Int = 0,
    ): RelayedRequest =
        sampleRequest(name, route(RequestKind.Idempotent, urgency = urgency)).let { request ->
            request.copy(arrivedAt = now + dueIn - request.route.target, deadline = now + left)
        }
}
