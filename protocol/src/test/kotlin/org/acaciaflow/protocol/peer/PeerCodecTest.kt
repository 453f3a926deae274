package org.acaciaflow.protocol.peer

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.acaciaflow.state.crash.CrashSubject
import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.load.RemoteLoad
import org.acaciaflow.state.peer.LoadScope
import org.acaciaflow.state.peer.LoadShare
import org.acaciaflow.state.peer.PeerReport
import org.acaciaflow.state.peer.ReportedCrash
import org.acaciaflow.state.peer.ReportedLimit
import org.acaciaflow.state.peer.ReportedLimitWord
import org.acaciaflow.state.peer.ReportedLoad
import org.acaciaflow.state.peer.ReportedRead
import org.acaciaflow.state.peer.ReportedServed
import org.acaciaflow.state.peer.ReportedSurplus
import org.acaciaflow.state.prompt.PromptPart
import kotlin.random.Random
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.milliseconds

class PeerCodecTest : AnnotationSpec() {
    /** Guards against a datagram that overflows the stack of the event loop; the stack has the deploy file's size. */
    @Test
    fun `a deeply nested datagram is undecodable`() {
        val openings = listOf(0x81, 0x9f, 0xa1, 0xbf, 0xc1, 0x5f, 0x7f, 0xd8) // arrays, maps, tags, strings in parts
        val unknownField = listOf(0xa1, 0x18, 0x63)
        val datagrams =
            openings.flatMap { opening ->
                listOf(1, 2).map { kind ->
                    byteArrayOf(kind.toByte()) + unknownField.map { it.toByte() } +
                        ByteArray(60_000) { opening.toByte() }
                }
            }
        var results = emptyList<DecodedDatagram>()

        Thread(null, { results = datagrams.map(PeerCodec::decode) }, "small-stack", 256L * 1024).apply {
            start()
            join()
        }

        results.size shouldBe datagrams.size
        results.forEach { it.shouldBeInstanceOf<DecodedDatagram.Faulty>() }
    }

    @Test
    fun `a report is unchanged after encoding and decoding`() {
        val report = report(loads = 12, reads = 5)

        val decoded = PeerCodec.decode(PeerCodec.encode(report))

        decoded shouldBe DecodedDatagram.Valid(report)
    }

    /** Guards against releases that can't read each other's reports once one of them adds a field. */
    @Test
    fun `a report with a field that this release does not know is read without it`() {
        val report = report(loads = 2, reads = 1)
        val unknownField = listOf(0x18, 0x63, 0x81, 0x01).map { it.toByte() } // the label 99 and a list with one number
        val encoded = PeerCodec.encode(report)

        val longer = encoded.dropLast(1) + unknownField + encoded.last()

        PeerCodec.decode(longer.toByteArray()) shouldBe DecodedDatagram.Valid(report)
    }

    /** Guards against a surplus answer of unknown age that is taken for a new one. */
    @Test
    fun `a surplus answer without an age is left out`() {
        val message =
            PeerMessage(
                form = PeerCodec.FORMAT_VERSION,
                address = "10.1.2.3:7000",
                startedAtMilliseconds = 1,
                sequence = 1,
                configurationVersion = 1,
                surplusLives = listOf(6, 7),
                surplusAgesMilliseconds = listOf(250),
                surplusIsolationsMilliseconds = listOf(30_000, 30_000),
            )

        surplusOf(message) shouldBe
            listOf(ReportedSurplus(6, 250.milliseconds, 30_000.milliseconds, persistentListOf()))
    }

    /** Guards against a surplus answer that is not heard of since its peer tells no forms, or unreadable ones. */
    @Test
    fun `surplus answers without forms, or with counts that don't add up, have none`() {
        val counts = listOf(emptyList(), listOf(1, 2), listOf(-1, 3), listOf(Int.MAX_VALUE, 2), listOf(1, 0), listOf(2))
        for (counted in counts) {
            val message =
                PeerMessage(
                    form = PeerCodec.FORMAT_VERSION,
                    address = "10.1.2.3:7000",
                    startedAtMilliseconds = 1,
                    sequence = 1,
                    configurationVersion = 1,
                    surplusLives = listOf(6, 7),
                    surplusAgesMilliseconds = listOf(250, 250),
                    surplusIsolationsMilliseconds = listOf(30_000, 30_000),
                    surplusFormCounts = counted,
                    surplusForms = listOf(1, 2),
                )

            val expected = if (counted == listOf(2)) listOf(listOf(1L, 2L), emptyList()) else List(2) { emptyList() }
            surplusOf(message).map { it.forms } shouldBe expected
        }
    }

    @Test
    fun `a load share is unchanged after encoding and decoding`() {
        val scopes =
            listOf(LoadScope.Sender, LoadScope.WholeDataCentre(DataCentre("north")), LoadScope.AllOthers)

        for (scope in scopes) {
            val share = share(scope, loads = 12)

            PeerCodec.decode(PeerCodec.encode(share)) shouldBe DecodedDatagram.Valid(share)
        }
    }

