package org.acaciaflow.transport.log

import org.acaciaflow.coordination.relay.Conclusion
import org.acaciaflow.coordination.relay.Decision
import org.acaciaflow.coordination.relay.RelayedRequest
import org.acaciaflow.coordination.stream.StreamOrigin
import org.acaciaflow.coordination.stream.VersionConstraint
import org.acaciaflow.state.connection.AnswerOrigin
import org.acaciaflow.state.connection.ConnectionHistory
import org.acaciaflow.state.fleet.BackendEntry
import org.acaciaflow.state.limit.LimitWord
import org.acaciaflow.state.load.FleetLoad
import org.acaciaflow.state.prompt.promptPartKeyText
import kotlin.time.Duration
import kotlin.time.Instant

/** Formats decisions as log lines of `key=value` pairs. */
object DecisionFormatter {
    /** Formats [decision] as one line. */
    fun format(decision: Decision): String =
        when (decision) {
            is Decision.Sent -> sent(decision)
            is Decision.Declined -> declined(decision)
            is Decision.Connected -> connected(decision)
            is Decision.ForeignAnswer -> foreignAnswer(decision)
            is Decision.UnrequestedAnswer -> unrequestedAnswer(decision)
            is Decision.ContradictedAnswer -> contradictedAnswer(decision)
            is Decision.PassedOn -> passedOn(decision)
            is Decision.Disconnected -> disconnected(decision)
            is Decision.Ran -> ran(decision)
            is Decision.Stalled -> stalled(decision)
            is Decision.OriginLookedUp -> originLookedUp(decision)
            is Decision.HeldBack -> heldBack(decision)
            is Decision.Refused -> refused(decision)
            is Decision.Concluded -> concluded(decision)
        }

    private fun commonFields(
        name: String,
        decision: Decision,
    ): String = "at=${decision.at} decision=$name request=${decision.requestId}"

    private fun sent(decision: Decision.Sent): String =
        commonFields("sent", decision) + requestFields(decision.request) +
            backendFields(decision.backend, decision.load, decision.predicted, decision.at) +
            " set-aside=${decision.setAside}" +
            " left-ms=${(decision.request.deadline - decision.at).inWholeMilliseconds}"

    private fun declined(decision: Decision.Declined): String =
        commonFields("declined", decision) + requestFields(decision.request) + " reason=${decision.reason.code}" +
            backendFields(decision.path.prefilledBy, decision.load, decision.path.predicted, decision.at) +
            " waiting-ms=${decision.path.waiting.inWholeMilliseconds}" +
            " work-ms=${decision.path.work.inWholeMilliseconds}" +
            " target-ms=${decision.request.route.target.inWholeMilliseconds}"

    /** The known load of [backend] and the age of what is known of the other gateways' loads. */
    private fun backendFields(
        backend: BackendEntry,
        load: FleetLoad,
        predicted: Duration,
        now: Instant,
    ): String {
        val life = backend.life
        return " backend=${life.instance} version=${backend.software.name} role=${backend.role.name.lowercase()}" +
            " predicted-ms=${predicted.inWholeMilliseconds}" +
            " backlog-ms=${load.backlogAt(life, now).inWholeMilliseconds}" +
            " own-jobs=${load.ownAt(life).jobs.size} peer-load-age-ms=${load.remoteAge(now).inWholeMilliseconds}"
    }

    private fun connected(decision: Decision.Connected): String =
        commonFields("connected", decision) + " backend=${decision.backend.life.instance}" +
            " purpose=${decision.purpose.name.lowercase()}" + connectionFields(decision.history) +
            " repeated=${decision.history.hasCarried(decision.requestId)}"

    private fun foreignAnswer(decision: Decision.ForeignAnswer): String =
        commonFields("foreign-answer", decision) + " backend=${decision.backend.life.instance}" +
            connectionFields(decision.history) + " owner=${decision.owner.code} skipped=${decision.skipped}" +
            " status=${decision.answer.status} ids=\"${decision.answer.shownIds}\""

    private fun unrequestedAnswer(decision: Decision.UnrequestedAnswer): String =
        commonFields("unrequested-answer", decision) + " backend=${decision.last.life.instance}" +
            connectionFields(decision.last.history) + " owner=${decision.owner.code}" +
            " status=${decision.answer.status} ids=\"${decision.answer.shownIds}\"" +
            " last-status=${decision.last.status}" +
            " last-took-ms=${decision.last.took.inWholeMilliseconds}" +
            " after-ms=${(decision.at - decision.last.at).inWholeMilliseconds}" +
            " signature=${decision.answer.signature ?: "none"}" +
            " last-signature=${decision.last.signature ?: "none"}" +
            " form=${decision.answer.form} last-form=${decision.last.form}"

    private fun contradictedAnswer(decision: Decision.ContradictedAnswer): String =
        commonFields("contradicted-answer", decision) + " backend=${decision.answered.life.instance}" +
            connectionFields(decision.answered.history) + " reason=${decision.contradiction.code}" +
            " status=${decision.answered.status}" +
            " took-ms=${decision.answered.took.inWholeMilliseconds}" +
            " second-status=${decision.second?.status ?: "none"}" +
            " after-ms=${(decision.at - decision.answered.at).inWholeMilliseconds}" +
            " signature=${decision.answered.signature ?: "none"}" +
            " second-signature=${decision.second?.signature ?: "none"}" +
            " form=${decision.answered.form} second-form=${decision.second?.form ?: "none"}"

