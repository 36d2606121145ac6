/**
 * What backend servers state about themselves in their answers, and what follows from it.
 *
 * Each statement holds for an incarnation of a server. It is kept here and not with the server's state, as the server's entry in the
 * log may be missing for a while.
 *
 * @module
 */

import type { AnswerHead, LeavingServer } from "../../protocol/relay/mod.js";
import type { Clock, RandomSource, RelayServer } from "../../state/relay/mod.js";
import type { CallAllowance } from "../allotment/mod.js";
import type { BrittleServers } from "./brittle_servers.js";
import type { ColdServers } from "./cold_servers.js";
import { MISDIRECTED_STATUS } from "./final_answer.js";
import { incarnationKey } from "./incarnation_key.js";
import type { ServerLimits } from "./server_limits.js";

/** Statuses of refusals that may ask for rest. */
const REST_STATUSES: ReadonlySet<number> = new Set([429, 503]);

/** Longest rest that is kept, in milliseconds; the server is then asked again. */
const MAX_REST_MS = 600_000;

/** Share of a rest, and time in milliseconds, over which the nodes spread their return to a server. */
const RETURN_SPREAD_SHARE = 0.1;
const RETURN_SPREAD_MS = 200;

/**
 * Time for which a server that leaves is remembered, and reported to nodes that may have restarted, in milliseconds. It gets no calls,
 * so it cannot say so again; most leaving servers end within seconds.
 */
const LEAVING_MEMORY_MS = 600_000;

/** Shortest time between log lines about values that cannot be read, in milliseconds. */
const UNREADABLE_LOG_INTERVAL_MS = 10_000;

/** Rest that a server asked this node for. */
interface Rest {
    readonly untilMs: number;
    /** Whether the first call after the rest is on its way; others wait for its answer. */
    isProbing: boolean;
}

/** Settings of {@linkcode ServerStatements}. */
export interface ServerStatementsSettings {
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Limits on the calls of all nodes. */
    readonly limits: ServerLimits;
    readonly brittle: BrittleServers;
    /** Servers that bear few calls for a while; `undefined` if none are told apart. */
    readonly cold?: ColdServers | undefined;
    /** Called with a log message when a server asks for rest or leaves, or when a value cannot be read. */
    readonly onChange: (text: string, detail: Readonly<Record<string, unknown>>) => void;
}

/** Reads the statements of servers from the heads of their answers and from peers, and tells which servers may get calls. */
export class ServerStatements {
    private readonly rests = new Map<number, Rest>();
    /** Times at which servers stated that they leave, in milliseconds since the Unix epoch. */
    private readonly leaving = new Map<number, number>();
    private unreadableLoggedAtMs = -Infinity;

    /** @param settings See {@linkcode ServerStatementsSettings}. */
    constructor(private readonly settings: ServerStatementsSettings) {}

    /** Limits on the calls of all nodes. */
    get limits(): ServerLimits {
        return this.settings.limits;
    }

    /** Servers that fall over when they have to turn away too many calls. */
    get brittle(): BrittleServers {
        return this.settings.brittle;
    }

    /** Servers that bear few calls for a while; `undefined` if none are told apart. */
    get cold(): ColdServers | undefined {
        return this.settings.cold;
    }

    /** Returns what is left to all nodes of the calls to a server, by the lower of its limits; `undefined` if it has none. */
    allowance(server: RelayServer): CallAllowance | undefined {
        const stated = this.limits.allowance(server);
        const cold = this.cold?.allowance(server);
        if (stated === undefined || cold === undefined) {
            return stated ?? cold;
        }
        return {
            callsPerSecond: Math.min(stated.callsPerSecond, cold.callsPerSecond),
            availableCalls: Math.min(stated.availableCalls, cold.availableCalls),
        };
    }

    /** Whether the limits of a server on the calls of all nodes leave this node a call now. */
    mayReceive(server: RelayServer): boolean {
        return this.limits.mayReceive(server) && this.cold?.mayReceive(server) !== false;
    }

    /**
     * Learns from the head of an answer, of whatever status.
     *
     * @param sentAtMs Time at which the call was sent, in milliseconds since the Unix epoch.
     */
    recordAnswer(server: RelayServer, head: AnswerHead, sentAtMs: number): void {
        this.limits.recordAnswer(server, head, sentAtMs);
        this.cold?.statements.recordAnswer(server, head, sentAtMs);
        if (head.status === MISDIRECTED_STATUS) {
            return;
        }
        const isOwn = head.isSealed || head.isNotExecuted;
        if (isOwn) {
            this.brittle.recordAnswer(server, head, sentAtMs);
            if (head.refusalLimit !== undefined && head.refusalLimit.refusalsPerSecond === undefined) {
                this.logUnreadable("refusals in a second", server, head.refusalLimit.text);
            }
        }
        if (isOwn && head.isLeaving) {
            this.recordLeaving(incarnationKey(server), this.settings.clock.now(), { server: server.id });
        }
        if (REST_STATUSES.has(head.status)) {
            this.recordRefusal(server, head);
        }
        else {
            this.recordAccepted(server);
        }
    }

