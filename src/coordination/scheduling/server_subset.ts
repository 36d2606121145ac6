/**
 * Backend servers of one pool that this node sends to, and the choice among them.
 *
 * @module
 */

import { createHash } from "node:crypto";
import type { AcceptedCall } from "../../protocol/mod.js";
import {
    type BackendServer,
    type LoadView,
    type PrefixHolder,
    type PrefixIndex,
    type RandomSource,
    reportedTokens,
} from "../../state/mod.js";
import { selectByVersion, type VersionPolicy } from "../version_policy.js";
import { ServerWindow } from "./server_window.js";
import type { WaitingCall } from "./waiting_call.js";

/** Backend servers of one pool that a node sends to at most. */
export const MAX_SUBSET_SIZE = 48;

/** Backend servers with room that are compared for one call. */
const SAMPLE_SIZE = 8;

/** Age at which the holders of a waiting call's prefix are looked up anew, in milliseconds. */
const MAX_HOLDERS_AGE_MS = 500;

/** Price of a prefill's time beside the expected first token: it takes the time from all calls behind it. */
const PREFILL_COST_FACTOR = 2;

/** Part of the peers' work at a backend server that is taken to be ahead of a new call. */
const PEER_WORK_AHEAD_SHARE = 0.1;

/** Longest prefill that is sent to a backend server while a faster one exists, in milliseconds: it holds up all after it. */
const MAX_PREFILL_MS = 240;

/** Factor by which another backend server must be faster to count so. */
const MIN_SPEEDUP = 1.5;

/** Settings of a {@linkcode ServerSubset}. */
export interface ServerSubsetSettings {
    /** Id of this node, by which its subset is drawn. */
    readonly node: string;
    readonly random: RandomSource;
    readonly prefixes: PrefixIndex;
    readonly load: LoadView;
    /** Whether the pool is one of plain services. */
    readonly isService: boolean;
    /** Chooses the version of each call. */
    readonly versions: VersionPolicy;
}

/** Choice of a backend server for one call. */
export interface ServerChoice {
    readonly window: ServerWindow;
    /** Tokens of the prompt that it is believed to have cached. */
    readonly cachedTokens: number;
}

/**
 * Windows of the backend servers in this node's subset.
 *
 * The subset is drawn by rendezvous hashing, after Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates"
 * (1998). Within it, a random few of those with room are compared, after Mitzenmacher, "The Power of Two Choices in Randomized
 * Load Balancing" (2001).
 */
export class ServerSubset {
    private readonly windowsById = new Map<string, ServerWindow>();
    private readonly available: ServerWindow[] = [];
    private readonly rendezvousWeights = new Map<string, string>();
    private fastestPrefillRate = 0;
    private poolServers: readonly BackendServer[] | undefined;

    /** @param settings See {@linkcode ServerSubsetSettings}. */
    constructor(private readonly settings: ServerSubsetSettings) {}

    /** All windows. */
    get windows(): Iterable<ServerWindow> {
        return this.windowsById.values();
    }

    /** Number of backend servers in the subset. */
    get size(): number {
        return this.windowsById.size;
    }

    /** Number of backend servers with room for the highest tier. */
    get availableCount(): number {
        return this.available.length;
    }

    /** Brings the set into line with the backend servers of the pool. */
    reconcile(servers: readonly BackendServer[]): void {
        if (servers === this.poolServers) {
            return;
        }
        this.poolServers = servers;
        const chosen = new Set(this.selectSubset(servers));
        for (const [id, window] of this.windowsById) {
            if (!chosen.has(window.server)) {
                this.windowsById.delete(id);
                this.removeFromAvailable(window);
            }
        }
        for (const server of chosen) {
            if (!this.windowsById.has(server.vm.id)) {
                const window = new ServerWindow(server, this.settings.isService);
                this.windowsById.set(server.vm.id, window);
                this.updateAvailability(window);
            }
        }
    }

    /** Brings the list of backend servers with room into line with one window. */
    updateAvailability(window: ServerWindow): void {
        const listed = this.windowsById.get(window.server.vm.id) === window;
        if (!window.hasRoom || !listed) {
            this.removeFromAvailable(window);
        }
        else if (window.availableIndex < 0) {
            window.availableIndex = this.available.push(window) - 1;
        }
    }

    /** Whether any backend server but the excluded ones takes work, now or later. */
    hasServer(excluded: ReadonlySet<string>): boolean {
        for (const [id, window] of this.windowsById) {
            if (window.server.takesWork && !excluded.has(id)) {
                return true;
            }
        }
        return false;
    }

    /** Whether any backend server that the versions leave for a call takes work, now or later. */
    hasEligibleServer(call: AcceptedCall, excluded: ReadonlySet<string>): boolean {
        return this.selectEligible(call, excluded)?.size !== 0;
    }

    /** Finds the fastest backend server anew. */
    updateFastestPrefillRate(): void {
        this.fastestPrefillRate = 0;
        for (const { latency: speed } of this.windowsById.values()) {
            this.fastestPrefillRate = Math.max(this.fastestPrefillRate, speed.prefillTokensPerSecond);
        }
    }

