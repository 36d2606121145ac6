/**
 * Quarantine of calls that crash backend servers.
 *
 * A call whose connection a server closes before its answer makes its traits suspects: the parts of its prompt that other calls may
 * share, and its content, which comes again when its caller repeats it. The trait that causes the crashes is the one that keeps being
 * there; the others are cleared by sound calls that share them. An answer clears the crashes before it only: a trait may begin to crash
 * servers after many answers, or after many events of each answer.
 *
 * @module
 */

import { type CallSuspect, hashKey } from "../../protocol/relay/mod.js";
import type { Clock, RandomSource, RelayServer } from "../../state/relay/mod.js";
import { type CallTrait, TraitKind } from "./call_traits.js";
import { incarnationKey } from "./incarnation_key.js";
import { compareWeight, MIN_CRASHES_AFTER_ANSWERS, type Suspect, SuspectTable } from "./suspect_table.js";

/** Crashes from which a call that may have caused them is not sent to another server. */
const MAX_CRASHES_OF_PARTS = 1;
const MAX_CRASHES_OF_CONTENT = 2;

/** As {@linkcode MAX_CRASHES_OF_PARTS}, for a trait that was in answered calls before. */
const MAX_CRASHES_AFTER_ANSWERS = MIN_CRASHES_AFTER_ANSWERS - 1;

/** Factor of the events of broken calls, and events more, after which a call clears its traits before it ends. */
const CLEARING_EVENTS_FACTOR = 2;
const CLEARING_EVENTS = 2;

/** Time for which an answer speaks for a trait whose crashes a peer reports later, in milliseconds. */
const RECENT_ANSWER_MS = 1_000;

/** Crashes beyond which the time between probes doubles with each. */
const FIRST_CRASHES = 3;

/** Time in which connections to many servers break because of a fault of the network or of this node, in milliseconds. */
const COMMON_FAULT_MS = 100;

/** Share of the servers that break connections at the same time in such a fault, and the fewest servers, as a crash may come near others. */
const COMMON_FAULT_SHARE = 0.5;
const MIN_COMMON_FAULT_SERVERS = 4;

/** Time until the fleet sends a call with a quarantined trait again, in milliseconds; doubles each time that it crashes its server. */
const PROBE_INTERVAL_MS = 120_000;

/** Time for which a crash, and the answer that cleared a suspect, are reported, in milliseconds. */
const REPORT_MS = 30_000;

/** Time for which cleared crashes are known, in milliseconds; peers report them no longer. */
const CLEARED_MS = 600_000;

/** Largest numbers of answered traits of a kind and of cleared ones that are kept. */
const MAX_ANSWERED_TRAITS = 4_096;
const MAX_CLEARED_TRAITS = 1_024;

/** Largest numbers of crashes that are kept: cleared ones of a trait, and all. */
const MAX_CLEARED_CRASHES = 16;
const MAX_KNOWN_CRASHES = 1_024;

/** Largest numbers of suspects, and of cleared ones, in a report. */
const MAX_REPORTED_SUSPECTS = 64;

/** Quarantined trait of a call. */
export interface QuarantinedTrait {
    readonly trait: CallTrait;
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
    /** Called with a log message when a trait is suspected, quarantined, probed or cleared. */
    readonly onChange: (text: string, detail: Readonly<Record<string, unknown>>) => void;
}

/** Attempt whose answer arrives. */
export interface SentAttempt {
    readonly server: RelayServer;
    /** Time at which the call was sent, in milliseconds since the Unix epoch. */
    readonly sentAtMs: number;
}

/** Crashes of a trait that is not their cause. */
interface ClearedCrashes {
    readonly kind: TraitKind;
    /** Time of the last answer that cleared some, in milliseconds since the Unix epoch. */
    readonly atMs: number;
    readonly crashKeys: ReadonlySet<number>;
}

/** Trait that was in a call that broke; its name is known if the call was one of this node. */
type SuspectedTrait = Pick<CallTrait, "key" | "kind"> & Partial<CallTrait>;

/** Call that broke. */
interface BrokenCall {
    readonly server: RelayServer;
    /** Events that had arrived. */
    readonly events: number;
    readonly brokenAtMs: number;
}

/** Finds the traits of calls that crash servers from this node's calls and the reports of its peers. */
export class CallQuarantine {
    /** Times of the last answers to calls by the keys of their traits, by kind; least recently answered first. */
    private readonly answered = new Map([
        [TraitKind.PromptPart, new Map<number, number>()],
        [TraitKind.Content, new Map<number, number>()],
    ]);
    private readonly suspects: SuspectTable;
    /** Crashes that answers have cleared, by trait, least recently cleared first. */
    private readonly cleared = new Map<number, ClearedCrashes>();
    /** Times at which this node heard of crashes, by their keys, oldest first. */
    private readonly crashedAtMs = new Map<number, number>();
    /** Keys of the crashes of servers; each event of a stream asks for one. */
    private readonly crashKeys = new WeakMap<RelayServer, number>();
    /** Servers whose connections broke recently, with the times. */
    private broken: { readonly serverKey: number; readonly atMs: number }[] = [];

