package org.acaciaflow.protocol.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * Wire form of a report between gateways. Fields are labelled by number to keep the message small.
 *
 * Lists whose names share a prefix are parallel: `load` lists have one entry for each reported load, `read` lists one
 * for each reported prompt. [partKeys] and [partTokens] hold the parts of all prompts in order;
 * [readPartCounts] is the number of parts of each prompt. The `crash` lists have one entry for each reported crash, the
 * `served` lists one for each subject that was served; kinds are those of [CrashSubjectCode]. The `surplus` lists have one
 * entry for each surplus answer, [surplusForms] the forms of all of them in order, the `limit` lists one for each reported limit, [LIMIT_ENDED] for one that has ended.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal data class PeerMessage(
    @CborLabel(0) val form: Int,
    @CborLabel(1) val address: String,
    @CborLabel(2) val startedAtMilliseconds: Long,
    @CborLabel(3) val sequence: Long,
    @CborLabel(4) val configurationVersion: Long,
    @CborLabel(5) val stopping: Boolean = false,
    @CborLabel(6) val loadLives: List<Int> = emptyList(),
    @CborLabel(7) val loadWorkMilliseconds: List<Int> = emptyList(),
    @CborLabel(8) val loadRunning: List<Int> = emptyList(),
    @CborLabel(9) val readLives: List<Int> = emptyList(),
    @CborLabel(10) val readPartCounts: List<Int> = emptyList(),
    @CborLabel(11) val partKeys: List<Long> = emptyList(),
    @CborLabel(12) val partTokens: List<Int> = emptyList(),
    @CborLabel(13) val leaving: List<Int> = emptyList(),
    @CborLabel(14) val crashSubjects: List<Long> = emptyList(),
    @CborLabel(15) val crashLives: List<Int> = emptyList(),
    @CborLabel(17) val loadKiloTokens: List<Int> = emptyList(),
    @CborLabel(16) val unheard: List<Int> = emptyList(),
    @CborLabel(18) val loadWaiting: List<Int> = emptyList(),
    @CborLabel(19) val dataCentre: String = "",
    @CborLabel(20) val capacity: Double = 0.0,
    @CborLabel(21) val crashKinds: List<Int> = emptyList(),
    @CborLabel(22) val crashAgesMilliseconds: List<Int> = emptyList(),
    @CborLabel(23) val servedSubjects: List<Long> = emptyList(),
    @CborLabel(24) val servedKinds: List<Int> = emptyList(),
    @CborLabel(25) val servedAgesMilliseconds: List<Int> = emptyList(),
    @CborLabel(30) val surplusLives: List<Int> = emptyList(),
    @CborLabel(31) val surplusAgesMilliseconds: List<Int> = emptyList(),
    @CborLabel(32) val surplusIsolationsMilliseconds: List<Int> = emptyList(),
    @CborLabel(34) val limitLives: List<Int> = emptyList(),
    @CborLabel(35) val limitsPerSecond: List<Double> = emptyList(),
    @CborLabel(36) val limitAgesMilliseconds: List<Int> = emptyList(),
    @CborLabel(37) val limitDemandThousandths: List<Int> = emptyList(),
    @CborLabel(38) val surplusFormCounts: List<Int> = emptyList(),
    @CborLabel(39) val surplusForms: List<Long> = emptyList(),
)

/** Codes of the kinds of crash subjects in [PeerMessage]. */
internal object CrashSubjectCode {
    const val REQUEST = 0
    const val PART = 1
}
