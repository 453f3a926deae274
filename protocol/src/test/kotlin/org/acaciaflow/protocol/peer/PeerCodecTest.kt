package org.acaciaflow.protocol.peer

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.peer.PeerReport
import org.acaciaflow.state.peer.ReportedCrash
import org.acaciaflow.state.peer.ReportedLoad
import org.acaciaflow.state.peer.ReportedRead
import org.acaciaflow.state.prompt.PromptPart
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

class PeerCodecTest : AnnotationSpec() {
    @Test
    fun `a report is unchanged after encoding and decoding`() {
        val report = report(loads = 12, reads = 5)

        val decoded = PeerCodec.decode(PeerCodec.encode(report))

        decoded.shouldBeInstanceOf<DecodedReport.Report>().report shouldBe report
    }

    @Test
    fun `the largest report fits into a datagram`() {
        PeerCodec.encode(report(loads = 600, reads = 64)).size shouldBeLessThan 60_000
    }

    @Test
    fun `random and truncated bytes throw no exception`() {
        val random = Random(5101)
        val whole = PeerCodec.encode(report(loads = 3, reads = 2))

        repeat(2000) {
            PeerCodec.decode(random.nextBytes(random.nextInt(80)))
            PeerCodec.decode(whole.copyOf(random.nextInt(whole.size)))
        }
    }

    private fun report(
        loads: Int,
        reads: Int,
    ) = PeerReport(
        sender = HostAddress("10.1.2.3", 7000),
        startedAtMilliseconds = 1_780_000_000_000,
        sequence = 12,
        configurationVersion = 7,
        stopping = true,
        loads = (1..loads).map { ReportedLoad(it, it.milliseconds, it, it * 1024L) }.toPersistentList(),
        reads = (1..reads).map { ReportedRead(it, persistentListOf(PromptPart(it.toLong(), 5))) }.toPersistentList(),
        leaving = persistentListOf(1, -2),
        unheard = persistentListOf(3),
        crashes = persistentListOf(ReportedCrash(99, 4)),
    )
}
