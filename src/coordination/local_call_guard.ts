/**
 * Guard that knows the calls of this node only.
 *
 * @module
 */

import { createHash } from "node:crypto";
import { type AcceptedCall, Executed, Refusal, RefusalType, type ServiceAnswer } from "../protocol/mod.js";
import { Semantics } from "../state/mod.js";
import { CallGuard, CallPass } from "./call_guard.js";

/** Keys that a node remembers; the oldest is forgotten first. */
const MAX_REMEMBERED_KEYS = 100_000;

/** Time after which a caller may ask again for a call that still runs, in milliseconds. */
const IN_PROGRESS_RETRY_AFTER_MS = 1_000;

/** What is known of a key. */
class KeyEntry {
    running = true;
    dispatched = false;
    answer: ServiceAnswer | undefined;

    constructor(readonly digest: string) {}
}

/** Remembers keys in memory, for one node that runs alone. */
export class LocalCallGuard extends CallGuard {
    private readonly entries = new Map<string, KeyEntry>();

    override async enter(call: AcceptedCall): Promise<CallPass> {
        const { idempotencyKey } = call.incoming;
        if (idempotencyKey === undefined || call.operation.semantics === Semantics.Repeatable) {
            return new LocalCallPass(call.operation.semantics, new KeyEntry(""), () => undefined);
        }
        const name = JSON.stringify([call.workspace.name, call.operation.name, idempotencyKey]);
        const digest = createHash("sha256").update(call.incoming.body).digest("hex");
        const known = this.entries.get(name);
        if (known === undefined) {
            const entry = new KeyEntry(digest);
            this.remember(name, entry);
            return new LocalCallPass(call.operation.semantics, entry, () => this.entries.delete(name));
        }
        return this.enterAgain(call, known, digest);
    }

    private enterAgain(call: AcceptedCall, entry: KeyEntry, digest: string): CallPass {
        if (entry.digest !== digest) {
            throw new Refusal(RefusalType.KeyConflict, 'Header "idempotency-key" was used with another body. Send a new key.', {
                field: "idempotency-key",
            });
        }
        if (entry.running) {
            throw new Refusal(RefusalType.InProgress, "A call of this key is still running. Try again.", {
                executed: Executed.Unknown,
                retryAfterMs: IN_PROGRESS_RETRY_AFTER_MS,
            });
        }
        if (entry.answer === undefined) {
            throw new Refusal(RefusalType.AlreadyDispatched, "A call of this key was dispatched already; it is not sent again.", {
                executed: Executed.Unknown,
            });
        }
        return new LocalCallPass(call.operation.semantics, entry, () => undefined);
    }

    private remember(name: string, entry: KeyEntry): void {
        if (this.entries.size >= MAX_REMEMBERED_KEYS) {
            const [oldest] = this.entries.keys();
            this.entries.delete(oldest);
        }
        this.entries.set(name, entry);
    }
}

/** Pass of one call on one node. */
class LocalCallPass extends CallPass {
    override readonly recorded: ServiceAnswer | undefined;

    constructor(private readonly semantics: Semantics, private readonly entry: KeyEntry, private readonly forget: () => void) {
        super();
        this.recorded = entry.answer;
    }

    override tryDispatch(): boolean {
        if (this.entry.dispatched && this.semantics !== Semantics.Repeatable) {
            return false;
        }
        this.entry.dispatched = true;
        return true;
    }

    override dispatchNotSent(): void {
        this.entry.dispatched = false;
    }

    override async complete(answer: ServiceAnswer | undefined): Promise<void> {
        this.entry.running = false;
        this.entry.answer = this.semantics === Semantics.RunOnce ? answer : undefined;
    }

    override async fail(executed: Executed): Promise<void> {
        this.entry.running = false;
        if (executed === Executed.No) {
            this.forget();
        }
    }
}
