package org.shallotplank.core.dissemination

import kotlin.random.Random
import kotlin.time.Instant
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentHashMap
import kotlinx.collections.immutable.toPersistentMap
import org.shallotplank.core.InstanceId
import org.shallotplank.core.Step
import org.shallotplank.core.dissemination.DisseminationEffect.FetchSection
import org.shallotplank.core.dissemination.DisseminationEffect.Send
import org.shallotplank.core.then

/**
 * Fetches the contents of sections, from peers before the object store.
 *
 * Only a ready process that read a new version from the table itself asks the object store
 * first, because it is unlikely that a peer already holds the new content.
 */
internal class SectionFetching(
    private val settings: DisseminationSettings,
    private val random: Random,
    private val needs: (SectionName) -> Boolean
) {
    /** Starts fetches of missing sections up to [DisseminationSettings.maxFetches]. */
    fun request(state: DisseminationState, now: Instant): DisseminationStep {
        val manifest = state.known
        if (manifest == null || manifest === state.inForce) return Step(state)
        val room = settings.maxFetches - state.fetches.size
        if (room <= 0) return Step(state)
        return manifest.sections.asSequence()
            .filter { needs(it.name) }
            .map { it.sha256 }
            .filter { it !in state.contents && it !in state.fetches }
            .distinct()
            .take(room)
            .fold(DisseminationStep(state)) { step, sha256 ->
                step.then { fetch(it, sha256, 0, now) }
            }
    }

    /** Asks the next source for each fetch whose deadline has passed. */
    fun retry(state: DisseminationState, now: Instant): DisseminationStep =
        state.fetches.filterValues { now >= it.deadline }.entries
            .fold(DisseminationStep(state)) { step, (sha256, fetch) ->
                step.then { fetch(it, sha256, fetch.attempt + 1, now) }
            }

    /**
     * Stores the content of a section.
     *
     * If [content] is missing or does not match [sha256], the next source is asked after
     * [DisseminationSettings.sectionRetryDelay].
     */
    fun fetched(
        state: DisseminationState,
        sha256: Sha256,
        content: String?,
        now: Instant
    ): DisseminationStep {
        val fetch = state.fetches[sha256] ?: return Step(state)
        if (content == null || Sha256.of(content) != sha256) {
            val later = fetch.copy(deadline = now + settings.sectionRetryDelay)
            return Step(state.copy(fetches = state.fetches.put(sha256, later)))
        }
        return Step(
            state.copy(
                contents = state.contents.put(sha256, content),
                fetches = state.fetches.remove(sha256)
            )
        )
    }

    /** Answers a [PeerMessage.SectionRequest]. */
    fun requested(state: DisseminationState, from: InstanceId, sha256: Sha256): DisseminationStep {
        val reply = PeerMessage.SectionReply(sha256, state.contents[sha256])
        return Step(state, persistentListOf(Send(from, reply)))
    }

    /** The contents of all needed sections of [manifest], or null while one is missing. */
    fun neededContents(
        state: DisseminationState,
        manifest: Manifest
    ): PersistentMap<SectionName, String>? {
        val needed = manifest.sections.filter { needs(it.name) }
        if (needed.any { it.sha256 !in state.contents }) return null
        return needed.associate { it.name to state.contents.getValue(it.sha256) }.toPersistentMap()
    }

    /** Drops the contents that the known manifest does not reference. */
    fun dropUnreferenced(state: DisseminationState): DisseminationState {
        val referred = state.known?.sections.orEmpty().mapTo(HashSet()) { it.sha256 }
        if (state.contents.keys.all { it in referred }) return state
        val kept = state.contents.filterKeys { it in referred }
        return state.copy(contents = kept.toPersistentHashMap())
    }

    private fun fetch(
        state: DisseminationState,
        sha256: Sha256,
        attempt: Int,
        now: Instant
    ): DisseminationStep {
        val fetch = Fetch(attempt, now + settings.sectionTimeout)
        val source = source(state, attempt)
        val effect = if (source == null) {
            FetchSection(sha256)
        } else {
            Send(source, PeerMessage.SectionRequest(sha256))
        }
        val next = state.copy(fetches = state.fetches.put(sha256, fetch))
        return Step(next, persistentListOf(effect))
    }

    /** The peer to ask in the given attempt, or null for the object store. */
    private fun source(state: DisseminationState, attempt: Int): InstanceId? {
        val isFirst = attempt == 0
        if (isFirst && state.holder != null) return state.holder
        if (isFirst && state.origin == null && state.isReady) return null
        val turn = attempt % (settings.sectionPeerAttempts + 1)
        if (turn == settings.sectionPeerAttempts) return null
        return state.links.peers.randomOrNull(random) ?: state.links.all.randomOrNull(random)
    }
}
