package org.shallotplank.core.dissemination

import kotlin.random.Random
import kotlin.time.Instant
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import org.shallotplank.core.ConfigurationVersion
import org.shallotplank.core.InstanceId
import org.shallotplank.core.Step
import org.shallotplank.core.dissemination.DisseminationEffect.Send

/** Makes [manifest] the known manifest if it is newer than the current one; else ignores it. */
internal fun DisseminationState.learn(
    manifest: Manifest,
    from: InstanceId?,
    holder: InstanceId? = null
): DisseminationState {
    if (manifest.version <= knownVersion) return this
    return copy(
        known = manifest,
        origin = from,
        holder = holder,
        fetches = persistentMapOf()
    )
}

/** Propagates manifests between peers. */
internal class ConfigurationSpreading(
    private val settings: DisseminationSettings,
    private val random: Random
) {
    /**
     * Pushes the change that led to the version in force to peers.
     *
     * The first version of a process is not pushed, because it comes from catching up. A version
     * that came from a peer is pushed only if [DisseminationSettings.forwardsPushes] is set.
     */
    fun push(state: DisseminationState): DisseminationStep {
        val delta = state.lastDelta ?: return Step(state)
        val isForwarded = state.origin != null
        if (delta.base == ConfigurationVersion.None) return Step(state)
        if (isForwarded && !settings.forwardsPushes) return Step(state)
        val message = message(state, delta)
        val targets = state.links.all.filter { it != state.origin }
        val chosen = targets.shuffled(random).take(settings.pushFanout)
        return Step(state, chosen.map { Send(it, message) }.toPersistentList())
    }

    /** Requests a random peer's manifest while peers report a newer version than the known one. */
    fun retry(state: DisseminationState, now: Instant): DisseminationStep {
        if (state.highestReportedVersion <= state.knownVersion) return Step(state)
        val peer = state.links.all.randomOrNull(random) ?: return Step(state)
        return requestManifest(state, peer, settings, now)
    }

    /**
     * Handles a version that a peer pushed.
     *
     * If the change does not apply to the known manifest or to the one in force, requests the
     * manifest from the peer.
     */
    fun pushed(
        state: DisseminationState,
        from: InstanceId,
        message: PeerMessage.ConfigurationPush,
        now: Instant
    ): DisseminationStep {
        val delta = message.delta
        if (delta.version <= state.knownVersion) return Step(state)
        val manifest = delta.applyTo(state.known) ?: delta.applyTo(state.inForce)
        return if (manifest == null) {
            requestManifest(state.noteReportedVersion(delta.version), from, settings, now)
        } else {
            Step(state.learn(manifest, from, holder = from.takeIf { message.isHolder }))
        }
    }

    /**
     * Sends the version in force to a peer that knows only [peerVersion], if it is newer.
     *
     * Processes send peers only versions that are in force, because a version cannot be used
     * while its sections are missing.
     */
    fun requested(
        state: DisseminationState,
        from: InstanceId,
        peerVersion: ConfigurationVersion
    ): DisseminationStep {
        val manifest = state.inForce ?: return Step(state)
        if (manifest.version <= peerVersion) return Step(state)
        val last = state.lastDelta?.takeIf { it.base == peerVersion }
        val message = message(state, last ?: manifest.deltaFrom(null))
        return Step(state, persistentListOf(Send(from, message)))
    }

    private fun message(state: DisseminationState, delta: ManifestDelta): PeerMessage {
        val isHolder = delta.changed.all { it.sha256 in state.contents }
        return PeerMessage.ConfigurationPush(delta, isHolder)
    }
}

/** Records that a peer reported [version] as in force. */
internal fun DisseminationState.noteReportedVersion(
    version: ConfigurationVersion
): DisseminationState =
    if (version <= highestReportedVersion) this else copy(highestReportedVersion = version)

/**
 * Requests the manifest of [from].
 *
 * Does nothing within [DisseminationSettings.manifestTimeout] of the previous request.
 */
internal fun requestManifest(
    state: DisseminationState,
    from: InstanceId,
    settings: DisseminationSettings,
    now: Instant
): DisseminationStep {
    val requestedAt = state.timers.manifestRequestedAt
    if (requestedAt != null && now - requestedAt < settings.manifestTimeout) return Step(state)
    val message = PeerMessage.ManifestRequest(state.knownVersion)
    return Step(
        state.copy(timers = state.timers.copy(manifestRequestedAt = now)),
        persistentListOf(Send(from, message))
    )
}