    /** @param settings See {@linkcode CallQuarantineSettings}. */
    constructor(private readonly settings: CallQuarantineSettings) {
        this.suspects = new SuspectTable(settings.clock);
    }

    /** Number of quarantined traits. */
    get quarantinedTraits(): number {
        return this.suspects.all().filter(({ isQuarantined }) => isQuarantined).length;
    }

    /**
     * Returns the quarantined trait of a call, or `undefined` if the call may be sent. From time to time one call with such a trait may
     * be sent, so that a trait that was suspected wrongly is cleared; see {@linkcode recordSent}.
     */
    findQuarantined(traits: readonly CallTrait[]): QuarantinedTrait | undefined {
        const now = this.settings.clock.now();
        for (const trait of traits) {
            const suspect = this.suspects.find(trait.key);
            if (suspect?.isQuarantined !== true) {
                continue;
            }
            suspect.lastCallAtMs = now;
            if (now < suspect.nextProbeAtMs) {
                return { trait, crashes: suspect.crashes.size };
            }
        }
        return undefined;
    }

    /** Records that a call is sent; if one of its traits is quarantined, it is the probe that was due. */
    recordSent(traits: readonly CallTrait[]): void {
        for (const { key, name } of traits) {
            const suspect = this.suspects.find(key);
            if (suspect?.isQuarantined === true) {
                suspect.name = name;
                this.scheduleProbe(suspect);
                this.settings.onChange(`quarantine: ${suspect.kind} probed`, describe(suspect));
            }
        }
    }

    /**
     * Whether a call that may have crashed a server may be sent to another one. Most calls that break are sound and share their content
     * with no other, so that only a second crash is held against it.
     */
    mayRepeat(traits: readonly CallTrait[]): boolean {
        return traits.every(({ key, kind }) => {
            const suspect = this.suspects.find(key);
            if (suspect === undefined || this.suspects.isExplained(suspect)) {
                return true;
            }
            if (suspect.answeredAtMs !== undefined) {
                return suspect.crashes.size < MAX_CRASHES_AFTER_ANSWERS;
            }
            return suspect.crashes.size < (kind === TraitKind.Content ? MAX_CRASHES_OF_CONTENT : MAX_CRASHES_OF_PARTS);
        });
    }

    /** Records that a server has answered a call completely and without an error. */
    recordAnswered(traits: readonly CallTrait[], attempt: SentAttempt): void {
        const now = this.settings.clock.now();
        this.recordAlive(attempt);
        for (const trait of traits) {
            this.clear(trait);
            this.remember(trait, now);
        }
    }

    /** Records that a server goes on with a stream; beyond the events after which others broke, that clears what they share. */
    recordProgress(traits: readonly CallTrait[], attempt: SentAttempt, events: number): void {
        this.recordAlive(attempt);
        for (const trait of traits) {
            const suspect = this.suspects.find(trait.key);
            if (suspect?.isQuarantined === false && events >= CLEARING_EVENTS_FACTOR * suspect.events + CLEARING_EVENTS) {
                this.clear(trait);
            }
        }
    }

    /**
     * Records that a server closed the connection of a call before its answer was complete.
     *
     * @param events Events that had arrived.
     */
    recordBroken(traits: readonly CallTrait[], server: RelayServer, events = 0): void {
        const now = this.settings.clock.now();
        const serverKey = hashKey(server.id);
        this.broken = this.broken.filter(({ atMs }) => atMs > now - 2 * COMMON_FAULT_MS);
        this.broken.push({ serverKey, atMs: now });
        // Calls share no content, so a fault of the network does not make many calls suspect the same one.
        this.suspect(traits.filter(({ kind }) => kind === TraitKind.Content), server, events);
        const parts = traits.filter(({ kind }) => kind === TraitKind.PromptPart);
        if (parts.length > 0) {
            void this.suspectLater(parts, { server, events, brokenAtMs: now });
        }
    }