    /**
     * Chooses the backend server with the earliest expected first token.
     *
     * Cached tokens need no prefill and so count as time saved, against the time that the load costs.
     *
     * @returns `undefined` when no backend server with room can keep the promise of a call that is not late yet.
     */
    choose(waiting: WaitingCall, nowMs: number): ServerChoice | undefined {
        const holders = this.refreshPrefixHolders(waiting, nowMs);
        const allowed = this.selectEligible(waiting.call, waiting.assignSettings.excluded);
        const limitMs = waiting.isLate ? Infinity : firstTokenLimitMs(waiting, nowMs);
        let best: ServerChoice | undefined;
        let bestMs = Infinity;
        for (const window of allowed === undefined ? this.candidates(holders) : this.available) {
            const { id } = window.server.vm;
            if (allowed?.has(window.server) === false) {
                continue;
            }
            if (waiting.assignSettings.excluded.has(id) || !window.accepts(waiting.rank, nowMs)) {
                continue;
            }
            const heldTokens = holders.find(holder => holder.server === id)?.tokens ?? 0;
            const cachedTokens = Math.min(heldTokens, Math.max(0, waiting.cost.prefillTokens - 1));
            const uncachedTokens = waiting.cost.prefillTokens - cachedTokens;
            if (!waiting.isLate && this.exceedsPrefillLimit(window, uncachedTokens)) {
                continue;
            }
            const expectedMs = this.firstTokenUnderLoadMs(window, uncachedTokens, nowMs);
            const priceMs = expectedMs + PREFILL_COST_FACTOR * window.latency.prefillMs(uncachedTokens);
            if (expectedMs < limitMs && priceMs < bestMs) {
                best = { window, cachedTokens };
                bestMs = priceMs;
            }
        }
        return best;
    }

    /** Whether a backend server with room may take calls of a rank; `true` also when too many have room to look at each. */
    mayAccept(rank: number, nowMs: number): boolean {
        return this.available.length > SAMPLE_SIZE || this.available.some(window => window.accepts(rank, nowMs));
    }

    /** Returns the backend servers that the versions leave for a call; `undefined` when versions make no difference. */
    private selectEligible(call: AcceptedCall, excluded: ReadonlySet<string>): ReadonlySet<BackendServer> | undefined {
        const { name, pool } = call.operation;
        const query = { callId: call.incoming.id, operation: name, pool, retry: excluded.size > 0 };
        const choice = this.settings.versions.choose(query);
        if (choice.preferred.length === 0 && choice.forbidden.size === 0) {
            return undefined;
        }
        const ready: BackendServer[] = [];
        for (const [id, { server }] of this.windowsById) {
            if (server.takesWork && !excluded.has(id)) {
                ready.push(server);
            }
        }
        return new Set(selectByVersion(ready, choice));
    }

    private refreshPrefixHolders(waiting: WaitingCall, nowMs: number): readonly PrefixHolder[] {
        if (nowMs - waiting.holdersLookedUpAtMs > MAX_HOLDERS_AGE_MS) {
            waiting.prefixHolders = this.settings.prefixes.find(waiting.call.prefixBlocks ?? []);
            waiting.holdersLookedUpAtMs = nowMs;
        }
        return waiting.prefixHolders;
    }

    private firstTokenUnderLoadMs(window: ServerWindow, uncachedTokens: number, nowMs: number): number {
        const othersTokens = reportedTokens(window.server, nowMs) + PEER_WORK_AHEAD_SHARE * window.peerTokens;
        return window.expectedFirstTokenMs(uncachedTokens, nowMs) + window.latency.prefillMs(othersTokens);
    }

    private exceedsPrefillLimit({ latency: speed }: ServerWindow, uncachedTokens: number): boolean {
        return speed.prefillMs(uncachedTokens) > MAX_PREFILL_MS &&
            speed.prefillTokensPerSecond * MIN_SPEEDUP < this.fastestPrefillRate;
    }

    private *candidates(holders: readonly PrefixHolder[]): Iterable<ServerWindow> {
        if (this.available.length <= SAMPLE_SIZE) {
            yield* this.available;
            return;
        }
        for (let count = 0; count < SAMPLE_SIZE; count++) {
            yield this.available[this.settings.random.below(this.available.length)];
        }
        for (const { server } of holders) {
            const window = this.windowsById.get(server);
            if (window !== undefined && window.availableIndex >= 0) {
                yield window;
            }
        }
    }

    private removeFromAvailable(window: ServerWindow): void {
        if (window.availableIndex < 0) {
            return;
        }
        const last = this.available.pop() as ServerWindow;
        if (last !== window) {
            this.available[window.availableIndex] = last;
            last.availableIndex = window.availableIndex;
        }
        window.availableIndex = -1;
    }

    private selectSubset(servers: readonly BackendServer[]): readonly BackendServer[] {
        const live = servers.filter(server => server.takesWork);
        if (live.length <= MAX_SUBSET_SIZE) {
            return live;
        }
        if (this.rendezvousWeights.size > 2 * servers.length) {
            this.rendezvousWeights.clear();
        }
        const weighed = live.map(server => ({ server, weight: this.rendezvousWeight(server.vm.id) }));
        weighed.sort((left, right) => left.weight < right.weight ? -1 : 1);
        return weighed.slice(0, MAX_SUBSET_SIZE).map(({ server }) => server);
    }

    private rendezvousWeight(id: string): string {
        const known = this.rendezvousWeights.get(id);
        if (known !== undefined) {
            return known;
        }
        const weight = createHash("sha256").update(`${this.settings.node} ${id}`).digest("hex");
        this.rendezvousWeights.set(id, weight);
        return weight;
    }
}

function firstTokenLimitMs(waiting: WaitingCall, nowMs: number): number {
    const { call } = waiting;
    const { firstTokenMs } = call.operation.promise;
    if (firstTokenMs === undefined || (waiting.assignSettings.heldTokens ?? 0) > 0) {
        return Infinity;
    }
    return call.acceptedAtMs + firstTokenMs - nowMs;
}
