package org.acaciaflow.protocol.peer

import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import org.acaciaflow.coordination.event.FrameFault
import org.acaciaflow.state.identity.parseHostAddress
import org.acaciaflow.state.peer.PeerReport
import org.acaciaflow.state.peer.ReportedCrash
import org.acaciaflow.state.peer.ReportedLoad
import org.acaciaflow.state.peer.ReportedRead
import org.acaciaflow.state.prompt.PromptPart
import kotlin.time.Duration.Companion.milliseconds

/** Encodes and decodes the reports that gateways exchange, as CBOR. */
@OptIn(ExperimentalSerializationApi::class)
object PeerCodec {
    /**
     * The version of the message format. Reports of any other version are rejected as undecodable, so that releases
     * with different formats can run side by side.
     */
    const val FORMAT_VERSION = 1

    private const val TOKENS_PER_KILO_TOKEN = 1024L

    private val cbor =
        Cbor {
            encodeDefaults = false
            ignoreUnknownKeys = true
            preferCborLabelsOverNames = true
        }

    fun encode(report: PeerReport): ByteArray = cbor.encodeToByteArray(PeerMessage.serializer(), messageOf(report))

    /** Decodes a report. Malformed input returns [DecodedReport.Faulty]; it never throws. */
    fun decode(bytes: ByteArray): DecodedReport =
        try {
            reportOf(cbor.decodeFromByteArray(PeerMessage.serializer(), bytes))
        } catch (_: SerializationException) {
            DecodedReport.Faulty(FrameFault.UNDECODABLE)
        } catch (_: IllegalArgumentException) {
            DecodedReport.Faulty(FrameFault.UNDECODABLE)
        } catch (_: IndexOutOfBoundsException) {
            DecodedReport.Faulty(FrameFault.UNDECODABLE)
        } catch (_: NegativeArraySizeException) {
            DecodedReport.Faulty(FrameFault.UNDECODABLE)
        }

    private fun messageOf(report: PeerReport): PeerMessage =
        PeerMessage(
            form = FORMAT_VERSION,
            address = report.sender.toString(),
            startedAtMilliseconds = report.startedAtMilliseconds,
            sequence = report.sequence,
            configurationVersion = report.configurationVersion,
            stopping = report.stopping,
            loadLives = report.loads.map { it.lifeCode },
            loadBacklogMilliseconds = report.loads.map { it.backlog.inWholeMilliseconds.toInt() },
            loadRunning = report.loads.map { it.running },
            loadKiloTokens = report.loads.map { (it.tokens / TOKENS_PER_KILO_TOKEN).toInt() },
            readLives = report.reads.map { it.lifeCode },
            readPartCounts = report.reads.map { it.parts.size },
            partKeys = report.reads.flatMap { read -> read.parts.map { it.key } },
            partTokens = report.reads.flatMap { read -> read.parts.map { it.tokens } },
            leaving = report.leaving,
            unheard = report.unheard,
            crashDigests = report.crashes.map { it.digest },
            crashLives = report.crashes.map { it.lifeCode },
        )

    private fun reportOf(message: PeerMessage): DecodedReport {
        val sender = parseHostAddress(message.address)
        if (message.form != FORMAT_VERSION || sender == null) return DecodedReport.Faulty(FrameFault.UNDECODABLE)
        return DecodedReport.Report(
            PeerReport(
                sender = sender,
                startedAtMilliseconds = message.startedAtMilliseconds,
                sequence = message.sequence,
                configurationVersion = message.configurationVersion,
                stopping = message.stopping,
                loads = loadsOf(message),
                reads = readsOf(message),
                leaving = message.leaving.toPersistentList(),
                unheard = message.unheard.toPersistentList(),
                crashes = message.crashDigests.zip(message.crashLives, ::ReportedCrash).toPersistentList(),
            ),
        )
    }

    private fun loadsOf(message: PeerMessage) =
        message.loadLives
            .mapIndexed { index, lifeCode ->
                ReportedLoad(
                    lifeCode = lifeCode,
                    backlog = message.loadBacklogMilliseconds[index].milliseconds,
                    running = message.loadRunning[index],
                    tokens = message.loadKiloTokens[index] * TOKENS_PER_KILO_TOKEN,
                )
            }.toPersistentList()

    private fun readsOf(message: PeerMessage) =
        message.readLives
            .mapIndexed { index, lifeCode ->
                val first = message.readPartCounts.take(index).sum()
                val parts = (first until first + message.readPartCounts[index]).map { partOf(message, it) }
                ReportedRead(lifeCode, parts.toPersistentList())
            }.toPersistentList()

    private fun partOf(
        message: PeerMessage,
        index: Int,
    ): PromptPart = PromptPart(message.partKeys[index], message.partTokens[index])
}

/** The result of decoding a report. */
sealed interface DecodedReport {
    data class Report(
        val report: PeerReport,
    ) : DecodedReport

    data class Faulty(
        val fault: FrameFault,
    ) : DecodedReport
}
