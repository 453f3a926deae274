package org.acaciaflow.standin.engine

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.nanoseconds

/** The waiting and running sequences of an engine, and its prefix cache. */
internal data class EngineBatch(
    val waiting: PersistentList<EngineSequence>,
    val running: PersistentList<EngineSequence>,
    val cache: PrefixCache,
) {
    val idle: Boolean
        get() = waiting.isEmpty() && running.isEmpty()

    /** Prompt tokens of waiting and running sequences that still need prefill. */
    val waitingPromptTokens: Int
        get() = waiting.sumOf { it.prefillLeft } + running.sumOf { it.prefillLeft }

    /** Adds a call; prefill skips the leading prompt blocks that the cache holds. */
    fun added(
        number: Long,
        call: EngineCall,
        profile: EngineProfile,
    ): EngineBatch {
        val blocks = call.blockKeys(profile.tokensPerBlock)
        val cached = cache.cachedPrefixLength(blocks) * profile.tokensPerBlock
        val prefill = (call.promptTokens + call.resumeFrom - cached).coerceAtLeast(1)
        val sequence = EngineSequence(number, call, prefill, generated = call.resumeFrom)
        val ordered = (waiting + sequence).sortedWith(compareBy({ it.call.priority }, { it.number }))
        return copy(waiting = ordered.toPersistentList(), cache = cache.used(blocks))
    }

    fun removed(number: Long): EngineBatch =
        copy(
            waiting = waiting.removeAll { it.number == number },
            running = running.removeAll { it.number == number },
        )

    /** One iteration: admits waiting sequences, prefills a chunk of prompts and decodes a token for the others. */
    fun step(profile: EngineProfile): EngineStep {
        val admitted = waiting.take(profile.maximumBatch - running.size)
        var budget = profile.prefillTokensPerStep
        val advanced =
            (running + admitted).map { sequence ->
                val read = minOf(sequence.prefillLeft, budget)
                budget -= read
                advance(sequence, read)
            }
        val prefilled = profile.prefillTokensPerStep - budget
        val left = advanced.filterNot { it.done }.toPersistentList()
        val next = copy(waiting = waiting.drop(admitted.size).toPersistentList(), running = left)
        return EngineStep(next, advanced.toPersistentList(), duration(profile, advanced, prefilled))
    }

    private fun advance(
        sequence: EngineSequence,
        read: Int,
    ): EngineSequence =
        when (sequence.prefillLeft) {
            0 -> sequence.copy(generated = sequence.generated + 1)
            else -> sequence.copy(prefillLeft = sequence.prefillLeft - read)
        }

    private fun duration(
        profile: EngineProfile,
        sequences: List<EngineSequence>,
        prefilled: Int,
    ): Duration {
        val decoding = sequences.filter { it.prefillLeft == 0 }
        val time =
            profile.stepBase +
                (profile.stepPerSequenceMicroseconds * decoding.size).microseconds +
                (profile.contextNanosecondsPerToken * decoding.sumOf { it.contextTokens }).nanoseconds +
                (profile.prefillMicrosecondsPerToken * prefilled).microseconds
        return time / profile.speed
    }

    companion object {
        fun empty(profile: EngineProfile): EngineBatch =
            EngineBatch(persistentListOf(), persistentListOf(), PrefixCache(profile.cacheBlocks, persistentListOf()))
    }
}

/** The batch after a step, the sequences that the step advanced and its duration. */
internal data class EngineStep(
    val batch: EngineBatch,
    val advanced: PersistentList<EngineSequence>,
    val duration: Duration,
)
