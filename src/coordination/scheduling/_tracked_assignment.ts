/**
 * Assignment that reports the progress of its call, to keep the window, the cost model and the prefix index up to date.
 *
 * @module
 */

import type { AcceptedCall, EngineEnd } from "../../protocol/mod.js";
import type { BackendServer } from "../../state/mod.js";
import { Assignment, type DispatchResult } from "../scheduler.js";
import type { OutstandingCall, ServerWindow } from "./server_window.js";

/** Receives the progress of assignments. */
export interface AssignmentListener {
    /** Called for each token; `first` is set for the first one. */
    onToken(assignment: TrackedAssignment, first: boolean): void;
    /** Called when the answer is complete. */
    onEnd(assignment: TrackedAssignment, end: EngineEnd): void;
    /** Called once, when the assignment is released. */
    onRelease(assignment: TrackedAssignment, result: DispatchResult): void;
}

/** Assignment of one call, counted in the window of its backend server. */
export class TrackedAssignment extends Assignment {
    /** Whether the holder was notified that the call is overdue. */
    overdueNotified = false;
    private released = false;

    /**
     * @param call Call to send.
     * @param outstanding Outstanding work of the call.
     * @param window Window of the backend server.
     * @param listener Receives the progress of the assignment.
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
