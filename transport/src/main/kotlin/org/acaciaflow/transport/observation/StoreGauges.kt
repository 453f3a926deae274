package org.acaciaflow.transport.observation

import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import org.acaciaflow.coordination.routing.KnownRouting
import org.acaciaflow.coordination.store.StoreFreshness
import org.acaciaflow.state.store.StoreEra
import org.acaciaflow.state.store.StoreKnowledge
import org.acaciaflow.state.table.SharedTable
import kotlin.time.Clock
import kotlin.time.DurationUnit

/** Registers gauges for the age, revision and era of what a gateway knows of the store, and for its configuration. */
internal fun registerStoreGauges(
    registry: MeterRegistry,
    store: SharedTable<StoreKnowledge>,
    routing: SharedTable<KnownRouting>,
    clock: Clock,
) {
    Gauge
        .builder(Meters.STORE_ANSWER_AGE) { answerAgeSeconds(store.snapshot(), clock) }
        .strongReference(true)
        .register(registry)
    Gauge
        .builder(Meters.STORE_REVISION) { store.snapshot().revision.number }
        .strongReference(true)
        .register(registry)
    Gauge
        .builder(Meters.STORE_ERA) { eraNumber(store.snapshot().era) }
        .strongReference(true)
        .register(registry)
    Gauge
        .builder(Meters.CONFIGURATION_VERSION) { routing.snapshot().configuration.version }
        .strongReference(true)
        .register(registry)
}

private fun answerAgeSeconds(
    knowledge: StoreKnowledge,
    clock: Clock,
): Double = StoreFreshness.age(knowledge, clock.now())?.toDouble(DurationUnit.SECONDS) ?: NO_ANSWER

private fun eraNumber(era: StoreEra?): Long =
    when (era) {
        is StoreEra.Numbered -> era.number
        StoreEra.Unknown, null -> NO_ERA
    }

private const val NO_ANSWER = -1.0
private const val NO_ERA = -1L
