/**
 * Definition of an experiment: figures of the current code, the baseline that they are compared with, and targets.
 *
 * @module
 */

/** Figures of the baseline or of the current code, by name; the names include the units. */
export type Figures = Readonly<Record<string, number | string | readonly Readonly<Record<string, number | string>>[]>>;

/** Bound on a figure that the users or an issue require. */
export interface Target {
    /** Name of the bounded figure, with its unit. */
    readonly name: string;
    readonly measured: number;
    /** Whether `bound` is the lower or the upper bound. */
    readonly comparison: "at least" | "at most";
    readonly bound: number;
}

/** Result of one experiment. */
export interface Report {
    readonly scenario: string;
    readonly seed: number;
    /** Figures of the naive implementation or of the reference program. */
    readonly baseline: Figures;
    /** Figures of the current code. */
    readonly current: Figures;
    readonly targets: readonly Target[];
}

/** Folders with the bundles of relay nodes. */
export interface Bundles {
    readonly oldBundle: string;
    readonly newBundle: string;
}

/** Experiment that `npm run measure -- NAME` runs. */
export interface Experiment {
    readonly name: string;
    /** One-line description in the list of experiments. */
    readonly summary: string;
    /**
     * Runs the experiment.
     *
     * @param seed Seed of the random number generators.
     * @param bundles Builds for experiments that run the relay node as a process.
     */
    run(seed: number, bundles: Bundles): Promise<Report>;
}

/** Returns whether a target is met. */
export function isMet(target: Target): boolean {
    return target.comparison === "at least" ? target.measured >= target.bound : target.measured <= target.bound;
}
