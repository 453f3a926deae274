package org.acaciaflow.coordination.stream

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.acaciaflow.coordination.relay.SERVICE_POOL
import org.acaciaflow.coordination.relay.createRelayTables
import org.acaciaflow.coordination.store.StoreFreshness
import org.acaciaflow.coordination.store.eraOf
import org.acaciaflow.coordination.store.revisionAt
import org.acaciaflow.state.identity.SoftwareVersion
import org.acaciaflow.state.route.Destination
import org.acaciaflow.state.store.StoreKnowledge
import org.acaciaflow.state.stream.HostBase
import org.acaciaflow.state.stream.Lineage
import org.acaciaflow.state.stream.PoolBase
import org.acaciaflow.state.stream.StreamRoute
import kotlin.time.Clock
import kotlin.time.Instant

class LineageChangesTest : AnnotationSpec() {
    /** Guards against streams of the later base that count as begun at the earlier one, which the copy names. */
    @Test
    fun `a base that differs since the store returned from a copy is not believed, however often it is read`() {
        val pool = KnownPool()
        pool.changes.written(SERVICE_POOL, PoolBase(NEW, eraOf(1)), revisionAt(20, era = 1))

        repeat(2) { pool.changes.written(SERVICE_POOL, PoolBase(OLD, eraOf(1)), revisionAt(10, era = 2)) }

        pool.base shouldBe null
    }

    @Test
    fun `a base that is the same after a return is kept, and one that is written after it is believed`() {
        val pool = KnownPool()
        pool.changes.written(SERVICE_POOL, PoolBase(OLD, eraOf(1)), revisionAt(20, era = 1))

        pool.changes.written(SERVICE_POOL, PoolBase(OLD, eraOf(1)), revisionAt(10, era = 2))
        val kept = pool.lineages.getValue(SERVICE_POOL)
        pool.changes.written(SERVICE_POOL, PoolBase(NEW, eraOf(2)), revisionAt(12, era = 2))

        kept.base?.version shouldBe OLD
        kept.outlastedReturn shouldBe true
        pool.base shouldBe NEW
    }

    /** Guards against a page that brings back a base that has been replaced meanwhile. */
    @Test
    fun `an earlier revision changes and removes nothing`() {
        val pool = KnownPool()
        pool.changes.written(SERVICE_POOL, PoolBase(NEW, eraOf(1)), revisionAt(20, era = 1))

        pool.changes.written(SERVICE_POOL, PoolBase(OLD, eraOf(1)), revisionAt(19, era = 1))
        pool.changes.removed(SERVICE_POOL, revisionAt(18, era = 1))

        pool.base shouldBe NEW
    }

    @Test
    fun `a document that cannot be read names no base, and one that is removed neither`() {
        val pool = KnownPool()
        pool.changes.written(SERVICE_POOL, PoolBase(NEW, eraOf(1)), revisionAt(20, era = 1))

        pool.changes.unreadable(SERVICE_POOL, revisionAt(21, era = 1))
        val unreadable = pool.base
        pool.changes.removed(SERVICE_POOL, revisionAt(22, era = 1))

        unreadable shouldBe null
        pool.lineages.size shouldBe 0
    }
}

/** What a gateway knows of one pool. */
private class KnownPool {
    private val tables = createRelayTables()
    private val clock =
        object : Clock {
            override fun now(): Instant = Instant.fromEpochMilliseconds(1_000_000)
        }
    val changes = LineageChanges(tables.versions, clock)
    val lineages get() = tables.versions.snapshot().lineages

    /** The base that is believed in the era of its document's revision. */
    val base: SoftwareVersion?
        get() {
            val lineage = lineages[SERVICE_POOL] ?: return null
            val era = lineage.revision.era
            val knowledge = StoreFreshness.answered(StoreKnowledge.NONE.copy(era = era), lineage.revision, clock.now())
            val route = StreamRoute("/", persistentListOf(Destination(SERVICE_POOL, 1)))
            val host =
                Lineage(HostBase(persistentListOf(route), checkNotNull(era)), lineage.revision, clock.now(), false)
            val versions = tables.versions.snapshot().copy(hosts = persistentMapOf(HOST to host))
            val policy = OriginPolicy(versions, knowledge, clock.now())
            return listOf(OLD, NEW).singleOrNull { !policy.needsRecord(stream(1), SERVICE_POOL, it) }
        }
}
