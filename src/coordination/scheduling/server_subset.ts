/**
 * Subset of one pool's backend servers that this node sends to, and the choice among them.
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

/** Maximum number of backend servers of one pool that a node sends to. */
export const MAX_SUBSET_SIZE = 48;

/** Number of available backend servers compared for one call. */
const SAMPLE_SIZE = 8;

/** Age above which the prefix holders of a waiting call are looked up again, in milliseconds. */
const MAX_HOLDERS_AGE_MS = 500;

/** Weight of the prefill time added to the expected time to the first token, since a prefill delays all calls behind it. */
const PREFILL_COST_FACTOR = 2;

/** Share of the peers' work at a backend server that is assumed to run before a new call. */
const PEER_WORK_AHEAD_SHARE = 0.1;

/** Maximum prefill time at a backend server when a faster one exists, in milliseconds; a prefill delays calls behind it. */
const MAX_PREFILL_MS = 240;

/** Minimum ratio of prefill rates for another backend server to count as faster. */
const MIN_SPEEDUP = 1.5;

/** Settings of a {@linkcode ServerSubset}. */
export interface ServerSubsetSettings {
    /** Id of this node, which determines its subset. */
    readonly node: string;
    readonly random: RandomSource;
    readonly prefixes: PrefixIndex;
    readonly load: LoadView;
    /** Whether the pool consists of plain services. */
    readonly isService: boolean;
    /** Selects the version of each call. */
    readonly versionPolicy: VersionPolicy;
}

/** Choice of a backend server for one call. */
export interface ServerChoice {
    readonly window: ServerWindow;
    /** Tokens of the prompt that it is expected to have cached. */
    readonly cachedTokens: number;
}

