package org.acaciaflow.protocol.execution

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.io.bytestring.encodeToByteString
import org.acaciaflow.coordination.plan.PlanEdit
import org.acaciaflow.coordination.plan.PlanEditor
import org.acaciaflow.coordination.port.KeyValueStore
import org.acaciaflow.coordination.port.PlanKey
import org.acaciaflow.coordination.port.StoreResult
import org.acaciaflow.protocol.plan.StoredPlanRecords
import org.acaciaflow.protocol.store.StoreLayout
import org.acaciaflow.state.backend.EngineRole
import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.plan.EngineState
import org.acaciaflow.state.plan.PoolPlan
import kotlin.random.Random

class StoredPlanRecordsTest : AnnotationSpec() {
    private val key = PlanKey(PoolName("pool"), DataCentre("north"))
    private val sound = HostAddress("10.0.0.1", 7000)
    private val faulty = HostAddress("10.0.0.2", 7000)
    private val state = EngineState(EngineRole.PREFILL, "m", "1", persistentListOf())

    /** Guards against the faulty state of one engine that keeps all other engines of its pool from their plans. */
    @Test
    fun `the states of engines beside one that cannot be decoded are read`() =
        runTest {
            val read = recordsWith(this, FAULTY_ROLE).read(key)

            val plan = read.shouldBeInstanceOf<StoreResult.Success<PoolPlan>>().value
            plan.engines.keys shouldBe setOf(sound)
            plan.unreadable shouldBe setOf(faulty)
        }

    /** Guards against a faulty state that cannot be replaced, and against an edit that drops it unseen. */
    @Test
    fun `a state that cannot be decoded is replaced only by an edit of that engine`() =
        runTest {
            val records = recordsWith(this, FAULTY_ROLE)

            val other = PlanEditor(records).assign(key, sound, state)
            val same = PlanEditor(records).assign(key, faulty, state)

            other.shouldBeInstanceOf<PlanEdit.StoreFailed>()
            same.shouldBeInstanceOf<PlanEdit.Accepted>()
            val plan = (records.read(key) as StoreResult.Success).value
            plan.engines.keys shouldBe setOf(sound, faulty)
        }

    private suspend fun recordsWith(
        scope: TestScope,
        faultyState: String,
    ): StoredPlanRecords {
        val store = FakeKeyValueStore(scope, Random(1), faultRate = 0.0)
        val soundState = """{"role":"PREFILL","model":"m","version":"1"}"""
        val document = """{"engines":{"$sound":$soundState,"$faulty":$faultyState}}"""
        store.swap(StoreLayout.plan(key), KeyValueStore.ABSENT, document.encodeToByteString(), lease = null)
        return StoredPlanRecords(store)
    }

    private companion object {
        const val FAULTY_ROLE = """{"role":"SOMETHING_NEW","model":"m","version":"1"}"""
    }
}
