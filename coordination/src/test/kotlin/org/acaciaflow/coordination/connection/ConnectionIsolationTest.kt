package org.acaciaflow.coordination.connection

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.acaciaflow.state.connection.SurplusAnswers
import org.acaciaflow.state.fleet.BackendLife
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class ConnectionIsolationTest : AnnotationSpec() {
    private val start = Instant.fromEpochSeconds(1_780_000_000)
    private val life = BackendLife("i-1", 1)
    private val seen = ConnectionIsolation.surplusSeen(SurplusAnswers.NONE, life, start)

    @Test
    fun `only the lifetime that wrote a surplus answer is isolated`() {
        ConnectionIsolation.isIsolated(SurplusAnswers.NONE, life, start) shouldBe false
        ConnectionIsolation.isIsolated(seen, life, start) shouldBe true
        ConnectionIsolation.isIsolated(seen, BackendLife("i-1", 2), start) shouldBe false
    }

    /** Guards against a server that changes between both states at each of its surplus answers. */
    @Test
    fun `isolation lasts from the first surplus answer until none has come for its time`() {
        val again = ConnectionIsolation.surplusSeen(seen, life, start + 20.seconds)
        val end = start + 20.seconds + ConnectionIsolation.ISOLATION_TIME

        ConnectionIsolation.isIsolated(again, life, end - 1.milliseconds) shouldBe true
        ConnectionIsolation.isIsolated(again, life, end) shouldBe false
        ConnectionIsolation.countIsolated(again, end) shouldBe 0
    }

    /** Guards against a server that is isolated for no longer, however often it starts to answer twice again. */
    @Test
    fun `a surplus answer after the isolation has ended doubles its time, up to a maximum`() {
        var known = seen
        val times =
            List(5) {
                val again = checkNotNull(known.byLife[life]).isolatedUntil
                known = ConnectionIsolation.surplusSeen(known, life, again)
                checkNotNull(known.byLife[life]).isolatedUntil - again
            }

        times shouldBe listOf(1.minutes, 2.minutes, 4.minutes, 4.minutes, 4.minutes)
    }

    /** Guards against one fault of a server that isolates it for minutes. */
    @Test
    fun `surplus answers during the isolation do not double its time`() {
        val known =
            (1..50).fold(seen) { known, second -> ConnectionIsolation.surplusSeen(known, life, start + second.seconds) }

        known.byLife[life]?.isolatedUntil shouldBe start + 50.seconds + ConnectionIsolation.ISOLATION_TIME
    }

    @Test
    fun `a server that wrote none for long is isolated as if for the first time`() {
        val later = start + ConnectionIsolation.MEMORY_TIME

        val known = ConnectionIsolation.surplusSeen(seen, life, later)

        known.byLife[life]?.isolationTime shouldBe ConnectionIsolation.ISOLATION_TIME
    }

    /** Guards against memory that grows with each server that ever wrote a surplus answer. */
    @Test
    fun `servers that wrote none for the time of memory are forgotten at the next surplus answer`() {
        val many =
            (1..600).fold(seen) { known, number ->
                ConnectionIsolation.surplusSeen(known, BackendLife("i-$number", 1), start)
            }

        val later = ConnectionIsolation.surplusSeen(many, life, start + ConnectionIsolation.MEMORY_TIME)

        later.byLife.keys shouldBe setOf(life)
    }

    /** Guards against isolations that reports of other gateways shorten or date into the future. */
    @Test
    fun `a reported surplus answer counts from its own time, never later than now and never back`() {
        val now = start + 20.seconds
        val older =
            ConnectionIsolation.surplusReported(
                seen,
                life,
                start - 5.seconds,
                ConnectionIsolation.ISOLATION_TIME,
                now,
            )
        val newer =
            ConnectionIsolation.surplusReported(
                seen,
                life,
                start + 8.seconds,
                ConnectionIsolation.ISOLATION_TIME,
                now,
            )
        val future =
            ConnectionIsolation.surplusReported(
                seen,
                life,
                now + 8.seconds,
                ConnectionIsolation.ISOLATION_TIME,
                now,
            )

        listOf(older, newer, future).map { it.byLife[life]?.lastSeen } shouldBe listOf(start, start + 8.seconds, now)
        listOf(older, newer, future).map { it.byLife[life]?.ownLastSeen } shouldBe listOf(start, start, start)
    }

    /** Guards against a report of an old surplus answer that isolates its server again. */
    @Test
    fun `a reported surplus answer that is older than the isolation time isolates nobody`() {
        val now = start + ConnectionIsolation.ISOLATION_TIME

        val known =
            ConnectionIsolation.surplusReported(
                SurplusAnswers.NONE,
                life,
                start,
                ConnectionIsolation.ISOLATION_TIME,
                now,
            )

        ConnectionIsolation.isIsolated(known, life, now) shouldBe false
    }
}
