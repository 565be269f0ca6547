package org.shallotplank.core.protocol

import org.shallotplank.core.agent.AgentEffect
import org.shallotplank.core.execution.ExecutionRecord
import org.shallotplank.core.execution.ReadOutcome
import org.shallotplank.core.execution.RecordKey
import org.shallotplank.core.execution.WriteOutcome

/** Fake of the platform's table, with conditional writes and outages. */
internal class FakeTable(private val mutation: Mutation) {
    private class Item(val version: Long, val record: ExecutionRecord)

    private val items = mutableMapOf<RecordKey, Item>()
    var isOut = false

    fun read(key: RecordKey): ReadOutcome {
        if (isOut) return ReadOutcome.Unavailable
        val item = items[key]
        return ReadOutcome.Found(item?.version ?: 0, item?.record)
    }

    fun write(effect: AgentEffect.WriteRecord): WriteOutcome {
        val present = items[effect.key]
        val version = present?.version ?: 0
        val isExpected = version == effect.expectedVersion
        if (!isExpected && mutation != Mutation.UNCONDITIONAL_WRITES) {
            return WriteOutcome.Conflict(version, present?.record)
        }
        items[effect.key] = Item(version + 1, effect.record)
        return WriteOutcome.Written(version + 1)
    }
}

/** Deliberate faults of the simulation, which prove that the fuzz detects them. */
internal enum class Mutation {
    NONE,

    /** The table accepts each write, regardless of the expected version. */
    UNCONDITIONAL_WRITES
}
