/**
 * Limits that backend servers state for the calls of all nodes together, kept without a coordinator.
 *
 * A server in need asks for a few calls a second. It does not refuse the calls beyond them, and its free slots do not show the limit.
 *
 * @module
 */

import type { AnswerHead, ServerLimit } from "../../protocol/relay/mod.js";
import type { RelayServer } from "../../state/relay/mod.js";
import { type CallAllowance, type RateLimits, SharedRate, type SharedRateSettings } from "../allotment/mod.js";
import { MIN_SERVER_ERROR_STATUS, MISDIRECTED_STATUS } from "./final_answer.js";
import { incarnationKey } from "./incarnation_key.js";

/** Lowest rate of calls to a server, in calls per second: only an answer can end a limit of 0. */
const MIN_CALLS_PER_SECOND = 0.1;

/** Time for which unused calls of a limit accumulate, in seconds. */
const BURST_SECONDS = 1;

/** Time in which calls beyond a limit are made up for, in seconds. */
const MAX_DEBT_SECONDS = 4;

/** Time for which the end of a limit is reported, in milliseconds. */
const ENDED_REPORT_MS = 30_000;

/** Time after which a limit that no answer has stated is forgotten, in milliseconds. */
const FORGET_MS = 600_000;

/** Shortest time between log lines about values that cannot be read, in milliseconds. */
const UNREADABLE_LOG_INTERVAL_MS = 10_000;

/** What a server has stated last, and the calls that it has got since. */
interface LimitedServer {
    /** Calls per second; `undefined` after the limit has ended. */
    callsPerSecond: number | undefined;
    /** Time at which this was stated, in milliseconds since the Unix epoch. */
    statedAtMs: number;
    readonly rate: SharedRate;
}

/** Settings of {@linkcode ServerLimits}. */
export interface ServerLimitsSettings extends SharedRateSettings {
    /** Called with a log message when a limit is stated, changed or ended. */
    readonly onChange: (text: string, detail: Readonly<Record<string, unknown>>) => void;
}

/**
 * Learns the servers' limits from the heads of their answers and from peers. Each node sends calls in proportion to its share of the
 * demand, from a bucket of calls that all nodes share.
 */
export class ServerLimits {
    private readonly servers = new Map<number, LimitedServer>();
    private unreadableLoggedAtMs = -Infinity;

    /** @param settings See {@linkcode ServerLimitsSettings}. */
    constructor(private readonly settings: ServerLimitsSettings) {}

    /** Returns the calls per second that a server accepts from all nodes, or `undefined` if it states no limit. */
    callsPerSecond(server: RelayServer): number | undefined {
        return this.findServer(server)?.callsPerSecond;
    }

    /** Returns what a server's limit leaves to all nodes, or `undefined` if it states none. */
    allowance(server: RelayServer): CallAllowance | undefined {
        const limited = this.findServer(server);
        if (limited?.callsPerSecond === undefined) {
            return undefined;
        }
        const { callsPerSecond, rate } = limited;
        return { callsPerSecond, availableCalls: rate.availableCalls(rateLimits(callsPerSecond)) };
    }

    /** Whether this node may send a call to a server now. */
    mayReceive(server: RelayServer): boolean {
        const limited = this.findServer(server);
        if (limited?.callsPerSecond === undefined) {
            return true;
        }
        return limited.rate.mayReceive(rateLimits(limited.callsPerSecond), server.service);
    }

    /** Records that this node sends a call to a server. */
    recordSent(server: RelayServer): void {
        const limited = this.findServer(server);
        if (limited?.callsPerSecond !== undefined) {
            limited.rate.recordSent();
        }
    }

    /**
     * Learns from the head of an answer.
     *
     * Heads on different connections arrive in any order. A lower limit is applied at once; a higher one, or none, only if the call was
     * sent after the limit was last stated, as an older answer may still be on its way.
     *
     * @param server Server that the call was sent to.
     * @param head Head of its answer.
     * @param sentAtMs Time at which the call was sent, in milliseconds since the Unix epoch.
     */
    recordAnswer(server: RelayServer, head: AnswerHead, sentAtMs: number): void {
        const isOwn = head.status !== MISDIRECTED_STATUS && (head.isSealed || head.isNotExecuted);
        if (!isOwn) {
            return;
        }
        if (head.callLimit === undefined) {
            if (head.isSealed && head.status < MIN_SERVER_ERROR_STATUS) {
                this.recordStatement(server, undefined, sentAtMs);
            }
            return;
        }
        const { text, callsPerSecond } = head.callLimit;
        if (callsPerSecond === undefined) {
            this.logUnreadable(server, text);
            return;
        }
        this.recordStatement(server, callsPerSecond, sentAtMs);
    }

