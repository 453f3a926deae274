package org.acaciaflow.protocol.peer

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import org.acaciaflow.coordination.event.FrameFault
import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.identity.parseHostAddress
import org.acaciaflow.state.peer.LoadScope
import org.acaciaflow.state.peer.LoadShare
import org.acaciaflow.state.peer.PeerDatagram
import org.acaciaflow.state.peer.PeerReport
import org.acaciaflow.state.peer.ReportedRead
import org.acaciaflow.state.prompt.PromptPart
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Encodes and decodes the datagrams that gateways exchange: one byte for the kind of message, then CBOR. */
@OptIn(ExperimentalSerializationApi::class)
object PeerCodec {
    /**
     * The version of the message format. Datagrams of any other version are rejected as undecodable, so that releases
     * with different formats can run side by side.
     */
    const val FORMAT_VERSION = 2

    private const val REPORT: Byte = 1
    private const val LOAD_SHARE: Byte = 2

    private val cbor =
        Cbor {
            encodeDefaults = false
            ignoreUnknownKeys = true
            preferCborLabelsOverNames = true
        }

    fun encode(datagram: PeerDatagram): ByteArray =
        when (datagram) {
            is PeerReport ->
                byteArrayOf(REPORT) + cbor.encodeToByteArray(PeerMessage.serializer(), messageOf(datagram))
            is LoadShare ->
                byteArrayOf(LOAD_SHARE) + cbor.encodeToByteArray(LoadShareMessage.serializer(), messageOf(datagram))
        }

    /** Decodes a datagram. Malformed input returns [DecodedDatagram.Faulty]; it never throws. */
    fun decode(bytes: ByteArray): DecodedDatagram =
        try {
            decodeBody(bytes.first(), bytes.copyOfRange(1, bytes.size))
        } catch (_: SerializationException) {
            UNDECODABLE
        } catch (_: IllegalArgumentException) {
            UNDECODABLE
        } catch (_: IndexOutOfBoundsException) {
            UNDECODABLE
        } catch (_: NegativeArraySizeException) {
            UNDECODABLE
        } catch (_: NoSuchElementException) {
            UNDECODABLE
        }

    private fun decodeBody(
        kind: Byte,
        body: ByteArray,
    ): DecodedDatagram =
        when (kind) {
            REPORT -> reportOf(cbor.decodeFromByteArray(PeerMessage.serializer(), body))
            LOAD_SHARE -> shareOf(cbor.decodeFromByteArray(LoadShareMessage.serializer(), body))
            else -> UNDECODABLE
        }

    private fun messageOf(share: LoadShare): LoadShareMessage {
        val loads = loadListsOf(share.loads)
        val scope = share.scope
        return LoadShareMessage(
            form = FORMAT_VERSION,
            address = share.sender.toString(),
            startedAtMilliseconds = share.startedAtMilliseconds,
            sequence = share.sequence,
            scope = codeOf(scope),
            dataCentre = if (scope is LoadScope.WholeDataCentre) scope.dataCentre.name else "",
            ageMilliseconds = share.age.inWholeMilliseconds.toInt(),
            lives = loads.lives,
            workMilliseconds = loads.workMilliseconds,
            waiting = loads.waiting,
            running = loads.running,
            kiloTokens = loads.kiloTokens,
        )
    }

    private fun codeOf(scope: LoadScope): Int =
        when (scope) {
            LoadScope.Sender -> LoadScopeCode.SENDER
            is LoadScope.WholeDataCentre -> LoadScopeCode.WHOLE_DATA_CENTRE
            LoadScope.AllOthers -> LoadScopeCode.ALL_OTHERS
        }

    private fun shareOf(message: LoadShareMessage): DecodedDatagram {
        val sender = parseHostAddress(message.address)
        val scope =
            when (message.scope) {
                LoadScopeCode.SENDER -> LoadScope.Sender
                LoadScopeCode.WHOLE_DATA_CENTRE -> LoadScope.WholeDataCentre(DataCentre(message.dataCentre))
                LoadScopeCode.ALL_OTHERS -> LoadScope.AllOthers
                else -> null
            }
        if (message.form != FORMAT_VERSION || sender == null || scope == null) return UNDECODABLE
        val loads =
            LoadLists(
                lives = message.lives,
                workMilliseconds = message.workMilliseconds,
                waiting = message.waiting,
                running = message.running,
                kiloTokens = message.kiloTokens,
            )
        return DecodedDatagram.Valid(
            LoadShare(
                sender = sender,
                startedAtMilliseconds = message.startedAtMilliseconds,
                sequence = message.sequence,
                scope = scope,
                age = message.ageMilliseconds.milliseconds,
                loads = loads.toLoads(),
            ),
        )
    }

