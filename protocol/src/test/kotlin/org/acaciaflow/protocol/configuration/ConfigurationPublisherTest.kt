package org.acaciaflow.protocol.configuration

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.test.runTest
import org.acaciaflow.coordination.configuration.ConfigurationRead
import org.acaciaflow.coordination.port.StoreResult
import org.acaciaflow.protocol.execution.FakeKeyValueStore
import kotlin.random.Random

class ConfigurationPublisherTest : AnnotationSpec() {
    private val text = """{"pools":[{"name":"p","nature":{"type":"plain-service"}}],"deployments":[]}"""

    @Test
    fun `one of several concurrent edits is accepted and the others get a conflict`() =
        runTest {
            for (seed in SEEDS) {
                val store = FakeKeyValueStore(this, Random(seed), faultRate = 0.0)
                val publisher = ConfigurationPublisher(store)

                val outcomes = (1..5).map { async { publisher.publish(text, base = 0, "edit-$it") } }.awaitAll()

                outcomes.count { it is PublishOutcome.Accepted } shouldBe 1
                outcomes.count { it == PublishOutcome.Conflict(base = 0, current = 1) } shouldBe 4
            }
        }

    @Test
    fun `accepted revisions increase and are stored when responses are lost`() =
        runTest {
            for (seed in SEEDS) {
                val store = FakeKeyValueStore(this, Random(seed), faultRate = 0.3)
                val publisher = ConfigurationPublisher(store)

                val outcomes = (0L..9L).map { publisher.publish(text, base = headOf(store), "edit-$it") }

                val accepted = outcomes.filterIsInstance<PublishOutcome.Accepted>().map { it.revision }
                accepted shouldBe accepted.sorted().distinct()
                (headOf(store) >= (accepted.maxOrNull() ?: 0L)) shouldBe true
            }
        }

    @Test
    fun `a document with an unknown pool is faulty`() {
        val document = """{"pools":[],"deployments":[{"name":"d","team":"t","pool":"gone","kinds":[]}]}"""

        val decoded = ConfigurationCodec.decodeContent(document, revision = 1)

        decoded.shouldBeInstanceOf<DecodedConfiguration.Faulty>()
    }

    private suspend fun headOf(store: FakeKeyValueStore): Long {
        while (true) {
            val read = StoredConfigurationSource(store).read(known = 0)
            if (read is StoreResult.Success) {
                return when (val found = read.value) {
                    is ConfigurationRead.Found -> found.configuration.revision
                    else -> 0
                }
            }
        }
    }

    private companion object {
        val SEEDS = 1..30
    }
}
