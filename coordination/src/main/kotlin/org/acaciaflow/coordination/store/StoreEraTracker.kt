package org.acaciaflow.coordination.store

import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.selects.select
import org.acaciaflow.state.store.StoreEra
import org.acaciaflow.state.store.StoreKnowledge
import org.acaciaflow.state.store.StoreRevision
import org.acaciaflow.state.table.SharedTable
import org.acaciaflow.state.table.Transition
import kotlin.time.Instant

/** Follows the era of the store over the answers to all calls of a process. */
class StoreEraTracker(
    private val knowledge: SharedTable<StoreKnowledge>,
) {
    private val latest = MutableStateFlow(knowledge.snapshot().era)

    /** Returns the era that an answer of [answered] at [now] belongs to, or null if the answer is of a past one. */
    fun admit(
        answered: StoreEra,
        now: Instant,
    ): StoreEra? {
        val era =
            knowledge.transition { known ->
                when (StoreEras.verdict(known.era, answered)) {
                    EraVerdict.CURRENT -> Transition(known, known.era)
                    EraVerdict.NEW -> Transition(StoreFreshness.returned(known, answered, now), answered)
                    EraVerdict.PAST -> Transition(known, null)
                }
            }
        latest.update { knowledge.snapshot().era }
        return era
    }

    /** Notes that an admitted answer was as of [revision]. */
    fun seen(revision: StoreRevision) {
        if (knowledge.snapshot().firstOfEra == null) knowledge.update { StoreFreshness.seen(it, revision) }
    }

    /** Returns the result of [call], or null as soon as any answer is of another era than [era]. */
    suspend fun <Value : Any> unlessLeft(
        era: StoreEra,
        call: suspend () -> Value,
    ): Value? =
        coroutineScope {
            if (latest.value != era) return@coroutineScope null
            val result = async { call() }
            val left = async { latest.first { it != era } }
            select<Value?> {
                result.onAwait { it }
                left.onAwait { null }
            }.also {
                result.cancel()
                left.cancel()
            }
        }
}
