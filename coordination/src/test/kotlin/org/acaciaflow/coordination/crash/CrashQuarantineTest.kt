package org.acaciaflow.coordination.crash

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.acaciaflow.state.crash.CrashReports
import org.acaciaflow.state.crash.CrashSubject
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class CrashQuarantineTest : AnnotationSpec() {
    private val now = Instant.fromEpochSeconds(1_000)
    private val request = CrashSubject.Request(7)
    private val part = CrashSubject.Part(8)

    @Test
    fun `gateways that tell each other of the same crashes do not renew them`() {
        var reports = crashes(CrashReports.NONE, request, lives = 1..2, now)

        for (second in 1..130) {
            reports = crashes(reports, request, lives = 1..2, now + second.seconds)
        }

        isQuarantined(reports, request, now + 100.seconds) shouldBe true
        isQuarantined(reports, request, now + 125.seconds) shouldBe false
    }

    // Guards against blaming a sound part, which is at many crashes that others cause.
    @Test
    fun `a part that is served between crashes is not quarantined however many there are`() {
        var reports = CrashReports.NONE

        for (crash in 1..20) {
            val at = now + crash.seconds
            reports = CrashQuarantine.crashed(reports, part, lifeCode = crash, at)
            reports = CrashQuarantine.served(reports, part, at + 0.5.seconds)
        }

        isQuarantined(reports, part, now + 21.seconds) shouldBe false
    }

    // Guards against losing every server of a small pool to a part before it has crashed three of them.
    @Test
    fun `a part that was never served is refused for a while after two crashes, one that was served is not`() {
        val served = CrashSubject.Part(9)
        var reports = CrashQuarantine.served(CrashReports.NONE, served, now)
        for (subject in listOf(part, served)) reports = crashes(reports, subject, lives = 1..2, now + 1.seconds)

        isQuarantined(reports, part, now + 2.seconds) shouldBe true
        isQuarantined(reports, served, now + 2.seconds) shouldBe false
        isQuarantined(reports, part, now + 12.seconds) shouldBe false
    }

    // Guards against refusing sound requests as long as a crashing part is refused that they do not have.
    @Test
    fun `a part that was served before is not blamed for the crashes of a new part beside it`() {
        val sound = CrashSubject.Part(9)
        var reports = CrashQuarantine.served(CrashReports.NONE, sound, now)
        for (subject in listOf(part, sound)) reports = crashes(reports, subject, lives = 1..4, now + 1.seconds)

        isQuarantined(reports, sound, now + 2.seconds) shouldBe false
        isQuarantined(reports, listOf(sound, part), now + 2.seconds) shouldBe true
    }

    // Guards against clearing a part that goes on crashing servers without the new part that was at its first crashes.
    @Test
    fun `a part that was served before is blamed for crashes at which no new part was starting`() {
        val served = CrashSubject.Part(9)
        var reports = CrashQuarantine.served(CrashReports.NONE, served, now)
        reports = crashes(reports, part, lives = 1..2, now + 1.seconds)
        reports = crashes(reports, served, lives = 1..5, now + 1.seconds)

        isQuarantined(reports, served, now + 2.seconds) shouldBe true
    }

    // Guards against clearing the crashing part because another new one was starting beside it.
    @Test
    fun `of two new parts the one at fewer crashes is not blamed, and both are if they are at equally many`() {
        val other = CrashSubject.Part(9)
        var reports = CrashQuarantine.served(CrashReports.NONE, CrashSubject.Part(10), now)
        reports = crashes(reports, part, lives = 1..3, now + 1.seconds)
        reports = crashes(reports, other, lives = 2..3, now + 1.seconds)
        isQuarantined(reports, part, now + 2.seconds) shouldBe true
        isQuarantined(reports, other, now + 2.seconds) shouldBe false

        reports = crashes(reports, other, lives = 1..1, now + 1.seconds)

        isQuarantined(reports, part, now + 2.seconds) shouldBe true
        isQuarantined(reports, other, now + 2.seconds) shouldBe true
    }

    @Test
    fun `a report of a crash that arrives after a later answer does not count`() {
        var reports = crashes(CrashReports.NONE, part, lives = 1..1, now)
        reports = CrashQuarantine.served(reports, part, now + 2.seconds)

        reports = crashes(reports, part, lives = 2..4, now + 1.seconds)

        isQuarantined(reports, part, now + 3.seconds) shouldBe false
    }

    @Test
    fun `one more crash after the end of a quarantine renews it`() {
        var reports = crashes(CrashReports.NONE, part, lives = 1..3, now)
        val later = now + 4.minutes
        reports = CrashQuarantine.pruned(reports, later)
        isQuarantined(reports, part, later) shouldBe false

        reports = crashes(reports, part, lives = 4..4, later)

        isQuarantined(reports, part, later + 1.seconds) shouldBe true
    }

    @Test
    fun `suspects that crashed nothing else are forgotten`() {
        val reports = crashes(CrashReports.NONE, part, lives = 1..1, now)

        CrashQuarantine.pruned(reports, now + 3.minutes) shouldBe CrashReports.NONE
    }

    @Test
    fun `the memory of served parts is bounded`() {
        val reports =
            (1..50_000L).fold(CrashReports.NONE) { known, key ->
                CrashQuarantine.served(known, CrashSubject.Part(key), now)
            }

        val remembered = reports.servedParts.recent.size + reports.servedParts.former.size
        remembered shouldBeLessThanOrEqual 10_000
        (50_000L in reports.servedParts) shouldBe true
    }

    // Guards against several requests that start at once with a part that may crash servers.
    @Test
    fun `one request at a time tries a part that was served before`() {
        val reports = servedThenCrashed(lives = 1..3)
        standing(reports, "early", now + 2.seconds).shouldBeInstanceOf<CrashStanding.Quarantined>()

        val tried = CrashQuarantine.tried(reports, listOf(part), "first", now + 5.seconds)

        standing(reports, "first", now + 5.seconds) shouldBe CrashStanding.MayTry(listOf(part))
        standing(tried, "first", now + 5.1.seconds) shouldBe CrashStanding.MayTry(listOf(part))
        standing(tried, "second", now + 5.1.seconds) shouldBe CrashStanding.Quarantined(now + 7.1.seconds)
        standing(tried, "second", now + 7.1.seconds) shouldBe CrashStanding.MayTry(listOf(part))
        val served = CrashQuarantine.served(tried, part, now + 6.seconds)
        standing(served, "second", now + 6.seconds) shouldBe CrashStanding.Clear
    }

    // Guards against a trial that is sent again after it has crashed its server, and against trials without end.
    @Test
    fun `a trial that crashes its server ends, and there is none after five crashes`() {
        var reports = servedThenCrashed(lives = 1..3)
        for ((crash, at) in listOf(4 to now + 5.seconds, 5 to now + 9.seconds)) {
            reports = CrashQuarantine.tried(reports, listOf(part), "trial-$crash", at)
            reports = crashes(reports, part, crash..crash, at + 0.1.seconds)
            standing(reports, "trial-$crash", at + 0.2.seconds).shouldBeInstanceOf<CrashStanding.Quarantined>()
        }

        for (second in 10..120) {
            standing(reports, "later", now + second.seconds).shouldBeInstanceOf<CrashStanding.Quarantined>()
        }
    }

    // Guards against trials without number while their crashes are not known.
    @Test
    fun `there are three trials at most, also if a peer tells that the part was served before its crashes`() {
        var reports = servedThenCrashed(lives = 1..3)

        val trials =
            (5..120).count { second ->
                val at = now + second.seconds
                val mayTry = standing(reports, "trial-$second", at) is CrashStanding.MayTry
                if (mayTry) reports = CrashQuarantine.tried(reports, listOf(part), "trial-$second", at)
                reports = CrashQuarantine.served(reports, part, at - 10.minutes)
                mayTry
            }

        trials shouldBe 3
    }

    // Guards against trials of the parts and requests that have probably crashed the servers.
    @Test
    fun `nothing is tried that was never served, and only one gateway tries`() {
        val new = CrashSubject.Part(9)
        var reports = servedThenCrashed(lives = 1..3)
        reports = crashes(reports, new, lives = 4..6, now + 1.seconds)
        reports = crashes(reports, request, lives = 1..2, now + 1.seconds)
        val later = now + 20.seconds

        standing(reports, "id", later) shouldBe CrashStanding.MayTry(listOf(part))
        standing(reports, "id", later, triesParts = false).shouldBeInstanceOf<CrashStanding.Quarantined>()
        for (other in listOf(new, request)) {
            val standing = CrashQuarantine.standing(reports, listOf(part, other), "id", triesParts = true, later)
            standing.shouldBeInstanceOf<CrashStanding.Quarantined>()
        }
    }

    private fun servedThenCrashed(lives: IntRange): CrashReports {
        val served = CrashQuarantine.served(CrashReports.NONE, part, now)
        return crashes(served, part, lives, now + 1.seconds)
    }

    private fun standing(
        reports: CrashReports,
        requestId: String,
        at: Instant,
        triesParts: Boolean = true,
    ) = CrashQuarantine.standing(reports, listOf(part), requestId, triesParts, at)

    private fun crashes(
        reports: CrashReports,
        subject: CrashSubject,
        lives: IntRange,
        at: Instant,
    ) = lives.fold(reports) { known, life -> CrashQuarantine.crashed(known, subject, life, at) }

    private fun isQuarantined(
        reports: CrashReports,
        subject: CrashSubject,
        at: Instant,
    ) = isQuarantined(reports, listOf(subject), at)

    private fun isQuarantined(
        reports: CrashReports,
        subjects: List<CrashSubject>,
        at: Instant,
    ) = CrashQuarantine.quarantinedUntil(reports, subjects, at) != null
}
