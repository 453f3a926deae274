package org.acaciaflow.transport.direct

import org.acaciaflow.coordination.connection.AnsweredRequest
import org.acaciaflow.coordination.connection.DoubtedForms
import org.acaciaflow.coordination.connection.SecondAnswerForms
import org.acaciaflow.coordination.connection.SurplusAnswer
import org.acaciaflow.coordination.port.RunOrder
import org.acaciaflow.state.connection.AnswerForm
import org.acaciaflow.state.connection.AnswerForms
import org.acaciaflow.state.table.SharedTable
import kotlin.time.Clock

/** What is known of the forms of backend servers' answers. */
internal class ObservedForms(
    private val table: SharedTable<AnswerForms>,
    private val clock: Clock,
) {
    /** Notes that the caller gets [answered]. */
    fun passedOn(answered: AnsweredRequest) {
        table.update { SecondAnswerForms.passedOn(it, answered) }
    }

    /** Notes that the success [answered] was not believed. */
    fun doubted(answered: AnsweredRequest) {
        table.update { DoubtedForms.recorded(it, answered) }
    }

    /** Notes that the request of [first] was answered again by [second]. */
    fun secondSeen(
        first: AnsweredRequest,
        second: SurplusAnswer,
    ) {
        val now = clock.now()
        table.update { SecondAnswerForms.seen(it, first, second, now) }
    }

    /** Notes that the connection of [order] brought [late], the second answer to an earlier request. */
    fun lateSeen(
        order: RunOrder,
        late: SurplusAnswer,
    ) {
        val now = clock.now()
        table.update { SecondAnswerForms.lateSeen(it, order, late, now) }
    }

    /** Returns true if an answer of [form] to [call], whose id it has, is not believed. */
    fun isDoubted(
        call: SentCall,
        form: AnswerForm,
    ): Boolean = SecondAnswerForms.isDoubted(table.snapshot(), call.order, call.purpose, form, clock.now())

    /** Returns true if [answered] has no usual form although like calls have one. */
    fun isUnusual(answered: AnsweredRequest): Boolean =
        SecondAnswerForms.isUnusual(table.snapshot(), answered, clock.now())

    /** Returns true if [answered] can be told from the second answers of its server. */
    fun isRecognisable(answered: AnsweredRequest): Boolean =
        SecondAnswerForms.isRecognisable(table.snapshot(), answered, clock.now())
}
