/**
 * Reservation of a slot at a backend server for a call.
 *
 * @module
 */

import type { Homes, RelayRoute, RelayServer } from "../../state/relay/mod.js";
import type { PlacementRecord } from "./call_record.js";
import type { AttemptOutcome } from "./server_call_observer.js";
import type { InFlightCall, ServerState } from "./server_state.js";
import type { ServerSpeed } from "./stop_deadline.js";
import type { WaitLimits } from "./wait_limits.js";

/** Request for a slot. */
export interface SlotRequest {
    readonly id: string;
    readonly route: RelayRoute;
    /** Rank of the workspace; 0 is the highest priority. */
    readonly workspaceRank: number;
    /** Name of the workspace; `undefined` for a public call. */
    readonly workspace?: string | undefined;
    /** Arrival, in milliseconds since the Unix epoch. */
    readonly arrivedAtMs: number;
    /** Time until which the caller waits, in milliseconds since the Unix epoch. */
    readonly deadlineAtMs: number;
    readonly waitLimits: WaitLimits;
    readonly promptTokens: number;
    readonly expectedEvents: number;
    /** Id of the last part of the prompt, which later calls may share. */
    readonly promptPartId: string | undefined;
    /** Servers that must not be chosen because earlier attempts failed there. */
    readonly excludedServers: ReadonlySet<string>;
    /** Regions to which the call is confined; `undefined` if to none. */
    readonly homes?: Homes | undefined;
    /** Whether a peer can take the call if this node reaches no server. */
    readonly mayLeave: () => boolean;
    /** Cancels the request when aborted. */
    readonly signal: AbortSignal;
    /** Whether this node stops before the call could be answered. */
    readonly isTooLateForStop: () => boolean;
}

/** Why a call got no slot. */
export enum NoSlotReason {
    /** It exceeded its wait limit, or is late while late calls are refused. */
    Overdue = "overdue",
    /** Its workspace is above its share of the slots, and others need them. */
    ShareSpent = "shareSpent",
    /** This node reaches no server of the service, and a peer can take the call. */
    OutOfReach = "outOfReach",
    /** This node stops before the call could be answered. */
    Stopping = "stopping",
    /** Its caller disconnected, or its deadline passed. */
    Ended = "ended",
    /** All servers that it may be sent to are in emptied failure domains. */
    Emptied = "emptied",
    /** No server is in a region to which it is confined. */
    Homes = "homes",
}

/** Thrown when a waiting call gets no slot; this attempt was not sent. */
export class NoSlotError extends Error {
    override readonly name = "NoSlotError";

    /**
     * @param service Service of which a slot was requested.
     * @param reason Why there was none.
     * @param retryAtMs Time before which no server may be asked, in milliseconds since the Unix epoch.
     */
    constructor(readonly service: string, readonly reason: NoSlotReason, readonly retryAtMs?: number) {
        super(`Cannot reserve a slot of service ${service}: ${reason}`);
    }
}

/** Slot reserved at a server; released when the attempt ends. */
export class SlotReservation {
    private isReleased = false;

    /**
     * @param state State of the server.
     * @param inFlightCall Call as the server's state tracks it.
     * @param expectedMs Expected time to the first event, in milliseconds.
     * @param onRelease Called after the slot is released.
     */
    constructor(
        readonly state: ServerState,
        private readonly inFlightCall: InFlightCall,
        private readonly expectedMs: number,
        private readonly onRelease: () => void,
    ) {}

    /** Record of the reservation, without the time that the call waited. */
    get placementRecord(): Omit<PlacementRecord, "waitedMs"> {
        const { state, expectedMs } = this;
        const { ownCalls, allCalls } = state;
        return { server: state.server.id, expectedMs: Math.round(expectedMs), ownCalls, peerCalls: allCalls - ownCalls };
    }

    /** Speed of the server as it was when the slot was reserved. */
    get speed(): ServerSpeed {
        const { msPerEvent, measuredCallMs } = this.state;
        return { firstEventMs: this.expectedMs, msPerEvent, callMs: measuredCallMs };
    }

    /** Server of the slot. */
    get server(): RelayServer {
        return this.state.server;
    }

    /** Records the first event of a stream, or a complete answer that is not a stream. */
    recordFirstEvent(): void {
        this.state.recordFirstEvent(this.inFlightCall);
    }

    /** Records further events of a stream. */
    recordEvents(count: number): void {
        this.state.recordEvents(this.inFlightCall, count);
    }

    /** Releases the slot; further calls have no effect. */
    release(outcome: AttemptOutcome): void {
        if (this.isReleased) {
            return;
        }
        this.isReleased = true;
        this.state.finishCall(this.inFlightCall, outcome);
        this.onRelease();
    }
}
