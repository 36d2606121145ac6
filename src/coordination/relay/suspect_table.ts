/**
 * Traits of calls that may crash backend servers, with the crashes at which each was there.
 *
 * @module
 */

import type { Clock } from "../../state/relay/mod.js";
import type { CallTrait, TraitKind } from "./call_traits.js";

/** Crashes after which a trait may be the cause, if no other trait of its kind was there as often. */
const MIN_CRASHES = 2;

/** Crashes after which a trait counts as the cause in any case. */
const MIN_CRASHES_IF_AMBIGUOUS = 3;

/**
 * Crashes after the last answer from which a trait may be the cause that was in answered calls before, as sound traits are. Those that many
 * calls share are answered again before.
 */
export const MIN_CRASHES_AFTER_ANSWERS = 4;

/** Time from the crash that may decide on a suspect to the decision, in milliseconds; peers have reported the calls that it broke by then. */
export const JUDGEMENT_DELAY_MS = 300;

/** As {@linkcode JUDGEMENT_DELAY_MS}, for a trait that was in answered calls before; calls that show it to be sound end in this time. */
export const LATE_JUDGEMENT_DELAY_MS = 1_500;

/** Time after which a trait that no call has had is forgotten, in milliseconds. */
const FORGET_MS = 600_000;

/** Largest numbers of suspects, and of crashes of a suspect, that are kept. */
const MAX_SUSPECTS = 512;
const MAX_CRASHES = 16;

/** Trait that may crash servers. */
export interface Suspect {
    readonly key: number;
    readonly kind: TraitKind;
    /** Name in log lines; `undefined` until a call of this node has had the trait. */
    name: string | undefined;
    /** Incarnations of servers that ended under the trait; hashes of their ids and start times. */
    readonly crashes: Set<number>;
    /** Most events that a call with the trait got before its server ended. */
    events: number;
    /** Time of the last whole answer before the crashes, in milliseconds since the Unix epoch; `undefined` if none is known. */
    answeredAtMs: number | undefined;
    isQuarantined: boolean;
    /** Time from which the suspect may be judged, in milliseconds since the Unix epoch. */
    judgedFromMs: number;
    nextProbeAtMs: number;
    lastCrashAtMs: number;
    lastCallAtMs: number;
}

/** Crashes that were added to a suspect. */
export interface AddedCrashes {
    readonly suspect: Suspect;
    /** Time after which the suspect is to be judged, in milliseconds; `undefined` if it need not be. */
    readonly judgementDelayMs: number | undefined;
}

/** Crashes at which a trait was there. */
export interface TraitCrashes {
    readonly trait: Pick<CallTrait, "key" | "kind"> & Partial<CallTrait>;
    readonly crashKeys: readonly number[];
    /** Most events that a call with the trait got before its server ended. */
    readonly events: number;
    /** Time of the last whole answer to a call with the trait, in milliseconds since the Unix epoch. */
    readonly answeredAtMs: number | undefined;
}

/** Holds the suspects and decides which of them cause the crashes. */
export class SuspectTable {
    private readonly suspects = new Map<number, Suspect>();

    /** @param clock Time source of the crashes and judgements. */
    constructor(private readonly clock: Clock) {}

    /** Returns all suspects. */
    all(): readonly Suspect[] {
        return [...this.suspects.values()];
    }

    /** Finds a suspect by the key of its trait. */
    find(key: number): Suspect | undefined {
        return this.suspects.get(key);
    }

    /** Removes a suspect. */
    remove(key: number): void {
        this.suspects.delete(key);
    }

    /**
     * Adds crashes to a trait, which becomes a suspect if it is not one yet.
     *
     * @returns `undefined` if all of them were known.
     */
    addCrashes({ trait, crashKeys, events, answeredAtMs }: TraitCrashes): AddedCrashes | undefined {
        const now = this.clock.now();
        const suspect = this.suspects.get(trait.key) ?? this.add(trait);
        suspect.name ??= trait.name;
        suspect.answeredAtMs ??= answeredAtMs;
        suspect.events = Math.max(suspect.events, events);
        const knownCrashes = suspect.crashes.size;
        for (const crashKey of crashKeys) {
            if (suspect.crashes.size < MAX_CRASHES) {
                suspect.crashes.add(crashKey);
            }
        }
        if (suspect.crashes.size === knownCrashes) {
            return undefined;
        }
        suspect.lastCrashAtMs = now;
        suspect.lastCallAtMs = now;
        const judgementDelayMs = decideJudgementDelay(suspect, knownCrashes);
        // Further crashes do not put off the judgement of a trait that crashes servers all the time.
        if (judgementDelayMs !== undefined && (answeredAtMs === undefined || suspect.judgedFromMs === Infinity)) {
            suspect.judgedFromMs = now + judgementDelayMs;
        }
        return { suspect, judgementDelayMs };
    }

