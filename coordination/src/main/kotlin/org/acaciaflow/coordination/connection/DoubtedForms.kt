package org.acaciaflow.coordination.connection

import org.acaciaflow.state.connection.AnswerForms
import org.acaciaflow.state.connection.AnswerScope
import org.acaciaflow.state.connection.AnswerSource
import org.acaciaflow.state.connection.DoubtedForm
import org.acaciaflow.state.fleet.BackendLife

/**
 * Tells servers whose true answers have the form of second answers elsewhere, such as those of a new version.
 *
 * A server that writes second answers to some requests answers others in another form; such a server doesn't.
 */
object DoubtedForms {
    /** Records that the success [answered] was not believed. */
    fun recorded(
        known: AnswerForms,
        answered: AnsweredRequest,
    ): AnswerForms {
        val source = sourceOf(answered) ?: return known
        val form = answered.form.fingerprint
        val former = known.doubted[source]?.takeIf { it.form == form }?.count ?: 0
        val isFull = source !in known.doubted && known.doubted.size >= KEPT_SOURCES
        val others = if (isFull) known.doubted.remove(known.doubted.keys.first()) else known.doubted
        return known.copy(doubted = others.put(source, DoubtedForm(form, minOf(former + 1, SUFFICIENT))))
    }

    /** Forgets the doubted form of the server of [answered] if that answer, which the caller gets, has another one. */
    fun passedOn(
        known: AnswerForms,
        answered: AnsweredRequest,
    ): AnswerForms {
        val source = sourceOf(answered) ?: return known
        val doubted = known.doubted[source] ?: return known
        return if (doubted.form == answered.form.fingerprint) known else contradicted(known, answered)
    }

    /** Forgets the doubted form of the server of [answered], which was contradicted. */
    fun contradicted(
        known: AnswerForms,
        answered: AnsweredRequest,
    ): AnswerForms {
        val source = sourceOf(answered) ?: return known
        return if (source in known.doubted) known.copy(doubted = known.doubted.remove(source)) else known
    }

    /** Returns true if [form] was that of so many answers of [life] in [scope], without another between, that it is true. */
    fun isBelieved(
        known: AnswerForms,
        life: BackendLife,
        scope: AnswerScope,
        form: Long,
    ): Boolean = known.doubted[AnswerSource(life, scope)] == DoubtedForm(form, SUFFICIENT)

    private fun sourceOf(answered: AnsweredRequest): AnswerSource? =
        answered.scope?.let { AnswerSource(answered.life, it) }

    /** So many answers of a doubted form, without another between, are that of a server's true answers. */
    const val SUFFICIENT = 8

    /** The servers and scopes whose doubted forms are kept. */
    const val KEPT_SOURCES = 1024
}
