package org.acaciaflow.coordination.connection

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.acaciaflow.state.connection.SurplusAnswers
import org.acaciaflow.state.fleet.BackendLife
import kotlin.time.Duration.Companion.milliseconds
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

    /** Guards against memory that grows with each server that ever wrote a surplus answer. */
    @Test
    fun `servers whose isolation has ended are forgotten at the next surplus answer`() {
        val many =
            (1..600).fold(seen) { known, number ->
                ConnectionIsolation.surplusSeen(known, BackendLife("i-$number", 1), start)
            }

        val later = ConnectionIsolation.surplusSeen(many, life, start + ConnectionIsolation.ISOLATION_TIME)

        later.lastSeen.keys shouldBe setOf(life)
    }
}
