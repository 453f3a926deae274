package org.acaciaflow.transport.process

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.json.buildJsonArray
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.store.StoreEra
import org.acaciaflow.state.store.StoreRevision
import org.acaciaflow.state.stream.HostBase
import org.acaciaflow.state.stream.Lineage
import org.acaciaflow.state.stream.PoolVersions
import kotlin.time.Instant

class VersionStatusTest : AnnotationSpec() {
    @Test
    fun `the base of each host is shown, and null where it is withdrawn or unreadable`() {
        val bases =
            listOf(HostBase(PoolName("models"), StoreEra.Unknown), HostBase(pool = null, StoreEra.Unknown), null)
        val lineages = bases.map { Lineage(it, StoreRevision.NONE, Instant.DISTANT_PAST, outlastedReturn = false) }
        val hosts = persistentMapOf("a" to lineages[0], "b" to lineages[1], "c" to lineages[2])

        val described = buildJsonArray { VersionStatus.describeHosts(this, PoolVersions.NONE.copy(hosts = hosts)) }

        described.toString() shouldBe
            """[{"host":"a","base":"models"},{"host":"b","base":null},{"host":"c","base":null}]"""
    }
}
