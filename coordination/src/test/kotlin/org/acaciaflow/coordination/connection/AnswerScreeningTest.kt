package org.acaciaflow.coordination.connection

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.acaciaflow.state.connection.newConnectionHistory

class AnswerScreeningTest : AnnotationSpec() {
    private val history = newConnectionHistory(number = 1).carrying("earlier")

    @Test
    fun `the answer to the request in progress is passed`() {
        decide("own") shouldBe ScreeningDecision.Pass
    }

    /** Guards against a true answer that is lost because a late one to an earlier request came before it. */
    @Test
    fun `a late answer to a request that the connection has carried is skipped`() {
        decide("earlier") shouldBe ScreeningDecision.Skip
    }

    /** Guards against trust in a connection that brings what was never asked for on it. */
    @Test
    fun `an answer without an id, with several, or of an unknown request is not skipped`() {
        decide() shouldBe ScreeningDecision.Pass
        decide("own", "earlier") shouldBe ScreeningDecision.Pass
        decide("unknown") shouldBe ScreeningDecision.Pass
    }

    /** Guards against a connection that is read without end for an answer that does not come. */
    @Test
    fun `a bounded number of late answers is skipped`() {
        AnswerScreening.decide(history, "own", listOf("earlier"), AnswerScreening.MAXIMUM_SKIPPED) shouldBe
            ScreeningDecision.Pass
    }

    private fun decide(vararg answerIds: String): ScreeningDecision =
        AnswerScreening.decide(history, "own", answerIds.toList(), skipped = 0)
}
