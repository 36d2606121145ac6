/**
 * Calls to servers that bear few of them for a while, after a start or at any other moment, and fall over when they get more.
 *
 * All nodes see a cold server idle at the same moment. So its calls are shared out like those of a server that states a limit.
 *
 * @module
 */

import { hashKey } from "../../protocol/relay/mod.js";
import type { RelayServer } from "../../state/relay/mod.js";
import { type CallAllowance, SharedRate, type SharedRateSettings } from "../allotment/mod.js";
import type { ColdRule } from "./cold_rules.js";
import { ColdStatements, type ColdStatementsSettings } from "./cold_statements.js";
import { incarnationKey } from "./incarnation_key.js";

/** Time for which the calls to a server are reported after it became warm, in milliseconds. */
const LAST_TOTAL_MS = 1_000;

/** Seconds of the rate that are not available to a server that turns cold while it is used: calls that have just been sent. */
const USED_SECONDS = 0.5;

/** Calls of a peer that began to send before this node knew of the cold server, in seconds of the rate. */
const FIRST_TOTAL_SECONDS = 0.5;

/** Calls to a server that is or was cold. */
interface ColdRate {
    readonly rate: SharedRate;
    rule: ColdRule;
    /** Time from which on the server is cold, in milliseconds since the Unix epoch; a later one starts the rate again. */
    coldSinceMs: number;
}

/** Settings of {@linkcode ColdServers}. */
export interface ColdServersSettings extends SharedRateSettings, ColdStatementsSettings {}

/** Shares out the calls of the servers that are cold. */
export class ColdServers {
    /** What is known of cold servers. */
    readonly statements: ColdStatements;
    private readonly rates = new Map<number, ColdRate>();

    /** @param settings See {@linkcode ColdServersSettings}. */
    constructor(private readonly settings: ColdServersSettings) {
        this.statements = new ColdStatements(settings);
    }

    /** Whether a server bears few calls now. */
    isCold(server: RelayServer): boolean {
        return this.findCold(server) !== undefined;
    }

    /** Returns what is left to all nodes of a cold server's calls, or `undefined` if the server is not cold. */
    allowance(server: RelayServer): CallAllowance | undefined {
        const cold = this.findCold(server);
        if (cold === undefined) {
            return undefined;
        }
        const { limits } = cold.rule;
        return { callsPerSecond: limits.tokensPerSecond, availableCalls: cold.rate.availableCalls(limits) };
    }

    /** Whether this node may send a call to a server now. */
    mayReceive(server: RelayServer): boolean {
        const cold = this.findCold(server);
        return cold === undefined || cold.rate.mayReceive(cold.rule.limits, server.service);
    }

    /** Records that this node sends a call to a server. */
    recordSent(server: RelayServer): void {
        this.findCold(server)?.rate.recordSent();
    }

    /** Returns the calls that this node has sent to cold servers, by the key of the server's calls in reports. */
    *ownTotals(): Iterable<readonly [number, number]> {
        const fromMs = this.settings.clock.now() - LAST_TOTAL_MS;
        for (const [key, { rate }] of this.rates) {
            const statement = this.statements.newest(key);
            if (statement === undefined) {
                this.rates.delete(key);
            }
            else if (Math.max(statement.coldUntilMs, statement.statedAtMs) >= fromMs) {
                yield [totalKey(key), rate.ownTotal];
            }
        }
    }

    /** Records a peer's totals; `incarnation` identifies the peer and its start. */
    recordPeerTotals(incarnation: string, totals: ReadonlyMap<number, number>): void {
        for (const [key, { rate, rule }] of this.rates) {
            const total = totals.get(totalKey(key));
            if (total !== undefined) {
                rate.recordPeerTotal(rule.limits, incarnation, total);
            }
        }
    }

    /** Removes a peer that is gone. */
    removePeer(incarnation: string): void {
        for (const { rate } of this.rates.values()) {
            rate.removePeer(incarnation);
        }
    }

    /** Returns the rate of a server that is cold, with the rule that holds for it. */
    private findCold(server: RelayServer): ColdRate | undefined {
        const rule = this.settings.rule(server.service);
        const cold = rule === undefined ? undefined : this.statements.find(server);
        if (rule === undefined || cold === undefined) {
            return undefined;
        }
        const { coldSinceMs, statement } = cold;
        const { tokensPerSecond } = rule.limits;
        const key = incarnationKey(server);
        const known = this.rates.get(key);
        if (known === undefined) {
            const wasUsed = server.startedAtMs < this.settings.clock.now() - rule.durationMs && !statement.isSuspected;
            const level = wasUsed ? -USED_SECONDS * tokensPerSecond : 0;
            const rate = new SharedRate(this.settings, level, FIRST_TOTAL_SECONDS * tokensPerSecond);
            const added = { rate, rule, coldSinceMs };
            this.rates.set(key, added);
            return added;
        }
        if (known.coldSinceMs !== coldSinceMs) {
            known.coldSinceMs = coldSinceMs;
            known.rate.restart(-USED_SECONDS * tokensPerSecond);
        }
        known.rule = rule;
        return known;
    }
}

/** @returns Key of the calls to a cold server in reports; a limit that the server states has totals of its own. */
function totalKey(key: number): number {
    return hashKey(`${key}/cold`);
}
