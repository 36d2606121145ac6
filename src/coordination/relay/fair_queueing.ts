/**
 * Order and early refusal of waiting calls while workspaces compete for the slots of a service.
 *
 * Load: a few workspaces send several times their usual load. Calls beyond the share of their workspace wait behind all others, and calls
 * whose place in the queue says that they get no slot in time are refused at once.
 *
 * @module
 */

import { hashKey } from "../../protocol/relay/mod.js";
import type { Clock, RandomSource } from "../../state/relay/mod.js";
import { type Demand, type ServiceLoads, STALENESS_REPORT_INTERVALS, type WorkspaceShares } from "../allotment/mod.js";
import type { ServerCapacity } from "./admission_gate.js";
import { type CallPriority, comparePriority } from "./call_priority.js";
import { type SlotClass, SlotForecast, type SlotSupply } from "./slot_forecast.js";
import { latestRetryMs } from "./wait_limits.js";

/** Milliseconds in a second. */
const MS_PER_SECOND = 1_000;

/** Spread of the time at which a refused caller may find a slot, as a fraction of the forecast; callers must not return together. */
const RETRY_SPREAD = 0.5;

/** Earliest retry after a forecast that is later than the caller accepts, as a fraction of the latest one. */
const LATE_RETRY_FRACTION = 0.7;

/** Waiting call as far as its order depends on it. */
export interface FairCall extends CallPriority {
    readonly workspaceKey: number;
}

/** Part of a call that decides its class. */
type ClassifiedCall = Pick<FairCall, "workspaceKey" | "inTimeUntilMs" | "isCallerRetry">;

/** Call with its place. */
export interface PlacedCall<Call extends FairCall> {
    readonly call: Call;
    /** Whether it is beyond the share of its workspace. */
    readonly isAbove: boolean;
    /** Class by which the admission gate allots it a slot. */
    readonly slotClass: SlotClass;
    /** Time until it gets a slot, in milliseconds. */
    readonly waitMs: number;
}

/** Settings of {@linkcode FairQueueing}. */
export interface FairQueueingSettings {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly shares: WorkspaceShares;
    /** Returns the loads of the workspaces at the other nodes. */
    readonly peerLoads: () => ServiceLoads;
    /** Returns the share of all nodes that are unreachable but may still serve callers, from 0 to 1. */
    readonly unreachableShare: () => number;
    /** Returns the time between the nodes' reports, in milliseconds. */
    readonly reportIntervalMs: () => number;
}

/** Decides in which order calls get slots, and which are refused early, by the shares of their workspaces. */
export class FairQueueing {
    private readonly forecast = new SlotForecast();

    /** @param settings See {@linkcode FairQueueingSettings}. */
    constructor(private readonly settings: FairQueueingSettings) {}

    /** Accounts of the workspaces. */
    get shares(): WorkspaceShares {
        return this.settings.shares;
    }

    /** Returns the key of a workspace; calls without one share a key. */
    keyOf(workspace: string | undefined): number {
        return hashKey(workspace ?? "");
    }

    /** Divides the slots of the servers among the workspaces for the next interval. */
    divide(servers: Iterable<ServerCapacity>): void {
        const { shares, peerLoads, unreachableShare, reportIntervalMs } = this.settings;
        let slots = 0;
        let allCalls = 0;
        for (const server of servers) {
            slots += usableSlots(server);
            allCalls += server.calls;
        }
        shares.divide({
            slots: slots * (1 - unreachableShare()),
            allCalls,
            peers: peerLoads(),
            intervalMs: reportIntervalMs(),
        });
    }

    /** Records the basis of an allotment of slots. */
    recordSupply(supply: SlotSupply): void {
        this.forecast.record(supply);
    }

    /** Whether the next call of a workspace is beyond its share. */
    isAbove(workspaceKey: number): boolean {
        return this.settings.shares.credit(workspaceKey) < 1;
    }

    /**
     * Returns the class of a call. While some workspace is above its share, the retry of a caller whose workspace is not counts as in time:
     * the others took its slot.
     *
     * @param isAbove Whether the call is beyond the share of its workspace.
     */
    slotClassOf({ workspaceKey, inTimeUntilMs, isCallerRetry }: ClassifiedCall, isAbove: boolean): SlotClass {
        const { clock, shares } = this.settings;
        if (inTimeUntilMs >= clock.now()) {
            return isAbove ? "aboveShare" : "inTime";
        }
        return isCallerRetry && shares.hasWorkspaceAbove && !shares.isAbove(workspaceKey) ? "inTime" : "late";
    }

