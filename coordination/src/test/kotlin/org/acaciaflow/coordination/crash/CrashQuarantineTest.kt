package org.acaciaflow.coordination.crash

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.acaciaflow.state.crash.CrashReports
import org.acaciaflow.state.fleet.BackendLife
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class CrashQuarantineTest : AnnotationSpec() {
    private val now = Instant.fromEpochSeconds(1_000)
    private val lives = listOf(BackendLife("first", 1), BackendLife("second", 1))

    @Test
    fun `gateways that tell each other of the same crashes do not renew them`() {
        var reports =
            lives.fold(
                CrashReports.NONE,
            ) { known, life -> CrashQuarantine.reported(known, DIGEST, life, now) }

        for (second in 1..130) {
            reports =
                lives.fold(reports) { known, life ->
                    CrashQuarantine.reportedByPeer(known, DIGEST, life, now + second.seconds)
                }
        }

        CrashQuarantine.isQuarantined(reports, DIGEST, now + 100.seconds) shouldBe true
        CrashQuarantine.isQuarantined(reports, DIGEST, now + 125.seconds) shouldBe false
    }

    private companion object {
        const val DIGEST = 7L
    }
}
