package org.shallotplank.core.gateway

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.shallotplank.core.ConfigurationVersion
import org.shallotplank.core.CustomerName
import org.shallotplank.core.admission.RefusalReason
import org.shallotplank.core.quarantine.PromptPart
import org.shallotplank.core.work.RequestCost
import org.shallotplank.core.work.RequestSize

/**
 * A request that an entry is asked about and that is not sent.
 *
 * @property customer customer whose request it is, null for a request without a credential.
 * @property priority replaces the priority of the customer, null to leave it.
 * @property timeLeft time for which the caller waits, null if it does not state one.
 */
public data class RequestQuestion(
    val host: String,
    val path: String,
    val customer: CustomerName? = null,
    val priority: Int? = null,
    val timeLeft: Duration? = null,
    val size: RequestSize = RequestSize(),
    val sharedParts: PersistentSet<PromptPart> = persistentSetOf()
)

/**
 * What an entry would do now with a request.
 *
 * @property isReady whether the entry serves; a request that arrives before is held or refused.
 * @property configuration version in force, null before the first one.
 * @property route matching route, null if there is none.
 * @property refusal why the request is refused whatever its service is; null if it is not.
 * @property services services of the route, with the one or those that the request may go to.
 */
public data class RequestExplanation(
    val isReady: Boolean,
    val configuration: ConfigurationVersion?,
    val route: Route?,
    val refusal: GatewayRefusal?,
    val services: List<ServiceExplanation>
)

/**
 * What an entry would do now with a request for the service of [target].
 *
 * @property isDrawn whether the request may go to this service; targets without usable upstreams
 *   are left out of the draw while another one has some.
 * @property priority position among the priorities of the service's requests.
 * @property cost expected work, null if too little is known.
 * @property isByWork whether upstreams of the service are chosen by expected work.
 * @property choice the upstream that would be chosen if the request were admitted now.
 */
public data class ServiceExplanation(
    val target: RouteTarget,
    val isDrawn: Boolean,
    val priority: Int,
    val admission: AdmissionExplanation,
    val cost: RequestCost?,
    val isByWork: Boolean,
    val choice: UpstreamChoice
)

/** What happens to a request when it arrives. */
public enum class AdmissionOutcome { ADMITTED, QUEUED, REFUSED }

/**
 * Admission of a request to the queue of a service.
 *
 * @property refusal why it is refused, null if it is not.
 * @property refusedBy the rule of the queue that refuses it, null if another one does.
 * @property capacity requests that this entry may run at once.
 * @property running requests that it runs.
 * @property waiting requests that wait.
 * @property reserved capacity that the priority of the request leaves free for more urgent ones.
 * @property expectedWait time until the request is expected to start if it has to wait.
 * @property longestWait time within which it has to start.
 */
public data class AdmissionExplanation(
    val outcome: AdmissionOutcome,
    val refusal: GatewayRefusal?,
    val refusedBy: RefusalReason?,
    val capacity: Int,
    val running: Int,
    val waiting: Int,
    val reserved: Int,
    val expectedWait: Duration,
    val longestWait: Duration
)
