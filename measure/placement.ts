/**
 * Experiment on placing, queueing and refusing in fleets of relay nodes.
 *
 * @module
 */

import type { Experiment, Figures, Report } from "./experiment.js";
import { RelaySimulation } from "./relay_simulation.js";
import { RELAY_CASES, type RelayCase } from "./relay_workload.js";

/** Plays each case with the relay's decisions; `knowledge` changes what nodes know of each other. */
async function runCases(seed: number, overrides: Partial<RelayCase>): Promise<Figures> {
    const cases: Record<string, number | string>[] = [];
    for (const relayCase of RELAY_CASES) {
        const { kinds, earnedShare: earned, servedShare: served, utilization: busy } = await new RelaySimulation({
            ...relayCase,
            ...overrides,
        }, seed).run();
        const row: Record<string, number | string> = { case: relayCase.name, earned, served, busy };
        for (const [name, figures] of kinds) {
            row[`${name} in time`] = figures.inTime / figures.calls;
            row[`${name} late`] = figures.late / figures.calls;
            row[`${name} refused`] = figures.refused / figures.calls;
            row[`${name} earned`] = figures.earnedValue / figures.offeredValue;
        }
        cases.push(row);
    }
    return { cases };
}

/** Experiment `placement`. */
export const placementExperiment: Experiment = {
    name: "placement",
    summary: "worth that callers of the relay get by kind, beside nodes that know each other's calls at any moment",
    run: async (seed): Promise<Report> => ({
        scenario: "placement",
        seed,
        baseline: await runCases(seed, { reportAgeMs: 0 }),
        current: await runCases(seed, {}),
        targets: [],
    }),
};
