package org.acaciaflow.protocol.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * Wire form of a load share. Fields are labelled by number to keep the message small.
 *
 * [scope] is one of the codes of [LoadScopeCode]; [dataCentre] is empty unless the scope is a data centre. The lists are
 * parallel.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal data class LoadShareMessage(
    @CborLabel(0) val form: Int,
    @CborLabel(1) val address: String,
    @CborLabel(2) val startedAtMilliseconds: Long,
    @CborLabel(3) val sequence: Long,
    @CborLabel(4) val scope: Int,
    @CborLabel(5) val dataCentre: String = "",
    @CborLabel(6) val ageMilliseconds: Int = 0,
    @CborLabel(7) val lives: List<Int> = emptyList(),
    @CborLabel(8) val workMilliseconds: List<Int> = emptyList(),
    @CborLabel(9) val waiting: List<Int> = emptyList(),
    @CborLabel(10) val running: List<Int> = emptyList(),
    @CborLabel(11) val kiloTokens: List<Int> = emptyList(),
)

/** Codes of the scopes in [LoadShareMessage.scope]. */
internal object LoadScopeCode {
    const val SENDER = 0
    const val WHOLE_DATA_CENTRE = 1
    const val ALL_OTHERS = 2
}
