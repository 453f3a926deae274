package org.acaciaflow.protocol.configuration

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.acaciaflow.coordination.configuration.ConfigurationFault
import org.acaciaflow.protocol.json.decodeForeign
import org.acaciaflow.state.configuration.Configuration

/** Encodes and decodes configurations as JSON. */
object ConfigurationCodec {
    private val json =
        Json {
            prettyPrint = false
            explicitNulls = false
        }

    /** Encodes a configuration without its revision, as the content stored under its own key. */
    fun encodeContent(configuration: Configuration): String =
        json.encodeToString(ConfigurationDocument.serializer(), configuration.toDocument())

    /** Decodes stored content as the configuration of [revision]; on failure, returns all faults found. */
    fun decodeContent(
        text: String,
        revision: Long,
    ): DecodedConfiguration =
        when (val parsed = parse(ConfigurationDocument.serializer(), text)) {
            is Parsed.Faulty -> DecodedConfiguration.Faulty(persistentListOf(parsed.fault))
            is Parsed.Value -> validate(parsed.value, revision)
        }

    /** Encodes a configuration with its revision, as exchanged between peers. */
    fun encodeRevised(configuration: Configuration): ByteArray {
        val document = RevisedConfigurationDocument(configuration.revision, configuration.toDocument())
        return json.encodeToString(RevisedConfigurationDocument.serializer(), document).encodeToByteArray()
    }

    fun decodeRevised(bytes: ByteArray): DecodedConfiguration =
        when (val parsed = parse(RevisedConfigurationDocument.serializer(), bytes.decodeToString())) {
            is Parsed.Faulty -> DecodedConfiguration.Faulty(persistentListOf(parsed.fault))
            is Parsed.Value -> validate(parsed.value.configuration, parsed.value.revision)
        }

    fun encodeHead(head: ConfigurationHead): String = json.encodeToString(ConfigurationHead.serializer(), head)

    /** Decodes the head; null when it is malformed. */
    fun decodeHead(text: String): ConfigurationHead? =
        when (val parsed = parse(ConfigurationHead.serializer(), text)) {
            is Parsed.Faulty -> null
            is Parsed.Value -> parsed.value
        }

    private fun validate(
        document: ConfigurationDocument,
        revision: Long,
    ): DecodedConfiguration {
        val faults = ConfigurationValidator.faults(document)
        if (faults.isNotEmpty()) return DecodedConfiguration.Faulty(faults)
        return DecodedConfiguration.Decoded(document.toConfiguration(revision))
    }

    private fun <Value> parse(
        serializer: KSerializer<Value>,
        text: String,
    ): Parsed<Value> =
        try {
            Parsed.Value(json.decodeForeign(serializer, text))
        } catch (failure: SerializationException) {
            Parsed.Faulty(ConfigurationFault.Undecodable(failure.message.orEmpty()))
        } catch (failure: IllegalArgumentException) {
            Parsed.Faulty(ConfigurationFault.Undecodable(failure.message.orEmpty()))
        }

    private sealed interface Parsed<out Document> {
        data class Value<out Document>(
            val value: Document,
        ) : Parsed<Document>

        data class Faulty(
            val fault: ConfigurationFault,
        ) : Parsed<Nothing>
    }
}

/** The result of decoding a configuration. */
sealed interface DecodedConfiguration {
    data class Decoded(
        val configuration: Configuration,
    ) : DecodedConfiguration

    data class Faulty(
        val faults: PersistentList<ConfigurationFault>,
    ) : DecodedConfiguration
}
