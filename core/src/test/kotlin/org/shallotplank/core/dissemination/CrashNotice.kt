package org.shallotplank.core.dissemination

import kotlin.time.Instant
import org.shallotplank.core.AttemptId
import org.shallotplank.core.CustomerName
import org.shallotplank.core.quarantine.RequestFingerprint

/** A notice that an upstream crashed while it ran a request whose body hash is [bodySha256]. */
internal fun crashNotice(bodySha256: String, expiresAt: Instant): Notice = Notice.Crashed(
    fingerprint = RequestFingerprint(CustomerName("office"), bodySha256),
    attempt = AttemptId("attempt"),
    at = expiresAt,
    expiresAt = expiresAt
)
