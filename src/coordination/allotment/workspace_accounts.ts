/**
 * What each workspace holds and asks for of a service's slots at this node.
 *
 * @module
 */

import type { Clock } from "../../state/relay/mod.js";
import { DecayingRate } from "./decaying_rate.js";
import { SAMPLE_MS, UsualLoad } from "./usual_load.js";
import { NO_LOAD, type WorkspaceLoad } from "./workspace_load.js";

/** Usual load below which a workspace without calls is forgotten, in slots. */
const MIN_USUAL_SLOTS = 0.001;

/** Load of one workspace at this node. */
interface Account {
    readonly name: string;
    heldCalls: number;
    waitingCalls: number;
    readonly arrivals: DecayingRate;
    /** Arrivals of calls that can still meet their latency objective. */
    readonly inTimeArrivals: DecayingRate;
    readonly ends: DecayingRate;
    readonly usual: UsualLoad;
}

/** Accounts of the workspaces of one service at this node. */
export class WorkspaceAccounts {
    private readonly accounts = new Map<number, Account>();
    private sampledAtMs: number;

    /**
     * @param clock Time source of the rates and of the usual load.
     * @param isShort Returns whether slots are short.
     */
    constructor(private readonly clock: Clock, private readonly isShort: () => boolean) {
        this.sampledAtMs = clock.now();
    }

    /** Counts a call that asks for a slot; `isInTime` states whether it can still meet its latency objective. */
    recordArrival(key: number, name: string, isInTime: boolean): void {
        this.endSamples();
        const now = this.clock.now();
        let account = this.accounts.get(key);
        if (account === undefined) {
            account = {
                name,
                heldCalls: 0,
                waitingCalls: 0,
                arrivals: new DecayingRate(),
                inTimeArrivals: new DecayingRate(),
                ends: new DecayingRate(),
                usual: new UsualLoad(now),
            };
            this.accounts.set(key, account);
        }
        account.arrivals.record(now);
        if (isInTime) {
            account.inTimeArrivals.record(now);
        }
    }

    /** Counts calls that begin to wait for a slot; a negative number ends their wait. */
    recordWaiting(key: number, calls: number): void {
        const account = this.accounts.get(key);
        if (account !== undefined) {
            account.waitingCalls += calls;
        }
    }

    /** Counts a call that takes a slot. */
    recordStart(key: number): void {
        const account = this.accounts.get(key);
        if (account !== undefined) {
            account.usual.recordHeld(account.heldCalls, this.clock.now());
            account.heldCalls += 1;
        }
    }

    /** Counts a call that releases its slot. */
    recordEnd(key: number): void {
        const account = this.accounts.get(key);
        if (account !== undefined) {
            account.usual.recordHeld(account.heldCalls, this.clock.now());
            account.heldCalls -= 1;
            account.ends.record(this.clock.now());
        }
    }

    /** Name of a workspace whose calls came to this node; `undefined` for any other. */
    nameOf(key: number): string | undefined {
        return this.accounts.get(key)?.name;
    }

    /** Calls that wait, of all workspaces. */
    get waitingCalls(): number {
        let waiting = 0;
        for (const { waitingCalls } of this.accounts.values()) {
            waiting += waitingCalls;
        }
        return waiting;
    }

    /** Returns the arrival rate of a workspace's calls that can still meet their latency objective, per second. */
    inTimeArrivalsPerSecond(key: number): number {
        return this.accounts.get(key)?.inTimeArrivals.perSecond(this.clock.now()) ?? 0;
    }

    /** Arrival rate of all calls that can still meet their latency objective, per second. */
    get allInTimeArrivalsPerSecond(): number {
        const now = this.clock.now();
        let perSecond = 0;
        for (const { inTimeArrivals } of this.accounts.values()) {
            perSecond += inTimeArrivals.perSecond(now);
        }
        return perSecond;
    }

    /** Returns the load of one workspace. */
    loadOf(key: number): WorkspaceLoad {
        const account = this.accounts.get(key);
        return account === undefined ? NO_LOAD : this.toLoad(account);
    }

    /** Returns the loads of the workspaces by their keys, and forgets workspaces without any. */
    loads(): Map<number, WorkspaceLoad> {
        this.endSamples();
        const loads = new Map<number, WorkspaceLoad>();
        for (const [key, account] of this.accounts) {
            const load = this.toLoad(account);
            const { heldCalls, waitingCalls, usualSlots, arrivalsPerSecond } = load;
            if (heldCalls + waitingCalls === 0 && usualSlots < MIN_USUAL_SLOTS && arrivalsPerSecond < MIN_USUAL_SLOTS) {
                this.accounts.delete(key);
                continue;
            }
            loads.set(key, load);
        }
        return loads;
    }

    private toLoad(account: Account): WorkspaceLoad {
        const now = this.clock.now();
        const { heldCalls, waitingCalls, usual, arrivals, ends } = account;
        return {
            heldCalls,
            waitingCalls,
            arrivalsPerSecond: arrivals.perSecond(now),
            endsPerSecond: ends.perSecond(now),
            usualSlots: usual.slots,
        };
    }

    /** Ends the samples of the usual loads when they are due. */
    private endSamples(): void {
        const now = this.clock.now();
        if (now - this.sampledAtMs < SAMPLE_MS) {
            return;
        }
        this.sampledAtMs = now;
        const isShort = this.isShort();
        for (const { usual, heldCalls } of this.accounts.values()) {
            usual.recordHeld(heldCalls, now);
            usual.endSample(isShort);
        }
    }
}
