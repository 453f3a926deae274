package org.acaciaflow.coordination.limit

import org.acaciaflow.state.limit.LimitWord
import kotlin.math.abs
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Instant

/** Decides which of two words on the limit of a server holds. */
object LimitWords {
    /** The word after an answer that arrived at [now] and names [perSecond]. */
    fun named(
        perSecond: Double,
        now: Instant,
    ): LimitWord = LimitWord.Named(perSecond, now)

    /**
     * The word after an answer that arrived at [now] and names no limit; [former] if it still holds.
     *
     * An answer to a request sent at [sentAt], before the limit was last named, may have been on its way.
     */
    fun unnamed(
        former: LimitWord,
        sentAt: Instant,
        now: Instant,
    ): LimitWord =
        when (former) {
            is LimitWord.Ended -> former
            is LimitWord.Named -> if (sentAt > former.at) LimitWord.Ended(now) else former
        }

    /**
     * The word after a report with [word]; [former] if it still holds.
     *
     * A word that says the same has to be newer by more than the time a report takes, since it may be one that this
     * gateway passed on itself.
     */
    fun reported(
        former: LimitWord?,
        word: LimitWord,
    ): LimitWord? =
        when {
            former == null -> word.takeIf { it is LimitWord.Named }
            saysSame(former, word) -> if (word.at > former.at + REPORT_DELAY) word else former
            else -> if (word.at > former.at) word else former
        }

    /** True if the end of a limit is forgotten at [now]: no gateway still reports what was named before. */
    fun isForgotten(
        word: LimitWord,
        now: Instant,
    ): Boolean =
        when (word) {
            is LimitWord.Ended -> now - word.at > ENDED_KEPT_FOR
            is LimitWord.Named -> false
        }

    /** True if the change from [former] to [perSecond] is worth an event. */
    fun isLargeChange(
        former: Double,
        perSecond: Double,
    ): Boolean = abs(perSecond - former) > LARGE_CHANGE * maxOf(former, perSecond)

    /** True if [one] and [other] differ at most in their times. */
    fun saysSame(
        one: LimitWord,
        other: LimitWord,
    ): Boolean =
        when (one) {
            is LimitWord.Ended -> other is LimitWord.Ended
            is LimitWord.Named -> other is LimitWord.Named && other.perSecond == one.perSecond
        }

    private const val LARGE_CHANGE = 0.33
    private val REPORT_DELAY: Duration = 100.milliseconds
    private val ENDED_KEPT_FOR: Duration = 5.minutes
}
