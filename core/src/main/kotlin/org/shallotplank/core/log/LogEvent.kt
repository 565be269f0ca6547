package org.shallotplank.core.log

/** Severity of a log event. */
public enum class Severity { DEBUG, INFO, WARN, ERROR }

/**
 * All log events.
 *
 * Numbers are never reused. Events of entries have numbers 1xxx, of agents 2xxx, of the
 * configuration 3xxx, of rank groups and placement 4xxx, of gateway entries 5xxx, and events that
 * any process may log 9xxx.
 */
public enum class LogEvent(
    public val number: Int,
    public val severity: Severity,
    /** Text of the log line that says what happened. */
    public val summary: String
) {
    UPSTREAM_CHOSEN(1001, Severity.INFO, "upstream chosen"),
    NO_UPSTREAM(1002, Severity.WARN, "no upstream can take the request"),
    ATTEMPT_FAILED(1003, Severity.WARN, "attempt ended without a whole answer"),
    CALL_ANSWERED(1004, Severity.INFO, "request answered in full"),
    CALL_REFUSED(1005, Severity.INFO, "request refused"),
    CALL_CUT(1006, Severity.WARN, "answer cut; the connection is closed without an end"),
    CALLER_GONE(1007, Severity.INFO, "caller left before the end of the answer"),
    REPLY_IGNORED(1008, Severity.WARN, "reply belongs to no open attempt; ignored"),
    REQUEST_QUARANTINED(1009, Severity.WARN, "request crashed upstreams; not run again"),
    AGENT_CONNECTED(1010, Severity.INFO, "connected to agent"),
    AGENT_DISCONNECTED(1011, Severity.WARN, "connection to agent lost"),
    CALL_REJECTED(1012, Severity.INFO, "request rejected for a fault of the caller"),
    ATTEMPT_STARTED(2001, Severity.INFO, "request handed to the upstream"),
    ATTEMPT_QUEUED(2002, Severity.INFO, "request waits for the upstream"),
    ATTEMPT_REFUSED(2003, Severity.INFO, "request refused by the agent"),
    ATTEMPT_ENDED(2004, Severity.INFO, "upstream ended the request"),
    LIMIT_CHANGED(2005, Severity.INFO, "concurrency limit changed"),
    OFFER_IGNORED(2006, Severity.WARN, "offer was seen before; ignored"),
    ENTRY_CONNECTED(2007, Severity.INFO, "entry connected"),
    ENTRY_DISCONNECTED(2008, Severity.INFO, "connection of entry closed"),
    CLAIM_UNRESOLVED(2009, Severity.WARN, "claim abandoned; it will be released"),
    CONFIGURATION_IN_FORCE(3001, Severity.INFO, "configuration in force"),
    CONFIGURATION_UNAVAILABLE(3002, Severity.WARN, "table service did not give the configuration"),
    GROUP_STAGE(4001, Severity.INFO, "change of an expert map entered a stage"),
    GROUP_ORDER_ANSWERED(4002, Severity.INFO, "order to a rank was answered"),
    GROUP_MAP_PLANNED(4003, Severity.INFO, "better expert map found"),
    GROUP_MAP_IN_FORCE(4004, Severity.INFO, "expert map in force on all ranks"),
    GROUP_FORMED_ANEW(4005, Severity.WARN, "rank group was re-formed or is no longer formed"),
    GROUP_LEASE(4006, Severity.INFO, "claim or update of a rank group's lease sent to the store"),
    GROUP_KEEPING(4007, Severity.INFO, "keeping of a rank group began or ended"),
    GATEWAY_REJECTED(5001, Severity.INFO, "request ended before admission"),
    GATEWAY_QUEUED(5002, Severity.INFO, "request queued"),
    GATEWAY_SENT(5003, Severity.INFO, "attempt sent to an upstream"),
    GATEWAY_ATTEMPT_FAILED(5004, Severity.WARN, "attempt ended without its answer"),
    GATEWAY_ANSWERED(5005, Severity.INFO, "answer of an upstream delivered whole"),
    GATEWAY_REFUSED(5006, Severity.WARN, "request ended without an upstream's answer"),
    GATEWAY_CUT(5007, Severity.WARN, "answer broken off; the connection closes without its end"),
    GATEWAY_CALLER_LEFT(5008, Severity.INFO, "caller closed its connection before the end"),
    GATEWAY_UPSTREAM_CRASHED(5009, Severity.WARN, "upstream went down while it ran requests"),
    GATEWAY_UPSTREAM_CHANGED(5010, Severity.INFO, "list of upstreams changed"),
    GATEWAY_ZONES_CHANGED(5011, Severity.INFO, "zones out of service changed"),
    GATEWAY_ROUTES_IN_FORCE(5012, Severity.INFO, "routes in force"),
    GATEWAY_READINESS(5013, Severity.INFO, "readiness changed"),
    GATEWAY_PEER_CHANGED(5014, Severity.INFO, "another entry changed its state"),
    STORE_LOST(5015, Severity.WARN, "store does not answer"),
    STORE_REGAINED(5016, Severity.INFO, "store answers again"),
    STORE_ROW_UNREADABLE(5017, Severity.WARN, "row of the store cannot be read; ignored"),
    CALLER_MESSAGE_INVALID(5018, Severity.INFO, "message of a caller cannot be taken"),
    LINES_LEFT_OUT(5019, Severity.WARN, "log lines left out to bound the volume"),
    SETTINGS_RELOADED(5020, Severity.INFO, "settings read again"),
    GATEWAY_UPSTREAM_LEAVING(5021, Severity.INFO, "upstream announced that it is leaving"),
    GATEWAY_UPSTREAM_PAUSED(5022, Severity.INFO, "upstream asked for a pause"),
    GATEWAY_CRASH_LEARNED(5023, Severity.WARN, "another entry saw a request crash an upstream"),
    GATEWAY_PROMPT_PARTS_REFUSED(5024, Severity.WARN, "prompt parts crash upstreams; refused"),
    GATEWAY_UPSTREAM_LIMITED(5025, Severity.INFO, "upstream named a limit on its requests"),
    STORE_TABLE_READ(5026, Severity.INFO, "whole table read from the store"),
    STORE_TABLE_COPIED(5027, Severity.INFO, "table copied from another entry"),
    GATEWAY_ROUTES_IGNORED(5028, Severity.WARN, "routes older than those in force; ignored"),
    STORE_RESTORED(5029, Severity.WARN, "store was restored from a copy"),
    GATEWAY_ANSWER_SKIPPED(5030, Severity.WARN, "answer to another request skipped"),
    GATEWAY_STATE_RETAINED(5031, Severity.INFO, "state that outlives the process was written"),
    GATEWAY_HUB_CHANGED(5040, Severity.INFO, "entry gets the reports of others in another way"),
    GATEWAY_UPSTREAM_SLOW(5041, Severity.WARN, "slow upstream gets fewer requests or none"),
    GATEWAY_UPSTREAM_RECOVERED(5042, Severity.INFO, "upstream gets all its requests again"),
    GATEWAY_STREAM_MOVED(5043, Severity.INFO, "stream moved away from a slow upstream"),
    CALLERS_SHED(5050, Severity.WARN, "callers refused or closed to bound what they hold"),
    PROCESS_STARTED(9001, Severity.INFO, "process started"),
    PROCESS_DRAINING(9002, Severity.INFO, "process stops taking work"),
    PROCESS_STOPPED(9003, Severity.INFO, "process stopped"),
    AUTHENTICATION_FAILED(9004, Severity.WARN, "peer was refused: wrong or missing credentials"),
    INSTANCE_LIST_UNAVAILABLE(9005, Severity.WARN, "platform did not give the instance list"),
    INTERNAL_ERROR(9006, Severity.ERROR, "unexpected error")
}
