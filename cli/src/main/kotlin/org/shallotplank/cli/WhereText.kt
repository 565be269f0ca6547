package org.shallotplank.cli

import org.shallotplank.gateway.where.WhereAdmission
import org.shallotplank.gateway.where.WhereAnswer
import org.shallotplank.gateway.where.WhereCandidate
import org.shallotplank.gateway.where.WhereExcluded
import org.shallotplank.gateway.where.WhereService
import org.shallotplank.gateway.where.WhereUpstream

/** [answer] as lines for an operator. */
internal fun whereLines(answer: WhereAnswer): List<String> = buildList {
    val state = if (answer.ready) "ready" else "not ready, requests are held or refused"
    val configuration = answer.configuration ?: "none"
    add("entry ${answer.instance} in zone ${answer.zone}: $state, configuration $configuration")
    add(answer.route?.let { "route $it (${answer.kind})" } ?: "no route matches")
    answer.refusal?.let { add("refused: $it") }
    for (service in answer.services) {
        add("")
        addAll(service.lines())
    }
    addLeftOut(answer.servicesLeftOut, "services")
    add("")
    answer.tables.forEach {
        add("table ${it.name}: version ${it.era}.${it.version}, confirmed ${it.ageMillis} ms ago")
    }
    for (entry in answer.entries) {
        val ages = listOfNotNull(
            "report ${entry.reportAgeMillis} ms",
            entry.waitingAgeMillis?.let { "waiting requests $it ms" },
            entry.workAgeMillis?.let { "work $it ms" }
        )
        add("entry ${entry.instance}: ${ages.joinToString()} ago")
    }
    addLeftOut(answer.entriesLeftOut, "entries with later reports")
}

private fun WhereService.lines(): List<String> = buildList {
    val draw = if (drawn) "weight $weight" else "weight $weight, not drawn now"
    add("service $service ($draw), priority $priority")
    addAll(admission.lines())
    val by = if (byWork) "work" else "number of requests"
    val expected = generateMillis?.let {
        ", expected %.1f ms to read and %.1f ms to generate or process".format(readMillis, it)
    }
    add("  chosen by $by${expected.orEmpty()}")
    add(
        when (drawnAmong.size) {
            0 -> "  no upstream"
            1 -> "  choice: ${drawnAmong.single()}"
            else -> "  choice: drawn among ${drawnAmong.joinToString()}"
        }
    )
    if (candidates.isNotEmpty()) add(CANDIDATE_HEADING)
    candidates.forEach { add(it.line()) }
    addLeftOut(candidatesLeftOut, "candidates with higher costs")
    if (excludedByReason.isNotEmpty()) {
        add("  excluded: " + excludedByReason.map { "${it.value} ${it.key}" }.joinToString())
    }
    excluded.forEach { add(it.line()) }
    addLeftOut(excludedLeftOut, "excluded upstreams")
}

private fun WhereAdmission.lines(): List<String> {
    val counts = "capacity $capacity, running $running, waiting $waiting, reserved $reserved"
    val result = when (outcome) {
        "ADMITTED" -> "admitted at once"
        "QUEUED" -> "waits, about $expectedWaitMillis ms"
        else -> "refused: ${listOfNotNull(refusal, refusedBy).joinToString(" by ")}"
    }
    return listOf("  $result ($counts; starts within $longestWaitMillis ms or not at all)")
}

private fun WhereCandidate.line(): String = "  %-20s %6.3f %6.3f %5.2f %5.2f %5.2f %7.2f ".format(
    upstream.id,
    cost,
    load,
    zoneCost,
    fullCost,
    notPreferredCost,
    connectingCost
) + "%8.2f %s".format(countedRequests, upstream.described())

private fun WhereExcluded.line(): String {
    val end = endsInMillis?.let { " for $it ms" }.orEmpty()
    return "  %-20s %s; %s".format(upstream.id, reason + end, upstream.described())
}

private fun WhereUpstream.described(): String = listOfNotNull(
    "zone $zone",
    group?.let { "rank $rank of $it" },
    "own $own, others $others of $slots slots",
    "slowdown %.2f".format(slowdown).takeIf { slowdown != USUAL },
    allowed?.let { "allowed $it" },
    requestsPerSecond?.let { "limit $it per s" },
    limitAgeMillis?.let { "limit observed $it ms ago" },
    workReportAgeMillis?.let { "work reported $it ms ago" },
    answerAgeMillis?.let { "answered $it ms ago" } ?: "never answered"
).joinToString()

private fun MutableList<String>.addLeftOut(count: Int, what: String) {
    if (count > 0) add("  ... and $count more $what")
}

private const val USUAL = 1.0
private const val CANDIDATE_HEADING =
    "  UPSTREAM               COST   LOAD  ZONE  FULL OWNER CONNECT REQUESTS OBSERVED"
