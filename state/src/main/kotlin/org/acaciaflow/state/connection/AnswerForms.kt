package org.acaciaflow.state.connection

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.identity.RouteName
import kotlin.time.Instant

/** Plain calls whose true answers have like forms: those by [method] to one route of one pool. */
data class AnswerScope(
    val pool: PoolName,
    val route: RouteName,
    val method: String,
)

/** The server [life] and the calls to it whose answers have like forms. */
data class AnswerSource(
    val life: BackendLife,
    val scope: AnswerScope,
)

/** A form that was not believed [count] times, without an answer of another form between. */
data class DoubtedForm(
    val form: Long,
    val count: Int,
)

/**
 * The forms of answers by [AnswerForm.fingerprint].
 *
 * [passedOn] has how often each was that of a plain success which a caller got, [second] those of second answers by their
 * servers, [doubted] those of successes that were not believed.
 */
data class AnswerForms(
    val passedOn: PersistentMap<AnswerScope, PersistentMap<Long, Int>>,
    val second: PersistentMap<BackendLife, SecondForms>,
    val doubted: PersistentMap<AnswerSource, DoubtedForm>,
) {
    companion object {
        val NONE = AnswerForms(persistentHashMapOf(), persistentHashMapOf(), persistentHashMapOf())
    }
}

/**
 * The forms of second answers of one server, with the time at which each was last seen.
 *
 * [differing] has those that differ from true answers, [like] those that true answers have too, [told] those that other
 * gateways reported.
 */
data class SecondForms(
    val differing: PersistentMap<Long, Instant>,
    val like: PersistentMap<Long, Instant>,
    val told: PersistentMap<Long, Instant>,
) {
    companion object {
        val NONE = SecondForms(persistentHashMapOf(), persistentHashMapOf(), persistentHashMapOf())
    }
}
