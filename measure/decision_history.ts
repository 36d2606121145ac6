/**
 * Records of scheduling decisions, taken at the interface of the scheduler.
 *
 * @module
 */

import {
    Assignment,
    type AssignSettings,
    type DispatchResult,
    Scheduler,
    ShedReason,
    ShedRefusal,
} from "../src/coordination/mod.js";
import { type AcceptedCall, DEADLINE_PASSED, type EngineEnd } from "../src/protocol/mod.js";
import type { BackendServer, Clock } from "../src/state/mod.js";

/** Reason why a call left the queue. */
export enum Departure {
    /** It was sent to a backend server. */
    Dispatched = "dispatched",
    /** It was rejected on arrival, or shed to make room for a higher tier. */
    Shed = "shed",
    /** It was shed because it could no longer meet its objectives, or its deadline passed while it waited. */
    Late = "late",
    /** Its caller disconnected, or no backend server was left for it. */
    Aborted = "gone",
}

/** Arrival and departure of one call at the queue of one node. */
export interface QueueRecord {
    readonly id: string;
    readonly node: string;
    readonly pool: string;
    /** Rank of the call's tier; 0 is the highest tier. */
    readonly rank: number;
    readonly arrivedAtMs: number;
    /** `Infinity` while the call waits. */
    leftAtMs: number;
    /** `undefined` while the call waits. */
    departure: Departure | undefined;
    /** Id of the backend server that the call was dispatched to. */
    server?: string;
}

/** Queue records of all calls on all nodes, and the inter-token times of their answers. */
export class DecisionHistory {
    readonly records: QueueRecord[] = [];
    /** Times between consecutive tokens of an answer, in milliseconds. */
    readonly interTokenTimesMs: number[] = [];
}

/** Decorates a scheduler and records its decisions. */
export class RecordingScheduler extends Scheduler {
    /**
     * @param node Id of the scheduler's node.
     * @param inner Scheduler whose decisions are recorded.
     * @param clock Clock that timestamps the records.
     * @param history Destination of the records.
     */
    constructor(
        private readonly node: string,
        readonly inner: Scheduler,
        private readonly clock: Clock,
        private readonly history: DecisionHistory,
    ) {
        super();
    }

    override async assign(call: AcceptedCall, settings: AssignSettings): Promise<Assignment> {
        const record: QueueRecord = {
            id: call.incoming.id,
            node: this.node,
            pool: call.operation.pool,
            rank: call.tier.rank,
            arrivedAtMs: this.clock.now(),
            leftAtMs: Infinity,
            departure: undefined,
        };
        this.history.records.push(record);
        try {
            const assignment = await this.inner.assign(call, settings);
            record.departure = Departure.Dispatched;
            record.server = assignment.server.vm.id;
            return new RecordedAssignment(assignment, this.clock, this.history);
        }
        catch (error) {
            record.departure = departureOf(error, call, settings);
            throw error;
        }
        finally {
            record.leftAtMs = this.clock.now();
        }
    }

    override run(signal: AbortSignal): Promise<void> {
        return this.inner.run(signal);
    }
}

/** Decorates an assignment and records its inter-token times. */
class RecordedAssignment extends Assignment {
    private lastTokenMs: number | undefined;

    constructor(private readonly inner: Assignment, private readonly clock: Clock, private readonly history: DecisionHistory) {
        super();
        inner.onFirstTokenOverdue = () => this.onFirstTokenOverdue();
    }

    override get server(): BackendServer {
        return this.inner.server;
    }

    override recordToken(): void {
        const nowMs = this.clock.now();
        if (this.lastTokenMs !== undefined) {
            this.history.interTokenTimesMs.push(nowMs - this.lastTokenMs);
        }
        this.lastTokenMs = nowMs;
        this.inner.recordToken();
    }

    override recordEnd(end: EngineEnd): void {
        this.inner.recordEnd(end);
    }

    override release(result: DispatchResult): void {
        this.inner.release(result);
    }
}

function departureOf(error: unknown, call: AcceptedCall, settings: AssignSettings): Departure {
    if (settings.signal.aborted) {
        return call.incoming.abortController.signal.reason === DEADLINE_PASSED ? Departure.Late : Departure.Aborted;
    }
    if (error instanceof ShedRefusal) {
        return error.reason === ShedReason.Late ? Departure.Late : Departure.Shed;
    }
    return Departure.Aborted;
}