    /** Whether a server wants no call from this node now, or has yet to answer the first one after its rest. */
    isResting(server: RelayServer): boolean {
        const rest = this.findRest(server);
        return rest !== undefined && (rest.isProbing || this.settings.clock.now() < rest.untilMs);
    }

    /** Returns the end of the rest that a server asked this node for, in milliseconds since the Unix epoch, if it has not passed. */
    restEndMs(server: RelayServer): number | undefined {
        const rest = this.findRest(server);
        return rest !== undefined && this.settings.clock.now() < rest.untilMs ? rest.untilMs : undefined;
    }

    /** Whether a server has stated that it is leaving, to this node or to a peer. */
    isLeaving(server: RelayServer): boolean {
        return this.leaving.size > 0 && this.leaving.has(incarnationKey(server));
    }

    /** Records that this node sends a call to a server. */
    recordSent(server: RelayServer): void {
        this.limits.recordSent(server);
        this.cold?.recordSent(server);
        this.brittle.recordSent(server);
        const rest = this.findRest(server);
        if (rest !== undefined && this.settings.clock.now() >= rest.untilMs) {
            rest.isProbing = true;
        }
    }

    /** Records that a call to a server has ended, with an answer or without. */
    recordEnd(server: RelayServer): void {
        const rest = this.findRest(server);
        if (rest !== undefined) {
            rest.isProbing = false;
        }
    }

    /** Returns the servers that have stated lately that they leave, to be reported to the peers. */
    reportedLeaving(): readonly LeavingServer[] {
        const fromMs = this.settings.clock.now() - LEAVING_MEMORY_MS;
        const reported: LeavingServer[] = [];
        for (const [key, statedAtMs] of this.leaving) {
            if (statedAtMs < fromMs) {
                this.leaving.delete(key);
                continue;
            }
            reported.push({ serverKey: key, statedAtMs });
        }
        return reported;
    }

    /** Merges what a peer has reported; order and repetition do not matter. */
    mergeLeaving(servers: readonly LeavingServer[]): void {
        const now = this.settings.clock.now();
        for (const { serverKey: key, statedAtMs } of servers) {
            if (statedAtMs >= now - LEAVING_MEMORY_MS) {
                this.recordLeaving(key, Math.min(statedAtMs, now), { key });
            }
        }
    }

    private recordRefusal(server: RelayServer, { rest: asked }: AnswerHead): void {
        const { clock, random, onChange } = this.settings;
        if (asked === undefined) {
            return;
        }
        if (asked.restMs === undefined) {
            this.logUnreadable("rest in seconds", server, asked.text);
            return;
        }
        const now = clock.now();
        const restMs = Math.min(MAX_REST_MS, asked.restMs);
        const spreadMs = restMs === 0 ? 0 : random.next() * (restMs * RETURN_SPREAD_SHARE + RETURN_SPREAD_MS);
        const untilMs = now + restMs + spreadMs;
        const known = this.findRest(server);
        if (restMs === 0 || known !== undefined && known.untilMs >= untilMs) {
            return;
        }
        if (known === undefined) {
            onChange("server: rest asked for", { server: server.id, restMs });
        }
        this.rests.set(incarnationKey(server), { untilMs, isProbing: false });
    }

    /** Ends a rest that has passed; an answer to a call from before it does not end it. */
    private recordAccepted(server: RelayServer): void {
        const rest = this.findRest(server);
        if (rest !== undefined && this.settings.clock.now() >= rest.untilMs) {
            this.rests.delete(incarnationKey(server));
            this.settings.onChange("server: accepts calls after a rest", { server: server.id });
        }
    }

    private recordLeaving(key: number, statedAtMs: number, detail: Readonly<Record<string, unknown>>): void {
        const known = this.leaving.get(key);
        this.leaving.set(key, Math.max(known ?? 0, statedAtMs));
        if (known === undefined) {
            this.settings.onChange("server: leaving", detail);
        }
    }

    private logUnreadable(statement: string, server: RelayServer, text: string): void {
        const now = this.settings.clock.now();
        if (now - this.unreadableLoggedAtMs >= UNREADABLE_LOG_INTERVAL_MS) {
            this.unreadableLoggedAtMs = now;
            this.settings.onChange("server: statement ignored, not a decimal number", {
                statement,
                server: server.id,
                value: text,
            });
        }
    }

    private findRest(server: RelayServer): Rest | undefined {
        return this.rests.size === 0 ? undefined : this.rests.get(incarnationKey(server));
    }
}
