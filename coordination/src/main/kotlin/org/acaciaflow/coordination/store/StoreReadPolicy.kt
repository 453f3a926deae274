package org.acaciaflow.coordination.store

import org.acaciaflow.coordination.port.StoreFailure
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Decides when and how a process that follows the store reads all its keys again. */
object StoreReadPolicy {
    /**
     * The next step after the [failures]th failure in a row of a watch.
     *
     * The same question brings the same answer as long as the store keeps its history, so it is asked again only where
     * the answer may have been lost on the way, or the store could not take the call. A store may also go on refusing
     * watches while it answers reads.
     */
    fun afterFailedWatch(
        reason: StoreFailure,
        failures: Int,
    ): AfterFailedWatch =
        when (reason) {
            StoreFailure.MALFORMED_ANSWER, StoreFailure.ANSWER_TOO_LARGE, StoreFailure.TIMED_OUT ->
                AfterFailedWatch.READ_ALL_KEYS

            StoreFailure.ANSWER_LOST, StoreFailure.UNREACHABLE, StoreFailure.REJECTED, StoreFailure.PAST_ERA ->
                if (failures < FAILED_WATCHES) AfterFailedWatch.ASK_AGAIN else AfterFailedWatch.READ_ALL_KEYS
        }

    /** The next step after the [failures]th failure in a row of reading a page. */
    fun afterFailedPage(
        reason: StoreFailure,
        failures: Int,
    ): AfterFailedPage =
        when (reason) {
            StoreFailure.UNREACHABLE, StoreFailure.REJECTED -> AfterFailedPage.UNAVAILABLE

            StoreFailure.TIMED_OUT, StoreFailure.ANSWER_LOST, StoreFailure.PAST_ERA ->
                if (failures < LOST_PAGES) AfterFailedPage.ASK_AGAIN else AfterFailedPage.UNAVAILABLE

            StoreFailure.MALFORMED_ANSWER, StoreFailure.ANSWER_TOO_LARGE -> AfterFailedPage.UNREADABLE
        }

    /**
     * How long after a read all keys are read once more, although their changes are followed.
     *
     * Whatever a watch fails to bring is corrected then; sooner if the read was not [complete].
     */
    fun readInterval(
        complete: Boolean,
        random: Random,
    ): Duration {
        val interval = if (complete) READ_INTERVAL else INCOMPLETE_READ_INTERVAL
        return interval * (1 - SPREAD / 2 + SPREAD * random.nextDouble())
    }

    /** How long the [failures]th repetition of a page waits for its answer; a slow link gets more time. */
    fun pageTimeout(failures: Int): Duration = if (failures == 0) PAGE_TIMEOUT else LONGEST_PAGE_TIMEOUT

    /**
     * How long to wait before all keys are read again, after [reads] such reads in a row without an answer to a watch.
     *
     * The pause is bounded so that polling alone still brings changes in time, and spread so that many processes that
     * lose their place at once do not read together.
     */
    fun pauseBefore(
        reads: Int,
        random: Random,
    ): Duration {
        if (reads == 0) return Duration.ZERO
        val doublings = (reads - 1).coerceAtMost(MAXIMUM_DOUBLINGS)
        val pause = (SHORTEST_PAUSE * (1 shl doublings)).coerceAtMost(LONGEST_PAUSE)
        return pause * (1 - SPREAD / 2 + SPREAD * random.nextDouble())
    }

    /** How long a process that sees a new era of the store waits, so that many do not read it in the same instant. */
    fun pauseAfterReturn(random: Random): Duration = LONGEST_PAUSE_AFTER_RETURN * random.nextDouble()

    private const val FAILED_WATCHES = 2
    private const val LOST_PAGES = 2
    private const val MAXIMUM_DOUBLINGS = 10
    private const val SPREAD = 0.4
    private val READ_INTERVAL: Duration = 30.seconds
    private val INCOMPLETE_READ_INTERVAL: Duration = 2.seconds
    private val SHORTEST_PAUSE: Duration = 125.milliseconds
    private val LONGEST_PAUSE: Duration = 1000.milliseconds
    private val LONGEST_PAUSE_AFTER_RETURN: Duration = 300.milliseconds
    private val PAGE_TIMEOUT: Duration = 1.seconds // a slow store takes some hundred milliseconds to answer
    private val LONGEST_PAGE_TIMEOUT: Duration = 2.5.seconds
}

/** What follows a failed watch. */
enum class AfterFailedWatch {
    ASK_AGAIN,
    READ_ALL_KEYS,
}

/** What follows a failed read of a page. */
enum class AfterFailedPage {
    ASK_AGAIN,

    /** Gives up the read, since this section can't be decoded. */
    UNREADABLE,

    /** Gives up the read, since the store doesn't answer. */
    UNAVAILABLE,
}
