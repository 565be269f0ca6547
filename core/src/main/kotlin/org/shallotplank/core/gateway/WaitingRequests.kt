package org.shallotplank.core.gateway

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.toPersistentMap
import org.shallotplank.core.ServiceName
import org.shallotplank.core.admission.ElsewhereWaiting
import org.shallotplank.core.config.Priority

/**
 * Requests of one service that waited at an entry at [observedAt].
 *
 * @property byPriority number of requests, by the position of their admission class; 0 is the most
 *   urgent.
 */
public data class WaitingRequests(val byPriority: PersistentMap<Int, Int>, val observedAt: Instant)

/**
 * Requests that wait at this entry, by service.
 *
 * Only services whose requests differ in priority are included, also while none waits.
 */
public val GatewayState.waitingRequests: Map<ServiceName, Map<Int, Int>>
    get() = routesInForce.servicesOfSeveralPriorities.associateWith { service ->
        queues[service]?.waitingByPriority.orEmpty().mapKeys { it.key.ordinal }
    }

/** Stores what another entry reported of its waiting requests. */
internal fun GatewayState.onWaitingLearned(
    event: GatewayEvent.WaitingLearned,
    context: GatewayContext
): GatewayStep {
    if (event.entry == settings.instance) return GatewayStep(this)
    val recent = waitingElsewhere.mutate { map ->
        map.entries.removeAll { (_, services) ->
            services.values.all { context.now - it.observedAt >= IGNORED_AGE }
        }
        map[event.entry] = event.waiting
    }
    return copy(waitingElsewhere = recent).resizeQueues(context)
}

/**
 * What waits for [service] at other entries, null if its requests have one priority.
 *
 * Reports lose weight from [FULL_WEIGHT_AGE] on. An entry without a report counts as having no
 * waiting requests.
 */
internal fun GatewayState.elsewhereOf(
    service: ServiceName,
    guaranteed: Int,
    now: Instant
): ElsewhereWaiting? {
    if (service !in routesInForce.servicesOfSeveralPriorities) return null
    val counts = HashMap<Priority, Double>()
    for (services in waitingElsewhere.values) {
        val waiting = services[service] ?: continue
        val weight = weightAt(now - waiting.observedAt)
        if (weight == 0.0) continue
        for ((priority, count) in waiting.byPriority) {
            counts.merge(classAt(priority), count * weight, Double::plus)
        }
    }
    return ElsewhereWaiting(counts.toPersistentMap(), guaranteed)
}

private fun classAt(position: Int): Priority =
    Priority.entries[position.coerceIn(Priority.entries.indices)]

private fun weightAt(age: Duration): Double =
    ((IGNORED_AGE - age) / (IGNORED_AGE - FULL_WEIGHT_AGE)).coerceIn(0.0, 1.0)

/** Most waiting requests have ended after this time, so that older reports count less. */
private val FULL_WEIGHT_AGE = 1.seconds

/** An entry without a report for this long does not count as alive. */
private val IGNORED_AGE = 2.seconds