    /** Returns the quarantined traits, those that were there at a crash recently, and those that were cleared recently. */
    reportedSuspects(): readonly CallSuspect[] {
        this.forgetOld();
        const reportedFromMs = this.settings.clock.now() - REPORT_MS;
        const recent = this.suspects.all()
            .filter(({ isQuarantined, lastCrashAtMs }) => isQuarantined || lastCrashAtMs >= reportedFromMs)
            .sort((left, right) => compareWeight(right, left));
        const suspects = recent.slice(0, MAX_REPORTED_SUSPECTS).map(({ key, kind, crashes, events, answeredAtMs }) => {
            const crashKeys = [...crashes];
            return {
                traitKey: key,
                crashKeys: answeredAtMs === undefined ? crashKeys : [],
                crashKeysAfterAnswers: answeredAtMs === undefined ? [] : crashKeys,
                clearedCrashKeys: [...this.cleared.get(key)?.crashKeys ?? []],
                isAnswered: false,
                isContent: kind === TraitKind.Content,
                events,
            };
        });
        const reported = new Set(suspects.map(({ traitKey }) => traitKey));
        const cleared = [...this.cleared].filter(([key, { atMs }]) => atMs >= reportedFromMs && !reported.has(key));
        const clearedSuspects = cleared.slice(-MAX_REPORTED_SUSPECTS).map(([traitKey, { kind, crashKeys }]) => {
            return {
                traitKey,
                crashKeys: [],
                crashKeysAfterAnswers: [],
                clearedCrashKeys: [...crashKeys],
                isAnswered: true,
                isContent: kind === TraitKind.Content,
                events: 0,
            };
        });
        return [...suspects, ...clearedSuspects];
    }

    /** Merges what a peer has reported; order and repetition do not matter. */
    merge(suspects: readonly CallSuspect[]): void {
        const now = this.settings.clock.now();
        for (const { traitKey: key, crashKeys, crashKeysAfterAnswers, clearedCrashKeys, isContent, events } of suspects) {
            const trait = { key, kind: isContent ? TraitKind.Content : TraitKind.PromptPart };
            if (crashKeysAfterAnswers.length > 0 && this.answeredAtMs(trait) === undefined) {
                this.remember(trait, now - RECENT_ANSWER_MS);
            }
            if (clearedCrashKeys.length > 0) {
                this.clearCrashes(trait, clearedCrashKeys);
            }
            const isRecentlyAnswered = (this.answeredAtMs(trait) ?? -Infinity) > now - RECENT_ANSWER_MS;
            const reportedKeys = [...crashKeys, ...crashKeysAfterAnswers];
            if (isRecentlyAnswered && reportedKeys.length > 0) {
                this.clearCrashes(trait, reportedKeys);
            }
            else {
                this.addCrashes(trait, reportedKeys, { events });
            }
        }
    }

    /** Suspects traits once it is known whether the connections of many servers broke at the same time. */
    private async suspectLater(traits: readonly CallTrait[], { server, events, brokenAtMs }: BrokenCall): Promise<void> {
        await this.settings.clock.sleep(COMMON_FAULT_MS);
        const servers = new Set<number>();
        for (const { serverKey, atMs } of this.broken) {
            if (Math.abs(atMs - brokenAtMs) <= COMMON_FAULT_MS) {
                servers.add(serverKey);
            }
        }
        const commonFaultServers = this.settings.serverCount(server.service) * COMMON_FAULT_SHARE;
        if (servers.size < Math.max(MIN_COMMON_FAULT_SERVERS, commonFaultServers)) {
            this.suspect(traits.filter(trait => (this.answeredAtMs(trait) ?? -Infinity) <= brokenAtMs), server, events);
        }
    }

    /**
     * Voids a crash of a server that answers a call which was sent later: its connections broke for another reason. Bytes of earlier
     * calls may be read long after a crash, as their callers read them slowly.
     */
    private recordAlive({ server, sentAtMs }: SentAttempt): void {
        if (this.crashedAtMs.size === 0) {
            return;
        }
        const crashKey = this.crashKeyOf(server);
        const crashedAtMs = this.crashedAtMs.get(crashKey);
        if (crashedAtMs === undefined || sentAtMs <= crashedAtMs) {
            return;
        }
        this.crashedAtMs.delete(crashKey);
        for (const suspect of this.suspects.all()) {
            if (suspect.crashes.has(crashKey)) {
                this.clearCrashes(suspect, [crashKey]);
            }
        }
    }

    private crashKeyOf(server: RelayServer): number {
        let key = this.crashKeys.get(server);
        if (key === undefined) {
            key = incarnationKey(server);
            this.crashKeys.set(server, key);
        }
        return key;
    }

    private suspect(traits: readonly CallTrait[], server: RelayServer, events: number): void {
        const crashKey = this.crashKeyOf(server);
        for (const trait of traits) {
            this.addCrashes(trait, [crashKey], { events, server: server.id });
        }
    }

