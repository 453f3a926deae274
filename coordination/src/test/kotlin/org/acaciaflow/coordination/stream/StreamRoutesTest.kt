package org.acaciaflow.coordination.stream

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.acaciaflow.coordination.relay.ENGINE_POOL
import org.acaciaflow.coordination.relay.SERVICE_POOL
import org.acaciaflow.coordination.relay.route
import org.acaciaflow.coordination.routing.RouteLookup
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.route.Destination
import org.acaciaflow.state.route.RequestKind
import org.acaciaflow.state.route.Route
import org.acaciaflow.state.route.RoutingConfiguration
import org.acaciaflow.state.stream.StreamRoute

class StreamRoutesTest : AnnotationSpec() {
    private val split = persistentListOf(Destination(ENGINE_POOL, 10), Destination(SERVICE_POOL, 90))
    private val resumable = RequestKind.EventStream(resumable = true)

    /** Guards against a stream of a route that could not be taken up, which counts as one of a shorter prefix. */
    @Test
    fun `routes whose streams cannot be taken up lead nowhere, and hosts without others are left out`() {
        val routes = routesOf(streams("/a/b/", RequestKind.EventStream(resumable = false)), streams("/a/", resumable))

        routes shouldBe listOf(StreamRoute("/a/b/", persistentListOf()), StreamRoute("/a/", split))
        StreamRoutes.poolOf(routes, "/a/b/1", stream(1)) shouldBe null
        StreamRoutes.byHost(configurationOf(streams("/a/", RequestKind.Idempotent))) shouldBe emptyMap()
    }

    @Test
    fun `a stream is led to the pool that serves its request, and without a name only if there is one pool`() {
        val routes = routesOf(streams("/a/", resumable), streams("/", resumable, ENGINE_POOL))
        val pools = (1..100).map { StreamRoutes.poolOf(routes, "/a/1", stream(it)) }

        pools shouldBe (1..100).map { RouteLookup.poolOf(split, stream(it).requestId) }
        pools.toSet() shouldBe setOf(SERVICE_POOL, ENGINE_POOL)
        StreamRoutes.poolOf(routes, "/a/1", stream = null) shouldBe null
        StreamRoutes.poolOf(routes, "/b/1", stream = null) shouldBe ENGINE_POOL
    }

    private fun streams(
        prefix: String,
        kind: RequestKind,
    ): Route = route(kind).copy(host = HOST, prefix = prefix, destinations = split)

    private fun streams(
        prefix: String,
        kind: RequestKind,
        pool: PoolName,
    ): Route = route(kind, pool).copy(host = HOST, prefix = prefix)

    private fun routesOf(vararg routes: Route): List<StreamRoute> =
        StreamRoutes.byHost(configurationOf(*routes)).getValue(HOST)

    private fun configurationOf(vararg routes: Route) =
        RoutingConfiguration.NONE.copy(routesByHost = persistentMapOf(HOST to persistentListOf(*routes)))
}
