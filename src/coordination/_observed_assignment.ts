/**
 * Assignment wrapper that measures an attempt.
 *
 * @module
 */

import type { EngineEnd } from "../protocol/mod.js";
import type { BackendServer, Clock, LoadReport } from "../state/mod.js";
import type { AttemptObserver } from "./attempt_observer.js";
import { Assignment, DispatchResult } from "./scheduler.js";

/** Properties of the call that an attempt belongs to. */
export interface AttemptContext {
    readonly pool: string;
    readonly operation: string;
    /** Returns whether the deadline of the call has passed; distinguishes a timeout from a caller that disconnected. */
    readonly isDeadlinePassed: () => boolean;
}

/** Delegates to another assignment and reports the result of the attempt to an observer. */
export class ObservedAssignment extends Assignment {
    override readonly server: BackendServer;
    private readonly startMs: number;
    private readonly serverLoad: number;
    private lastTokenMs: number | undefined;
    private firstTokenMs: number | undefined;
    private longestGapMs: number | undefined;
    private readonly report: LoadReport | undefined;
    private released = false;

    /**
     * @param inner Assignment to delegate to.
     * @param context Call that the attempt belongs to.
     * @param observer Receives the result of the attempt.
     * @param clock Clock that timestamps the tokens.
     */
    constructor(
        private readonly inner: Assignment,
        private readonly context: AttemptContext,
        private readonly observer: AttemptObserver,
        private readonly clock: Clock,
    ) {
        super();
        this.server = inner.server;
        this.startMs = clock.now();
        const { report, outstanding } = this.server;
        this.report = report;
        this.serverLoad = Math.max(outstanding - 1, report === undefined ? 0 : report.running + report.waiting);
    }

    override recordToken(): void {
        const nowMs = this.clock.now();
        this.firstTokenMs ??= nowMs - this.startMs;
        if (this.lastTokenMs !== undefined) {
            this.longestGapMs = Math.max(this.longestGapMs ?? 0, nowMs - this.lastTokenMs);
        }
        this.lastTokenMs = nowMs;
        this.inner.recordToken();
    }

    override recordEnd(end: EngineEnd): void {
        this.inner.recordEnd(end);
    }

    override release(result: DispatchResult): void {
        this.inner.release(result);
        const { report } = this;
        const callerDisconnected = result === DispatchResult.Abandoned && !this.context.isDeadlinePassed();
        if (this.released || callerDisconnected || report === undefined) {
            return;
        }
        this.released = true;
        const completed = result === DispatchResult.Completed;
        this.observer.recordAttempt({
            pool: this.context.pool,
            operation: this.context.operation,
            version: report.version,
            engineClass: report.engineClass,
            serverLoad: this.serverLoad,
            completed,
            firstTokenMs: this.firstTokenMs ?? (completed ? this.clock.now() - this.startMs : undefined),
            longestGapMs: this.longestGapMs,
        });
    }
}