    private addCrashes(
        trait: SuspectedTrait,
        crashKeys: readonly number[],
        { events, server }: { readonly events: number; readonly server?: string },
    ): void {
        const clearedKeys = this.cleared.get(trait.key)?.crashKeys;
        const openKeys = crashKeys.filter(crashKey => clearedKeys?.has(crashKey) !== true);
        if (openKeys.length === 0) {
            return;
        }
        const answeredAtMs = this.answeredAtMs(trait);
        const added = this.suspects.addCrashes({ trait, crashKeys: openKeys, events, answeredAtMs });
        if (added === undefined) {
            return;
        }
        for (const crashKey of openKeys) {
            this.crashedAtMs.set(crashKey, this.settings.clock.now());
            removeOldest(this.crashedAtMs, MAX_KNOWN_CRASHES);
        }
        const { suspect, judgementDelayMs } = added;
        if (isWorthLine(suspect)) {
            this.settings.onChange("quarantine: prompt part suspected", { ...describe(suspect), server });
        }
        if (suspect.isQuarantined) {
            this.scheduleProbe(suspect);
        }
        else if (judgementDelayMs !== undefined) {
            void this.judgeLater(judgementDelayMs);
        }
    }

    /** Quarantines the causes of crashes once the other calls that broke at the same time are known, as they may be the cause as well. */
    private async judgeLater(delayMs: number): Promise<void> {
        await this.settings.clock.sleep(delayMs);
        const causes = this.suspects.findCauses();
        for (const cause of causes) {
            cause.isQuarantined = true;
            this.scheduleProbe(cause);
            this.settings.onChange(`quarantine: ${cause.kind} quarantined`, describe(cause));
        }
    }

    /** Sets the time of the next probe; the nodes' times differ, so that the fleet sends about one in an interval. */
    private scheduleProbe(suspect: Suspect): void {
        const { clock, random, nodeCount } = this.settings;
        const backoff = 2 ** Math.max(0, suspect.crashes.size - FIRST_CRASHES);
        suspect.nextProbeAtMs = clock.now() + PROBE_INTERVAL_MS * backoff * (1 + random.next() * nodeCount());
    }

    private answeredAtMs({ key, kind }: SuspectedTrait): number | undefined {
        return this.answered.get(kind)?.get(key);
    }

    private remember({ key, kind }: SuspectedTrait, answeredAtMs: number): void {
        const answered = this.answered.get(kind) ?? new Map<number, number>();
        answered.delete(key);
        answered.set(key, answeredAtMs);
        removeOldest(answered, MAX_ANSWERED_TRAITS);
    }

    /** Clears a trait of all crashes that are known. */
    private clear(trait: SuspectedTrait): void {
        const suspect = this.suspects.find(trait.key);
        if (suspect !== undefined) {
            this.clearCrashes(trait, suspect.crashes);
        }
    }

    /** Clears a trait of crashes; without others, it is no suspect any more. */
    private clearCrashes(trait: SuspectedTrait, crashKeys: Iterable<number>): void {
        const { key, kind, name } = trait;
        const known = this.cleared.get(key);
        const clearedKeys = new Set([...known?.crashKeys ?? [], ...crashKeys]);
        if (clearedKeys.size !== known?.crashKeys.size) {
            removeOldest(clearedKeys, MAX_CLEARED_CRASHES);
            this.cleared.delete(key);
            this.cleared.set(key, { kind, atMs: this.settings.clock.now(), crashKeys: clearedKeys });
            removeOldest(this.cleared, MAX_CLEARED_TRAITS);
        }
        const suspect = this.suspects.find(key);
        if (suspect === undefined) {
            return;
        }
        const { isQuarantined, crashes } = suspect;
        suspect.name ??= name;
        const description = describe(suspect);
        const isLogged = isWorthLine(suspect);
        for (const crashKey of clearedKeys) {
            crashes.delete(crashKey);
        }
        if (crashes.size > 0) {
            return;
        }
        this.suspects.remove(key);
        if (isQuarantined || isLogged) {
            this.settings.onChange(`quarantine: ${kind} cleared`, { ...description, isQuarantined });
        }
    }

    private forgetOld(): void {
        const now = this.settings.clock.now();
        this.suspects.forgetOld();
        for (const [key, { atMs }] of this.cleared) {
            if (atMs < now - CLEARED_MS) {
                this.cleared.delete(key);
            }
        }
    }
}

/** Removes the oldest entries of a map or set that has more than it may have. */
function removeOldest(entries: Map<number, unknown> | Set<number>, most: number): void {
    for (const key of entries.keys()) {
        if (entries.size <= most) {
            return;
        }
        entries.delete(key);
    }
}

/** Whether a line is logged about a suspect that is not quarantined; each call that breaks has some that are sound. */
function isWorthLine({ kind, answeredAtMs, crashes }: Suspect): boolean {
    return kind === TraitKind.PromptPart && (answeredAtMs === undefined || crashes.size > 1);
}

/** Describes a suspect for a log line. */
function describe({ key, name, crashes }: Suspect): Readonly<Record<string, unknown>> {
    return { key, trait: name, crashes: crashes.size };
}