    /** Separates the calls that are beyond the share of their workspace in this node's demand. */
    classify(demand: Demand, queue: Iterable<FairCall>): Demand {
        const { shares, clock } = this.settings;
        const now = clock.now();
        let aboveCalls = 0;
        let favouredRetries = 0;
        for (const call of queue) {
            const isLate = call.inTimeUntilMs < now;
            aboveCalls += isLate ? 0 : 1 - shares.fractionWithin(call.workspaceKey);
            favouredRetries += isLate && this.slotClassOf(call, false) === "inTime" ? 1 : 0;
        }
        const { inTimeCalls, lateCalls, arrivalsPerSecond } = demand;
        const aboveShareCalls = Math.min(inTimeCalls, Math.round(aboveCalls));
        const aboveShareArrivalsPerSecond = Math.round(arrivalsPerSecond * shares.arrivalFractionAbove);
        return {
            inTimeCalls: inTimeCalls - aboveShareCalls + favouredRetries,
            lateCalls: lateCalls - favouredRetries,
            arrivalsPerSecond: arrivalsPerSecond - aboveShareArrivalsPerSecond,
            aboveShareCalls,
            aboveShareArrivalsPerSecond,
        };
    }

    /**
     * Returns the waiting calls in the order in which they get slots: by {@linkcode slotClassOf}, late calls within the share of their
     * workspace before others; each by {@linkcode comparePriority}. The highest class of a workspace's calls takes its share.
     */
    arrange<Call extends FairCall>(queue: readonly Call[], demand: Demand): readonly PlacedCall<Call>[] {
        const now = this.settings.clock.now();
        const sorted = [...queue].sort((left, right) => comparePriority(left, right, now));
        const ownCalls = this.expectedCalls(demand);
        const places = { inTime: 0, aboveShare: 0, late: 0 };
        const workspaceCalls = new Map<number, number>();
        const groups: readonly PlacedCall<Call>[][] = [[], [], [], []];
        for (const call of sorted) {
            const { workspaceKey } = call;
            const workspacePlace = workspaceCalls.get(workspaceKey) ?? 0;
            workspaceCalls.set(workspaceKey, workspacePlace + 1);
            const isAbove = this.settings.shares.credit(workspaceKey) < workspacePlace + 1;
            const slotClass = this.slotClassOf(call, isAbove);
            const isLate = slotClass === "late";
            const classWaitMs = this.forecast.waitMs(slotClass, places[slotClass], ownCalls[slotClass]);
            places[slotClass] += 1;
            const shareWaitMs = isAbove && !isLate ? this.settings.shares.waitMs(workspaceKey, workspacePlace) : Infinity;
            groups[Number(isLate) * 2 + Number(isAbove)]?.push({
                call,
                isAbove,
                slotClass,
                waitMs: Math.min(classWaitMs, shareWaitMs),
            });
        }
        return groups.flat();
    }

    /** @returns Calls of this node that want a slot within the window, by class. */
    private expectedCalls(demand: Demand): Readonly<Record<SlotClass, number>> {
        const windowSeconds = STALENESS_REPORT_INTERVALS * this.settings.reportIntervalMs() / MS_PER_SECOND;
        const { inTimeCalls, arrivalsPerSecond, aboveShareCalls = 0, aboveShareArrivalsPerSecond = 0, lateCalls } = demand;
        return {
            inTime: inTimeCalls + arrivalsPerSecond * windowSeconds,
            aboveShare: aboveShareCalls + aboveShareArrivalsPerSecond * windowSeconds,
            late: lateCalls,
        };
    }

    /**
     * Returns the time before which the caller of a refused call is not expected to find a slot, in milliseconds since the Unix epoch. It
     * is spread, and within the time that the caller accepts, as a forecast for several seconds is uncertain.
     *
     * @param waitMs Forecast of the call's wait, in milliseconds.
     * @param remainingMs Time that the caller still waits, in milliseconds.
     */
    retryAtMs(waitMs: number, remainingMs: number): number {
        const { clock, random } = this.settings;
        const latestMs = Math.max(0, latestRetryMs(remainingMs));
        const forecastMs = waitMs * (1 + RETRY_SPREAD * random.next());
        const acceptedMs = latestMs * (LATE_RETRY_FRACTION + (1 - LATE_RETRY_FRACTION) * random.next());
        return clock.now() + Math.min(forecastMs, acceptedMs);
    }
}

/** @returns Slots of a server that its limit on the calls of all nodes lets it use. */
function usableSlots({ slots, callMs, allowance }: ServerCapacity): number {
    return allowance === undefined ? slots : Math.min(slots, allowance.callsPerSecond * callMs / MS_PER_SECOND);
}
