/**
 * Experiments: what they measure, beside which baseline, against which targets.
 *
 * @module
 */

/** Figures of one side of an experiment, by name; units stand in the names. */
export type Figures = Readonly<Record<string, number | string | readonly Readonly<Record<string, number | string>>[]>>;

/** Bound that the users or an issue state. */
export interface Target {
    /** What is bounded, with its unit. */
    readonly name: string;
    readonly measured: number;
    /** Way in which the figure is bounded. */
    readonly comparison: "at least" | "at most";
    readonly bound: number;
}

/** Result of one experiment. */
export interface Report {
    readonly scenario: string;
    readonly seed: number;
    /** Figures of the naive version or of the stand-in measured against. */
    readonly baseline: Figures;
    /** Figures of the present code. */
    readonly current: Figures;
    readonly targets: readonly Target[];
}

/** Experiment that `npm run measure -- NAME` runs. */
export interface Experiment {
    readonly name: string;
    /** One line for the help. */
    readonly summary: string;
    /**
     * Runs the experiment.
     *
     * @param seed Seed of all random numbers.
     */
    run(seed: number): Promise<Report>;
}

/** Tells whether a target is met. */
export function isMet(target: Target): boolean {
    return target.comparison === "at least" ? target.measured >= target.bound : target.measured <= target.bound;
}
