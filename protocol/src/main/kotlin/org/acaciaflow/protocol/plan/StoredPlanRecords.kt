package org.acaciaflow.protocol.plan

import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.map
import kotlinx.io.bytestring.ByteString
import kotlinx.io.bytestring.decodeToString
import kotlinx.io.bytestring.encodeToByteString
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import org.acaciaflow.coordination.port.KeyValueStore
import org.acaciaflow.coordination.port.PlanKey
import org.acaciaflow.coordination.port.PlanRecords
import org.acaciaflow.coordination.port.PlanSwap
import org.acaciaflow.coordination.port.StoreFailure
import org.acaciaflow.coordination.port.StoreResult
import org.acaciaflow.coordination.port.StoredValue
import org.acaciaflow.coordination.port.SwapOutcome
import org.acaciaflow.protocol.json.decodeForeign
import org.acaciaflow.protocol.store.StoreLayout
import org.acaciaflow.state.backend.EngineRole
import org.acaciaflow.state.identity.parseHostAddress
import org.acaciaflow.state.plan.EngineState
import org.acaciaflow.state.plan.PoolPlan

/** Plans of pools, stored as JSON documents in the platform's key-value store. */
class StoredPlanRecords(
    private val store: KeyValueStore,
) : PlanRecords {
    override suspend fun read(key: PlanKey): StoreResult<PoolPlan> =
        when (val read = store.read(StoreLayout.plan(key))) {
            is StoreResult.Failure -> read
            is StoreResult.Success -> decode(read.value)
        }

    override suspend fun swap(
        key: PlanKey,
        plan: PoolPlan,
    ): StoreResult<PlanSwap> =
        when (val swapped = store.swap(StoreLayout.plan(key), plan.revision, encode(plan))) {
            is StoreResult.Failure -> {
                swapped
            }

            is StoreResult.Success -> {
                when (val outcome = swapped.value) {
                    is SwapOutcome.Swapped -> StoreResult.Success(PlanSwap.Written(outcome.revision))
                    is SwapOutcome.Conflict -> StoreResult.Success(PlanSwap.Conflict)
                }
            }
        }

    override fun changes(key: PlanKey): Flow<Unit> = store.watch(StoreLayout.plan(key)).map { }

    private fun encode(plan: PoolPlan): ByteString {
        val engines = plan.engines.map { (sidecar, state) -> sidecar.toString() to state.toDocument() }.toMap()
        return Json.encodeToString(PlanDocument.serializer(), PlanDocument(engines)).encodeToByteString()
    }

    private fun decode(value: StoredValue?): StoreResult<PoolPlan> {
        if (value == null) return StoreResult.Success(PoolPlan.NONE)
        return try {
            val document = Json.decodeForeign(ReceivedPlan.serializer(), value.value.decodeToString())
            StoreResult.Success(planOf(document, value.revision))
        } catch (_: IllegalArgumentException) {
            StoreResult.Failure(StoreFailure.MALFORMED_ANSWER)
        }
    }

    private fun planOf(
        document: ReceivedPlan,
        revision: Long,
    ): PoolPlan {
        val states =
            document.engines
                .mapNotNull { (sidecar, state) -> parseHostAddress(sidecar)?.let { it to stateOrNull(state) } }
                .toMap()
        val readable = states.mapNotNull { (sidecar, state) -> state?.let { sidecar to it } }.toMap()
        return PoolPlan(revision, readable.toPersistentMap(), (states.keys - readable.keys).toPersistentSet())
    }

    private fun stateOrNull(state: JsonElement): EngineState? =
        try {
            Json.decodeFromJsonElement(EngineStateDocument.serializer(), state).toState()
        } catch (_: IllegalArgumentException) {
            null
        }
}

/** JSON form of the plan of one pool in one data centre; [engines] is keyed by sidecar address. */
@Serializable
internal data class PlanDocument(
    val engines: Map<String, EngineStateDocument>,
)

/** A [PlanDocument] whose states are decoded one by one, since any of them may be malformed. */
@Serializable
internal data class ReceivedPlan(
    val engines: Map<String, JsonElement>,
)

/** JSON form of the state of an engine. */
@Serializable
data class EngineStateDocument(
    val role: EngineRole,
    val model: String,
    val version: String,
    val adapters: List<String> = emptyList(),
)

/** Converts the state to its JSON form. */
fun EngineState.toDocument(): EngineStateDocument = EngineStateDocument(role, model, version, adapters)

/** Converts the state from its JSON form. */
fun EngineStateDocument.toState(): EngineState = EngineState(role, model, version, adapters.toPersistentList())
