package org.acaciaflow.transport.process

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.json.buildJsonArray
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.route.Destination
import org.acaciaflow.state.store.StoreEra
import org.acaciaflow.state.store.StoreRevision
import org.acaciaflow.state.stream.HostBase
import org.acaciaflow.state.stream.Lineage
import org.acaciaflow.state.stream.PoolVersions
import org.acaciaflow.state.stream.StreamRoute
import kotlin.time.Instant

class VersionStatusTest : AnnotationSpec() {
    @Test
    fun `the base of each host is shown, and null where it is withdrawn or unreadable`() {
        val route = StreamRoute("/a/", persistentListOf(Destination(PoolName("models"), 1)))
        val bases =
            listOf(HostBase(persistentListOf(route), StoreEra.Unknown), HostBase(routes = null, StoreEra.Unknown), null)
        val lineages = bases.map { Lineage(it, StoreRevision.NONE, Instant.DISTANT_PAST, outlastedReturn = false) }
        val hosts = persistentMapOf("a" to lineages[0], "b" to lineages[1], "c" to lineages[2])

        val described = buildJsonArray { VersionStatus.describeHosts(this, PoolVersions.NONE.copy(hosts = hosts)) }

        described.toString() shouldBe
            """[{"host":"a","base":{"/a/":["models"]}},{"host":"b","base":null},{"host":"c","base":null}]"""
    }
}
