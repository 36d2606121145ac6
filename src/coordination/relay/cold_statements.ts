/**
 * What is known of cold servers: from their entries and answers, from broken connections and from peers.
 *
 * A server may turn cold at any moment, or come back cold under the same id. The newest statement about an incarnation holds.
 *
 * @module
 */

import { type AnswerHead, type ColdServer, hashKey } from "../../protocol/relay/mod.js";
import type { Clock, RelayServer } from "../../state/relay/mod.js";
import { BrokenConnections } from "./broken_connections.js";
import type { ColdRule } from "./cold_rules.js";
import { MIN_SERVER_ERROR_STATUS, MISDIRECTED_STATUS } from "./final_answer.js";
import { incarnationKey } from "./incarnation_key.js";

/** Time for which a server is suspected to have restarted, unless an entry or answer tells, in milliseconds. */
const SUSPICION_MS = 60_000;

/** Time until an entry that was written is read, in milliseconds; one that is read earlier may be older than another statement. */
const ENTRY_DELAY_MS = 1_000;

/** Time within which connections break when a server ends, in milliseconds. */
const SAME_BREAK_MS = 200;

/** Time after which nodes know of each other's broken connections, in milliseconds. */
const TOLD_MS = 400;

/** Difference up to which a statement confirms another one, in milliseconds. */
const CONFIRMED_MS = 250;

/** Time for which the end of a statement is reported, and a server that is warm is remembered, in milliseconds. */
const ENDED_REPORT_MS = 10_000;

/** Share of a service's servers from which on broken connections are a fault of this node or its network. */
const OWN_FAULT_SHARE = 0.25;

/** Shortest time between log lines about values that cannot be read, in milliseconds. */
const UNREADABLE_LOG_INTERVAL_MS = 10_000;

/** From what a server is known to be cold, or to be warm again. */
export enum ColdSource {
    Entry = "entry",
    Answer = "answer",
    Peer = "peer",
    /** A connection broke: the server may have restarted. */
    Broken = "connection broken",
    /** No connection could be established: the server has probably ended. */
    Refused = "connection refused",
}

/** Newest statement about a server. */
export interface ColdStatement {
    /** Time at which the server will be warm, in milliseconds since the Unix epoch; 0 if it is warm. */
    readonly coldUntilMs: number;
    readonly statedAtMs: number;
    readonly source: ColdSource;
    /** Whether only a broken connection suggests that it is cold, or an answer since that it is not. */
    readonly isSuspected: boolean;
    /** Whether it has probably ended, so that an answer that states nothing does not tell that it is warm. */
    readonly hasEnded: boolean;
    /** Hash of the name of the node whose connection broke; 0 for other statements. */
    readonly nodeKey: number;
    /** Whether peers have to be told. */
    readonly isReported: boolean;
}

/** What is known of a server that is or was cold. */
interface ColdState {
    statement: ColdStatement;
    /** Name for log lines. */
    name: string;
    /** Time from which on the server is cold without a break, in milliseconds since the Unix epoch. */
    coldSinceMs: number;
    isLoggedCold: boolean;
}

/** Server that is cold, as far as this node knows. */
export interface ColdTime {
    /** Time from which on this node knows of it, without a break, in milliseconds since the Unix epoch. */
    readonly coldSinceMs: number;
    readonly statement: ColdStatement;
}

/** Settings of {@linkcode ColdStatements}. */
export interface ColdStatementsSettings {
    /** Name of this node. */
    readonly node: string;
    readonly clock: Clock;
    /** Returns what cold servers of a service bear; `undefined` if they bear as much as others. */
    readonly rule: (service: string) => ColdRule | undefined;
    /** Returns the number of servers of a service that accept calls. */
    readonly serverCount: (service: string) => number;
    /** Called with a log message when a server turns cold or warm, or when a value cannot be read. */
    readonly onChange: (text: string, detail: Readonly<Record<string, unknown>>) => void;
}

/** Keeps the newest statement about each server that is or was cold. */
export class ColdStatements {
    private readonly states = new Map<number, ColdState>();
    private readonly breaks: BrokenConnections;
    /** Services whose servers have stated in answers to calls that they are cold. */
    private readonly statingServices = new Set<string>();
    private unreadableLoggedAtMs = -Infinity;
    private readonly nodeKey: number;

    /** @param settings See {@linkcode ColdStatementsSettings}. */
    constructor(private readonly settings: ColdStatementsSettings) {
        this.breaks = new BrokenConnections(settings.clock);
        this.nodeKey = hashKey(settings.node);
    }

