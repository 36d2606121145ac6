/**
 * Assignment that keeps a window, the cost model and the prefix index up to date.
 *
 * @module
 */

import type { AcceptedCall, EngineEnd } from "../../protocol/mod.js";
import type { BackendServer } from "../../state/mod.js";
import { Assignment, type DispatchResult } from "../scheduler.js";
import type { OutstandingCall, ServerWindow } from "./server_window.js";

/** Is told of the course of assignments. */
export interface AssignmentListener {
    /** A token came, the first one if `first`. */
    onToken(assignment: TrackedAssignment, first: boolean): void;
    /** The whole answer came. */
    onEnd(assignment: TrackedAssignment, end: EngineEnd): void;
    /** The assignment was released. */
    onRelease(assignment: TrackedAssignment, result: DispatchResult): void;
}

/** Right to send one call, counted in the window of its backend server. */
export class TrackedAssignment extends Assignment {
    /** Whether the holder was told that the first token is overdue. */
    overdueNotified = false;
    private released = false;

    /**
     * @param call Call that is sent.
     * @param outstanding Its work.
     * @param window Window of the backend server.
     * @param listener Is told of each step.
     */
    constructor(
        readonly call: AcceptedCall,
        readonly outstanding: OutstandingCall,
        readonly window: ServerWindow,
        private readonly listener: AssignmentListener,
    ) {
        super();
    }

    override get server(): BackendServer {
        return this.window.server;
    }

    override recordToken(): void {
        if (!this.released) {
            this.listener.onToken(this, !this.outstanding.started);
        }
    }

    override recordEnd(end: EngineEnd): void {
        this.listener.onEnd(this, end);
    }

    override release(result: DispatchResult): void {
        if (this.released) {
            return;
        }
        this.released = true;
        this.listener.onRelease(this, result);
    }
}
