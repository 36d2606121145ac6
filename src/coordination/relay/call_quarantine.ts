/**
 * Quarantine of prompt parts that crash backend servers.
 *
 * A call whose connection a server closes before its answer makes the parts of its prompt suspects, unless some call with the part has
 * been answered before. The part that causes the crashes is the one that keeps being there; the others are cleared by sound calls that
 * share them. The last part of a prompt belongs to its call alone and is never suspected.
 *
 * @module
 */

import { type CallSuspect, hashKey, type PromptPart } from "../../protocol/relay/mod.js";
import type { Clock, RandomSource, RelayServer } from "../../state/relay/mod.js";

/** Crashes after which a part is quarantined, if no other part was there as often. */
const MIN_CRASHES = 2;

/** Crashes after which a part is quarantined in any case. */
const MIN_CRASHES_IF_AMBIGUOUS = 3;

/** Time in which connections to many servers break because of a fault of the network or of this node, in milliseconds. */
const COMMON_FAULT_MS = 100;

/** Share of the servers that break connections at the same time in such a fault, and the fewest servers, as a crash may come near others. */
const COMMON_FAULT_SHARE = 0.5;
const MIN_COMMON_FAULT_SERVERS = 4;

/** Time until the fleet sends a call with a quarantined part again, in milliseconds; doubles each time that it crashes its server. */
const PROBE_INTERVAL_MS = 120_000;

/** Time after which a part that no call has had is forgotten, in milliseconds. */
const FORGET_MS = 600_000;

/** Time for which it is reported that a suspected part was answered, in milliseconds. */
const CLEARED_REPORT_MS = 30_000;

/** Largest numbers of answered parts, of suspects, and of crashes of a suspect that are kept. */
const MAX_ANSWERED_PARTS = 4_096;
const MAX_SUSPECTS = 64;
const MAX_CRASHES = 16;

/** Part that may crash servers. */
interface Suspect {
    readonly key: number;
    /** Incarnations of servers that ended under the part; hashes of their ids and start times. */
    readonly crashes: Set<number>;
    isQuarantined: boolean;
    nextProbeAtMs: number;
    lastCallAtMs: number;
}

/** Quarantined part of a call's prompt. */
export interface QuarantinedTrait {
    readonly id: string;
    /** Servers that have crashed under it. */
    readonly crashes: number;
}

/** Settings of a {@linkcode CallQuarantine}. */
export interface CallQuarantineSettings {
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Returns the number of servers of a service. */
    readonly serverCount: (service: string) => number;
    /** Returns the number of nodes, including this one. */
    readonly nodeCount: () => number;
    /** Called with a log message when a part is suspected, quarantined, probed or cleared. */
    readonly onChange: (text: string, detail: Readonly<Record<string, unknown>>) => void;
}

/** Finds the prompt parts that crash servers from this node's calls and the reports of its peers. */
export class CallQuarantine {
    /** Parts of answered calls, least recently answered first. */
    private readonly answered = new Set<number>();
    private readonly suspects = new Map<number, Suspect>();
    /** Times at which suspects were cleared, in milliseconds since the Unix epoch. */
    private readonly cleared = new Map<number, number>();
    /** Servers whose connections broke recently, with the times. */
    private broken: { readonly serverKey: number; readonly atMs: number }[] = [];

    /** @param settings See {@linkcode CallQuarantineSettings}. */
    constructor(private readonly settings: CallQuarantineSettings) {}

    /** Number of quarantined parts. */
    get quarantinedTraits(): number {
        let count = 0;
        for (const { isQuarantined } of this.suspects.values()) {
            count += isQuarantined ? 1 : 0;
        }
        return count;
    }

