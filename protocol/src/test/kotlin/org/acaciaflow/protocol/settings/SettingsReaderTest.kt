package org.acaciaflow.protocol.settings

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.acaciaflow.state.identity.HostAddress
import java.nio.file.Files
import java.nio.file.Path

class SettingsReaderTest : AnnotationSpec() {
    @Test
    fun `valid settings are read`() {
        val file =
            fileWith(
                """
                [gateway]
                callers = 127.0.0.1:8080
                operators = 127.0.0.1:8081
                data-centre = suba
                [platform]
                store = 127.0.0.1:2379
                host-list = 127.0.0.1:2380
                """,
            )

        val result = SettingsReader.readGateway(file)

        result.shouldBeInstanceOf<SettingsResult.Valid<GatewaySettings>>()
        result.settings.callers shouldBe HostAddress("127.0.0.1", 8080)
    }

    @Test
    fun `all faults are reported together`() {
        val file =
            fileWith(
                """
                [gateway]
                callers = localhost:8080
                data-centre = suba
                colour = green
                [platform]
                store = 127.0.0.1:99999
                host-list = 127.0.0.1:2380
                [limits]
                exchange-workers = many
                """,
            )

        val result = SettingsReader.readGateway(file)

        result.shouldBeInstanceOf<SettingsResult.Faulty>()
        result.faults.map { it.toString().substringBefore(':') } shouldContainExactlyInAnyOrder
            listOf(
                "[gateway] callers",
                "[gateway] operators",
                "[gateway] colour",
                "[platform] store",
                "[limits] exchange-workers",
            )
    }

    @Test
    fun `a missing file is a fault`() {
        val result = SettingsReader.readSidecar(Path.of("no-such-file.ini"))

        result.shouldBeInstanceOf<SettingsResult.Faulty>()
    }

    private fun fileWith(text: String): Path {
        val file = Files.createTempFile("settings", ".ini")
        Files.writeString(file, text.trimIndent())
        return file
    }
}