    /** Finds the time for which a server of a service with a rule is cold; `undefined` if it is warm. */
    find(server: RelayServer): ColdTime | undefined {
        const isStated = server.warmUpMs !== undefined;
        if (this.states.size === 0 && isStated) {
            return undefined;
        }
        const key = incarnationKey(server);
        if (!isStated && !this.states.has(key)) {
            this.recordEntry(server);
        }
        const now = this.settings.clock.now();
        const state = this.states.get(key);
        if (state === undefined || state.statement.coldUntilMs <= now) {
            return undefined;
        }
        if (!state.isLoggedCold) {
            const { source, coldUntilMs, isSuspected } = state.statement;
            state.name = server.id;
            state.isLoggedCold = true;
            const remainingMs = isSuspected ? undefined : Math.round(coldUntilMs - now);
            this.settings.onChange("server: cold", { server: server.id, source, remainingMs });
        }
        return state;
    }

    /** Returns the newest statement about the server with a key in reports; `undefined` if it is forgotten. */
    newest(key: number): ColdStatement | undefined {
        return this.states.get(key)?.statement;
    }

    /**
     * Learns from an entry. One that is read soon after another statement may be older and does not end it.
     *
     * @param server Entry as it was read just now.
     */
    recordEntry(server: RelayServer): void {
        const now = this.settings.clock.now();
        const coldUntilMs = this.entryEndMs(server);
        const key = incarnationKey(server);
        const known = this.states.get(key)?.statement;
        if (coldUntilMs <= now && known === undefined) {
            return;
        }
        const isCertain = known === undefined || known.source === ColdSource.Entry || now - known.statedAtMs >= ENTRY_DELAY_MS;
        if (isCertain || coldUntilMs > known.coldUntilMs) {
            this.state(key, server, { coldUntilMs, source: ColdSource.Entry, isReported: known?.isReported === true });
        }
    }

    /**
     * Learns from the head of an answer of whatever status. An answer to an earlier call does not end what was stated since.
     *
     * @param sentAtMs Time at which the call was sent, in milliseconds since the Unix epoch.
     */
    recordAnswer(server: RelayServer, head: AnswerHead, sentAtMs: number): void {
        const isOwn = head.status !== MISDIRECTED_STATUS && (head.isSealed || head.isNotExecuted);
        const rule = this.settings.rule(server.service);
        if (!isOwn || rule === undefined) {
            return;
        }
        const key = incarnationKey(server);
        const known = this.states.get(key)?.statement;
        const isLater = known === undefined || sentAtMs >= known.statedAtMs;
        const now = this.settings.clock.now();
        if (head.warmUp !== undefined) {
            const { warmUpMs, text } = head.warmUp;
            if (warmUpMs === undefined) {
                this.logUnreadable(server, text);
                return;
            }
            this.statingServices.add(server.service);
            if (warmUpMs > 0 || isLater && known !== undefined) {
                this.state(key, server, {
                    coldUntilMs: warmUpMs > 0 ? now + warmUpMs : 0,
                    source: ColdSource.Answer,
                    isReported: true,
                });
            }
            return;
        }
        if (known !== undefined && known.coldUntilMs > now && isLater && head.isSealed && head.status < MIN_SERVER_ERROR_STATUS) {
            this.recordSilentAnswer(server, sentAtMs, { key, known, rule });
        }
    }

    /**
     * Records that a connection to a server broke or could not be established, so that it may come back cold.
     *
     * @param isRefused Whether no connection could be established.
     */
    recordBroken(server: RelayServer, isRefused: boolean): void {
        if (this.settings.rule(server.service) === undefined) {
            return;
        }
        const key = incarnationKey(server);
        const known = this.states.get(key)?.statement;
        const now = this.settings.clock.now();
        const isOwnFault =
            this.breaks.record(server.service, key) > Math.max(1, OWN_FAULT_SHARE * this.settings.serverCount(server.service));
        const isKnownSuspect = known?.isSuspected === true && known.coldUntilMs > now;
        this.state(key, server, {
            coldUntilMs: now + SUSPICION_MS,
            source: isRefused ? ColdSource.Refused : ColdSource.Broken,
            isSuspected: true,
            nodeKey: this.nodeKey,
            hasEnded: isRefused || isKnownSuspect && (known.hasEnded || now - known.statedAtMs <= SAME_BREAK_MS),
            isReported: !isOwnFault || known?.isReported === true,
        });
    }

    /** Returns the statements that peers do not get from entries, and logs the servers that have become warm. */
    reported(): readonly ColdServer[] {
        const now = this.settings.clock.now();
        const reported: ColdServer[] = [];
        for (const [key, state] of this.states) {
            const { coldUntilMs, statedAtMs, isSuspected, hasEnded, nodeKey, isReported } = state.statement;
            if (coldUntilMs <= now) {
                this.logWarm(state);
                if (Math.max(coldUntilMs, statedAtMs) < now - ENDED_REPORT_MS) {
                    this.states.delete(key);
                    continue;
                }
            }
            if (isReported) {
                reported.push({ serverKey: key, coldUntilMs, isSuspected, hasEnded, nodeKey, statedAtMs });
            }
        }
        return reported;
    }