    /**
     * Returns the quarantined part of a prompt, or `undefined` if the call may be sent. From time to time one call with such a part may
     * be sent, so that a part that was suspected wrongly is cleared; see {@linkcode recordSent}.
     */
    findQuarantined(parts: readonly PromptPart[]): QuarantinedTrait | undefined {
        const now = this.settings.clock.now();
        for (const { id } of sharedParts(parts)) {
            const suspect = this.suspects.get(hashKey(id));
            if (suspect?.isQuarantined !== true) {
                continue;
            }
            suspect.lastCallAtMs = now;
            if (now < suspect.nextProbeAtMs) {
                return { id, crashes: suspect.crashes.size };
            }
        }
        return undefined;
    }

    /** Records that a call is sent; if a part of its prompt is quarantined, it is the probe that was due. */
    recordSent(parts: readonly PromptPart[]): void {
        for (const { id } of sharedParts(parts)) {
            const suspect = this.suspects.get(hashKey(id));
            if (suspect?.isQuarantined === true) {
                this.scheduleProbe(suspect);
                this.settings.onChange("prompt: part probed", { part: id, crashes: suspect.crashes.size });
            }
        }
    }

    /** Whether a part of a prompt is suspected, so that the call must not be sent to another server. */
    isSuspected(parts: readonly PromptPart[]): boolean {
        return sharedParts(parts).some(({ id }) => this.suspects.has(hashKey(id)));
    }

    /** Records that a server has answered a call: with more than the first event of a stream, or completely. */
    recordAnswered(parts: readonly PromptPart[]): void {
        for (const { id } of sharedParts(parts)) {
            this.clear(hashKey(id), id);
        }
    }

    /** Records that a server closed the connection of a call before it answered. */
    recordBroken(parts: readonly PromptPart[], server: RelayServer): void {
        const now = this.settings.clock.now();
        const serverKey = hashKey(server.id);
        this.broken = this.broken.filter(({ atMs }) => atMs > now - 2 * COMMON_FAULT_MS);
        this.broken.push({ serverKey, atMs: now });
        const suspected = sharedParts(parts).filter(({ id }) => !this.answered.has(hashKey(id)));
        if (suspected.length > 0) {
            void this.suspectLater(suspected, server, now);
        }
    }

    /** Returns the suspects and the parts that were cleared recently, to be reported to the peers. */
    reportedSuspects(): readonly CallSuspect[] {
        this.forgetOld();
        const suspects = [...this.suspects.values()].map(({ key, crashes }) => {
            return { traitKey: key, crashKeys: [...crashes], isAnswered: false };
        });
        const cleared = [...this.cleared.keys()].map(traitKey => ({ traitKey, crashKeys: [], isAnswered: true }));
        return [...suspects, ...cleared];
    }

    /** Merges what a peer has reported; order and repetition do not matter. */
    merge(suspects: readonly CallSuspect[]): void {
        for (const { traitKey, crashKeys, isAnswered } of suspects) {
            if (isAnswered) {
                this.clear(traitKey);
            }
            else if (this.answered.has(traitKey)) {
                this.cleared.set(traitKey, this.settings.clock.now());
            }
            else {
                this.addCrashes(traitKey, crashKeys);
            }
        }
    }

    /** Suspects parts once it is known whether the connections of many servers broke at the same time. */
    private async suspectLater(parts: readonly PromptPart[], server: RelayServer, brokenAtMs: number): Promise<void> {
        await this.settings.clock.sleep(COMMON_FAULT_MS);
        const servers = new Set<number>();
        for (const { serverKey, atMs } of this.broken) {
            if (Math.abs(atMs - brokenAtMs) <= COMMON_FAULT_MS) {
                servers.add(serverKey);
            }
        }
        const commonFaultServers = this.settings.serverCount(server.service) * COMMON_FAULT_SHARE;
        if (servers.size >= Math.max(MIN_COMMON_FAULT_SERVERS, commonFaultServers)) {
            return;
        }
        const crashKey = hashKey(`${server.id}@${server.startedAtMs}`);
        for (const { id } of parts) {
            const traitKey = hashKey(id);
            if (!this.answered.has(traitKey)) {
                this.addCrashes(traitKey, [crashKey], { part: id, server: server.id });
            }
        }
    }

