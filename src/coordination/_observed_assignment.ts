/**
 * Assignment whose attempt is measured.
 *
 * @module
 */

import type { EngineEnd } from "../protocol/mod.js";
import type { BackendServer, Clock, LoadReport } from "../state/mod.js";
import type { AttemptObserver } from "./attempt_observer.js";
import { Assignment, DispatchResult } from "./scheduler.js";

/** What an attempt belongs to. */
export interface AttemptContext {
    readonly pool: string;
    readonly operation: string;
    /** Whether the time ran out, rather than that the caller went away. */
    readonly isDeadlinePassed: () => boolean;
}

/** Passes everything on to another assignment and tells an observer how the attempt went. */
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
     * @param inner Assignment of the scheduler.
     * @param context What the attempt belongs to.
     * @param observer Is told of the attempt.
     * @param clock Clock to measure by.
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
        const abandoned = result === DispatchResult.Abandoned && !this.context.isDeadlinePassed();
        if (this.released || abandoned || report === undefined) {
            return;
        }
        this.released = true;
        const whole = result === DispatchResult.Completed;
        this.observer.recordAttempt({
            pool: this.context.pool,
            operation: this.context.operation,
            version: report.version,
            engineClass: report.engineClass,
            serverLoad: this.serverLoad,
            whole,
            firstTokenMs: this.firstTokenMs ?? (whole ? this.clock.now() - this.startMs : undefined),
            longestGapMs: this.longestGapMs,
        });
    }
}
