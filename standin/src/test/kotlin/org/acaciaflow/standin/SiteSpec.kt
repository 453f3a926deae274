package org.acaciaflow.standin

import io.kotest.core.spec.style.AnnotationSpec
import kotlinx.coroutines.runBlocking

/** Base class of tests that share one running [TestSite]. */
internal abstract class SiteSpec(
    private val create: () -> TestSite = { TestSite() },
) : AnnotationSpec() {
    protected lateinit var site: TestSite

    @BeforeAll
    fun startSite() {
        site = create()
        runBlocking { site.start() }
    }

    @AfterAll
    fun stopSite() = runBlocking { site.stop() }
}
