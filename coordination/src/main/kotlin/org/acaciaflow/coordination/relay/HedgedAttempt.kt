package org.acaciaflow.coordination.relay

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.acaciaflow.coordination.port.SocketReads
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * An attempt at a request, which is served elsewhere as well while the attempt is stalled (a hedged request).
 *
 * The stalled attempt goes on meanwhile and is stopped only when a later one has a part of the answer, so that an answer
 * that is on its way is not given up before something better is known. If it advances first, the others are cancelled.
 *
 * Attempts lock themselves before the one that they hedge.
 */
internal class HedgedAttempt(
    private val detector: StallDetector,
    private val hedging: Hedging,
    private val socketReads: SocketReads,
    private val clock: Clock,
) {
    private val former = hedging.former
    private val answering = Mutex()

    @Volatile
    private var advances = 0L

    @Volatile
    private var advancesBeforeHedge = 0L
    private var stop: () -> Unit = {}

    @Volatile
    private var hasEnded = false

    /** True while [Hedge.serve] runs and may supersede this attempt. */
    @Volatile
    private var isHedged = false

    /** True once a later attempt answers the caller in place of this one. */
    @Volatile
    var superseded = false
        private set

    /** True while the caller still waits for the attempt that this one hedges. */
    val waitsForFormer: Boolean
        get() = hedging.isFormerOpen

    /**
     * Runs [block], which makes the attempt; [stop] ends it early.
     *
     * While it is stalled and [mayHedge] returns true, the request is hedged. A result that is not [isFinal] counts only if
     * the hedge fails too.
     */
    suspend fun <Result> during(
        mayHedge: () -> Boolean,
        stop: () -> Unit,
        isFinal: (Result) -> Boolean,
        block: suspend () -> Result,
    ): AttemptResult<Result> {
        this.stop = stop
        if (!detector.isBounded) return AttemptResult.Own(block())
        return coroutineScope {
            val watching = async { watch(mayHedge) }
            val result = block()
            if (endsWithHedge(isFinal(result))) {
                resultOf(result, watching.await())
            } else {
                watching.cancel()
                resultOf(result, conclusion = null)
            }
        }
    }

    /**
     * Runs [write], which passes a part of the answer to the caller; returns null if the attempt has been superseded.
     *
     * The first part stops the attempt that this one hedges. [isAdvance] tells whether the part advanced the answer.
     */
    suspend fun <Written : Any> answer(
        isAdvance: (Written) -> Boolean,
        write: suspend () -> Written,
    ): Written? =
        answering.withLock {
            if (superseded) return null
            hedging.supersedeFormer()
            write().also { if (isAdvance(it)) advances += 1 }
        }

    /** Stops this attempt for a later one; returns false if it has advanced since it was hedged. */
    suspend fun supersede(): Boolean =
        answering.withLock {
            when {
                superseded -> {
                    true
                }

                !isHedged || advances != advancesBeforeHedge || former?.supersede() == false -> {
                    false
                }

                else -> {
                    superseded = true
                    stop()
                    true
                }
            }
        }

    /** Ends the attempt; returns true if the result of its hedge is to be awaited. */
    private suspend fun endsWithHedge(isFinal: Boolean): Boolean =
        answering.withLock {
            hasEnded = true
            if (isFinal && !superseded) isHedged = false
            isHedged || superseded
        }

    private fun <Result> resultOf(
        result: Result,
        conclusion: Conclusion?,
    ): AttemptResult<Result> =
        if (superseded && conclusion != null) AttemptResult.Superseded(conclusion) else AttemptResult.Own(result)

    /** Hedges the attempt whenever it is stalled; returns the conclusion of the request once it is superseded. */
    private suspend fun watch(mayHedge: () -> Boolean): Conclusion? {
        var pause = SHORTEST_PAUSE
        while (true) {
            val stall = awaitStall(mayHedge)
            if (!beginHedge()) return null
            val conclusion = hedgeWhileStalled(stall)
            if (superseded || hasEnded) return conclusion
            awaitPause(pause)
            pause = if (advances == advancesBeforeHedge) minOf(pause * 2, LONGEST_PAUSE) else SHORTEST_PAUSE
        }
    }

    /** Waits for [pause], or until the attempt has advanced since it was hedged. */
    private suspend fun awaitPause(pause: Duration) {
        var left = pause
        while (left > Duration.ZERO && advances == advancesBeforeHedge) {
            delay(minOf(left, CHECK_INTERVAL))
            left -= CHECK_INTERVAL
        }
    }

    private suspend fun beginHedge(): Boolean =
        answering.withLock {
            advancesBeforeHedge = advances
            isHedged = !hasEnded
            isHedged
        }

    private suspend fun hedgeWhileStalled(stall: Stall): Conclusion? =
        coroutineScope {
            val serving = async { hedging.hedge.serve(this@HedgedAttempt, stall) }
            val watching =
                launch {
                    awaitProgress()
                    if (endHedge()) serving.cancel()
                }
            try {
                serving.await()
            } catch (_: CancellationException) {
                currentCoroutineContext().ensureActive()
                null
            } finally {
                watching.cancel()
                isHedged = false
            }
        }

    /** Ends a hedge that is not needed any more; returns false if it has answered the caller. */
    private suspend fun endHedge(): Boolean =
        answering.withLock {
            if (!superseded) isHedged = false
            !superseded
        }

    private suspend fun awaitProgress() {
        while (superseded ||
            hasEnded ||
            (advances == advancesBeforeHedge && stallNow() != null)
        ) {
            delay(CHECK_INTERVAL)
        }
    }

    /**
     * Waits until the attempt is stalled.
     *
     * The process may not have run for a while, so that data has arrived and is not read yet. The sockets are therefore
     * read first.
     */
    private suspend fun awaitStall(mayHedge: () -> Boolean): Stall {
        while (true) {
            if (stallNow() != null && mayHedge()) stallAfterReads()?.let { return it }
            delay(CHECK_INTERVAL)
        }
    }

    /** Reads the sockets, again while more of the answer is found; returns null if the attempt is in time after that. */
    private suspend fun stallAfterReads(): Stall? {
        val readUntil = clock.now() + LONGEST_READ
        do {
            val readBefore = detector.partsRead
            socketReads.awaitNext()
            val stall = stallNow() ?: return null
            if (detector.partsRead == readBefore || clock.now() >= readUntil) return stall
        } while (true)
    }

    /** Returns the limit that the attempt exceeds; null also while a caller takes a part of its answer. */
    private fun stallNow(): Stall? = if (answering.isLocked) null else detector.stallAt(clock.now())

    private companion object {
        val CHECK_INTERVAL: Duration = 200.milliseconds
        val LONGEST_READ: Duration = 200.milliseconds // an answer that has arrived takes a few passes over the sockets
        val SHORTEST_PAUSE: Duration = 400.milliseconds // another server may have become available by then
        val LONGEST_PAUSE: Duration = 3200.milliseconds
    }
}

/** The result of an attempt that may be hedged. */
internal sealed interface AttemptResult<out Result> {
    /** The attempt ended with [result]. */
    data class Own<Result>(
        val result: Result,
    ) : AttemptResult<Result>

    /** A later attempt answered the caller, with which the request ended in [conclusion]. */
    data class Superseded(
        val conclusion: Conclusion,
    ) : AttemptResult<Nothing>
}
