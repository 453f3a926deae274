package org.acaciaflow.coordination.stream

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.acaciaflow.coordination.relay.ENGINE_POOL
import org.acaciaflow.coordination.relay.SERVICE_POOL
import org.acaciaflow.coordination.relay.route
import org.acaciaflow.state.route.Destination
import org.acaciaflow.state.route.RequestKind
import org.acaciaflow.state.route.RoutingConfiguration

class StreamDestinationsTest : AnnotationSpec() {
    @Test
    fun `the pools of streams that may be taken up are ordered by weight, and other routes are left out`() {
        val split = persistentListOf(Destination(ENGINE_POOL, 10), Destination(SERVICE_POOL, 90))
        val resumable = route(RequestKind.EventStream(resumable = true)).copy(destinations = split)
        val others =
            listOf(RequestKind.Idempotent, RequestKind.EventStream(resumable = false)).map { route(it, ENGINE_POOL) }
        val configuration =
            RoutingConfiguration.NONE.copy(
                routesByHost =
                    persistentMapOf(
                        "split.example" to persistentListOf(resumable, others[0]),
                        "other.example" to persistentListOf(others[0], others[1]),
                    ),
            )

        StreamDestinations.byHost(configuration) shouldBe mapOf("split.example" to listOf(SERVICE_POOL, ENGINE_POOL))
    }
}
