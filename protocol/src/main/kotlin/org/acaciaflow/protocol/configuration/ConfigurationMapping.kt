package org.acaciaflow.protocol.configuration

import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.acaciaflow.state.configuration.BackendNature
import org.acaciaflow.state.configuration.CallCondition
import org.acaciaflow.state.configuration.CallMatch
import org.acaciaflow.state.configuration.Configuration
import org.acaciaflow.state.configuration.Deployment
import org.acaciaflow.state.configuration.IdentitySource
import org.acaciaflow.state.configuration.Pool
import org.acaciaflow.state.configuration.Repeatability
import org.acaciaflow.state.configuration.WorkKind
import org.acaciaflow.state.identity.DeploymentName
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.identity.TeamName
import org.acaciaflow.state.identity.WorkKindName
import org.acaciaflow.state.work.Rank
import org.acaciaflow.state.work.WorkEstimate
import kotlin.time.Duration.Companion.milliseconds

internal fun ConfigurationDocument.toConfiguration(revision: Long): Configuration =
    Configuration(
        revision = revision,
        pools = pools.map { it.toPool() }.associateBy { it.name }.toPersistentMap(),
        deployments = deployments.map { it.toDeployment() }.associateBy { it.name }.toPersistentMap(),
    )

internal fun Configuration.toDocument(): ConfigurationDocument =
    ConfigurationDocument(
        pools = pools.values.map { it.toDocument() },
        deployments = deployments.values.map { it.toDocument() },
    )

private fun PoolDocument.toPool(): Pool = Pool(PoolName(name), nature.toNature())

private fun Pool.toDocument(): PoolDocument = PoolDocument(name.name, nature.toDocument())

private fun NatureDocument.toNature(): BackendNature =
    when (this) {
        is NatureDocument.ModelEngine -> BackendNature.ModelEngine(checksFencing)
        NatureDocument.PlainService -> BackendNature.PlainService
    }

private fun BackendNature.toDocument(): NatureDocument =
    when (this) {
        is BackendNature.ModelEngine -> NatureDocument.ModelEngine(checksFencing)
        BackendNature.PlainService -> NatureDocument.PlainService
    }

private fun DeploymentDocument.toDeployment(): Deployment =
    Deployment(
        name = DeploymentName(name),
        team = TeamName(team),
        pool = PoolName(pool),
        kinds = kinds.map { it.toKind() }.toPersistentList(),
    )

private fun Deployment.toDocument(): DeploymentDocument =
    DeploymentDocument(name.name, team.name, pool.name, kinds.map { it.toDocument() })

private fun WorkKindDocument.toKind(): WorkKind =
    WorkKind(
        name = WorkKindName(name),
        rank = Rank.valueOf(rank.uppercase()),
        match = CallMatch(conditions.map { it.toCondition() }.toPersistentList()),
        repeatability = repeatability.toRepeatability(),
        target = targetMilliseconds.milliseconds,
        deadline = deadlineMilliseconds.milliseconds,
        worth = worth,
        expected = WorkEstimate(expectedPromptTokens, expectedOutputTokens),
    )

private fun WorkKind.toDocument(): WorkKindDocument =
    WorkKindDocument(
        name = name.name,
        rank = rank.name.lowercase(),
        conditions = match.conditions.map { it.toDocument() },
        repeatability = repeatability.toDocument(),
        targetMilliseconds = target.inWholeMilliseconds,
        deadlineMilliseconds = deadline.inWholeMilliseconds,
        worth = worth,
        expectedPromptTokens = expected.promptTokens,
        expectedOutputTokens = expected.outputTokens,
    )

private fun ConditionDocument.toCondition(): CallCondition =
    when (this) {
        is ConditionDocument.Method -> CallCondition.Method(method)
        is ConditionDocument.PathPrefix -> CallCondition.PathPrefix(prefix)
        is ConditionDocument.Header -> CallCondition.Header(name, value)
        is ConditionDocument.JsonField -> CallCondition.JsonField(field, value)
    }

private fun CallCondition.toDocument(): ConditionDocument =
    when (this) {
        is CallCondition.Method -> ConditionDocument.Method(method)
        is CallCondition.PathPrefix -> ConditionDocument.PathPrefix(prefix)
        is CallCondition.Header -> ConditionDocument.Header(name, value)
        is CallCondition.JsonField -> ConditionDocument.JsonField(field, value)
    }

private fun RepeatabilityDocument.toRepeatability(): Repeatability =
    when (this) {
        RepeatabilityDocument.Repeatable -> {
            Repeatability.Repeatable
        }

        is RepeatabilityDocument.ByHeader -> {
            Repeatability.AtMostOnce(IdentitySource.Header(name))
        }

        is RepeatabilityDocument.ByJsonField -> {
            Repeatability.AtMostOnce(IdentitySource.JsonField(field))
        }

        is RepeatabilityDocument.ByContent -> {
            Repeatability.AtMostOnce(IdentitySource.Content(windowMilliseconds.milliseconds))
        }
    }

private fun Repeatability.toDocument(): RepeatabilityDocument =
    when (this) {
        Repeatability.Repeatable -> {
            RepeatabilityDocument.Repeatable
        }

        is Repeatability.AtMostOnce -> {
            when (val source = identity) {
                is IdentitySource.Header -> RepeatabilityDocument.ByHeader(source.name)
                is IdentitySource.JsonField -> RepeatabilityDocument.ByJsonField(source.field)
                is IdentitySource.Content -> RepeatabilityDocument.ByContent(source.window.inWholeMilliseconds)
            }
        }
    }
