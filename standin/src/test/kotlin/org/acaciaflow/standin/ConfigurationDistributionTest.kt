package org.acaciaflow.standin

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldStartWith
import org.acaciaflow.protocol.configuration.PublishOutcome
import org.acaciaflow.standin.fault.Faults
import kotlin.time.Duration.Companion.seconds

/** Covers configuration pull from peers while the store is down, and conflicting publications. */
internal class ConfigurationDistributionTest : SiteSpec() {
    @Test
    suspend fun `a gateway that starts while the store is down serves with the configuration of its peers`() {
        site.store.faults.set(Faults(down = true))

        val gateway = site.startGateway()

        eventually(30.seconds) { RawHttp.get(gateway, "/register/store-down") shouldStartWith "HTTP/1.1 200" }
        site.store.faults.set(Faults())
    }

    @Test
    suspend fun `of two publications on the same base revision the second gets a conflict`() {
        val first = site.publish(base = 1)
        val second = site.publish(base = 1)

        first shouldBe PublishOutcome.Accepted(revision = 2)
        second shouldBe PublishOutcome.Conflict(base = 1, current = 2)
    }
}
