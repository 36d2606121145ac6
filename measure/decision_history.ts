/**
 * History of what schedulers decided, as seen from outside.
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

/** How a call left the queue. */
export enum Departure {
    Dispatched = "dispatched",
    /** It was refused at arrival, or gave way to a higher tier. */
    Shed = "shed",
    /** It was given up as late, or met its deadline while it waited. */
    Late = "late",
    /** Its caller went away, or no backend server was left for it. */
    Aborted = "gone",
}

/** Stay of one call in one queue. */
export interface QueueRecord {
    readonly id: string;
    readonly node: string;
    readonly pool: string;
    readonly rank: number;
    readonly arrivedAtMs: number;
    leftAtMs: number;
    departure: Departure | undefined;
    /** Backend server that it was sent to. */
    server?: string;
}

/** Stays of all calls on all nodes, and the times between tokens. */
export class DecisionHistory {
    readonly records: QueueRecord[] = [];
    /** Times between two tokens, in milliseconds. */
    readonly interTokenTimesMs: number[] = [];
}

/** Scheduler that records what another one decides. */
export class RecordingScheduler extends Scheduler {
    /**
     * @param node Node whose decisions these are.
     * @param inner Scheduler that decides.
     * @param clock Clock of the record.
     * @param history Where the record goes.
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

/** Assignment whose times between tokens are recorded. */
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
