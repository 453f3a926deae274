package org.acaciaflow.coordination.connection

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentListOf
import org.acaciaflow.coordination.port.CallPurpose
import org.acaciaflow.coordination.port.RunOrder
import org.acaciaflow.state.backend.EngineRole
import org.acaciaflow.state.connection.AnswerForm
import org.acaciaflow.state.connection.newConnectionHistory
import org.acaciaflow.state.fleet.BackendEntry
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.identity.RouteName
import org.acaciaflow.state.work.CallHead
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class AnswerHoldTest : AnnotationSpec() {
    private val now = Instant.fromEpochSeconds(1_780_000_000)
    private val backend =
        BackendEntry(
            life = BackendLife("i-1", 1),
            pool = PoolName("pool"),
            address = HostAddress("127.0.0.1", 1),
            dataCentre = DataCentre("north"),
            slots = 8,
            draining = false,
            role = EngineRole.MIXED,
        )

    /** Guards against sound servers, streams, prefills and failures that wait for a second answer. */
    @Test
    fun `only a plain success of an isolated server is held`() {
        begin() shouldBe HoldStart.Hold(200.milliseconds)
        begin(status = 204) shouldBe HoldStart.Hold(200.milliseconds)

        begin(isIsolated = false) shouldBe HoldStart.PassOn
        begin(expectsEvents = true) shouldBe HoldStart.PassOn
        begin(purpose = CallPurpose.PREFILL) shouldBe HoldStart.PassOn
        for (status in listOf(101, 304, 400, 500, 503)) begin(status = status) shouldBe HoldStart.PassOn
    }

    /** Guards against a hold that outlasts the request, or leaves no time to send it elsewhere. */
    @Test
    fun `the hold is bounded by a share of the time left`() {
        begin(left = 400.milliseconds) shouldBe HoldStart.Hold(100.milliseconds)
        begin(left = 2.milliseconds) shouldBe HoldStart.PassOn
        begin(left = -1.seconds) shouldBe HoldStart.PassOn
        begin(longest = Duration.ZERO) shouldBe HoldStart.PassOn
    }

    /** Guards against one of two answers that exclude each other being believed. */
    @Test
    fun `a second answer to the same request with another status rejects the first`() {
        val rejected = HoldEnd.Reject(AnswerContradiction.OTHER_STATUS)
        after(listOf("own"), 500) shouldBe rejected
        after(listOf("own", "own"), 504) shouldBe rejected
        after(listOf("own"), 204) shouldBe rejected

        after(listOf("own"), 200) shouldBe HoldEnd.PassOn
        after(listOf("other"), 500) shouldBe HoldOutcome.Wait
        after(listOf("own", "other"), 500) shouldBe HoldOutcome.Wait
        after(emptyList(), 500) shouldBe HoldOutcome.Wait
    }

    private fun after(
        ids: List<String>,
        status: Int,
    ): HoldOutcome {
        val history = newConnectionHistory(number = 1)
        val form = AnswerForm(status, persistentListOf())
        val first =
            AnsweredRequest(
                "own",
                backend.life,
                history,
                status = 200,
                signature = null,
                form,
                scope = null,
                now,
                now,
                body = null,
            )
        return AnswerHold.afterSecondAnswer(
            first,
            SurplusAnswer(ids, status, signature = null, form),
            hasSecondAnswerBody = false,
        )
    }

    private fun begin(
        status: Int = 200,
        isIsolated: Boolean = true,
        expectsEvents: Boolean = false,
        purpose: CallPurpose = CallPurpose.RUN,
        left: Duration = 5.seconds,
        longest: Duration = 200.milliseconds,
    ): HoldStart {
        val order =
            RunOrder(
                backend = backend,
                call = CallHead("POST", "/", persistentListOf()),
                requestId = "own",
                timeLeft = left,
                deadline = now + left,
                urgency = 0,
                resumeAfter = null,
                source = null,
                expectsEvents = expectsEvents,
                route = RouteName("route"),
            )
        return AnswerHold.begin(order, purpose, status, isIsolated, longest, now)
    }
}
