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

/** Time from the crash that may decide on a suspect to the decision, in milliseconds; all calls that it broke are known by then. */
export const JUDGEMENT_DELAY_MS = 100;

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
    /** Whether the suspect is to be judged after {@linkcode JUDGEMENT_DELAY_MS}. */
    readonly isJudgementDue: boolean;
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
     * Adds crashes to a trait, which becomes a suspect if it is not one yet. Crashes that a quarantined trait explains are left out.
     *
     * @returns `undefined` if there is none to add.
     */
    addCrashes(
        trait: Pick<CallTrait, "key" | "kind"> & Partial<CallTrait>,
        crashKeys: readonly number[],
    ): AddedCrashes | undefined {
        const now = this.clock.now();
        const causes = this.all().filter(({ key, isQuarantined }) => isQuarantined && key !== trait.key);
        const unexplained = crashKeys.filter(crashKey => !causes.some(({ crashes }) => crashes.has(crashKey)));
        if (unexplained.length === 0) {
            return undefined;
        }
        const suspect = this.suspects.get(trait.key) ?? this.add(trait);
        suspect.name ??= trait.name;
        const known = suspect.crashes.size;
        for (const crashKey of unexplained) {
            if (suspect.crashes.size < MAX_CRASHES) {
                suspect.crashes.add(crashKey);
            }
        }
        if (suspect.crashes.size === known) {
            return undefined;
        }
        suspect.lastCrashAtMs = now;
        suspect.lastCallAtMs = now;
        const isJudgementDue = !suspect.isQuarantined && suspect.crashes.size >= MIN_CRASHES && known < MIN_CRASHES_IF_AMBIGUOUS;
        if (isJudgementDue) {
            suspect.judgedFromMs = now + JUDGEMENT_DELAY_MS;
        }
        return { suspect, isJudgementDue };
    }

    /** Returns the suspects that are due for judgement and cause the crashes. */
    findCauses(): readonly Suspect[] {
        const now = this.clock.now();
        return this.all().filter(suspect => !suspect.isQuarantined && suspect.judgedFromMs <= now && this.isCause(suspect));
    }

    /** Removes the crashes that a cause explains from the suspects that are not quarantined. */
    explainCrashes(cause: Suspect): void {
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

    /** Removes the suspects whose trait no call has had for long. */
    forgetOld(): void {
        const forgottenBeforeMs = this.clock.now() - FORGET_MS;
        for (const [key, { lastCallAtMs }] of this.suspects) {
            if (lastCallAtMs < forgottenBeforeMs) {
                this.suspects.delete(key);
            }
        }
    }

    private add({ key, kind, name }: Pick<CallTrait, "key" | "kind"> & Partial<CallTrait>): Suspect {
        this.makeRoom();
        const now = this.clock.now();
        const suspect: Suspect = {
            key,
            kind,
            name,
            crashes: new Set(),
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
        const { size } = suspect.crashes;
        if (size >= MIN_CRASHES_IF_AMBIGUOUS) {
            return true;
        }
        const rivals = this.all().filter(({ kind, isQuarantined, crashes }) => {
            return kind === suspect.kind && !isQuarantined && crashes.size >= size;
        });
        return size >= MIN_CRASHES && rivals.length === 1;
    }
}

/** Compares suspects by their quarantine, their crashes and the time of the last one. */
export function compareWeight(left: Suspect, right: Suspect): number {
    return Number(left.isQuarantined) - Number(right.isQuarantined) || left.crashes.size - right.crashes.size ||
        left.lastCrashAtMs - right.lastCrashAtMs;
}