    private fun messageOf(report: PeerReport): PeerMessage {
        val loads = loadListsOf(report.loads)
        return PeerMessage(
            form = FORMAT_VERSION,
            address = report.sender.toString(),
            startedAtMilliseconds = report.startedAtMilliseconds,
            sequence = report.sequence,
            dataCentre = report.dataCentre.name,
            capacity = report.capacity,
            configurationVersion = report.configurationVersion,
            stopping = report.stopping,
            loadLives = loads.lives,
            loadWorkMilliseconds = loads.workMilliseconds,
            loadWaiting = loads.waiting,
            loadRunning = loads.running,
            loadKiloTokens = loads.kiloTokens,
            readLives = report.reads.map { it.lifeCode },
            readPartCounts = report.reads.map { it.parts.size },
            partKeys = report.reads.flatMap { read -> read.parts.map { it.key } },
            partTokens = report.reads.flatMap { read -> read.parts.map { it.tokens } },
            leaving = report.leaving,
            unheard = report.unheard,
            crashSubjects = report.crashes.map { numberOf(it.subject) },
            crashLives = report.crashes.map { it.lifeCode },
            crashKinds = report.crashes.map { kindCodeOf(it.subject) },
            crashAgesMilliseconds = report.crashes.map { millisecondsOf(it.age) },
            servedSubjects = report.served.map { numberOf(it.subject) },
            servedKinds = report.served.map { kindCodeOf(it.subject) },
            servedAgesMilliseconds = report.served.map { millisecondsOf(it.age) },
            surplusLives = report.surplus.map { it.lifeCode },
            surplusAgesMilliseconds = report.surplus.map { millisecondsOf(it.age) },
            surplusIsolationsMilliseconds = report.surplus.map { millisecondsOf(it.isolationTime) },
            surplusFormCounts = report.surplus.map { it.forms.size },
            surplusForms = report.surplus.flatMap { it.forms },
            limitLives = report.limits.map { it.lifeCode },
            limitsPerSecond = report.limits.map { numberOf(it.word) },
            limitAgesMilliseconds = report.limits.map { millisecondsOf(it.age) },
            limitDemandThousandths = report.limits.map(::demandThousandths),
        )
    }

    private fun millisecondsOf(age: Duration): Int = age.inWholeMilliseconds.coerceIn(0, Int.MAX_VALUE.toLong()).toInt()

    private fun reportOf(message: PeerMessage): DecodedDatagram {
        val sender = parseHostAddress(message.address)
        if (message.form != FORMAT_VERSION || sender == null) return UNDECODABLE
        return DecodedDatagram.Valid(
            PeerReport(
                sender = sender,
                startedAtMilliseconds = message.startedAtMilliseconds,
                sequence = message.sequence,
                dataCentre = DataCentre(message.dataCentre),
                capacity = message.capacity,
                configurationVersion = message.configurationVersion,
                stopping = message.stopping,
                loads = loadsOf(message),
                reads = readsOf(message),
                leaving = message.leaving.toPersistentList(),
                unheard = message.unheard.toPersistentList(),
                crashes = crashesOf(message),
                served = servedOf(message),
                surplus = surplusOf(message),
                limits = limitsOf(message),
            ),
        )
    }

    private fun loadsOf(message: PeerMessage) =
        LoadLists(
            lives = message.loadLives,
            workMilliseconds = message.loadWorkMilliseconds,
            waiting = message.loadWaiting,
            running = message.loadRunning,
            kiloTokens = message.loadKiloTokens,
        ).toLoads()

    private fun readsOf(message: PeerMessage): PersistentList<ReportedRead> {
        var next = 0
        return message.readLives
            .mapIndexed { index, lifeCode ->
                val first = next
                next += message.readPartCounts[index]
                ReportedRead(lifeCode, (first until next).map { partOf(message, it) }.toPersistentList())
            }.toPersistentList()
    }

    private fun partOf(
        message: PeerMessage,
        index: Int,
    ): PromptPart = PromptPart(message.partKeys[index], message.partTokens[index])

    private val UNDECODABLE = DecodedDatagram.Faulty(FrameFault.UNDECODABLE)
}

/** The result of decoding a datagram. */
sealed interface DecodedDatagram {
    data class Valid(
        val datagram: PeerDatagram,
    ) : DecodedDatagram

    data class Faulty(
        val fault: FrameFault,
    ) : DecodedDatagram
}
