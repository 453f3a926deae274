package org.acaciaflow.transport.process

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import org.acaciaflow.coordination.relay.createRelayTables
import org.acaciaflow.coordination.store.StoreFreshness
import org.acaciaflow.state.store.StoreEra
import org.acaciaflow.state.store.StoreKnowledge
import org.acaciaflow.state.store.StoreRevision
import org.acaciaflow.transport.observation.Meters
import org.acaciaflow.transport.observation.registerStoreGauges
import kotlin.time.Clock
import kotlin.time.Instant

class StoreStatusTest : AnnotationSpec() {
    private val now = Instant.fromEpochMilliseconds(1_000_000)
    private val former = StoreRevision(StoreEra.Numbered(3), 90)

    /** Guards against a revision that on-call can't tell from one of a history that the store has left. */
    @Test
    fun `the status names the era of the latest answer and that of the revision`() {
        val read = StoreFreshness.answered(StoreKnowledge.NONE.copy(era = former.era), former, now)
        val known = StoreFreshness.returned(read, StoreEra.Numbered(4), now)

        val status = buildJsonObject { StoreStatus.describe(this, known, now) }
        val unnamed = buildJsonObject { StoreStatus.describe(this, StoreKnowledge.NONE, now) }

        listOf("era", "revision", "revision-era").map { status[it] } shouldBe listOf(4L, 90L, 3L).map(::JsonPrimitive)
        unnamed["era"] shouldBe JsonNull
    }

    @Test
    fun `the gauge has the era of the latest answer, and less than zero where the store names none`() {
        val registry = SimpleMeterRegistry()
        val tables = createRelayTables()
        registerStoreGauges(registry, tables.store, tables.routing, Clock.System)
        val gauge = registry.get(Meters.STORE_ERA).gauge()

        val before = gauge.value()
        tables.store.update { StoreFreshness.returned(it, StoreEra.Numbered(4), now) }

        before shouldBe -1.0
        gauge.value() shouldBe 4.0
    }
}
