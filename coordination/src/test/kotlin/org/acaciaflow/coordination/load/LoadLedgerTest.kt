package org.acaciaflow.coordination.load

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.load.FleetLoad
import org.acaciaflow.state.load.JobIdentity
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

class LoadLedgerTest : AnnotationSpec() {
    private val now = Instant.fromEpochSeconds(1_000)
    private val life = BackendLife("engine", 1)

    @Test
    fun `further data of a stream does not take away the progress of a job that waits behind it`() {
        val stream = JobIdentity(1)
        var load = LoadLedger.sent(FleetLoad.NONE, life, stream, 10.milliseconds, 100, now)
        load = LoadLedger.producing(load, life, stream, now + 10.milliseconds)
        load = LoadLedger.sent(load, life, JobIdentity(2), 100.milliseconds, 100, now + 10.milliseconds)

        load = LoadLedger.producing(load, life, stream, now + 90.milliseconds)

        load.backlogAt(life, now + 90.milliseconds) shouldBe 20.milliseconds
    }
}
