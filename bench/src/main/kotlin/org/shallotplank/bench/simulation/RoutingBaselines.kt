package org.shallotplank.bench.simulation

import kotlin.random.Random
import org.shallotplank.core.routing.RoutingRequest
import org.shallotplank.core.routing.UpstreamView
import org.shallotplank.core.routing.chooseUpstream

/** The routing policy of this project. */
internal val shallotplankRouting: RoutingPolicy = { candidates, request, clock, random ->
    chooseUpstream(candidates, request, clock.now, random).chosen
}

/** Sends requests to the upstreams in round-robin order. */
internal fun roundRobin(): RoutingPolicy {
    var next = 0
    return { candidates, request, _, _ ->
        candidates.allowed(request).let { if (it.isEmpty()) null else it[next++ % it.size].id }
    }
}

/** Sends each request to a random upstream. */
internal val randomRouting: RoutingPolicy = { candidates, request, _, random ->
    candidates.allowed(request).randomOrNull(random)?.id
}

/** Draws two upstreams at random and takes the less loaded one by their last reports alone. */
internal val twoChoicesOnStaleLoad: RoutingPolicy = { candidates, request, _, random ->
    candidates.allowed(request).draw(2, random)
        .minByOrNull { (it.load?.running ?: 0) + (it.load?.queued ?: 0) }?.id
}

/** Sends each request to the upstream with the fewest outstanding requests of this entry. */
internal val leastOutstanding: RoutingPolicy = { candidates, request, _, random ->
    candidates.allowed(request).shuffled(random).minByOrNull { it.outstanding }?.id
}

private fun List<UpstreamView>.allowed(request: RoutingRequest): List<UpstreamView> =
    filter { !it.draining && it.id !in request.excluded }

private fun List<UpstreamView>.draw(count: Int, random: Random): List<UpstreamView> =
    List(if (isEmpty()) 0 else count) { random(random) }
