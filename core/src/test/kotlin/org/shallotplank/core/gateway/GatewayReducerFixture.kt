package org.shallotplank.core.gateway

import kotlin.random.Random
import kotlin.test.assertIs
import kotlinx.collections.immutable.toPersistentList

/** Runs the reducer of one gateway entry and returns its effects, log records left out. */
abstract class GatewayReducerFixture {
    private val random = Random(1)
    protected var now = startOfTest
    protected var state = GatewayState(testSettings())
        private set

    protected fun emit(event: GatewayEvent): List<GatewayEffect> {
        val step = state.on(event, now, random)
        state = step.state
        return step.effects.filter { it !is GatewayEffect.Log }
    }

    protected fun serve(vararg upstreams: ListedUpstream, table: RouteTable = testTable()) {
        emit(GatewayEvent.RoutesAccepted(table))
        emit(GatewayEvent.UpstreamsListed(upstreams.toList().toPersistentList()))
        emit(GatewayEvent.ReadinessChanged(isReady = true))
    }

    protected fun arrive(id: String, kind: RequestKind = RequestKind.SAFE): GatewayEffect =
        emit(arrival(id, kind, now)).single()

    protected fun sent(id: String, kind: RequestKind = RequestKind.SAFE): GatewayEffect.Send =
        assertIs<GatewayEffect.Send>(arrive(id, kind))
}
