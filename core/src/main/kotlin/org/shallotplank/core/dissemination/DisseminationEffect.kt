package org.shallotplank.core.dissemination

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import org.shallotplank.core.InstanceId

/** Side effects that [Dissemination] requests from the runtime. */
public sealed interface DisseminationEffect {
    /** Read the manifest's key and report the result as [DisseminationEvent.TableRead]. */
    public data class ReadTable(val readId: Long) : DisseminationEffect

    /** Send [message] to [to]; it may be dropped if there is no connection. */
    public data class Send(val to: InstanceId, val message: PeerMessage) : DisseminationEffect

    /**
     * Read the object [sha256] from the object store and report the result as
     * [DisseminationEvent.SectionFetched].
     */
    public data class FetchSection(val sha256: Sha256) : DisseminationEffect

    /**
     * Use [manifest] from now on; emitted at most once per version, in rising order.
     *
     * [contents] holds the content of each section that this process needs, by name.
     */
    public data class ConfigurationInForce(
        val manifest: Manifest,
        val contents: PersistentMap<SectionName, String>
    ) : DisseminationEffect

    /** Start or stop taking new work. */
    public data class ReadinessChanged(val isReady: Boolean) : DisseminationEffect

    /** Apply [notices], which are new to this process or expire later than before. */
    public data class NoticesLearned(val notices: PersistentList<Notice>) : DisseminationEffect
}
