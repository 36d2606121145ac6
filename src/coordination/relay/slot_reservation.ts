/**
 * Place of a call at a backend server.
 *
 * @module
 */

import type { RelayRoute, RelayServer } from "../../state/relay/mod.js";
import type { PlacementRecord } from "./call_record.js";
import type { CallOutcome, InFlightCall, ServerState } from "./server_state.js";
import type { WaitLimits } from "./wait_limits.js";

/** Expected times to the first event from which on a call counts as slow; healthy engines differ less than this. */
const SLOW_FACTOR = 3.5;

/** Call that asks for a place. */
export interface SlotRequest {
    readonly id: string;
    readonly route: RelayRoute;
    readonly workspaceRank: number;
    readonly arrivedAtMs: number;
    /** Time until which the caller waits, in milliseconds since the Unix epoch. */
    readonly deadlineAtMs: number;
    readonly waitLimits: WaitLimits;
    readonly promptTokens: number;
    readonly expectedEvents: number;
    /** Last part of the prompt, which later calls may share. */
    readonly promptPartId: string | undefined;
    readonly excluded: ReadonlySet<string>;
    /** Ends the wait when aborted. */
    readonly signal: AbortSignal;
}

/** Why a call got no place. */
export enum NoSlotReason {
    /** Its time to wait ran out. */
    Overdue = "overdue",
    /** Its caller left, or its deadline came. */
    Ended = "ended",
}

/** Call that was given up while it waited; it has not run. */
export class NoSlotError extends Error {
    override readonly name = "NoPlaceError";

    /**
     * @param service Service whose place was asked for.
     * @param reason Why there was none.
     */
    constructor(readonly service: string, readonly reason: NoSlotReason) {
        super(`Cannot place a call of service ${service}: ${reason}`);
    }
}

/** Place at a server; given back when the call ends. */
export class SlotReservation {
    /**
     * @param state Server that the place is at.
     * @param inFlightCall Call as the server's figures know it.
     * @param expectedMs Time to the first event that is expected, in milliseconds.
     * @param onRelease Told when the place is free.
     */
    constructor(
        readonly state: ServerState,
        private readonly inFlightCall: InFlightCall,
        private readonly expectedMs: number,
        private readonly onRelease: () => void,
    ) {}

    /** What decided the place. */
    get record(): Omit<PlacementRecord, "waitedMs"> {
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
        return this.inFlightCall.slowdown > SLOW_FACTOR;
    }

    /** Records the first event of a stream or the whole of a plain answer. */
    recordFirstEvent(): void {
        this.state.recordFirstEvent(this.inFlightCall);
    }

    /** Records further events of a stream. */
    recordEvents(count: number): void {
        this.state.recordEvents(this.inFlightCall, count);
    }

    /** Gives the place back; only the first call counts. */
    release(outcome: CallOutcome): void {
        this.state.finishCall(this.inFlightCall, outcome);
        this.onRelease();
    }
}
