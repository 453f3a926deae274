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
        decide("earlier", skipped = AnswerScreening.MAXIMUM_SKIPPED) shouldBe ScreeningDecision.Pass
        decide("own", skipped = AnswerScreening.MAXIMUM_SKIPPED, isDoubted = true) shouldBe ScreeningDecision.Reject
    }

    /** Guards against a true answer that is taken for the rest of a late one whose end can't be found. */
    @Test
    fun `an answer without a known end is not skipped`() {
        decide("earlier", hasKnownEnd = false) shouldBe ScreeningDecision.Pass
        decide("own", hasKnownEnd = false) shouldBe ScreeningDecision.Pass
        decide("own", hasKnownEnd = false, isDoubted = true) shouldBe ScreeningDecision.Reject
    }

    /** Guards against a wrong success that is passed on because it has the id of the request. */
    @Test
    fun `an answer to the request in progress that is doubted is skipped`() {
        decide("own", isDoubted = true) shouldBe ScreeningDecision.SkipDoubted
        decide("earlier", isDoubted = true) shouldBe ScreeningDecision.Skip
    }

    private fun decide(
        vararg answerIds: String,
        skipped: Int = 0,
        isDoubted: Boolean = false,
        hasKnownEnd: Boolean = true,
    ): ScreeningDecision = AnswerScreening.decide(history, "own", answerIds.toList(), skipped, isDoubted, hasKnownEnd)
}
