package org.acaciaflow.coordination.connection

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.acaciaflow.coordination.port.CallPurpose
import org.acaciaflow.coordination.port.RunOrder
import org.acaciaflow.state.connection.AnswerForm
import org.acaciaflow.state.connection.AnswerForms
import org.acaciaflow.state.connection.AnswerScope
import org.acaciaflow.state.connection.SecondForms
import org.acaciaflow.state.fleet.BackendLife
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Tells second answers from true ones by the forms of their heads.
 *
 * A second answer that comes in place of a failure, from a server that was never seen to answer twice, can't be known by
 * that server. But its form may be that of second answers elsewhere, and different from the true answers to like calls.
 */
object SecondAnswerForms {
    /** Counts [answered], which the caller gets, if it is a plain success. */
    fun passedOn(
        known: AnswerForms,
        answered: AnsweredRequest,
    ): AnswerForms {
        val scope = answered.scope ?: return known
        val remembered = DoubtedForms.passedOn(known, answered)
        if (answered.status !in AnswerHold.SUCCESSES) return remembered
        val form = answered.form.fingerprint
        val former = known.passedOn[scope] ?: persistentHashMapOf()
        val counted = aged(former.put(form, (former[form] ?: 0) + 1))
        val bounded = if (counted.size > KEPT_FORMS) counted.remove(rarest(counted, form)) else counted
        val isFull = scope !in known.passedOn && known.passedOn.size >= KEPT_SCOPES
        val others = if (isFull) known.passedOn.remove(known.passedOn.keys.first()) else known.passedOn
        return remembered.copy(passedOn = others.put(scope, bounded))
    }

    /**
     * Records at [now] that the request of [first] was answered again by [second].
     *
     * Where one of the two is a failure, or the second has the usual form and the first has not, the first is the one
     * that belongs to no run.
     */
    fun seen(
        known: AnswerForms,
        first: AnsweredRequest,
        second: SurplusAnswer,
        now: Instant,
    ): AnswerForms {
        val scope = first.scope ?: return known
        if (!second.requestIds.nameOnly(first.requestId)) return known
        val firstForm = first.form.fingerprint
        val secondForm = second.form.fingerprint
        val isFirstFalse =
            SecondAnswerBodies.isContradiction(first, second) ||
                (isUsual(known, scope, secondForm, now) && !isUsual(known, scope, firstForm, now))
        val next = if (isFirstFalse) DoubtedForms.contradicted(known, first) else known
        return when {
            isFirstFalse -> recorded(next, scope, first.life, firstForm, firstForm == secondForm, now)
            second.status !in AnswerHold.SUCCESSES -> known
            else -> recorded(known, scope, first.life, secondForm, firstForm == secondForm, now)
        }
    }

    /** Records at [now] that the connection of [order] brought [late], the second answer to an earlier request. */
    fun lateSeen(
        known: AnswerForms,
        order: RunOrder,
        late: SurplusAnswer,
        now: Instant,
    ): AnswerForms {
        val scope = scopeOf(order, CallPurpose.RUN)
        if (scope == null || late.status !in AnswerHold.SUCCESSES) return known
        return recorded(known, scope, order.backend.life, late.form.fingerprint, isCopy = false, now)
    }

    /**
     * Returns true if [form] is that of true answers in [scope].
     *
     * A form that second answers have as well is so only where at least half of the answers have it.
     */
    fun isUsual(
        known: AnswerForms,
        scope: AnswerScope,
        form: Long,
        now: Instant,
    ): Boolean {
        val counts = known.passedOn[scope] ?: return false
        val count = counts[form] ?: 0
        if (count < USUAL_COUNT) return false
        return count * 2 >= counts.values.sum() || !isOfSecondAnswers(known, form, now)
    }

    /**
     * Returns true if an answer of [form] to [order] is not believed: it is a plain success, second answers have that form,
     * and true answers have another one.
     *
     * Where too little is known of the true answers it is believed, since they may have that form; so it is from a server
     * that answers in no other form.
     */
    fun isDoubted(
        known: AnswerForms,
        order: RunOrder,
        purpose: CallPurpose,
        form: AnswerForm,
        now: Instant,
    ): Boolean {
        val scope = scopeOf(order, purpose)
        if (scope == null || form.status !in AnswerHold.SUCCESSES) return false
        val fingerprint = form.fingerprint
        return isOfSecondAnswers(known, fingerprint, now) &&
            isUnusual(known, scope, fingerprint, now) &&
            !DoubtedForms.isBelieved(known, order.backend.life, scope, fingerprint)
    }

    /** Returns true if [answered] has no usual form although its scope has one, whether it is that of second answers or not. */
    fun isUnusual(
        known: AnswerForms,
        answered: AnsweredRequest,
        now: Instant,
    ): Boolean {
        val scope = answered.scope ?: return false
        return isUnusual(known, scope, answered.form.fingerprint, now)
    }

    private fun isUnusual(
        known: AnswerForms,
        scope: AnswerScope,
        form: Long,
        now: Instant,
    ): Boolean {
        if (isUsual(known, scope, form, now)) return false
        return known.passedOn[scope]
            .orEmpty()
            .keys
            .any { isUsual(known, scope, it, now) }
    }

