/**
 * Dispatch permit for a call that is not claimed in the log.
 *
 * @module
 */

import type { Executed } from "../../protocol/mod.js";
import { Semantics } from "../../state/mod.js";
import { DispatchDecision, DispatchPermit } from "../dispatch_guard.js";

/** Permit for a call that is repeatable or has no key; it limits dispatches within this call only. */
export class UnclaimedPermit extends DispatchPermit {
    private dispatched = false;

    /** @param semantics How often the call may be dispatched. */
    constructor(private readonly semantics: Semantics) {
        super();
    }

    override async tryAcquire(): Promise<DispatchDecision> {
        if (this.dispatched && this.semantics !== Semantics.Repeatable) {
            return DispatchDecision.AlreadyDispatched;
        }
        this.dispatched = true;
        return DispatchDecision.Granted;
    }

    override async awaitDecision(): Promise<void> {
        // The decision is never pending.
    }

    override cancelDispatch(): void {
        this.dispatched = false;
    }

    override async complete(): Promise<void> {
        // Without a key, no later call can ask for this answer.
    }

    override async fail(executed: Executed): Promise<Executed> {
        return executed;
    }
}
