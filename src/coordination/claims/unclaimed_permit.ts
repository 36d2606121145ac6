/**
 * Pass of a call that no other node can know.
 *
 * @module
 */

import type { Executed } from "../../protocol/mod.js";
import { Semantics } from "../../state/mod.js";
import { DispatchDecision, DispatchPermit } from "../dispatch_guard.js";

/** Counts the dispatches of a call that is repeatable or has no key. */
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
        // The right is never pending.
    }

    override cancelDispatch(): void {
        this.dispatched = false;
    }

    override async complete(): Promise<void> {
        // Nobody can ask again for this very call.
    }

    override async fail(executed: Executed): Promise<Executed> {
        return executed;
    }
}
