/**
 * Limits that backend servers state for the calls of all nodes together.
 *
 * @module
 */

import { type AnswerHead, hashKey } from "../../protocol/relay/mod.js";
import type { Clock, RelayServer } from "../../state/relay/mod.js";
import { MIN_SERVER_ERROR_STATUS, MISDIRECTED_STATUS } from "./final_answer.js";

/** Time after which a limit that no answer has stated is forgotten, in milliseconds. */
const FORGET_MS = 600_000;

/** Shortest time between log lines about values that cannot be read, in milliseconds. */
const UNREADABLE_LOG_INTERVAL_MS = 10_000;

/** What a server has stated last. */
interface Statement {
    /** Calls per second; `undefined` when the server no longer states a limit. */
    readonly callsPerSecond: number | undefined;
    /** Time at which the statement was received, in milliseconds since the Unix epoch. */
    readonly statedAtMs: number;
}

/** Settings of {@linkcode ServerLimits}. */
export interface ServerLimitsSettings {
    readonly clock: Clock;
    /** Called with a log message when a limit is stated, changed or ended. */
    readonly onChange: (text: string, detail: Readonly<Record<string, unknown>>) => void;
}

/** Learns the servers' limits from the heads of their answers. */
export class ServerLimits {
    /** Statements by server key. */
    private readonly statements = new Map<number, Statement>();
    private unreadableLoggedAtMs = -Infinity;

    /** @param settings See {@linkcode ServerLimitsSettings}. */
    constructor(private readonly settings: ServerLimitsSettings) {}

    /** Returns the calls per second that a server accepts from all nodes, or `undefined` if it states no limit. */
    callsPerSecond(server: RelayServer): number | undefined {
        return this.find(serverKey(server))?.callsPerSecond;
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

    private recordStatement(server: RelayServer, callsPerSecond: number | undefined, sentAtMs: number): void {
        const key = serverKey(server);
        const known = this.find(key);
        if (callsPerSecond === undefined && known?.callsPerSecond === undefined) {
            return;
        }
        const isRaised = known !== undefined && (callsPerSecond ?? Infinity) > (known.callsPerSecond ?? Infinity);
        if (isRaised && sentAtMs < known.statedAtMs) {
            return;
        }
        this.statements.set(key, { callsPerSecond, statedAtMs: this.settings.clock.now() });
        if (known?.callsPerSecond !== callsPerSecond) {
            const text = callsPerSecond === undefined ? "server: limit ended" : "server: limit stated";
            this.settings.onChange(text, { server: server.id, callsPerSecond, before: known?.callsPerSecond });
        }
    }

    private logUnreadable(server: RelayServer, text: string): void {
        const now = this.settings.clock.now();
        if (now - this.unreadableLoggedAtMs >= UNREADABLE_LOG_INTERVAL_MS) {
            this.unreadableLoggedAtMs = now;
            this.settings.onChange("server: limit ignored, not a decimal number", { server: server.id, value: text });
        }
    }

    /** Returns what a server has stated, unless it is so old that it is forgotten. */
    private find(key: number): Statement | undefined {
        const known = this.statements.get(key);
        if (known !== undefined && known.statedAtMs < this.settings.clock.now() - FORGET_MS) {
            this.statements.delete(key);
            return undefined;
        }
        return known;
    }
}

/** @returns Key of a server's incarnation; another incarnation starts without a limit. */
function serverKey({ id, startedAtMs }: RelayServer): number {
    return hashKey(`${id}@${startedAtMs}`);
}
