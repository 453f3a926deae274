package org.acaciaflow.daemon.soak

import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.writeText

/** The counts of a soak: one line for all answers, two for the wrong ones, one for the plain service. */
internal fun summaryOf(result: SoakResult): String {
    val answers = result.calls.mapNotNull { it.outcome as? CallOutcome.Answered }
    val (successes, others) = answers.partition { it.isSuccess && it.whole }
    val (refusals, failures) = others.partition { it.status in REFUSALS }
    val unanswered = result.calls.mapNotNull { it.outcome as? CallOutcome.Unanswered }
    val reasons = unanswered.groupingBy { it.reason.replace(NUMBER, "N") }.eachCount()
    val second = result.entries.writings.count { it.kind == WritingKind.SECOND_ANSWER }
    val breaches = result.breaches.groupingBy { it.rule }.eachCount()
    return "soak seed ${result.shape.seed} ${result.shape.mix.text}: " +
        "${result.calls.size} calls, ${successes.size} successes, " +
        "${failures.size} failures, ${refusals.size} refusals, ${unanswered.size} without an answer $reasons, " +
        "${result.entries.arrivals.size} arrivals, $second second answers, breaches ${breaches.ifEmpty { "none" }}\n" +
        wrongAnswersText(wrongAnswers(result.breaches, result.entries, result.calls)) +
        plainServiceText(plainService(result.breaches, result.entries, result.calls))
}

private fun wrongAnswersText(wrong: List<WrongAnswer>): String {
    val endings = countsInOrder(wrong.map { it.ending }) { it.text }
    val routes = countsInOrder(wrong.map { it.route }) { it.text }
    val warnings = countsInOrder(wrong.map { it.warning }) { it.text }
    return "  wrong answers ${wrong.size}: by end of the run $endings, by route $routes, by warning $warnings\n" +
        wrongKindsText(wrong)
}

private fun wrongKindsText(wrong: List<WrongAnswer>): String {
    val kindsOf = { answers: List<WrongAnswer> -> countsInOrder(answers.map { it.kind }) { it.text } }
    val byRoute =
        wrong.groupBy { it.route }.toSortedMap().map { (route, ofRoute) ->
            "${route.text} ${kindsOf(ofRoute)}"
        }
    return "  wrong answers by kind ${kindsOf(wrong)}, of these ${byRoute.joinToString().ifEmpty { "none" }}; " +
        "first second answer of its server's life ${wrong.count { it.isFirstOfLife }}\n"
}

private fun <T : Enum<T>> countsInOrder(
    values: List<T>,
    textOf: (T) -> String,
): Map<String, Int> = values.sorted().groupingBy(textOf).eachCount()

private fun plainServiceText(service: PlainService): String =
    "  sound plain successes: ${service.ofStutteringServers} of servers that answer twice, " +
        "${service.ofOtherServers} of others; median ${service.medianMilliseconds} ms, " +
        "95 of 100 within ${service.highMilliseconds} ms"

/** Keeps the report and the gateways' logs of a soak in [folder], and returns the text of its first breaches. */
internal fun keepFailed(
    result: SoakResult,
    folder: Path,
): String {
    val reports = result.breaches.map { reportOf(it, result.entries, result.calls) + logLines(result, it) }
    val kept = Files.createDirectories(folder.resolve("${result.shape.mix.text}-${result.shape.seed}"))
    val replay = "replay: ${result.shape.replay}"
    kept.resolve("breaches.txt").writeText((listOf(summaryOf(result), replay) + reports).joinToString("\n"))
    result.logs.forEach { (name, log) -> kept.resolve("$name.log").writeText(log) }
    return (reports.take(SHOWN_BREACHES) + "logs and all breaches: $kept" + replay).joinToString("\n")
}

private fun logLines(
    result: SoakResult,
    breach: Breach,
): String =
    result.logs
        .flatMap { (name, log) -> log.lines().filter { breach.requestId in it }.map { "  $name: $it" } }
        .joinToString("\n", postfix = "\n")

private val NUMBER = Regex("[0-9]+")
private val REFUSALS = setOf(408, 421, 429, 503)
private const val SHOWN_BREACHES = 3