    private addCrashes(key: number, crashKeys: readonly number[], detail: Readonly<Record<string, unknown>> = {}): void {
        let suspect = this.suspects.get(key);
        if (suspect === undefined) {
            if (this.suspects.size >= MAX_SUSPECTS) {
                return;
            }
            const now = this.settings.clock.now();
            suspect = { key, crashes: new Set(), isQuarantined: false, nextProbeAtMs: Infinity, lastCallAtMs: now };
            this.suspects.set(key, suspect);
        }
        const known = suspect.crashes.size;
        for (const crashKey of crashKeys) {
            if (suspect.crashes.size < MAX_CRASHES) {
                suspect.crashes.add(crashKey);
            }
        }
        if (suspect.crashes.size === known) {
            return;
        }
        this.settings.onChange("prompt: part suspected", { traitKey: key, crashes: suspect.crashes.size, ...detail });
        if (suspect.isQuarantined) {
            this.scheduleProbe(suspect);
        }
        else if (this.isCause(suspect)) {
            suspect.isQuarantined = true;
            this.scheduleProbe(suspect);
            this.settings.onChange("prompt: part quarantined", { traitKey: key, crashes: suspect.crashes.size, ...detail });
            this.explainCrashes(suspect);
        }
    }

    private isCause(suspect: Suspect): boolean {
        const { size } = suspect.crashes;
        if (size >= MIN_CRASHES_IF_AMBIGUOUS) {
            return true;
        }
        const rivals = [...this.suspects.values()].filter(other => !other.isQuarantined && other.crashes.size >= size);
        return size >= MIN_CRASHES && rivals.length === 1;
    }

    /** Removes the crashes that a quarantined part explains from the other suspects. */
    private explainCrashes(cause: Suspect): void {
        for (const [key, other] of this.suspects) {
            if (other.isQuarantined) {
                continue;
            }
            for (const crashKey of cause.crashes) {
                other.crashes.delete(crashKey);
            }
            if (other.crashes.size === 0) {
                this.suspects.delete(key);
            }
        }
    }

    /** Sets the time of the next probe; the nodes' times differ, so that the fleet sends about one in an interval. */
    private scheduleProbe(suspect: Suspect): void {
        const { clock, random, nodeCount } = this.settings;
        const backoff = 2 ** Math.max(0, suspect.crashes.size - MIN_CRASHES_IF_AMBIGUOUS);
        suspect.nextProbeAtMs = clock.now() + PROBE_INTERVAL_MS * backoff * (1 + random.next() * nodeCount());
    }

    private clear(key: number, part?: string): void {
        this.answered.delete(key);
        this.answered.add(key);
        if (this.answered.size > MAX_ANSWERED_PARTS) {
            const [oldest] = this.answered;
            this.answered.delete(oldest ?? 0);
        }
        const suspect = this.suspects.get(key);
        if (suspect !== undefined) {
            this.suspects.delete(key);
            this.cleared.set(key, this.settings.clock.now());
            const { crashes, isQuarantined } = suspect;
            this.settings.onChange("prompt: part cleared", { traitKey: key, part, crashes: crashes.size, isQuarantined });
        }
    }

    private forgetOld(): void {
        const now = this.settings.clock.now();
        for (const [key, { lastCallAtMs }] of this.suspects) {
            if (lastCallAtMs < now - FORGET_MS) {
                this.suspects.delete(key);
            }
        }
        for (const [key, atMs] of this.cleared) {
            if (atMs < now - CLEARED_REPORT_MS) {
                this.cleared.delete(key);
            }
        }
    }
}

/** @returns Parts of a prompt that other calls may share: all but the last. */
function sharedParts(parts: readonly PromptPart[]): readonly PromptPart[] {
    return parts.slice(0, -1);
}
