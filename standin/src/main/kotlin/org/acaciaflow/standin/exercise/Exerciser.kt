package org.acaciaflow.standin.exercise

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.acaciaflow.protocol.http.RefusalDocument
import org.acaciaflow.standin.engine.EngineCall
import org.acaciaflow.standin.trial.TrialAnswer
import org.acaciaflow.standin.trial.TrialCall
import org.acaciaflow.standin.trial.TrialCalls
import org.acaciaflow.standin.trial.TrialClient
import org.acaciaflow.state.identity.HostAddress
import java.util.concurrent.atomic.AtomicReference
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Sends a random mix of calls of all ranks; resends non-idempotent calls through other gateways, as devices do. */
internal class Exerciser(
    private val client: TrialClient,
    private val gateways: List<HostAddress>,
    private val seed: Long,
    private val callsPerSecond: Int,
) {
    private val sends = AtomicReference<PersistentList<ExerciseSend>>(persistentListOf())

    suspend fun run(duration: Duration): List<ExerciseSend> {
        val random = Random(seed)
        val start = TimeSource.Monotonic.markNow()
        coroutineScope {
            var number = 0
            while (start.elapsedNow() < duration) {
                number += 1
                val call = nextCall(random, number)
                val route = gateways.shuffled(random)
                launch { send(call, route) }
                delay(MILLISECONDS_PER_SECOND / callsPerSecond)
            }
        }
        return sends.get()
    }

    private fun nextCall(
        random: Random,
        number: Int,
    ): TrialCall {
        val identity = "$seed-$number"
        return when (random.nextInt(PERCENT)) {
            in 0 until FILING_BOUND -> TrialCalls.filing("claim-$identity")
            in FILING_BOUND until RELEASE_BOUND -> TrialCalls.release("release-$identity")
            RELEASE_BOUND -> TrialCalls.threadQuery("${EngineCall.CRASH_MARK} ${random.nextInt(CRASH_PROMPTS)}")
            else -> TrialCalls.repeatable(identity).random(random)
        }
    }

    private suspend fun send(
        call: TrialCall,
        route: List<HostAddress>,
    ) {
        val identity = call.identity
        val attempts = if (identity == null) 1 else SENDS_OF_ONE_REQUEST
        repeat(attempts) { attempt ->
            val outcome = outcomeOf(call, route[attempt % route.size])
            sends.updateAndGet { it.add(ExerciseSend(call.kind, identity, outcome)) }
            if (outcome == ExerciseOutcome.Right && attempt > 0) return
        }
    }

    private suspend fun outcomeOf(
        call: TrialCall,
        gateway: HostAddress,
    ): ExerciseOutcome =
        try {
            val answer = withTimeoutOrNull(CALL_TIMEOUT) { client.send(gateway, call) }
            if (answer == null) ExerciseOutcome.Cut else classify(answer)
        } catch (cancellation: CancellationException) {
            throw cancellation
        } catch (_: Exception) {
            ExerciseOutcome.Cut
        }

    private fun classify(answer: TrialAnswer): ExerciseOutcome {
        val fault = answer.fault ?: return ExerciseOutcome.Right
        return parseRefusal(answer.body) ?: ExerciseOutcome.Wrong(fault)
    }

    private fun parseRefusal(body: String): ExerciseOutcome.Refused? =
        try {
            val detail = Json.decodeFromString(RefusalDocument.serializer(), body).error
            ExerciseOutcome.Refused(detail.execution, detail.type)
        } catch (_: SerializationException) {
            null
        }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1000L
        const val PERCENT = 100
        const val FILING_BOUND = 15 // the first 15 percent of calls are filings
        const val RELEASE_BOUND = 30 // the next 15 percent are releases, and 1 percent crash their engine
        const val CRASH_PROMPTS = 3
        const val SENDS_OF_ONE_REQUEST = 3
        val CALL_TIMEOUT: Duration = 70.seconds
    }
}