    @Test
    fun `a load share of 600 engines fits into a datagram`() {
        PeerCodec.encode(share(LoadScope.AllOthers, loads = 600)).size shouldBeLessThan 60_000
    }

    @Test
    fun `the largest report fits into a datagram`() {
        val report = report(loads = 600, reads = 64)
        val crashes =
            (1..64L).map { ReportedCrash(CrashSubject.Part(Long.MAX_VALUE - it), Int.MIN_VALUE, 120_000.milliseconds) }
        val served = (1..64L).map { ReportedServed(CrashSubject.Part(Long.MIN_VALUE + it), 5_000.milliseconds) }

        val surplus =
            (1..64).map {
                ReportedSurplus(Int.MIN_VALUE + it, 240_000.milliseconds, 240_000.milliseconds, LARGEST_FORMS)
            }
        val limits = limits(64)

        val full =
            report.copy(
                crashes = crashes.toPersistentList(),
                served = served.toPersistentList(),
                surplus = surplus.toPersistentList(),
                limits = limits,
            )

        PeerCodec.encode(full).size shouldBeLessThan 60_000
    }

    @Test
    fun `random and truncated bytes throw no exception`() {
        val random = Random(5101)
        val datagrams =
            listOf(
                report(loads = 3, reads = 2),
                share(LoadScope.AllOthers, loads = 3),
            ).map(PeerCodec::encode)

        repeat(2000) {
            PeerCodec.decode(random.nextBytes(random.nextInt(80)))
            datagrams.forEach { whole -> PeerCodec.decode(whole.copyOf(random.nextInt(whole.size))) }
        }
    }

    /** Guards against reports that grow without bound with the number of limited servers. */
    @Test
    fun `64 limits take at most 2 KB of a report`() {
        val none = report(loads = 0, reads = 0).copy(limits = persistentListOf())

        val bytes = PeerCodec.encode(none.copy(limits = limits(64))).size - PeerCodec.encode(none).size

        println("bytes of 64 limits in a report: $bytes")
        bytes shouldBeLessThan 2_048
    }

    /** Guards against an old word that counts as new because its age does not fit into the message. */
    @Test
    fun `an age of many days stays old`() {
        val limit = ReportedLimit(6, ReportedLimitWord.Named(4.3), 40.days, demand = 1.0)
        val report = report(loads = 0, reads = 0).copy(limits = persistentListOf(limit))

        val decoded = PeerCodec.decode(PeerCodec.encode(report)) as DecodedDatagram.Valid

        (decoded.datagram as PeerReport).limits.single().age shouldBeGreaterThan 20.days
    }

    private fun limits(count: Int) =
        (1..count)
            .map {
                ReportedLimit(
                    Int.MIN_VALUE + it,
                    ReportedLimitWord.Named(4.3),
                    120_000.milliseconds,
                    demand = 99.9,
                )
            }.toPersistentList()

    private fun share(
        scope: LoadScope,
        loads: Int,
    ) = LoadShare(
        sender = HostAddress("10.1.2.3", 7000),
        startedAtMilliseconds = 1_780_000_000_000,
        sequence = 12,
        scope = scope,
        age = 35.milliseconds,
        loads = loads(loads),
    )

    private fun loads(count: Int) =
        (1..count).map { ReportedLoad(it, RemoteLoad(it.milliseconds, it, it + 1, it * 1024L)) }.toPersistentList()

    private fun report(
        loads: Int,
        reads: Int,
    ) = PeerReport(
        sender = HostAddress("10.1.2.3", 7000),
        startedAtMilliseconds = 1_780_000_000_000,
        sequence = 12,
        dataCentre = DataCentre("north"),
        capacity = 1.5,
        configurationVersion = 7,
        stopping = true,
        loads = loads(loads),
        reads = (1..reads).map { ReportedRead(it, persistentListOf(PromptPart(it.toLong(), 5))) }.toPersistentList(),
        leaving = persistentListOf(1, -2),
        unheard = persistentListOf(3),
        crashes =
            persistentListOf(
                ReportedCrash(CrashSubject.Request(99), 4, 20.milliseconds),
                ReportedCrash(CrashSubject.Part(-98), 5, 90_000.milliseconds),
            ),
        served = persistentListOf(ReportedServed(CrashSubject.Part(97), 30.milliseconds)),
        surplus =
            persistentListOf(
                ReportedSurplus(6, 250.milliseconds, 30_000.milliseconds, persistentListOf(Long.MIN_VALUE, 3L)),
                ReportedSurplus(-7, 29_000.milliseconds, 60_000.milliseconds, persistentListOf()),
                ReportedSurplus(8, 29_000.milliseconds, 60_000.milliseconds, persistentListOf(-1L)),
            ),
        limits =
            persistentListOf(
                ReportedLimit(6, ReportedLimitWord.Named(4.3), 250.milliseconds, demand = 12.5),
                ReportedLimit(-7, ReportedLimitWord.Ended, 0.milliseconds, demand = 0.0),
            ),
    )

    private companion object {
        val LARGEST_FORMS = List(4) { Long.MIN_VALUE }.toPersistentList()
    }
}
