/**
 * Servers that fall over when they have to turn away too many calls for want of room.
 *
 * Slots that look free are seen by all nodes at the same moment, and calls beyond them are turned away. So each node takes its share of
 * a brittle server's free slots in each interval between reports, and some slots stay free.
 *
 * @module
 */

import type { AnswerHead, BrittleServer } from "../../protocol/relay/mod.js";
import type { RelayServer } from "../../state/relay/mod.js";
import { type AllotmentSettings, IntervalAllotment } from "../allotment/mod.js";
import { incarnationKey } from "./incarnation_key.js";

/** Share of a brittle server's slots that are used. */
const USED_SLOTS_SHARE = 0.85;

/** Time for which the end of a statement is reported, in milliseconds. */
const ENDED_REPORT_MS = 30_000;

/** Time after which a statement that no answer has repeated is forgotten, in milliseconds. */
const FORGET_MS = 60_000;

/** What a server has stated last, and what this node may send it. */
interface Statement {
    /** Refusals in a second above which the server falls over; `undefined` after it stopped being brittle. */
    refusalsPerSecond: number | undefined;
    /** Time at which this was stated, in milliseconds since the Unix epoch. */
    statedAtMs: number;
    readonly allotment: IntervalAllotment;
}

/** Settings of {@linkcode BrittleServers}. */
export interface BrittleServersSettings extends AllotmentSettings {
    /** Called with a log message when a server becomes brittle or stops being so. */
    readonly onChange: (text: string, detail: Readonly<Record<string, unknown>>) => void;
}

/** Learns which servers are brittle from the heads of their answers and from peers, and allots their free slots. */
export class BrittleServers {
    private readonly statements = new Map<number, Statement>();

    /** @param settings See {@linkcode BrittleServersSettings}. */
    constructor(private readonly settings: BrittleServersSettings) {}

    /** Whether a server is brittle. */
    isBrittle(server: RelayServer): boolean {
        return this.find(server)?.refusalsPerSecond !== undefined;
    }

    /** Number of calls of all nodes that a server may have in flight. */
    usableSlots(server: RelayServer): number {
        return this.isBrittle(server) ? Math.max(1, Math.floor(server.slots * USED_SLOTS_SHARE)) : server.slots;
    }

    /**
     * Whether this node may send a call to a server now.
     *
     * @param freeSlots Slots of the server that are free and may be used, as far as this node knows.
     */
    mayReceive(server: RelayServer, freeSlots: number): boolean {
        const statement = this.find(server);
        if (statement?.refusalsPerSecond === undefined) {
            return true;
        }
        statement.allotment.refresh(server.service, () => freeSlots, { maxShare: 1 });
        return statement.allotment.hasCall;
    }

    /** Records that this node sends a call to a server. */
    recordSent(server: RelayServer): void {
        this.find(server)?.allotment.use();
    }

    /**
     * Learns from the head of a server's own answer. Only an answer to a call that was sent after the statement ends it, as an older one
     * may still be on its way.
     */
    recordAnswer(server: RelayServer, { refusalLimit }: AnswerHead, sentAtMs: number): void {
        const known = this.find(server);
        if (refusalLimit?.refusalsPerSecond !== undefined) {
            this.apply(incarnationKey(server), refusalLimit.refusalsPerSecond, this.settings.clock.now());
        }
        else if (refusalLimit === undefined && known?.refusalsPerSecond !== undefined && sentAtMs >= known.statedAtMs) {
            this.apply(incarnationKey(server), undefined, this.settings.clock.now());
        }
    }

    /** Returns the brittle servers, and those that stopped being so recently, to be reported to the peers. */
    reported(): readonly BrittleServer[] {
        const now = this.settings.clock.now();
        const reported: BrittleServer[] = [];
        for (const [key, { refusalsPerSecond, statedAtMs }] of this.statements) {
            if (statedAtMs < now - FORGET_MS) {
                this.statements.delete(key);
            }
            else if (refusalsPerSecond !== undefined || statedAtMs > now - ENDED_REPORT_MS) {
                reported.push({
                    serverKey: key,
                    refusalsPerSecond: refusalsPerSecond ?? 0,
                    isEnded: refusalsPerSecond === undefined,
                    statedAtMs,
                });
            }
        }
        return reported;
    }

    /** Merges what a peer has reported: the newest statement holds, so order and repetition do not matter. */
    merge(servers: readonly BrittleServer[]): void {
        const now = this.settings.clock.now();
        for (const { serverKey: key, refusalsPerSecond, isEnded, statedAtMs } of servers) {
            const known = this.statements.get(key);
            const isNewer = known === undefined ? !isEnded && statedAtMs > now - FORGET_MS : statedAtMs > known.statedAtMs;
            if (isNewer) {
                this.apply(key, isEnded ? undefined : refusalsPerSecond, Math.min(statedAtMs, now));
            }
        }
    }

    private apply(key: number, refusalsPerSecond: number | undefined, statedAtMs: number): void {
        const known = this.statements.get(key);
        if (known?.refusalsPerSecond !== refusalsPerSecond) {
            const text = refusalsPerSecond === undefined ? "server: no longer brittle" : "server: brittle";
            this.settings.onChange(text, { key, refusalsPerSecond });
        }
        this.statements.set(key, {
            refusalsPerSecond,
            statedAtMs,
            allotment: known?.allotment ?? new IntervalAllotment(this.settings, -Infinity),
        });
    }

    private find(server: RelayServer): Statement | undefined {
        return this.statements.size === 0 ? undefined : this.statements.get(incarnationKey(server));
    }
}
