package org.shallotplank.config

import arrow.core.raise.nullable
import kotlin.time.Duration
import kotlinx.collections.immutable.toPersistentList
import org.shallotplank.core.ServiceName
import org.shallotplank.core.config.RankGroupShape
import org.shallotplank.core.config.Service
import org.shallotplank.core.config.ServiceKind
import org.shallotplank.core.config.ServiceLimits
import org.shallotplank.core.config.StopPolicy

/** Content of a service file; parts that could not be read are null or left out. */
internal class ServiceDocument(
    /** Present even if the rest of the file has faults, so that duplicate names are found. */
    val name: Located<ServiceName>?,
    val service: Service?
)

/** Reads the service file [document]. */
internal fun readService(document: TomlDocument): ServiceDocument {
    document.checkTopLevel(serviceFileSpec)
    val header = document.single(ServiceKeys.table)
    val name = header?.locate(ServiceKeys.name)
    val kind = header?.read(ServiceKeys.kind)
    val checksFencing = header?.read(ServiceKeys.checksFencing)
    val limits = document.single(LimitsKeys.table)?.limits(kind)
    val operations = document.repeated(OperationKeys.table).map { OperationReading(it) }
    checkOperations(operations)
    val stop = document.single(StopKeys.table)?.stopPolicy(operations)
    val rankGroup = document.optional(RankGroupKeys.table)?.rankGroup(kind)
    val service = nullable {
        Service(
            name = name.bind().value,
            kind = kind.bind(),
            operations = operations.map { it.operation().bind() }.toPersistentList(),
            limits = limits.bind(),
            stop = stop.bind(),
            checksFencing = checksFencing.bind(),
            rankGroup = rankGroup
        )
    }
    return ServiceDocument(name, service)
}

private fun TableReader.limits(kind: ServiceKind?): ServiceLimits? {
    val coldConcurrency = read(LimitsKeys.coldConcurrency)
    val maxConcurrency = read(LimitsKeys.maxConcurrency)
    val maxQueued = read(LimitsKeys.maxQueued)
    val targetStep = read(LimitsKeys.targetStep)
    val targetFirstToken = read(LimitsKeys.targetFirstToken)
    val retryBudget = read(LimitsKeys.retryBudget)
    if (kind == ServiceKind.PLAIN) {
        listOf(LimitsKeys.targetStep, LimitsKeys.targetFirstToken).filter(::has).forEach { key ->
            report(key, "no such key in a service of kind \"plain\"", "one")
        }
    }
    if (coldConcurrency != null && maxConcurrency != null && coldConcurrency > maxConcurrency) {
        val expected = "at most max_concurrency ($maxConcurrency)"
        report(LimitsKeys.coldConcurrency, expected, "$coldConcurrency")
    }
    return nullable {
        ServiceLimits(
            coldConcurrency = coldConcurrency.bind(),
            maxConcurrency = maxConcurrency.bind(),
            maxQueued = maxQueued.bind(),
            targetStep = targetStep.bind(),
            targetFirstToken = targetFirstToken.bind(),
            retryBudget = retryBudget.bind()
        )
    }
}

private fun TableReader.stopPolicy(operations: List<OperationReading>): StopPolicy? {
    val drainTimeout = read(StopKeys.drainTimeout)
    val resumable = read(StopKeys.resumable)
    if (drainTimeout != null) checkDrain(drainTimeout, operations)
    if (resumable == true) checkResumable(operations)
    return nullable {
        StopPolicy(drainTimeout = drainTimeout.bind(), resumable = resumable.bind())
    }
}

private fun TableReader.checkDrain(drainTimeout: Duration, operations: List<OperationReading>) {
    val longest = operations.maxByOrNull { it.deadline ?: Duration.ZERO } ?: return
    val deadline = longest.deadline ?: return
    if (drainTimeout >= deadline) return
    report(
        StopKeys.drainTimeout,
        "at least the longest deadline_seconds (${deadline.inWholeSeconds} of operation " +
            "${longest.label})",
        "${drainTimeout.inWholeSeconds}"
    )
}

private fun TableReader.checkResumable(operations: List<OperationReading>) {
    val streamed = operations.filter { it.streamed == true }
    if (streamed.isEmpty()) {
        report(StopKeys.resumable, "a streamed operation that could be resumed", "none")
    }
    streamed.filter { it.idempotent == false }.forEach { operation ->
        operation.reader.report(
            OperationKeys.idempotent,
            "true, since stop.resumable lets streamed operations go on at another upstream",
            "false"
        )
    }
}

private fun TableReader.rankGroup(kind: ServiceKind?): RankGroupShape? {
    val ranks = read(RankGroupKeys.ranks)
    val layers = read(RankGroupKeys.layers)
    val expertsPerLayer = read(RankGroupKeys.expertsPerLayer)
    val slotsPerRank = read(RankGroupKeys.slotsPerRank)
    if (kind == ServiceKind.PLAIN) {
        report(RankGroupKeys.ranks, "no [rank_group] in a service of kind \"plain\"", "one")
    }
    val shape = nullable {
        RankGroupShape(
            ranks = ranks.bind(),
            layers = layers.bind(),
            expertsPerLayer = expertsPerLayer.bind(),
            slotsPerRank = slotsPerRank.bind()
        )
    } ?: return null
    val slots = shape.ranks.toLong() * shape.slotsPerRank
    if (slots < shape.expertsPerLayer) {
        report(
            RankGroupKeys.slotsPerRank,
            "room for ${shape.expertsPerLayer} experts on ${shape.ranks} ranks",
            "$slots slots"
        )
    }
    return shape
}
