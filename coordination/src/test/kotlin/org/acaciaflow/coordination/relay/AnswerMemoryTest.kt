package org.acaciaflow.coordination.relay

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import kotlinx.io.bytestring.encodeToByteString
import org.acaciaflow.coordination.buffer.BufferLimits
import org.acaciaflow.coordination.buffer.BufferReservation
import org.acaciaflow.state.buffer.BufferUse
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.refusal.MayHaveRun
import org.acaciaflow.state.route.RequestKind
import org.acaciaflow.state.work.AnswerHead
import kotlin.time.Duration.Companion.milliseconds

class AnswerMemoryTest : AnnotationSpec() {
    private val limits = BufferLimits(total = 2_000_000, perBackend = 1_000_000)

    /** Guards against answers without end whose sum uses up the heap, so that the process answers nothing any more. */
    @Test
    fun `answers without end share a bounded amount of memory`() =
        runTest {
            val tables = tablesWith(route(RequestKind.AtMostOnce, maximumAttempts = 1), listOf(backend("one")))
            val pours = Reaction.Paces(listOf("x".repeat(8_000)), 1.milliseconds, endless = true, status = PLAIN)
            val connections = ScriptedConnections(MutableList(CALLS) { pours })
            val relay = createTestRelay(tables, connections, prompt = null, bufferLimits = limits)
            val callers = List(CALLS) { FakeCaller() }
            var most = 0L

            val calls = callers.map { launch { relay.accept(it) } }
            val sampling =
                launch {
                    while (true) {
                        most = maxOf(most, tables.answerBuffers.snapshot().total)
                        delay(1)
                    }
                }
            calls.joinAll()
            sampling.cancel()

            most shouldBeGreaterThan 0L
            most shouldBeLessThanOrEqual limits.perBackend
            callers.forEach {
                it.refusal shouldBeIn listOf(MayHaveRun.ANSWER_MEMORY_SPENT, MayHaveRun.ANSWER_TOO_LARGE)
            }
            tables.answerBuffers.snapshot() shouldBe BufferUse.NONE
        }

    /** Guards against small parts whose objects occupy many times the memory of their bytes. */
    @Test
    fun `an answer in parts of a few bytes arrives whole`() {
        val tables = createRelayTables()
        val memory = BufferReservation(tables.answerBuffers, limits, BackendLife("one", 1))
        val answer = BufferedAnswer(AnswerHead(PLAIN, persistentListOf()), memory)
        val parts = (0 until 50_000).map { it.toString() }

        parts.forEach { answer.append(it.encodeToByteString()) shouldBe null }

        answer.toStoredAnswer().body shouldBe parts.joinToString("").encodeToByteString()
    }

    private companion object {
        const val CALLS = 48
        const val PLAIN = 200
    }
}
