package org.acaciaflow.coordination.stream

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.acaciaflow.state.store.StoreRevision
import kotlin.concurrent.Volatile
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Takes the steps that are due for lineages of one kind, unless another gateway takes them first, by [swap]. */
internal class LineageSteps<Key : Any, Value : Any>(
    private val random: Random,
    private val swap: suspend (key: Key, expected: StoreRevision?, base: Value?) -> Unit,
) {
    /** When this gateway takes the step that is due for a key, unless another has. */
    @Volatile
    private var times: PersistentMap<Key, Instant> = persistentMapOf()

    /** Takes [step] for [key] if its time has come at [now]. */
    suspend fun take(
        key: Key,
        step: LineageStep<Value>,
        now: Instant,
    ) {
        when (step) {
            LineageStep.Keep -> times = times.remove(key)
            is LineageStep.Create -> if (isDue(key, CREATION_JITTER, now)) swap(key, null, step.base)
            is LineageStep.Withdraw -> if (isDue(key, REPLACEMENT_JITTER, now)) swap(key, step.expected, null)
            is LineageStep.Replace -> if (isDue(key, REPLACEMENT_JITTER, now)) swap(key, step.expected, step.base)
        }
    }

    /** True once a random part of [jitter] has passed: the watch shows meanwhile if another gateway has taken the step. */
    private fun isDue(
        key: Key,
        jitter: Duration,
        now: Instant,
    ): Boolean {
        val at = times[key] ?: (now + jitter * random.nextDouble())
        val due = now >= at
        times = if (due) times.remove(key) else times.put(key, at)
        return due
    }

    private companion object {
        val CREATION_JITTER: Duration = 1.seconds
        val REPLACEMENT_JITTER: Duration = 10.seconds
    }
}
