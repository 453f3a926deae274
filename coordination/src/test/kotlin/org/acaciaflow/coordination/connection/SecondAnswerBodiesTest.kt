package org.acaciaflow.coordination.connection

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.acaciaflow.state.connection.SecondAnswers

class SecondAnswerBodiesTest : AnnotationSpec() {
    private val seen = SecondAnswerBodies.recorded(SecondAnswers.NONE, first = 1, second = 2)

    @Test
    fun `a body that differed from the first answer's is known`() {
        SecondAnswerBodies.isKnown(seen, 2) shouldBe true
        SecondAnswerBodies.isKnown(
            SecondAnswerBodies.recorded(SecondAnswers.NONE, first = null, second = 2),
            2,
        ) shouldBe
            true
    }

    /** Guards against answers that are rejected for the body of a true one, or for none. */
    @Test
    fun `the body of a first answer, an unknown one and none are not`() {
        for (body in listOf(1L, 3L, null)) SecondAnswerBodies.isKnown(seen, body) shouldBe false
    }

    /** Guards against true answers that are rejected because their copies have the same body. */
    @Test
    fun `a body with an identical copy never counts, whichever was seen first`() {
        val copiedLater = SecondAnswerBodies.recorded(seen, first = 2, second = 2)
        val copiedBefore =
            SecondAnswerBodies.recorded(
                SecondAnswerBodies.recorded(SecondAnswers.NONE, first = 2, second = 2),
                first = 1,
                second = 2,
            )

        SecondAnswerBodies.isKnown(copiedLater, 2) shouldBe false
        SecondAnswerBodies.isKnown(copiedBefore, 2) shouldBe false
    }

    /** Guards against memory that grows with each answer, and a body that is forgotten although it comes again. */
    @Test
    fun `the newest bodies are kept`() {
        val bodies = 100L until 200L
        val full =
            bodies.fold(seen) { known, body ->
                val added = SecondAnswerBodies.recorded(known, first = 1, second = body)
                SecondAnswerBodies.recorded(added, first = 1, second = 2)
            }

        full.differing.size shouldBe SecondAnswerBodies.KEPT_BODIES
        SecondAnswerBodies.isKnown(full, 2) shouldBe true
        SecondAnswerBodies.isKnown(full, bodies.last) shouldBe true
        SecondAnswerBodies.isKnown(full, bodies.first) shouldBe false
    }

    /** Guards against true answers that are rejected once other copies have pushed theirs out of memory. */
    @Test
    fun `a copied body does not count again after copies of other bodies`() {
        val copied = SecondAnswerBodies.recorded(seen, first = 2, second = 2)
        val later =
            (100L until 100L + SecondAnswerBodies.KEPT_BODIES).fold(copied) { known, body ->
                SecondAnswerBodies.recorded(known, first = body, second = body)
            }

        SecondAnswerBodies.isKnown(copied, 2) shouldBe false
        SecondAnswerBodies.isKnown(later, 2) shouldBe false
    }
}