/**
 * Windows of the backend servers in this node's subset.
 *
 * The subset is selected by rendezvous hashing; see Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates"
 * (1998). Within it, a random sample of the available backend servers is compared for each call; see Mitzenmacher, "The Power
 * of Two Choices in Randomized Load Balancing" (2001).
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

    /** Number of backend servers that are available to the highest tier. */
    get availableCount(): number {
        return this.available.length;
    }

    /** Updates the subset to the backend servers now in the pool. */
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

    /** Updates the list of available backend servers after a change to one window. */
    updateAvailability(window: ServerWindow): void {
        const listed = this.windowsById.get(window.server.vm.id) === window;
        if (!window.hasRoom || !listed) {
            this.removeFromAvailable(window);
        }
        else if (window.availableIndex < 0) {
            window.availableIndex = this.available.push(window) - 1;
        }
    }

    /** Whether any backend server that is not excluded accepts requests, immediately or once it has capacity. */
    hasServer(excludedServers: ReadonlySet<string>): boolean {
        for (const [id, window] of this.windowsById) {
            if (window.server.acceptsRequests && !excludedServers.has(id)) {
                return true;
            }
        }
        return false;
    }

    /** Whether any backend server of a version permitted for a call accepts requests, immediately or once it has capacity. */
    hasEligibleServer(call: AcceptedCall, excludedServers: ReadonlySet<string>): boolean {
        return this.selectEligible(call, excludedServers)?.size !== 0;
    }

    /** Updates the highest prefill rate in the subset. */
    updateFastestPrefillRate(): void {
        this.fastestPrefillRate = 0;
        for (const { latency } of this.windowsById.values()) {
            this.fastestPrefillRate = Math.max(this.fastestPrefillRate, latency.prefillTokensPerSecond);
        }
    }

    /**
     * Chooses the backend server with the lowest cost: the expected time to the first token plus a weighted prefill time.
     *
     * Cached tokens need no prefill, so the cost weighs the time saved by a cached prefix against the delay caused by load.
     *
     * @returns `undefined` when no available backend server can serve the call within its latency objectives. For a late call,
     * the objectives are ignored.
     */
    choose(waiting: WaitingCall, nowMs: number): ServerChoice | undefined {
        const holders = this.refreshPrefixHolders(waiting, nowMs);
        const eligible = this.selectEligible(waiting.call, waiting.assignSettings.excludedServers);
        const maxFirstTokenMs = waiting.isLate ? Infinity : remainingFirstTokenMs(waiting, nowMs);
        let best: ServerChoice | undefined;
        let lowestCostMs = Infinity;
        for (const window of eligible === undefined ? this.candidates(holders) : this.available) {
            const { id } = window.server.vm;
            if (eligible?.has(window.server) === false) {
                continue;
            }
            if (waiting.assignSettings.excludedServers.has(id) || !window.accepts(waiting.rank, nowMs)) {
                continue;
            }
            const prefixTokens = holders.find(holder => holder.server === id)?.tokens ?? 0;
            const cachedTokens = Math.min(prefixTokens, Math.max(0, waiting.cost.prefillTokens - 1));
            const uncachedTokens = waiting.cost.prefillTokens - cachedTokens;
            if (!waiting.isLate && this.exceedsPrefillLimit(window, uncachedTokens)) {
                continue;
            }
            const expectedMs = this.firstTokenUnderLoadMs(window, uncachedTokens, nowMs);
            const costMs = expectedMs + PREFILL_COST_FACTOR * window.latency.prefillMs(uncachedTokens);
            if (expectedMs < maxFirstTokenMs && costMs < lowestCostMs) {
                best = { window, cachedTokens };
                lowestCostMs = costMs;
            }
        }
        return best;
    }

    /** Whether an available backend server may accept calls of a rank; always `true` with more than `SAMPLE_SIZE` available. */
    mayAccept(rank: number, nowMs: number): boolean {
        return this.available.length > SAMPLE_SIZE || this.available.some(window => window.accepts(rank, nowMs));
    }

    /** Returns the backend servers of the version selected for a call; `undefined` when every version may serve it. */
    private selectEligible(call: AcceptedCall, excludedServers: ReadonlySet<string>): ReadonlySet<BackendServer> | undefined {
        const { name, pool } = call.operation;
        const query = { callId: call.incoming.id, operation: name, pool, retry: excludedServers.size > 0 };
        const choice = this.settings.versionPolicy.choose(query);
        if (choice.preferred.length === 0 && choice.forbidden.size === 0) {
            return undefined;
        }
        const ready: BackendServer[] = [];
        for (const [id, { server }] of this.windowsById) {
            if (server.acceptsRequests && !excludedServers.has(id)) {
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
        const otherTokens = reportedTokens(window.server, nowMs) + PEER_WORK_AHEAD_SHARE * window.peerTokens;
        return window.expectedFirstTokenMs(uncachedTokens, nowMs) + window.latency.prefillMs(otherTokens);
    }

    private exceedsPrefillLimit({ latency }: ServerWindow, uncachedTokens: number): boolean {
        return latency.prefillMs(uncachedTokens) > MAX_PREFILL_MS &&
            latency.prefillTokensPerSecond * MIN_SPEEDUP < this.fastestPrefillRate;
    }

    private *candidates(holders: readonly PrefixHolder[]): Iterable<ServerWindow> {
        if (this.available.length <= SAMPLE_SIZE) {
            yield* this.available;
            return;
        }
        for (let count = 0; count < SAMPLE_SIZE; count++) {
            yield this.available[this.settings.random.nextInt(this.available.length)];
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
        const accepting = servers.filter(server => server.acceptsRequests);
        if (accepting.length <= MAX_SUBSET_SIZE) {
            return accepting;
        }
        if (this.rendezvousWeights.size > 2 * servers.length) {
            this.rendezvousWeights.clear();
        }
        const weighted = accepting.map(server => ({ server, weight: this.rendezvousWeight(server.vm.id) }));
        weighted.sort((left, right) => left.weight < right.weight ? -1 : 1);
        return weighted.slice(0, MAX_SUBSET_SIZE).map(({ server }) => server);
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

function remainingFirstTokenMs(waiting: WaitingCall, nowMs: number): number {
    const { call } = waiting;
    const { firstTokenMs } = call.operation.promise;
    if (firstTokenMs === undefined || (waiting.assignSettings.receivedTokens ?? 0) > 0) {
        return Infinity;
    }
    return call.acceptedAtMs + firstTokenMs - nowMs;
}
