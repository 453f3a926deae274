package org.acaciaflow.protocol.configuration

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** JSON form of a configuration, in the store and between peers. */
@Serializable
data class ConfigurationDocument(
    val pools: List<PoolDocument>,
    val deployments: List<DeploymentDocument>,
)

@Serializable
data class PoolDocument(
    val name: String,
    val nature: NatureDocument,
)

@Serializable
sealed interface NatureDocument {
    @Serializable
    @SerialName("model-engine")
    data class ModelEngine(
        val checksFencing: Boolean,
    ) : NatureDocument

    @Serializable
    @SerialName("plain-service")
    data object PlainService : NatureDocument
}

@Serializable
data class DeploymentDocument(
    val name: String,
    val team: String,
    val pool: String,
    val kinds: List<WorkKindDocument>,
)

@Serializable
data class WorkKindDocument(
    val name: String,
    val rank: String,
    val conditions: List<ConditionDocument>,
    val repeatability: RepeatabilityDocument,
    val targetMilliseconds: Long,
    val deadlineMilliseconds: Long,
    val worth: Double,
    val expectedPromptTokens: Int,
    val expectedOutputTokens: Int,
)

@Serializable
sealed interface ConditionDocument {
    @Serializable
    @SerialName("method")
    data class Method(
        val method: String,
    ) : ConditionDocument

    @Serializable
    @SerialName("path-prefix")
    data class PathPrefix(
        val prefix: String,
    ) : ConditionDocument

    @Serializable
    @SerialName("header")
    data class Header(
        val name: String,
        val value: String,
    ) : ConditionDocument

    @Serializable
    @SerialName("json-field")
    data class JsonField(
        val field: String,
        val value: String,
    ) : ConditionDocument
}

@Serializable
sealed interface RepeatabilityDocument {
    @Serializable
    @SerialName("repeatable")
    data object Repeatable : RepeatabilityDocument

    @Serializable
    @SerialName("at-most-once-by-header")
    data class ByHeader(
        val name: String,
    ) : RepeatabilityDocument

    @Serializable
    @SerialName("at-most-once-by-json-field")
    data class ByJsonField(
        val field: String,
    ) : RepeatabilityDocument

    @Serializable
    @SerialName("at-most-once-by-content")
    data class ByContent(
        val windowMilliseconds: Long,
    ) : RepeatabilityDocument
}

/** The head of the accepted configurations: the active [revision], and the name under which its [content] is stored. */
@Serializable
data class ConfigurationHead(
    val revision: Long,
    val content: String,
)

/** A configuration with its revision, as exchanged between peers. */
@Serializable
data class RevisedConfigurationDocument(
    val revision: Long,
    val configuration: ConfigurationDocument,
)