    /** Returns the suspects that are due for judgement and cause the crashes. */
    findCauses(): readonly Suspect[] {
        const now = this.clock.now();
        return this.all().filter(suspect => !suspect.isQuarantined && suspect.judgedFromMs <= now && this.isCause(suspect));
    }

    /** Removes the suspects whose trait no call has had for long. */
    forgetOld(): void {
        const forgottenBeforeMs = this.clock.now() - FORGET_MS;
        for (const [key, { lastCallAtMs }] of this.suspects) {
            if (lastCallAtMs < forgottenBeforeMs) {
                this.suspects.delete(key);
            }
        }
    }

    /** Whether a quarantined trait was there at all crashes of a suspect. */
    isExplained(suspect: Suspect): boolean {
        return this.all().some(({ key, isQuarantined, crashes }) => {
            return isQuarantined && key !== suspect.key && includesAll(crashes, suspect.crashes);
        });
    }

    private add({ key, kind, name }: Pick<CallTrait, "key" | "kind"> & Partial<CallTrait>): Suspect {
        this.makeRoom();
        const now = this.clock.now();
        const suspect: Suspect = {
            key,
            kind,
            name,
            crashes: new Set(),
            events: 0,
            answeredAtMs: undefined,
            isQuarantined: false,
            judgedFromMs: Infinity,
            nextProbeAtMs: Infinity,
            lastCrashAtMs: now,
            lastCallAtMs: now,
        };
        this.suspects.set(key, suspect);
        return suspect;
    }

    /** Removes the suspect that was there at the fewest crashes, and of these the one with the oldest crash, if there are too many. */
    private makeRoom(): void {
        if (this.suspects.size < MAX_SUSPECTS) {
            return;
        }
        const [weakest] = [...this.all()].sort(compareWeight);
        this.suspects.delete(weakest?.key ?? 0);
    }

    private isCause(suspect: Suspect): boolean {
        if (this.isExplained(suspect)) {
            return false;
        }
        return suspect.answeredAtMs === undefined ? this.isCauseOfNew(suspect) : this.isCauseAfterAnswers(suspect);
    }

    private isCauseOfNew(suspect: Suspect): boolean {
        const { size } = suspect.crashes;
        if (size < MIN_CRASHES) {
            return false;
        }
        const rivals = this.rivalsOf(suspect).filter(other => other.answeredAtMs === undefined && other.crashes.size >= size);
        return size >= MIN_CRASHES_IF_AMBIGUOUS || rivals.length === 0;
    }

    /** Whether a trait that was sound before is the cause: no other one that is more likely was at all its crashes. */
    private isCauseAfterAnswers(suspect: Suspect): boolean {
        if (suspect.crashes.size < MIN_CRASHES_AFTER_ANSWERS) {
            return false;
        }
        const answeredAtMs = suspect.answeredAtMs ?? 0;
        return !this.rivalsOf(suspect).some(other => {
            const isMoreLikely = other.answeredAtMs === undefined || other.answeredAtMs < answeredAtMs;
            return isMoreLikely && includesAll(other.crashes, suspect.crashes);
        });
    }

    private rivalsOf(suspect: Suspect): readonly Suspect[] {
        return this.all().filter(other => {
            return other !== suspect && other.kind === suspect.kind && !other.isQuarantined && !this.isExplained(other);
        });
    }
}

/** Returns the time after which a suspect is to be judged, in milliseconds, or `undefined` if it need not be. */
function decideJudgementDelay({ crashes, isQuarantined, answeredAtMs }: Suspect, knownCrashes: number): number | undefined {
    if (isQuarantined) {
        return undefined;
    }
    if (answeredAtMs !== undefined) {
        return crashes.size >= MIN_CRASHES_AFTER_ANSWERS ? LATE_JUDGEMENT_DELAY_MS : undefined;
    }
    return crashes.size >= MIN_CRASHES && knownCrashes < MIN_CRASHES_IF_AMBIGUOUS ? JUDGEMENT_DELAY_MS : undefined;
}

function includesAll(set: ReadonlySet<number>, keys: Iterable<number>): boolean {
    for (const key of keys) {
        if (!set.has(key)) {
            return false;
        }
    }
    return true;
}

/** Compares suspects by their quarantine, their crashes and the time of the last one. */
export function compareWeight(left: Suspect, right: Suspect): number {
    return Number(left.isQuarantined) - Number(right.isQuarantined) || left.crashes.size - right.crashes.size ||
        left.lastCrashAtMs - right.lastCrashAtMs;
}
