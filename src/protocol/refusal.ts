/**
 * Refusals that are sent to callers as problem details.
 *
 * The format follows RFC 9457, "Problem Details for HTTP APIs" (2023), section 3.
 *
 * @module
 */

import { Executed } from "./errors.js";

/** Stable types of refusals. The type's URI is `urn:foxtailrail:problem:` followed by the value. */
export enum RefusalType {
    InvalidRequest = "invalid-request",
    UnknownWorkspace = "unknown-workspace",
    UnknownOperation = "unknown-operation",
    BodyTooLarge = "body-too-large",
    BodyTooSlow = "body-too-slow",
    Overloaded = "overloaded",
    DeadlinePassed = "deadline-passed",
    NoBackendServer = "no-backend-server",
    BackendFailed = "backend-failed",
    KeyConflict = "key-conflict",
    KeyExpired = "key-expired",
    InProgress = "in-progress",
    AlreadyDispatched = "already-dispatched",
    NotReady = "not-ready",
    CallerGone = "caller-gone",
    LogUnavailable = "log-unavailable",
}

/** HTTP status of each type of refusal. */
const STATUS_BY_TYPE: Readonly<Record<RefusalType, number>> = {
    [RefusalType.InvalidRequest]: 400,
    [RefusalType.UnknownWorkspace]: 401,
    [RefusalType.UnknownOperation]: 404,
    [RefusalType.BodyTooLarge]: 413,
    [RefusalType.BodyTooSlow]: 408,
    [RefusalType.Overloaded]: 503,
    [RefusalType.DeadlinePassed]: 504,
    [RefusalType.NoBackendServer]: 503,
    [RefusalType.BackendFailed]: 502,
    [RefusalType.KeyConflict]: 422,
    [RefusalType.KeyExpired]: 422,
    [RefusalType.InProgress]: 409,
    [RefusalType.AlreadyDispatched]: 409,
    [RefusalType.NotReady]: 503,
    [RefusalType.CallerGone]: 499,
    [RefusalType.LogUnavailable]: 503,
};

/** Settings of a {@linkcode Refusal}. */
export interface RefusalSettings {
    /** Whether the request may have been executed. Defaults to `Executed.No`. */
    readonly executed?: Executed;
    /** Time after which the caller may retry, in milliseconds. Omitted when a retry does not help. */
    readonly retryAfterMs?: number;
    /** Invalid field of the request, such as `messages[0].role`. */
    readonly field?: string;
}

/** Error that refuses a request; it is thrown internally and written to the caller as problem details. */
export class Refusal extends Error {
    override readonly name = "Refusal";
    readonly executed: Executed;
    readonly retryAfterMs: number | undefined;
    readonly field: string | undefined;

    /**
     * @param type Stable type.
     * @param detail Sentence that states the field, its value and the remedy.
     * @param settings See {@linkcode RefusalSettings}.
     */
    constructor(readonly type: RefusalType, detail: string, settings: RefusalSettings = {}) {
        super(detail);
        this.executed = settings.executed ?? Executed.No;
        this.retryAfterMs = settings.retryAfterMs;
        this.field = settings.field;
    }

    /** HTTP status code of the refusal. */
    get status(): number {
        return STATUS_BY_TYPE[this.type];
    }

    /** Returns this refusal with another value of `executed`. */
    withExecuted(executed: Executed): Refusal {
        if (executed === this.executed) {
            return this;
        }
        return new Refusal(this.type, this.message, { executed, retryAfterMs: this.retryAfterMs, field: this.field });
    }

    /** Returns the refusal's problem details as JSON text. */
    toProblemDetails(): string {
        return JSON.stringify({
            type: `urn:foxtailrail:problem:${this.type}`,
            title: this.type.replaceAll("-", " "),
            status: this.status,
            detail: this.message,
            executed: this.executed,
            field: this.field,
        });
    }
}
