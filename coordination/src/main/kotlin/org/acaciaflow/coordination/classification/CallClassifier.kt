package org.acaciaflow.coordination.classification

import org.acaciaflow.coordination.port.CallBody
import org.acaciaflow.state.configuration.CallCondition
import org.acaciaflow.state.configuration.Configuration
import org.acaciaflow.state.configuration.Deployment
import org.acaciaflow.state.configuration.IdentitySource
import org.acaciaflow.state.configuration.Repeatability
import org.acaciaflow.state.configuration.WorkKind
import org.acaciaflow.state.identity.RequestIdentity
import org.acaciaflow.state.refusal.NotRun
import org.acaciaflow.state.work.CallHead
import org.acaciaflow.state.work.RequestDigest
import org.acaciaflow.state.work.RequestProfile
import org.acaciaflow.state.work.digestOf
import kotlin.time.Instant

/** Determines the kind of work of a call from the rules in the configuration. */
class CallClassifier(
    private val bodyReader: BodyReader,
) {
    /** Classifies [call]; the first matching kind applies, in deployment order. The deadline counts from [now]. */
    fun classify(
        configuration: Configuration,
        call: CallHead,
        body: CallBody,
        now: Instant,
    ): Classification {
        if (configuration.revision == Configuration.NO_REVISION) {
            return Classification.Refused(NotRun.NO_CONFIGURATION)
        }
        val facts = bodyReader.read(call, body.buffered)
        for (deployment in configuration.deployments.values) {
            val kind = deployment.kinds.firstOrNull { matches(it, call, facts) } ?: continue
            return profile(deployment, kind, call, body, facts, now)
        }
        return Classification.Refused(NotRun.UNKNOWN_CALL)
    }

    private fun matches(
        kind: WorkKind,
        call: CallHead,
        facts: BodyFacts,
    ): Boolean = kind.match.conditions.all { holds(it, call, facts) }

    private fun holds(
        condition: CallCondition,
        call: CallHead,
        facts: BodyFacts,
    ): Boolean =
        when (condition) {
            is CallCondition.Method -> call.method.equals(condition.method, ignoreCase = true)
            is CallCondition.PathPrefix -> call.target.startsWith(condition.prefix)
            is CallCondition.Header -> call.header(condition.name) == condition.value
            is CallCondition.JsonField -> facts.fields[condition.field] == condition.value
        }

    private fun profile(
        deployment: Deployment,
        kind: WorkKind,
        call: CallHead,
        body: CallBody,
        facts: BodyFacts,
        now: Instant,
    ): Classification {
        val digest = digestOf(call.method, call.target, body.buffered.toByteArray())
        val identity =
            when (val repeatability = kind.repeatability) {
                Repeatability.Repeatable -> null

                is Repeatability.AtMostOnce -> {
                    val key = identityKey(repeatability.identity, call, body, facts, digest, now)
                    if (key == null) return Classification.Refused(NotRun.IDENTITY_MISSING)
                    RequestIdentity(deployment.name, key)
                }
            }
        return Classification.Classified(
            RequestProfile(
                deployment = deployment.name,
                team = deployment.team,
                pool = deployment.pool,
                kind = kind.name,
                rank = kind.rank,
                atMostOnce = identity,
                estimate = facts.estimate ?: kind.expected,
                digest = digest,
                prefix = facts.prefix,
                deadline = now + kind.deadline,
            ),
        )
    }

    private fun identityKey(
        source: IdentitySource,
        call: CallHead,
        body: CallBody,
        facts: BodyFacts,
        digest: RequestDigest,
        now: Instant,
    ): String? =
        when (source) {
            is IdentitySource.Header -> call.header(source.name)

            is IdentitySource.JsonField -> facts.fields[source.field]

            is IdentitySource.Content -> {
                val window = now.toEpochMilliseconds() / source.window.inWholeMilliseconds
                if (body.whole) "${digest.hexadecimal}-$window" else null
            }
        }
}