    /**
     * Merges what a peer has reported: the newest statement holds, so order and repetition do not matter. Connections of several nodes that
     * break at once show that the server has ended.
     */
    merge(servers: readonly ColdServer[]): void {
        const now = this.settings.clock.now();
        for (const { serverKey: key, ...reported } of servers) {
            const { coldUntilMs, isSuspected, hasEnded, statedAtMs, nodeKey } = reported;
            const known = this.states.get(key)?.statement;
            const isNewer = known === undefined ? coldUntilMs > now : statedAtMs > known.statedAtMs;
            const isRefuted = isSuspected && coldUntilMs === 0;
            if (isRefuted && known?.hasEnded === true && known.coldUntilMs > now) {
                // An answer to one node refutes what one broken connection suggests, but not the end of the server.
                continue;
            }
            const suspicion = isSuspected && !isRefuted && known?.isSuspected === true && known.coldUntilMs > now ?
                known :
                undefined;
            const isOtherBreak = suspicion !== undefined && nodeKey !== suspicion.nodeKey &&
                Math.abs(statedAtMs - suspicion.statedAtMs) <= SAME_BREAK_MS;
            if (isNewer && statedAtMs > now - SUSPICION_MS) {
                this.state(key, undefined, {
                    coldUntilMs,
                    statedAtMs: Math.min(statedAtMs, now),
                    source: ColdSource.Peer,
                    isSuspected,
                    nodeKey,
                    hasEnded: hasEnded || isOtherBreak || suspicion?.hasEnded === true,
                    isReported: true,
                });
            }
            else if (suspicion?.hasEnded === false && (hasEnded || isOtherBreak)) {
                this.state(key, undefined, { ...suspicion, statedAtMs: now, hasEnded: true });
            }
        }
    }

    /** Handles an answer that states nothing, to a call that was sent to a cold server after the newest statement. */
    private recordSilentAnswer(
        server: RelayServer,
        sentAtMs: number,
        { key, known, rule }: { readonly key: number; readonly known: ColdStatement; readonly rule: ColdRule },
    ): void {
        const isStating = this.statingServices.has(server.service);
        const isReset = known.isSuspected && !known.hasEnded;
        if (isStating && known.source !== ColdSource.Entry || isReset && sentAtMs >= known.statedAtMs + TOLD_MS) {
            const isSuspected = isReset && !isStating;
            this.state(key, server, { coldUntilMs: 0, source: ColdSource.Answer, isSuspected, isReported: known.isReported });
            return;
        }
        if (known.hasEnded && known.isSuspected) {
            // A server that has answered has started before.
            const coldUntilMs = this.settings.clock.now() + rule.durationMs;
            this.state(key, server, { ...known, coldUntilMs, isSuspected: false });
        }
    }

    private state(
        key: number,
        server: RelayServer | undefined,
        stated: Partial<ColdStatement> & Pick<ColdStatement, "coldUntilMs" | "source">,
    ): void {
        const now = this.settings.clock.now();
        const statement = { statedAtMs: now, isSuspected: false, hasEnded: false, nodeKey: 0, isReported: false, ...stated };
        const known = this.states.get(key);
        if (known === undefined) {
            const name = server?.id ?? String(key);
            const state = { statement, name, coldSinceMs: now, isLoggedCold: false };
            this.states.set(key, state);
            return;
        }
        const wasCold = known.statement.coldUntilMs > now;
        if (wasCold && isConfirmation(statement, known.statement)) {
            return;
        }
        known.statement = statement;
        known.name = server?.id ?? known.name;
        if (!wasCold && statement.coldUntilMs > now) {
            known.coldSinceMs = now;
        }
        if (statement.coldUntilMs <= now) {
            this.logWarm(known);
        }
    }

    /** Returns the end of a server's cold time as its entry tells, in milliseconds since the Unix epoch; its start bounds it. */
    private entryEndMs({ service, startedAtMs, warmUpMs }: RelayServer): number {
        if (warmUpMs === undefined) {
            return startedAtMs + (this.settings.rule(service)?.durationMs ?? 0);
        }
        return warmUpMs > 0 ? this.settings.clock.now() + warmUpMs : 0;
    }

    private logWarm(state: ColdState): void {
        if (state.isLoggedCold) {
            state.isLoggedCold = false;
            this.settings.onChange("server: warm", { server: state.name, source: state.statement.source });
        }
    }

    private logUnreadable(server: RelayServer, text: string): void {
        const now = this.settings.clock.now();
        if (now - this.unreadableLoggedAtMs >= UNREADABLE_LOG_INTERVAL_MS) {
            this.unreadableLoggedAtMs = now;
            this.settings.onChange("server: warm-up ignored, not a decimal number", { server: server.id, value: text });
        }
    }
}

/** @returns Whether a statement tells nothing new: the countdown of a server that is cold goes on. */
function isConfirmation(statement: ColdStatement, known: ColdStatement): boolean {
    return !statement.isSuspected && !known.isSuspected && statement.source === known.source &&
        Math.abs(statement.coldUntilMs - known.coldUntilMs) <= CONFIRMED_MS;
}
