/**
 * Place of a call at a backend server.
 *
 * @module
 */

import type { RelayRoute, RelayServer } from "../../state/relay/mod.js";
import type { PlaceRecord } from "./call_record.js";
import type { Patience } from "./patience.js";
import type { CallOutcome, CallUnderWay, ServerState } from "./server_state.js";

/** Expected times to the first event from which on a call counts as slow; healthy engines differ less than this. */
const SLOW_FACTOR = 3.5;

/** Call that asks for a place. */
export interface PlaceRequest {
    readonly id: string;
    readonly route: RelayRoute;
    readonly workspaceRank: number;
    readonly arrivedAtMs: number;
    /** Time until which the caller waits, in milliseconds since the Unix epoch. */
    readonly deadlineAtMs: number;
    readonly patience: Patience;
    readonly promptTokens: number;
    readonly expectedEvents: number;
    /** Last part of the prompt, which later calls may share. */
    readonly partId: string | undefined;
    readonly excluded: ReadonlySet<string>;
    /** Ends the wait when aborted. */
    readonly signal: AbortSignal;
}

/** Why a call got no place. */
export enum NoPlaceReason {
    /** Its time to wait ran out. */
    Overdue = "overdue",
    /** Its caller left, or its deadline came. */
    Ended = "ended",
}

/** Call that was given up while it waited; it has not run. */
export class NoPlaceError extends Error {
    override readonly name = "NoPlaceError";

    /**
     * @param service Service whose place was asked for.
     * @param reason Why there was none.
     */
    constructor(readonly service: string, readonly reason: NoPlaceReason) {
        super(`Cannot place a call of service ${service}: ${reason}`);
    }
}

/** Place at a server; given back when the call ends. */
export class Place {
    /**
     * @param state Server that the place is at.
     * @param underWay Call as the server's figures know it.
     * @param expectedMs Time to the first event that is expected, in milliseconds.
     * @param onRelease Told when the place is free.
     */
    constructor(
        readonly state: ServerState,
        private readonly underWay: CallUnderWay,
        private readonly expectedMs: number,
        private readonly onRelease: () => void,
    ) {}

    /** What decided the place. */
    get record(): Omit<PlaceRecord, "waitedMs"> {
        const { state, expectedMs } = this;
        const { ownCalls, allCalls } = state;
        return { server: state.server.id, expectedMs: Math.round(expectedMs), ownCalls, peerCalls: allCalls - ownCalls };
    }

    /** Server that the place is at. */
    get server(): RelayServer {
        return this.state.server;
    }

    /** Whether the first event took several times as long as a typical server of the service takes. */
    get wasSlow(): boolean {
        return this.underWay.slowness > SLOW_FACTOR;
    }

    /** Records the first event of a stream or the whole of a plain answer. */
    recordFirstEvent(): void {
        this.state.recordFirstEvent(this.underWay);
    }

    /** Records further events of a stream. */
    recordEvents(count: number): void {
        this.state.recordEvents(this.underWay, count);
    }

    /** Gives the place back; only the first call counts. */
    release(outcome: CallOutcome): void {
        this.state.finish(this.underWay, outcome);
        this.onRelease();
    }
}