    private fun passedOn(decision: Decision.PassedOn): String {
        val success = decision.success
        val answered = success.answered
        return commonFields("passed-on", decision) + " backend=${answered.life.instance}" +
            connectionFields(answered.history) + " attempt=${success.attempt} status=${answered.status}" +
            " sent-at=${answered.sentAt} read-at=${answered.at} took-ms=${answered.took.inWholeMilliseconds}" +
            " length=${success.length} bytes-read=${success.bytesRead} held=${success.isHeld}" +
            " signature=${answered.signature ?: "none"} form=${answered.form} left-out=${decision.leftOut}"
    }

    private fun disconnected(decision: Decision.Disconnected): String =
        commonFields("disconnected", decision) + " backend=${decision.life.instance}" +
            connectionFields(decision.history) + " reason=${decision.reason.code}"

    private fun connectionFields(history: ConnectionHistory): String =
        " connection=${history.number} carried=${history.carried.size}"

    private fun ran(decision: Decision.Ran): String =
        commonFields("ran", decision) + " backend=${decision.backend.life.instance} outcome=\"${decision.outcome}\"" +
            " shared-parts=${sharedParts(decision.request)}"

    private fun stalled(decision: Decision.Stalled): String =
        commonFields("stalled", decision) + requestFields(decision.request) +
            " backend=${decision.backend.life.instance} limit=${decision.stall.code}" +
            " left-ms=${(decision.request.deadline - decision.at).inWholeMilliseconds}"

    /** The keys of the prompt parts that other requests may share, or `none`. */
    private fun sharedParts(request: RelayedRequest): String =
        request.facts.prompt
            ?.sharedParts
            .orEmpty()
            .joinToString(",") { promptPartKeyText(it.key) }
            .ifEmpty { "none" }

    private fun originLookedUp(decision: Decision.OriginLookedUp): String {
        val known = decision.origin as? StreamOrigin.Known
        return commonFields("origin", decision) + requestFields(decision.request) +
            " lookup=${decision.origin.lookup.code} version=${known?.proof?.version?.name ?: "none"}" +
            " elapsed-ms=${(decision.at - decision.request.arrivedAt).inWholeMilliseconds}"
    }

    private fun heldBack(decision: Decision.HeldBack): String {
        val word = decision.limit?.word
        val named = (word as? LimitWord.Named)?.perSecond
        return commonFields("held-back", decision) + " backend=${decision.life.instance} limit=$named" +
            " age-ms=${word?.let { (decision.at - it.at).inWholeMilliseconds }}" +
            " part=${decision.limit?.tokens?.perSecond}"
    }

    private fun refused(decision: Decision.Refused): String =
        commonFields("refused", decision) + " host=${decision.host} path=${decision.path}" +
            " configuration=${decision.version} reason=${decision.reason.code}"

    private fun concluded(decision: Decision.Concluded): String {
        val elapsed = decision.at - decision.request.arrivedAt
        val first = decision.progress.begunAt?.let { it - decision.request.arrivedAt }
        return commonFields("concluded", decision) + requestFields(decision.request) +
            " outcome=${outcomeOf(decision.conclusion)} elapsed-ms=${elapsed.inWholeMilliseconds}" +
            " first-ms=${first?.inWholeMilliseconds ?: -1}" +
            " sends=${decision.progress.countedAttempts} prefills=${decision.progress.prefillCalls}" +
            " last-event=${decision.progress.lastEvent ?: "none"}" +
            " version=${versionOf(decision.progress.versions)}" + originFields(decision.progress.origin)
    }

    private fun versionOf(versions: VersionConstraint): String =
        when (versions) {
            VersionConstraint.Any -> "any"
            is VersionConstraint.Only -> versions.version.name
        }

    /** The server, connection, signature and form of the answer whose head the caller got. */
    private fun originFields(origin: AnswerOrigin?): String =
        " answered-by=${origin?.life?.instance ?: "none"} connection=${origin?.connection ?: "none"}" +
            " signature=${origin?.signature ?: "none"} form=${origin?.form ?: "none"}"

    private fun outcomeOf(conclusion: Conclusion): String =
        when (conclusion) {
            is Conclusion.Delivered -> "delivered status=${conclusion.status}"
            Conclusion.CallerGone -> "caller-gone"
            is Conclusion.NotExecuted -> "not-run reason=${conclusion.reason.code}"
            is Conclusion.Uncertain -> "may-have-run reason=${conclusion.reason.code}"
            is Conclusion.Aborted -> "cut reason=${conclusion.reason.code}"
        }

    private fun requestFields(request: RelayedRequest): String =
        " route=${request.route.name.name} configuration=${request.version} pool=${request.pool.name}" +
            " prompt-tokens=${request.facts.prompt?.promptTokens ?: 0}" +
            " resumes=${resumesOf(request)}"

    /** The attempt that began the stream that [request] takes up, or `none`. */
    private fun resumesOf(request: RelayedRequest): String =
        if (request.isTakeUp) request.earlierStream?.requestId ?: "unnamed" else "none"
}
