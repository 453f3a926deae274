package org.acaciaflow.daemon

import com.tngtech.archunit.core.importer.ClassFileImporter
import com.tngtech.archunit.library.Architectures.layeredArchitecture
import io.kotest.core.spec.style.AnnotationSpec

class LayerOrderTest : AnnotationSpec() {
    @Test
    fun `each layer uses only the layers below it`() {
        val classes = ClassFileImporter().importPackages("org.acaciaflow")

        val rule =
            layeredArchitecture()
                .consideringOnlyDependenciesInAnyPackage("org.acaciaflow..")
                .layer("state")
                .definedBy("org.acaciaflow.state..")
                .layer("coordination")
                .definedBy("org.acaciaflow.coordination..")
                .layer("protocol")
                .definedBy("org.acaciaflow.protocol..")
                .layer("platform")
                .definedBy("org.acaciaflow.platform..")
                .layer("transport")
                .definedBy("org.acaciaflow.transport..")
                .layer("daemon")
                .definedBy("org.acaciaflow.daemon..")
                .whereLayer("state")
                .mayNotAccessAnyLayer()
                .whereLayer("coordination")
                .mayOnlyAccessLayers("state")
                .whereLayer("protocol")
                .mayOnlyAccessLayers("coordination", "state")
                .whereLayer("platform")
                .mayOnlyAccessLayers("protocol", "coordination", "state")
                .whereLayer("transport")
                .mayOnlyAccessLayers("protocol", "coordination", "state")
                .whereLayer("daemon")
                .mayNotBeAccessedByAnyLayer()

        rule.check(classes)
    }
}
