package org.acaciaflow.protocol.execution

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flowOf
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.test.runTest
import kotlinx.io.bytestring.encodeToByteString
import org.acaciaflow.coordination.port.KeyValueStore
import org.acaciaflow.coordination.port.StoreKey
import org.acaciaflow.coordination.port.StoredValue
import org.acaciaflow.protocol.store.StoreLayout
import org.acaciaflow.protocol.suspect.StoredSuspectRecords
import org.acaciaflow.state.work.RequestDigest
import kotlin.random.Random

class StoredSuspectRecordsTest : AnnotationSpec() {
    /** Guards against a document that cannot be decoded and lifts the quarantine of a request that crashes engines. */
    @Test
    fun `a document that cannot be decoded clears no suspect`() =
        runTest {
            val documents =
                listOf(
                    "no JSON",
                    """{"crashes":7,"lastCrashAt":1}""",
                    """{"crashes":[{"p":"nobody","s":1}],"lastCrashAt":1}""",
                )
            val cleared = """{"crashes":[],"lastCrashAt":0}"""
            val key = StoreLayout.suspect(RequestDigest("ab"))
            val values = (documents + cleared).map { StoredValue(key, it.encodeToByteString(), revision = 1) }
            val store =
                object : KeyValueStore by FakeKeyValueStore(this, Random(1), faultRate = 0.0) {
                    override fun watch(prefix: StoreKey): Flow<StoredValue> = flowOf(*values.toTypedArray())
                }

            val changes = StoredSuspectRecords(store).changes().toList()

            changes.map { it.suspect } shouldBe listOf(null)
        }
}