    /**
     * Returns true if [answered] can be told from the second answers of its server.
     *
     * At least one of them must have been seen by this gateway, and none with the form of true answers, nor one of any
     * server with the form of this answer.
     */
    fun isRecognisable(
        known: AnswerForms,
        answered: AnsweredRequest,
        now: Instant,
    ): Boolean {
        val scope = answered.scope ?: return false
        val second = known.second[answered.life] ?: return false
        if (second.like.values.any { isFresh(it, now) }) return false
        val form = answered.form.fingerprint
        if (known.second.values.any { other -> other.like[form]?.let { isFresh(it, now) } == true }) return false
        if (!isUsual(known, scope, form, now)) return false
        val differing = second.differing.filterValues { isFresh(it, now) }.keys
        return differing.isNotEmpty() && differing.none { isUsual(known, scope, it, now) }
    }

    /** Returns the newest forms of second answers of [life] to this gateway itself that are usual nowhere at [now]. */
    fun own(
        known: AnswerForms,
        life: BackendLife,
        now: Instant,
    ): List<Long> =
        known.second[life]
            ?.differing
            .orEmpty()
            .filter { (form, seenAt) ->
                isFresh(seenAt, now) && known.passedOn.keys.none { isUsual(known, it, form, now) }
            }.entries
            .sortedByDescending { it.value }
            .take(REPORTED_FORMS)
            .map { it.key }

    /** Records that another gateway saw [life] write second answers of [forms] at [seenAt], as told at [now]. */
    fun reported(
        known: AnswerForms,
        life: BackendLife,
        forms: List<Long>,
        seenAt: Instant,
        now: Instant,
    ): AnswerForms {
        if (forms.isEmpty() || !isFresh(seenAt, now)) return known
        val former = known.second[life] ?: SecondForms.NONE
        val told =
            forms.take(REPORTED_FORMS).fold(former.told) { kept, form -> withNewest(kept, form, minOf(seenAt, now)) }
        return known.copy(second = withinBounds(known.second.put(life, former.copy(told = told)), now))
    }

    /** Returns how long the true answer to [order] is waited for at [now] behind one that is not believed. */
    fun waitingTime(
        order: RunOrder,
        longest: Duration,
        now: Instant,
    ): Duration = minOf(longest, (order.deadline - now) * SHARE_OF_TIME_LEFT).coerceAtLeast(Duration.ZERO)

    /** Returns the scope of the answer to [order], whose form is compared; null unless it is a plain call. */
    fun scopeOf(
        order: RunOrder,
        purpose: CallPurpose,
    ): AnswerScope? {
        val isPlain = purpose == CallPurpose.RUN && !order.expectsEvents
        return if (isPlain) AnswerScope(order.backend.pool, order.route, order.call.method) else null
    }

    private fun isOfSecondAnswers(
        known: AnswerForms,
        form: Long,
        now: Instant,
    ): Boolean =
        known.second.values.any { second ->
            val seenAt = listOfNotNull(second.differing[form], second.told[form]).maxOrNull()
            seenAt != null && isFresh(seenAt, now) && form !in second.like
        }

    private fun recorded(
        known: AnswerForms,
        scope: AnswerScope,
        life: BackendLife,
        form: Long,
        isCopy: Boolean,
        now: Instant,
    ): AnswerForms {
        val former = known.second[life] ?: SecondForms.NONE
        val isLike = isCopy || isUsual(known, scope, form, now)
        val next =
            if (isLike) {
                former.copy(like = withNewest(former.like, form, now))
            } else {
                former.copy(differing = withNewest(former.differing, form, now))
            }
        return known.copy(second = withinBounds(known.second.put(life, next), now))
    }

    private fun withNewest(
        forms: PersistentMap<Long, Instant>,
        form: Long,
        now: Instant,
    ): PersistentMap<Long, Instant> {
        val added = forms.put(form, maxOf(now, forms[form] ?: now))
        return if (added.size > KEPT_FORMS) added.remove(added.minBy { it.value }.key) else added
    }

    private fun withinBounds(
        second: PersistentMap<BackendLife, SecondForms>,
        now: Instant,
    ): PersistentMap<BackendLife, SecondForms> {
        val outdated = second.filterValues { !isFresh(lastSeen(it), now) }.keys
        val kept = outdated.fold(second) { lives, life -> lives.remove(life) }
        return if (kept.size > KEPT_LIVES) kept.remove(kept.minBy { lastSeen(it.value) }.key) else kept
    }

    private fun lastSeen(second: SecondForms): Instant =
        (second.differing.values + second.like.values + second.told.values).maxOrNull() ?: Instant.DISTANT_PAST

    private fun isFresh(
        seenAt: Instant,
        now: Instant,
    ): Boolean = now - seenAt < ConnectionIsolation.MEMORY_TIME

    /** Halves all counts once their sum is large, so that a form that isn't used any more loses its share. */
    private fun aged(counts: PersistentMap<Long, Int>): PersistentMap<Long, Int> {
        if (counts.values.sum() < LARGEST_SUM) return counts
        return counts.entries.fold(persistentHashMapOf()) { halved, (form, count) ->
            if (count > 1) halved.put(form, count / 2) else halved
        }
    }

    private fun rarest(
        counts: PersistentMap<Long, Int>,
        newest: Long,
    ): Long =
        counts.entries
            .filter { it.key != newest }
            .minBy { it.value }
            .key

    /** A form that was passed on so often in a scope is one of its true answers. */
    const val USUAL_COUNT = 8

    /** The forms that are kept of a scope, and of a server's second answers. */
    const val KEPT_FORMS = 16

    /** The forms of one server's second answers that a report has at most. */
    const val REPORTED_FORMS = 4

    /** The servers whose second answers are kept. */
    const val KEPT_LIVES = 256

    /** The scopes that are kept. */
    const val KEPT_SCOPES = 1024

    private const val LARGEST_SUM = 512
    private const val SHARE_OF_TIME_LEFT = 0.25 // leaves time to send the request elsewhere
}
