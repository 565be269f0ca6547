package org.shallotplank.integrationtest

import kotlinx.serialization.Serializable
import org.shallotplank.core.Instance

/** Body of `PUT /table/{key}`. */
@Serializable
internal data class PutRequest(val expectedVersion: Long, val value: String)

/** Answer to a write that took effect. */
@Serializable
internal data class PutAnswer(val key: String, val version: Long)

/** Body of `POST /table`. */
@Serializable
internal data class TransactionRequest(val writes: List<ConditionalWrite>)

/** Answer to a transaction that took effect. */
@Serializable
internal data class TransactionAnswer(val versions: List<Long>)

/** Answer to a transaction that did not take effect. */
@Serializable
internal data class TransactionConflict(val conflicts: List<TableItem>)

/** Answer of `GET /table`. */
@Serializable
internal data class TableItems(val items: List<TableItem>)

/** Answer of `GET /instances`. */
@Serializable
internal data class InstanceList(val instances: List<Instance>)

/** Body of `POST /faults` at the platform; absent fields leave their faults unchanged. */
@Serializable
internal data class PlatformFaults(
    val outage: Boolean? = null,
    val slowMillis: Long? = null,
    val loseAnswers: Int? = null,
    val instanceLagMillis: Long? = null
)

/** Answer of `GET /stats` at the platform. */
@Serializable
internal data class PlatformStats(
    val reads: Long = 0,
    val writes: Long = 0,
    val lostAnswers: Long = 0
)
