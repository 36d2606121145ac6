/**
 * Registered backend servers of the relay, orders to change their version, and the average speed of a service's servers.
 *
 * @module
 */

/** Registration of one incarnation of a backend server. */
export interface RelayServer {
    readonly id: string;
    readonly service: string;
    /** IP address and port. */
    readonly address: string;
    readonly failureDomain: string;
    /** Software version. */
    readonly version: string;
    /** Calls that it runs concurrently. */
    readonly slots: number;
    /** Whether it is draining and must not receive new calls. */
    readonly isDraining: boolean;
    /** Start of this incarnation, in milliseconds since the Unix epoch. */
    readonly startedAtMs: number;
    /** Sequence number of the report within the incarnation. */
    readonly sequence: number;
    /** Time for which the server is still slower and bears fewer calls, in milliseconds; `undefined` if its entry does not tell. */
    readonly warmUpMs: number | undefined;
}

/** Order to roll out another version of a service's backend servers. */
export interface VersionOrder {
    readonly service: string;
    readonly version: string;
    /** Time from the order to its deadline, in milliseconds. */
    readonly durationMs: number;
}

/** Order about the servers of a failure domain. */
export interface DomainOrder {
    readonly failureDomain: string;
    /** Whether nothing more may be sent to the domain's servers; otherwise the order before it has ended. */
    readonly isEmptied: boolean;
}

/** State of the rollout of a {@linkcode VersionOrder}. */
export enum VersionOrderState {
    Running = "running",
    Completed = "completed",
    RolledBack = "rolledBack",
}

/** Smoothing factor of the exponential moving averages over all servers of a service. */
const SMOOTHING_FACTOR = 0.02;

/** Smoothing factor of the average time between events; lower, since events are far more frequent than calls. */
const EVENT_SMOOTHING_FACTOR = 0.005;

/** Average speed of the servers of a service; serves as the estimate for a server that has not been measured yet. */
export class ServerProfile {
    /**
     * @param msPerPromptToken Initial estimate of the time per prompt token, in milliseconds.
     * @param msPerEvent Initial estimate of the time between events of a stream, in milliseconds.
     * @param callMs Initial estimate of the duration of a call, in milliseconds.
     */
    constructor(public msPerPromptToken: number, public msPerEvent: number, public callMs: number) {}

    private measuredCalls = 0;

    /** Whether the duration of a call has been measured. */
    get isCallMeasured(): boolean {
        return this.measuredCalls > 0;
    }

    /** Updates the average time between events with a measurement, in milliseconds. */
    observeEventInterval(msPerEvent: number): void {
        this.msPerEvent += (msPerEvent - this.msPerEvent) * EVENT_SMOOTHING_FACTOR;
    }

    /**
     * Updates the average duration of calls with a measurement, in milliseconds.
     *
     * The first measurements are averaged with equal weights, so that they replace the initial estimate at once.
     */
    observeCallTime(callMs: number): void {
        this.measuredCalls += 1;
        this.callMs += (callMs - this.callMs) * Math.max(SMOOTHING_FACTOR, 1 / this.measuredCalls);
    }

    /** Updates the average time per prompt token with a measurement, in milliseconds. */
    observePromptTokenTime(msPerPromptToken: number): void {
        this.msPerPromptToken += (msPerPromptToken - this.msPerPromptToken) * SMOOTHING_FACTOR;
    }
}
