package org.acaciaflow.coordination.connection

import kotlinx.collections.immutable.PersistentList
import org.acaciaflow.state.connection.SecondAnswers

/**
 * Recognises the bodies that a server writes as its second answers.
 *
 * A server whose second answer may come in place of a failure that never arrives leaves a success that stands alone.
 * If that success has the body which the server wrote behind true answers before, it is more likely a second answer
 * than a true one. The risk is a true answer with the same short body, which is then not believed. A body that was
 * also seen in a first answer with an identical copy tells nothing, and neither does an empty one. The body of a success
 * whose server then reports a failure of the same request counts like one of a second answer.
 */
object SecondAnswerBodies {
    /** Returns true if the body of [second], which arrived after [first] was answered, is worth reading. */
    fun isTelling(
        first: AnsweredRequest,
        second: SurplusAnswer,
    ): Boolean = second.requestIds.nameOnly(first.requestId) && second.status in AnswerHold.SUCCESSES

    /**
     * Adds the body [second] of a second answer to [known].
     *
     * [first] is the body of the first answer to the same request; null if it is empty or long.
     */
    fun recorded(
        known: SecondAnswers,
        first: Long?,
        second: Long,
    ): SecondAnswers =
        if (first == second) {
            known.copy(copied = known.copied.withNewest(second, KEPT_COPIES))
        } else {
            known.copy(differing = known.differing.withNewest(second, KEPT_BODIES))
        }

    /** Adds the body [contradicted] of a first answer to whose request a second one with another status came. */
    fun contradicted(
        known: SecondAnswers,
        contradicted: Long,
    ): SecondAnswers = known.copy(differing = known.differing.withNewest(contradicted, KEPT_BODIES))

    /** Returns true if a second answer with another status shows that [first] may be the false one. */
    fun isContradiction(
        first: AnsweredRequest,
        second: SurplusAnswer,
    ): Boolean =
        second.requestIds.nameOnly(first.requestId) &&
            first.status in AnswerHold.SUCCESSES &&
            second.status !in AnswerHold.SUCCESSES

    /** Returns true if [body] is one that the server of [known] writes as its second answer. */
    fun isKnown(
        known: SecondAnswers,
        body: Long?,
    ): Boolean = body != null && body in known.differing && body !in known.copied

    private fun PersistentList<Long>.withNewest(
        body: Long,
        kept: Int,
    ): PersistentList<Long> {
        val others = remove(body)
        return (if (others.size < kept) others else others.removeAt(0)).add(body)
    }

    /** The bodies that are kept of a server's second answers that differ from the first ones. */
    const val KEPT_BODIES = 8

    /** The bodies that are kept of a server's copies, many more: a sound server that copies writes a new one each time. */
    const val KEPT_COPIES = 128

    /** The length of the longest body that is compared. */
    const val MAXIMUM_BYTES = 4096
}
