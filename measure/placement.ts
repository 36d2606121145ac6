/**
 * Experiment on placing, queueing and refusing in fleets of relay nodes.
 *
 * @module
 */

import type { Experiment, Figures, Report } from "./experiment.js";
import { RelayRun } from "./relay_run.js";
import { RELAY_CASES } from "./relay_workload.js";

/** Plays each case with the relay's decisions. */
async function measureAll(seed: number): Promise<Figures> {
    const cases: Record<string, number | string>[] = [];
    for (const relayCase of RELAY_CASES) {
        const { kinds, earned, served, busy } = await new RelayRun(relayCase, seed).play();
        const row: Record<string, number | string> = { case: relayCase.name, earned, served, busy };
        for (const [name, figures] of kinds) {
            row[`${name} in time`] = figures.inTime / figures.calls;
            row[`${name} late`] = figures.late / figures.calls;
            row[`${name} refused`] = figures.refused / figures.calls;
            row[`${name} earned`] = figures.earned / figures.worth;
        }
        cases.push(row);
    }
    return { cases };
}

/** Experiment `placement`. */
export const placementExperiment: Experiment = {
    name: "placement",
    summary: "worth that callers of the relay get by kind, over fleets of 6 and 91 nodes, calm and with bursts",
    run: async (seed): Promise<Report> => ({
        scenario: "placement",
        seed,
        baseline: {},
        current: await measureAll(seed),
        targets: [],
    }),
};
