package org.acaciaflow.coordination.clock

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.acaciaflow.coordination.load.LoadLedger
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.load.FleetLoad
import org.acaciaflow.state.load.JobIdentity
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlin.time.TestTimeSource

class SteadyClockTest : AnnotationSpec() {
    private val steps = listOf(7.seconds, (-9).seconds, 2.seconds)

    @Test
    fun `steps of the time of day forward, backward and back again do not move a deadline`() {
        val timeOfDay = SteppedClock()
        val elapsed = TestTimeSource()
        val clock = createSteadyClock(timeOfDay, elapsed)
        val deadline = clock.now() + 1.seconds

        for (step in steps) {
            timeOfDay.time += step
            elapsed += 100.milliseconds
        }

        deadline - clock.now() shouldBe 700.milliseconds
    }

    @Test
    fun `a server does not look silent because the time of day steps forward`() {
        val life = BackendLife("engine", 1)
        val job = JobIdentity(1)
        val timeOfDay = SteppedClock()
        val clock = createSteadyClock(timeOfDay, TestTimeSource())
        val sent = LoadLedger.sent(FleetLoad.NONE, life, job, 10.milliseconds, 100, clock.now())
        val producing = LoadLedger.producing(sent, life, job, clock.now())

        timeOfDay.time += 5.seconds

        producing.ownAt(life).silence(clock.now()) shouldBe Duration.ZERO
    }

    private class SteppedClock : Clock {
        var time = Instant.fromEpochSeconds(1_000)

        override fun now(): Instant = time
    }
}
