/**
 * Backend server as it registered itself.
 *
 * @module
 */

/** One incarnation of a backend server of the relay. */
export interface RelayServer {
    readonly id: string;
    readonly service: string;
    /** IP number and port. */
    readonly address: string;
    readonly failureDomain: string;
    /** Version of its software. */
    readonly version: string;
    /** Calls that it runs at once. */
    readonly slots: number;
    /** Whether it is about to leave and gets no new calls. */
    readonly isDraining: boolean;
    /** Start of this incarnation, in milliseconds since the Unix epoch. */
    readonly startedAtMs: number;
    /** Number of the report, which counts from the incarnation's start. */
    readonly sequence: number;
}

/** Order to move a service to another version of its backend servers. */
export interface VersionOrder {
    readonly service: string;
    readonly version: string;
    /** Time from the order to its deadline, in milliseconds. */
    readonly durationMs: number;
}

/** Where a {@linkcode VersionOrder} stands. */
export enum VersionOrderState {
    Running = "running",
    Completed = "completed",
    RolledBack = "rolledBack",
}

/** Weight of the newest figure in the averages over all servers of a service. */
const SMOOTHING_FACTOR = 0.02;

/** Weight of the newest time between events in the average over all servers of a service; events are many. */
const EVENT_SMOOTHING_FACTOR = 0.005;

/** Speed of a typical server of a service, which stands for one that has not been measured yet. */
export class ServerProfile {
    /**
     * @param msPerPromptToken Time for one prompt token, in milliseconds.
     * @param msPerEvent Time between events of a stream, in milliseconds.
     * @param callMs Time that a call takes, in milliseconds.
     */
    constructor(public msPerPromptToken: number, public msPerEvent: number, public callMs: number) {}

    private measuredCalls = 0;

    /** Takes a measured time between events, in milliseconds. */
    observeEventInterval(msPerEvent: number): void {
        this.msPerEvent += (msPerEvent - this.msPerEvent) * EVENT_SMOOTHING_FACTOR;
    }

    /** Takes a measured time of a call, in milliseconds; the first ones count by their number, so that a guess is soon replaced. */
    observeCallTime(callMs: number): void {
        this.measuredCalls += 1;
        this.callMs += (callMs - this.callMs) * Math.max(SMOOTHING_FACTOR, 1 / this.measuredCalls);
    }

    /** Takes a measured time for one prompt token, in milliseconds. */
    observePromptTokenTime(msPerPromptToken: number): void {
        this.msPerPromptToken += (msPerPromptToken - this.msPerPromptToken) * SMOOTHING_FACTOR;
    }
}