    /** Returns the limits, and those that ended recently, to be reported to the peers. */
    reportedLimits(): readonly ServerLimit[] {
        const endedAfterMs = this.settings.clock.now() - ENDED_REPORT_MS;
        const reported: ServerLimit[] = [];
        for (const key of [...this.servers.keys()]) {
            const limited = this.find(key);
            if (limited !== undefined && (limited.callsPerSecond !== undefined || limited.statedAtMs > endedAfterMs)) {
                const { callsPerSecond = 0, statedAtMs } = limited;
                reported.push({ serverKey: key, callsPerSecond, isEnded: limited.callsPerSecond === undefined, statedAtMs });
            }
        }
        return reported;
    }

    /** Merges what a peer has reported: the newest statement holds, so order and repetition do not matter. */
    merge(limits: readonly ServerLimit[]): void {
        const now = this.settings.clock.now();
        for (const { serverKey: key, callsPerSecond, isEnded, statedAtMs } of limits) {
            const known = this.find(key);
            const isNewer = known === undefined ? !isEnded && statedAtMs > now - FORGET_MS : statedAtMs > known.statedAtMs;
            if (isNewer) {
                this.apply(key, isEnded ? undefined : callsPerSecond, Math.min(statedAtMs, now), { key });
            }
        }
    }

    /** Returns the calls that this node has sent to servers with a limit, by the server's key in reports. */
    *ownTotals(): Iterable<readonly [number, number]> {
        for (const [key, { rate }] of this.servers) {
            yield [key, rate.ownTotal];
        }
    }

    /** Records a peer's totals; `incarnation` identifies the peer and its start. */
    recordPeerTotals(incarnation: string, totals: ReadonlyMap<number, number>): void {
        for (const [key, { rate, callsPerSecond = 0 }] of this.servers) {
            const total = totals.get(key);
            if (total !== undefined) {
                rate.recordPeerTotal(rateLimits(callsPerSecond), incarnation, total);
            }
        }
    }

    /** Removes a peer that is gone. */
    removePeer(incarnation: string): void {
        for (const { rate } of this.servers.values()) {
            rate.removePeer(incarnation);
        }
    }

    private recordStatement(server: RelayServer, callsPerSecond: number | undefined, sentAtMs: number): void {
        const key = incarnationKey(server);
        const known = this.find(key);
        if (callsPerSecond === undefined && known?.callsPerSecond === undefined) {
            return;
        }
        const isRaised = known !== undefined && (callsPerSecond ?? Infinity) > (known.callsPerSecond ?? Infinity);
        if (isRaised && sentAtMs < known.statedAtMs) {
            return;
        }
        this.apply(key, callsPerSecond, this.settings.clock.now(), { server: server.id });
    }

    private apply(
        key: number,
        callsPerSecond: number | undefined,
        statedAtMs: number,
        detail: Readonly<Record<string, unknown>>,
    ): void {
        let limited = this.find(key);
        const before = limited?.callsPerSecond;
        if (limited === undefined) {
            limited = { callsPerSecond, statedAtMs, rate: new SharedRate(this.settings) };
            this.servers.set(key, limited);
        }
        limited.callsPerSecond = callsPerSecond;
        limited.statedAtMs = statedAtMs;
        if (before !== callsPerSecond) {
            const text = callsPerSecond === undefined ? "server: limit ended" : "server: limit stated";
            this.settings.onChange(text, { ...detail, callsPerSecond, before });
        }
    }

    private logUnreadable(server: RelayServer, text: string): void {
        const now = this.settings.clock.now();
        if (now - this.unreadableLoggedAtMs >= UNREADABLE_LOG_INTERVAL_MS) {
            this.unreadableLoggedAtMs = now;
            this.settings.onChange("server: limit ignored, not a decimal number", { server: server.id, value: text });
        }
    }

    private findServer(server: RelayServer): LimitedServer | undefined {
        return this.servers.size === 0 ? undefined : this.find(incarnationKey(server));
    }

    /** Returns what a server has stated, unless it is so old that it is forgotten. */
    private find(key: number): LimitedServer | undefined {
        const known = this.servers.get(key);
        if (known !== undefined && known.statedAtMs < this.settings.clock.now() - FORGET_MS) {
            this.servers.delete(key);
            return undefined;
        }
        return known;
    }
}

/** @returns Limits of the bucket for a stated limit. */
function rateLimits(callsPerSecond: number): RateLimits {
    const tokensPerSecond = Math.max(MIN_CALLS_PER_SECOND, callsPerSecond);
    const burst = Math.max(1, tokensPerSecond * BURST_SECONDS);
    return { tokensPerSecond, burst, maxDebt: tokensPerSecond * MAX_DEBT_SECONDS };
}
